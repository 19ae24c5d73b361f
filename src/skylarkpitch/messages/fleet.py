"""Messages between entry hosts, control hosts and their leader.

``leader`` and ``control_hosts`` are host names, an index is an index of the
replicated log, and times are in seconds. A row is one part of the fleet state:
its key, the index that changed it last and its encoded value, or None if the
part was removed.
"""

from skylarkpitch.messages import codec

__all__ = [
    'CallerQuery',
    'CallerState',
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
    """Submit a control request, encoded in ``order``, to the leader.

    ``hops`` counts how often control hosts have passed the request on.
    ``called_host`` is the host that its caller is connected to, and
    ``call_id`` identifies the call there; both are empty without a caller.
    """

    order: bytes
    hops: int = 0
    called_host: str = ''
    call_id: str = ''


@codec.message('fleet.order_answer')
class SubmitResponse:
    """Outcome of a control request.

    ``outcome`` is ``accepted``, ``refused`` or ``unavailable``.
    """

    outcome: str
    reason: str = ''
    detail: str = ''
    content: bytes = b''


@codec.message('fleet.caller_ask')
class CallerQuery:
    """Ask whether the caller of a call still waits for its outcome."""

    call_id: str


@codec.message('fleet.caller_answer')
class CallerState:
    """Whether the caller of a call still waits for its outcome."""

    is_waiting: bool


@codec.message('fleet.watch_ask')
class WatchRequest:
    """Request the changes since an index; wait up to ``wait_s`` for one.

    With index 0, or with the name of another cluster, the response has the
    whole state.
    """

    cluster: str
    index: int
    wait_s: float


@codec.message('fleet.watch_answer')
class WatchResponse:
    """Changes since the requested index, or the whole state if ``whole``.

    ``heard_age_s`` is the age of the answering host's last contact with a
    quorum, and ``state_age_s`` that of the last moment at which it had applied
    all that was committed. ``applied_index`` is the last log index that it has
    applied, and ``leader_commit_index`` the highest one that it knows to be
    committed.
    """

    cluster: str
    index: int
    whole: bool
    heard_age_s: float
    rows: tuple[Row, ...] = ()
    control_hosts: tuple[str, ...] = ()
    leader: str = ''
    applied_index: int = 0
    leader_commit_index: int = 0
    state_age_s: float = 0.0


@codec.message('fleet.group_notice')
class GroupNotice:
    """Notify a control host outside the group of the group's members."""

    control_hosts: tuple[str, ...]


@codec.message('fleet.join_ask')
class JoinRequest:
    """Request to be added to the control group."""

    identity: str
    hops: int = 0


@codec.message('fleet.join_answer')
class JoinResponse:
    """Whether the identity is a member.

    If not, the request should be sent to the ``leader``, if one is known.
    """

    is_member: bool
    leader: str = ''
