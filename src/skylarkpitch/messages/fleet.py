"""Messages between entry hosts, control hosts and their leader.

``source`` and the like are names of hosts. An index is one of the
replicated log; times are in seconds.
"""

from skylarkpitch.messages import codec

__all__ = [
    'GroupNotice',
    'JoinRequest',
    'JoinResponse',
    'SubmitRequest',
    'SubmitResponse',
    'WatchRequest',
    'WatchResponse',
]

Row = tuple[tuple[str, ...], int, bytes | None]


@codec.message('fleet.order_ask')
class SubmitRequest:
    """Hand an order on to the leader; ``hops`` bounds how often."""

    order: bytes
    hops: int = 0


@codec.message('fleet.order_answer')
class SubmitResponse:
    """End of an order: ``accepted``, ``refused`` or ``unavailable``."""

    outcome: str
    reason: str = ''
    detail: str = ''
    content: bytes = b''


@codec.message('fleet.watch_ask')
class WatchRequest:
    """Ask for what changed since an index; wait for it up to a time."""

    cluster: str
    index: int
    wait_s: float


@codec.message('fleet.watch_answer')
class WatchResponse:
    """Tell what changed, or with ``whole`` everything.

    ``heard_age_s`` is for how long the answering host has not heard of a
    quorum.
    """

    cluster: str
    index: int
    whole: bool
    heard_age_s: float
    rows: tuple[Row, ...] = ()
    control_hosts: tuple[str, ...] = ()
    leader: str = ''


@codec.message('fleet.group_notice')
class GroupNotice:
    """Tell a host that serves control who is in the group."""

    control_hosts: tuple[str, ...]


@codec.message('fleet.join_ask')
class JoinRequest:
    """Ask to be added to the control group."""

    identity: str
    hops: int = 0


@codec.message('fleet.join_answer')
class JoinResponse:
    """Tell whether the identity is a member, or the leader to ask."""

    is_member: bool
    leader: str = ''
