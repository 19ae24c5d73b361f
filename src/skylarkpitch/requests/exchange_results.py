"""Results of one exchange with an upstream."""

from collections.abc import AsyncIterator
import dataclasses

import aiohttp

from skylarkpitch import ports
from skylarkpitch.requests import headers as header_rules

__all__ = [
    'RETRIED_STATUSES',
    'Failure',
    'UpstreamResponse',
    'as_cancelled',
    'broken',
    'classify_status',
    'malformed',
    'timed_out',
    'unsent',
]

RETRIED_STATUSES = (502, 503, 504)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Exchange without a usable response.

    ``exchange`` is the outcome to report for the slot; ``reason`` and
    ``message`` are those of the refusal. ``sent`` is False only if no byte of
    the request can have been sent.
    ``upstream_crashed`` is True if the upstream closed the connection while
    it was running the request.
    """

    exchange: ports.ExchangeOutcome
    sent: bool
    reason: str
    message: str
    upstream_crashed: bool = False


class UpstreamResponse:
    """Response of an upstream.

    ``prefix`` is the part of the body that was read; ``rest`` iterates over
    the remainder and is None if there is none. ``relay_headers`` are those
    that the relay of another host added.
    """

    def __init__(
        self,
        *,
        status: int,
        headers: header_rules.HeaderPairs,
        prefix: bytes,
        rest: AsyncIterator[bytes] | None = None,
        response: aiohttp.ClientResponse | None = None,
        relay_headers: dict[str, str] | None = None,
    ) -> None:
        self.status = status
        self.headers = headers
        self.prefix = prefix
        self.rest = rest
        self.relay_headers = relay_headers or {}
        self._response = response

    @property
    def is_complete(self) -> bool:
        """Return whether ``prefix`` is the whole body."""
        return self.rest is None

    def close(self) -> None:
        """Close the connection unless the response was read to its end."""
        if self._response is not None:
            self._response.close()


def classify_status(status: int) -> ports.ExchangeOutcome:
    """Return the outcome of an exchange from the status of its response."""
    if status == 503:
        return ports.ExchangeOutcome.SHED
    if status in RETRIED_STATUSES:
        return ports.ExchangeOutcome.FAILED
    return ports.ExchangeOutcome.ANSWERED


def as_cancelled(failure: Failure, *, reason: str) -> Failure:
    """Return a failure that is not attributed to the upstream.

    ``reason`` is why the body of the request could not be read to its end.
    If it is empty, the failure is returned unchanged.
    """
    if not reason:
        return failure
    return dataclasses.replace(
        failure,
        exchange=ports.ExchangeOutcome.CANCELLED,
        reason=reason,
        message='the body broke off while it was sent on',
        upstream_crashed=False,
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
    """Return the failure of an exchange that could not connect."""
    return Failure(
        exchange=ports.ExchangeOutcome.NOT_SENT,
        sent=False,
        reason='no_room',
        message=f'the upstream could not be reached ({message})',
    )


def broken(message: str, *, connected: bool) -> Failure:
    """Return the failure of an exchange whose connection was closed."""
    if not connected:
        return unsent(message)
    return Failure(
        exchange=ports.ExchangeOutcome.FAILED,
        sent=True,
        reason='upstream_failed',
        message=f'the upstream broke off ({message})',
        upstream_crashed=True,
    )


def malformed(message: str, *, connected: bool) -> Failure:
    """Return the failure of an exchange with an unusable response.

    ``message`` states what is wrong with the response.
    """
    if not connected:
        return unsent(message)
    return Failure(
        exchange=ports.ExchangeOutcome.FAILED,
        sent=True,
        reason='upstream_malformed',
        message=f'the answer of the upstream is unusable ({message})',
    )
