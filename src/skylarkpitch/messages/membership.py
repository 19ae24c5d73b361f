"""Messages between the entry hosts of one failure domain."""

from skylarkpitch.messages import codec

__all__ = [
    'HelloRequest',
    'HelloResponse',
    'LeaveRequest',
    'LeaveResponse',
    'ReleaseRequest',
    'ReleaseResponse',
    'RunningWorkReport',
]


@codec.message('membership.hello')
class HelloRequest:
    """Tell a host of the own failure domain that the sender lives."""

    stopping: bool


@codec.message('membership.hello_heard')
class HelloResponse:
    """Answer a :class:`HelloRequest`.

    ``slots`` counts, by service, the slots that the sender owns for another
    ``owned_for_s`` at least, unless it is asked to release them.
    """

    stopping: bool
    slots: dict[str, int]
    owned_for_s: float


@codec.message('membership.leave')
class LeaveRequest:
    """Pass on that a process of an upstream wants nothing new."""

    name: str
    instance: str


@codec.message('membership.left')
class LeaveResponse:
    """Tell whether the sender owned the upstream that leaves."""

    owned: bool


@codec.message('membership.release')
class ReleaseRequest:
    """Ask a host to give up an upstream that announces to the sender."""

    name: str
    instance: str
    url: str


@codec.message('membership.released')
class ReleaseResponse:
    """Tell that the sender hands out no slot of an upstream any more.

    ``known`` is False when the sender has no memory of the upstream;
    ``taken`` tells that it owns another upstream of that name or address
    and gives nothing up. ``running`` slots are busy for at most
    ``busy_for_s`` seconds. ``up_for_s`` is the age of the sender's process,
    and ``served_for_s`` the time since the upstream's ramp began there.
    ``number`` tells the releases of one sender apart.
    """

    known: bool
    taken: bool
    running: int
    busy_for_s: float
    up_for_s: float
    served_for_s: float
    number: int


@codec.message('membership.still_running')
class RunningWorkReport:
    """Tell the new owner how much earlier work has not ended."""

    name: str
    instance: str
    number: int
    running: int
