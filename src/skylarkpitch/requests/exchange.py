"""Run one exchange with an upstream, or with another host's relay.

An exchange ends as an :class:`Answer`, whose end the caller of this module
reads, or as a :class:`Failure`, which tells whether a byte of the request
may have left. An answer is taken only when its framing shows its end.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextvars
import dataclasses
from typing import Any

import aiohttp
import yarl

from skylarkpitch import ports
from skylarkpitch.requests import headers as header_rules
from skylarkpitch.settings import daemon

__all__ = [
    'Answer',
    'Exchanger',
    'Failure',
    'Outgoing',
    'judged',
    'without_blame',
]

HEAD_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 15.0
RETRIED_STATUSES = (502, 503, 504)
_BODILESS_STATUSES = (204, 304)
_OMITTED_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


@dataclasses.dataclass(slots=True)
class _Progress:
    connected: bool = False


_progress: contextvars.ContextVar[_Progress] = contextvars.ContextVar(
    'skylarkpitch_exchange_progress'
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """Request as it goes to the upstream.

    ``body`` is whole, or an iterator for a body that is streamed.
    ``repeatable`` tells that the request may run more than once.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | AsyncIterator[bytes]
    repeatable: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Exchange without a usable answer.

    ``sent`` is False only when no byte can have left. ``died`` tells that
    the upstream closed the connection while the request ran.
    """

    exchange: ports.Exchange
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
        headers: header_rules.Pairs,
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


class _UnsentError(Exception):
    """The connection could not be made."""


class _BrokenError(Exception):
    """The connection broke after the request began to leave."""


class _Connector(aiohttp.TCPConnector):
    """Hand out connections that hold nothing of an earlier exchange."""

    async def connect(self, req, traces, timeout):
        """Return a connection and note that bytes may leave from now on."""
        while True:
            connection = await super().connect(req, traces, timeout)
            if not connection.protocol.should_close:
                break
            connection.close()
        _progress.get().connected = True
        return connection


async def _translate_errors(
    request: aiohttp.ClientRequest, handler: Callable[..., Any]
) -> aiohttp.ClientResponse:
    """Keep the client from sending a request again by itself."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError as error:
        raise _UnsentError(str(error)) from error
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise _BrokenError(str(error)) from error


class Exchanger:
    """Own the client sessions towards upstreams and relays.

    Requests that may run only once travel on connections of their own, so
    that none of them meets a connection that the upstream is closing.
    """

    def __init__(
        self,
        *,
        settings: daemon.LimitSettings,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._sessions: dict[bool, aiohttp.ClientSession] = {}

    async def close(self) -> None:
        """Close the sessions and their connections."""
        for session in self._sessions.values():
            await session.close()

    async def run(
        self, slot: ports.Slot, outgoing: Outgoing, *, deadline_s: float
    ) -> Answer | Failure:
        """Send a request and return the start of its answer.

        The connection is closed on a time-out, on cancellation and after
        an answer that breaks its framing.
        """
        progress = _Progress()
        _progress.set(progress)
        try:
            async with asyncio.timeout(deadline_s - self._clock()):
                response = await self._send(slot, outgoing)
                try:
                    return await self._receive(response, outgoing.method)
                except BaseException:
                    response.close()
                    raise
        except (TimeoutError, aiohttp.ServerTimeoutError):
            return _timed_out(progress)
        except _UnsentError as error:
            return _unsent(str(error))
        except (_BrokenError, aiohttp.ClientPayloadError) as error:
            return _broken(progress, str(error))
        except (aiohttp.ClientError, ValueError) as error:
            return _malformed(progress, str(error))

    async def _send(
        self, slot: ports.Slot, outgoing: Outgoing
    ) -> aiohttp.ClientResponse:
        url, extra = _destination(slot, outgoing.target)
        return await self._session(outgoing.repeatable).request(
            outgoing.method,
            url,
            headers=[*outgoing.headers, *extra],
            data=outgoing.body if outgoing.body != b'' else None,
            allow_redirects=False,
            skip_auto_headers=_OMITTED_HEADERS,
        )

    async def _receive(
        self, response: aiohttp.ClientResponse, method: str
    ) -> Answer | Failure:
        bodiless = method == 'HEAD' or response.status in _BODILESS_STATUSES
        problem = self._framing_problem(response, bodiless=bodiless)
        if problem:
            response.close()
            return _malformed(_Progress(connected=True), problem)
        head, ended = await _read_head(response, bodiless=bodiless)
        if ended:
            response.release()
        return Answer(
            status=response.status,
            headers=header_rules.end_to_end(response.headers),
            head=head,
            rest=None if ended else self._rest(response, len(head)),
            response=response,
            relay_headers=_relay_headers(response),
        )

    def _framing_problem(
        self, response: aiohttp.ClientResponse, *, bodiless: bool
    ) -> str:
        if response.status < 200:
            return f'the upstream answered {response.status}'
        problem = header_rules.check_framing(response.headers)
        if problem is not None:
            return problem.detail
        length = response.headers.get(header_rules.CONTENT_LENGTH)
        if length is not None:
            if int(length) > self._settings.max_answer_bytes and not bodiless:
                return f'the answer has {length} bytes, over the limit'
        elif 'Transfer-Encoding' not in response.headers and not bodiless:
            return 'the answer has neither a length nor chunks'
        return ''

    async def _rest(
        self, response: aiohttp.ClientResponse, seen_bytes: int
    ) -> AsyncIterator[bytes]:
        while True:
            async with asyncio.timeout(self._settings.body_timeout_s):
                chunk = await response.content.readany()
            if not chunk:
                response.release()
                return
            seen_bytes += len(chunk)
            if seen_bytes > self._settings.max_answer_bytes:
                response.close()
                raise aiohttp.ClientPayloadError('answer over the limit')
            yield chunk

    def _session(self, repeatable: bool) -> aiohttp.ClientSession:
        if repeatable not in self._sessions:
            self._sessions[repeatable] = _new_session(repeatable)
        return self._sessions[repeatable]


def _new_session(repeatable: bool) -> aiohttp.ClientSession:
    options: dict[str, Any] = {'keepalive_timeout': KEEPALIVE_S}
    if not repeatable:
        options = {'force_close': True}
    return aiohttp.ClientSession(
        connector=_Connector(limit=0, **options),
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S),
        auto_decompress=False,
        middlewares=(_translate_errors,),
    )


