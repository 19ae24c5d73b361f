"""Results of one exchange with an upstream."""

from collections.abc import AsyncIterator
import dataclasses

import aiohttp

from skylarkpitch import ports
from skylarkpitch.requests import headers as header_rules

__all__ = [
    'RETRIED_STATUSES',
    'Answer',
    'Failure',
    'broken',
    'judged',
    'malformed',
    'timed_out',
    'unsent',
    'without_blame',
]

RETRIED_STATUSES = (502, 503, 504)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Exchange without a usable answer.

    ``sent`` is False only when no byte can have left. ``died`` tells that
    the upstream closed the connection while the request ran.
    """

    exchange: ports.ExchangeOutcome
    sent: bool
    reason: str
    message: str
    died: bool = False


class Answer:
    """Answer of an upstream: its head at once, the rest by iteration."""

    def __init__(
        self,
        *,
        status: int,
        headers: header_rules.HeaderPairs,
        head: bytes,
        rest: AsyncIterator[bytes] | None = None,
        response: aiohttp.ClientResponse | None = None,
        relay_headers: dict[str, str] | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.head = head
        self.rest = rest
        self.relay_headers = relay_headers or {}
        self._response = response

    @property
    def whole(self) -> bool:
        """Tell whether ``head`` is the whole body."""
        return self.rest is None

    def close(self) -> None:
        """Close the connection unless the answer was read to its end."""
        if self._response is not None:
            self._response.close()


def judged(status: int) -> ports.ExchangeOutcome:
    """Return what a whole answer's status tells of the upstream."""
    if status == 503:
        return ports.ExchangeOutcome.SHED
    if status in RETRIED_STATUSES:
        return ports.ExchangeOutcome.FAILED
    return ports.ExchangeOutcome.ANSWERED


def without_blame(failure: Failure, *, reason: str) -> Failure:
    """Put a failure down to the sender when its body broke off.

    ``reason`` is that of the refusal, or empty.
    """
    if not reason:
        return failure
    return dataclasses.replace(
        failure,
        exchange=ports.ExchangeOutcome.CANCELLED,
        reason=reason,
        message='the body broke off while it was sent on',
        died=False,
    )


def timed_out(*, connected: bool) -> Failure:
    """Return the failure of an exchange that ran out of time."""
    if not connected:
        return unsent('no connection in time')
    return Failure(
        exchange=ports.ExchangeOutcome.TIMED_OUT,
        sent=True,
        reason='upstream_timeout',
        message='the upstream did not answer within the deadline',
    )


def unsent(message: str) -> Failure:
    """Return the failure of an exchange without a connection."""
    return Failure(
        exchange=ports.ExchangeOutcome.NOT_SENT,
        sent=False,
        reason='no_room',
        message=f'the upstream could not be reached ({message})',
    )


def broken(message: str, *, connected: bool) -> Failure:
    """Return the failure of an exchange that the other end cut."""
    if not connected:
        return unsent(message)
    return Failure(
        exchange=ports.ExchangeOutcome.FAILED,
        sent=True,
        reason='upstream_failed',
        message=f'the upstream broke off ({message})',
        died=True,
    )


def malformed(message: str, *, connected: bool) -> Failure:
    """Return the failure of an exchange with an unusable answer."""
    if not connected:
        return unsent(message)
    return Failure(
        exchange=ports.ExchangeOutcome.FAILED,
        sent=True,
        reason='upstream_malformed',
        message=f'the answer of the upstream is unusable ({message})',
    )
