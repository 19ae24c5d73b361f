"""Define what the request path asks of the other subsystems.

Each port is a protocol with a few calls, so that a test can hand in a small
fake and a subsystem can grow behind its port. Times are in seconds of the
process's monotonic clock.
"""

from collections.abc import Awaitable
import dataclasses
import enum
from typing import Protocol

from skylarkpitch import sentinels

__all__ = [
    'Authenticator',
    'Caller',
    'OperationClaim',
    'ExchangeOutcome',
    'Ledger',
    'Limiter',
    'RecordedResponse',
    'Slot',
    'SlotAllocator',
]


class ExchangeOutcome(enum.StrEnum):
    """How the exchange with an upstream ended, as its owner judges it."""

    ANSWERED = 'answered'
    SHED = 'shed'
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    NOT_SENT = 'not_sent'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """Organisation that a request runs for; None on routes open to all.

    ``region`` is the one that the caller's address belongs to, None where
    no table of client blocks tells.
    """

    organisation: str | None
    weight: float = 1.0
    region: str | None = None


class Slot(Protocol):
    """One slot of one upstream, held until :meth:`finish`."""

    upstream: str
    url: str
    headers: dict[str, str]

    def finish(self, exchange: ExchangeOutcome, *, latency_s: float) -> None:
        """Give the slot back and tell how the exchange ended."""

    def account(self, more_bytes: int) -> None:
        """Count bytes of the answer against the link that they cross."""


class Authenticator(Protocol):
    """Tell which organisation a key belongs to."""

    def authenticate(
        self, key: str | None, *, now_s: float
    ) -> Caller | sentinels.Absent:
        """Return the caller, or an ``Absent`` with a refusal's reason."""


class Limiter(Protocol):
    """Spend an organisation's rate and burst."""

    def spend(
        self, organisation: str, *, now_s: float, deadline_s: float
    ) -> Awaitable[float | sentinels.Absent]:
        """Take one token, waiting for a loan until ``deadline_s`` at most.

        Returns 0.0 once the token is spent, or ``Absent`` with reason
        ``rate_exceeded`` and the retry-after seconds in ``detail``.
        """


class SlotAllocator(Protocol):
    """Reserve a slot of an upstream for a request."""

    def reserve(
        self,
        *,
        service: str,
        caller: Caller,
        request_class: str,
        body_bytes: int,
        deadline_s: float,
        exclude: frozenset[str],
    ) -> Awaitable[Slot | sentinels.Absent]:
        """Reserve a slot, or return ``Absent`` with reason ``no_room``.

        ``exclude`` names upstreams that already failed this request.
        ``body_bytes`` counts request and expected answer for link budgets.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperationClaim:
    """The operation is ours to run, once."""

    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordedResponse:
    """The operation ran before; this is its answer.

    ``is_complete`` is False when the body was too large to keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_complete: bool = True


class Ledger(Protocol):
    """Claim operations that must run at most once."""

    def claim(
        self,
        *,
        organisation: str,
        operation_id: str,
        fingerprint: bytes,
        deadline_s: float,
    ) -> Awaitable[OperationClaim | RecordedResponse | sentinels.Absent]:
        """Claim before the first byte leaves.

        Waits while another holder runs the operation. ``Absent`` reasons:
        ``id_reused``, ``id_expired``, ``outcome_unknown``,
        ``ledger_unreachable``, ``still_running``, ``deadline_exceeded``,
        ``request_malformed``.
        """

    def record(
        self, claimed: OperationClaim, answer: RecordedResponse
    ) -> Awaitable[None]:
        """Keep the answer for resends."""

    def release(self, claimed: OperationClaim) -> Awaitable[None]:
        """Give the claim back; only when no byte of the request left."""

    def mark_unknown(self, claimed: OperationClaim) -> Awaitable[None]:
        """Mark the outcome as unknown; the operation never runs again."""
