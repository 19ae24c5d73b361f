"""Messages of the request path: the claim ledger and crash suspicion."""

from skylarkpitch.messages import codec

__all__ = [
    'Claim',
    'Copied',
    'Copy',
    'CrashReport',
    'LedgerState',
    'LedgerStateQuestion',
    'Register',
    'Settle',
    'Settled',
    'Vote',
]


@codec.message('requests.register')
class Register:
    """What a ledger member holds of one operation.

    ``age_s`` counts from the grant; ``lease_s`` and ``age_s`` are in seconds.
    """

    organisation: str
    operation_id: str
    token: str
    fingerprint: bytes
    state: str
    lease_s: float
    age_s: float = 0.0
    contested: bool = False
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    whole: bool = True


@codec.message('requests.claim')
class Claim:
    """Ask a member to write a claim into an empty register."""

    region: str
    epoch: int
    members: tuple[str, ...]
    organisation: str
    operation_id: str
    token: str
    fingerprint: bytes
    lease_s: float


@codec.message('requests.vote')
class Vote:
    """Answer of a member to a claim.

    ``view`` maps each peer to the newest incarnation known of it.
    """

    member: str
    outcome: str
    incarnation: int
    view: dict[str, int]
    register: Register | None = None
    detail: str = ''


@codec.message('requests.settle')
class Settle:
    """Tell a member how a claim ended; ``state`` is its new state."""

    region: str
    register: Register


@codec.message('requests.settled')
class Settled:
    """Answer of a member that has taken a :class:`Settle`."""

    member: str


@codec.message('requests.copy')
class Copy:
    """Register the sender's incarnation and ask for the registers.

    ``after`` names the last register of the part before.
    """

    region: str
    epoch: int
    members: tuple[str, ...]
    incarnation: int
    after: tuple[str, str] | None = None


@codec.message('requests.copied')
class Copied:
    """One part of a member's registers, in the order of their names.

    ``previous`` are earlier lists of members that the answerer knew to be
    in use before its present one. ``settled`` tells whether the answerer
    has finished its own change of members.
    """

    member: str
    epoch: int
    members: tuple[str, ...]
    incarnation: int
    view: dict[str, int]
    blind_before_s: float
    settled: bool
    previous: tuple[tuple[str, ...], ...]
    registers: tuple[Register, ...]
    last: bool


@codec.message('requests.ledger_state_question')
class LedgerStateQuestion:
    """Ask whether a member of a region's ledger has copied what it can."""

    region: str


@codec.message('requests.ledger_state')
class LedgerState:
    """Answer of a member to a :class:`LedgerStateQuestion`."""

    synced: bool


@codec.message('requests.crash_report')
class CrashReport:
    """Tell other hosts of upstreams that died while running a request.

    Without ``upstreams`` the request was answered and is cleared. With
    ``quarantine_s`` above 0 it is refused for that time.
    """

    fingerprint: bytes
    upstreams: tuple[str, ...] = ()
    quarantine_s: float = 0.0
