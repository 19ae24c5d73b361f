"""Messages between hosts about claimed operations and crashing requests.

A ledger is a set of members, which are hosts that store one write-once
register for each operation. A claimer is the host that claims an operation
at a majority of the members before it sends the request to an upstream.

The list of members of a ledger has a number, its epoch, which grows with
each change of the list. An incarnation is the number of one start of a
member; later starts have higher numbers.
"""

from skylarkpitch.messages import codec

__all__ = [
    'ClaimRequest',
    'ClaimResponse',
    'CopyRequest',
    'CopyResponse',
    'CrashReport',
    'LedgerStateRequest',
    'LedgerStateResponse',
    'Register',
    'SettleRequest',
    'SettleResponse',
]


@codec.message('requests.register')
class Register:
    """Record of one operation at a ledger member.

    ``token`` identifies the claim, ``fingerprint`` the request. ``state`` is
    a value of :class:`skylarkpitch.requests.ledger.State`; a claim without
    result has an unknown outcome ``lease_s`` after it was granted, and
    ``age_s`` is the time since then. A register is ``contested`` when two
    members granted it to different claims. ``status``, ``headers`` and
    ``body`` are the recorded response; ``whole`` is False when its body was
    too large to be stored.
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
class ClaimRequest:
    """Request to write a claim into a register that is empty.

    ``members`` is the list that the claimer uses and ``epoch`` its number.
    ``token`` identifies the claim, ``fingerprint`` the request. The
    outcome is unknown if the claimer does not report it within ``lease_s``.
    """

    region: str
    epoch: int
    members: tuple[str, ...]
    organisation: str
    operation_id: str
    token: str
    fingerprint: bytes
    lease_s: float


@codec.message('requests.vote')
class ClaimResponse:
    """Vote of a member on a claim.

    ``outcome`` is a value of :class:`skylarkpitch.requests.ledger.Outcome`.
    ``incarnation`` is that of the member, and ``view`` maps each peer to the
    newest incarnation that the member knows of. ``register`` is the stored
    one if the operation is already claimed. ``detail`` is the epoch of the
    member if the claimer uses another list of members, else empty.
    """

    member: str
    outcome: str
    incarnation: int
    view: dict[str, int]
    register: Register | None = None
    detail: str = ''


@codec.message('requests.settle')
class SettleRequest:
    """Final state of a claim, sent by its claimer in ``register``."""

    region: str
    register: Register


@codec.message('requests.settled')
class SettleResponse:
    """Confirmation of a member that it applied a :class:`SettleRequest`."""

    member: str


@codec.message('requests.copy')
class CopyRequest:
    """Request for the registers of a member, part by part.

    The receiver records the ``incarnation`` of the sender and adopts the
    list ``members`` if its ``epoch`` is newer. ``after`` is (organisation,
    operation id) of the last register of the part before, None for the first
    part.
    """

    region: str
    epoch: int
    members: tuple[str, ...]
    incarnation: int
    after: tuple[str, str] | None = None


@codec.message('requests.copied')
class CopyResponse:
    """One part of the registers of a member, in the order of their keys.

    ``last`` is True in the final part. ``previous`` are the earlier lists of
    members from which the sender has not copied yet. ``settled`` is True if
    the sender has copied enough to grant claims. The sender may be missing
    registers of ids that were issued before ``blind_before_s`` (Unix time).
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
class LedgerStateRequest:
    """Request for the copy state of a member of a region's ledger."""

    region: str


@codec.message('requests.ledger_state')
class LedgerStateResponse:
    """Copy state of a member.

    ``synced`` is True if the member has nothing left to copy.
    """

    synced: bool


@codec.message('requests.crash_report')
class CrashReport:
    """Report of upstreams that crashed while running a request.

    Without ``upstreams`` the request got a response and is no longer a
    suspect. If ``quarantine_s`` is above 0, the request is refused for that
    time, in seconds.
    """

    fingerprint: bytes
    upstreams: tuple[str, ...] = ()
    quarantine_s: float = 0.0