def judged(status: int) -> ports.Exchange:
    """Return what a whole answer's status tells of the upstream."""
    if status == 503:
        return ports.Exchange.SHED
    if status in RETRIED_STATUSES:
        return ports.Exchange.FAILED
    return ports.Exchange.ANSWERED


def without_blame(failure: Failure, *, broken: str) -> Failure:
    """Put a failure down to the sender when its body broke off.

    ``broken`` is the reason of the refusal, or empty.
    """
    if not broken:
        return failure
    return dataclasses.replace(
        failure,
        exchange=ports.Exchange.CANCELLED,
        reason=broken,
        message='the body broke off while it was sent on',
        died=False,
    )


def _destination(
    slot: ports.Slot, target: str
) -> tuple[yarl.URL, list[tuple[str, str]]]:
    extra = list(slot.headers.items())
    if header_rules.TICKET_HEADER in slot.headers:
        extra.append((header_rules.TARGET_HEADER, target))
        return yarl.URL(slot.url, encoded=True), extra
    return yarl.URL(slot.url.rstrip('/') + target, encoded=True), extra


async def _read_head(
    response: aiohttp.ClientResponse, *, bodiless: bool
) -> tuple[bytes, bool]:
    if bodiless:
        return b'', True
    chunks = []
    size = 0
    while size < HEAD_BYTES:
        chunk = await response.content.readany()
        if not chunk:
            return b''.join(chunks), True
        chunks.append(chunk)
        size += len(chunk)
    return b''.join(chunks), response.content.at_eof()


def _relay_headers(response: aiohttp.ClientResponse) -> dict[str, str]:
    return {
        name: value
        for name, value in response.headers.items()
        if name.lower().startswith('skylark-relay-')
    }


def _timed_out(progress: _Progress) -> Failure:
    if not progress.connected:
        return _unsent('no connection in time')
    return Failure(
        exchange=ports.Exchange.TIMED_OUT,
        sent=True,
        reason='upstream_timeout',
        message='the upstream did not answer within the deadline',
    )


def _unsent(message: str) -> Failure:
    return Failure(
        exchange=ports.Exchange.NOT_SENT,
        sent=False,
        reason='no_room',
        message=f'the upstream could not be reached ({message})',
    )


def _broken(progress: _Progress, message: str) -> Failure:
    if not progress.connected:
        return _unsent(message)
    return Failure(
        exchange=ports.Exchange.FAILED,
        sent=True,
        reason='upstream_failed',
        message=f'the upstream broke off ({message})',
        died=True,
    )


def _malformed(progress: _Progress, message: str) -> Failure:
    if not progress.connected:
        return _unsent(message)
    return Failure(
        exchange=ports.Exchange.FAILED,
        sent=True,
        reason='upstream_malformed',
        message=f'the answer of the upstream is unusable ({message})',
    )
