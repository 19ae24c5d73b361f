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
    """Report to a host of the same failure domain that the sender is alive.

    ``stopping`` means that the sender accepts no more upstreams.
    """

    stopping: bool


@codec.message('membership.hello_heard')
class HelloResponse:
    """Response to a :class:`HelloRequest`.

    ``slots`` counts, by service, the slots that the sender owns for at least
    another ``owned_for_s`` seconds, unless it receives a release request.
    """

    stopping: bool
    slots: dict[str, int]
    owned_for_s: float


@codec.message('membership.leave')
class LeaveRequest:
    """Forwarded notice that a process of an upstream accepts no new work."""

    name: str
    instance: str


@codec.message('membership.left')
class LeaveResponse:
    """Whether the sender owned the upstream that leaves."""

    owned: bool


@codec.message('membership.release')
class ReleaseRequest:
    """Request to release an upstream that announces itself to the sender."""

    name: str
    instance: str
    url: str


@codec.message('membership.released')
class ReleaseResponse:
    """Confirmation that the sender assigns no slot of an upstream any more.

    ``known`` is False when the sender has no record of the upstream. ``taken``
    means that it owns another upstream of that name or address and has
    released nothing. ``running`` slots are busy for at most ``busy_for_s``
    seconds. ``up_for_s`` is the age of the sender's process, and
    ``served_for_s`` the time since the upstream's ramp started there.
    ``number`` identifies this release among those of the sender.
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
    """Report to the new owner how much earlier work has not ended.

    ``number`` is that of the release, and ``running`` counts the busy slots.
    """

    name: str
    instance: str
    number: int
    running: int
