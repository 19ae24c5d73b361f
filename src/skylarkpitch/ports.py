"""Define the interfaces of the subsystems that the request handler uses.

Each port is a protocol with few methods, so that tests can use small fakes
and a subsystem can change without its callers. Times are in seconds of the
monotonic clock of the process.
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
    """Result of an exchange with an upstream.

    ``SHED`` means that the upstream rejected the request for overload,
    ``NOT_SENT`` that no byte of the request was sent, and ``CANCELLED`` that
    the exchange ended for a reason other than the upstream.
    """

    ANSWERED = 'answered'
    SHED = 'shed'
    FAILED = 'failed'
    TIMED_OUT = 'timed_out'
    NOT_SENT = 'not_sent'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """Caller of a request.

    ``organisation`` is None on routes that need no key, ``weight`` is its
    weight in fair queueing, and ``region`` is the region of the caller's
    address, None if no table of client blocks lists the address.
    """

    organisation: str | None
    weight: float = 1.0
    region: str | None = None


class Slot(Protocol):
    """Slot of an upstream that is reserved until :meth:`finish`.

    The request is sent to ``url`` with ``headers`` added to its own. For a
    slot of another host, these are the relay of that host and the ticket.
    """

    upstream: str
    url: str
    headers: dict[str, str]

    def finish(self, exchange: ExchangeOutcome, *, latency_s: float) -> None:
        """Release the slot and record how the exchange ended.

        ``latency_s`` is the duration of the exchange.
        """

    def account(self, more_bytes: int) -> None:
        """Charge response bytes to the budget of the link they cross."""


class Authenticator(Protocol):
    """Map an API key to the organisation that it belongs to."""

    def authenticate(
        self, key: str | None, *, now_s: float
    ) -> Caller | sentinels.Absent:
        """Return the caller, or an ``Absent`` with the reason to refuse."""


class Limiter(Protocol):
    """Enforce the rate and burst of each organisation."""

    def spend(
        self, organisation: str, *, now_s: float, deadline_s: float
    ) -> Awaitable[float | sentinels.Absent]:
        """Spend one token of the organisation's rate.

        If this host has none left, waits until ``deadline_s`` for another
        host to lend it some. Returns 0.0 once the token is spent, or
        ``Absent`` with reason ``rate_exceeded`` and the retry-after seconds
        in ``detail``.
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
        ``body_bytes`` is the size of the request and the expected response,
        which is charged to the bandwidth budgets of the links between
        regions.
        """


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OperationClaim:
    """Exclusive right to run an operation once."""

    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecordedResponse:
    """Response of an operation that ran before.

    ``is_complete`` is False if the body was too large to be recorded.
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
        """Claim an operation before any byte of the request is sent.

        Waits while another host runs the operation. ``Absent`` reasons:
        ``id_reused``, ``id_expired``, ``outcome_unknown``,
        ``ledger_unreachable``, ``still_running``, ``deadline_exceeded``,
        ``request_malformed``.
        """

    def record(
        self, claimed: OperationClaim, response: RecordedResponse
    ) -> Awaitable[None]:
        """Record the response, which resends of the request then get."""

    def release(self, claimed: OperationClaim) -> Awaitable[None]:
        """Release the claim; only if no byte of the request was sent."""

    def mark_unknown(self, claimed: OperationClaim) -> Awaitable[None]:
        """Record an unknown outcome; the operation never runs again."""
