"""Send one request to one upstream and read its response.

A response is accepted only if it echoes the id of the request, since data on
a reused connection may belong to an earlier request. A request without an id
gets a connection of its own, and one that is sent again goes over another
connection than before.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import time

import aiohttp

from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import refusals
from skylarkpitch.listening import limits
from skylarkpitch.requests import exchange_protocol
from skylarkpitch.requests import exchange_sessions as sessions
from skylarkpitch.requests import headers as header_rules

__all__ = [
    'BROKEN_OFF_ERRORS',
    'Failure',
    'ResponseHead',
    'Sender',
    'UpstreamRequest',
    'UpstreamResponse',
]

KEEPALIVE_S = 8.0
CONNECT_TIMEOUT_S = 0.45
# The rest of a larger response body is streamed, that of a smaller one too
# while memory is short.
MAX_BUFFERED_BYTES = 1024 * 1024
# What is read of a body at a time.
READ_BYTES = 64 * 1024
# What arrives of a longer body meanwhile: the buffer of the connection, twice
# filled, and a part that the event loop reads at once.
ARRIVING_BYTES = 384 * 1024
# What a response raises while its rest is read, if the upstream breaks off.
BROKEN_OFF_ERRORS = (
    aiohttp.ClientPayloadError,
    aiohttp.ServerDisconnectedError,
)
_SKIPPED_AUTO_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequest:
    """Request to an upstream; the target is sent byte for byte.

    ``body`` is a list of blocks, which are sent one after another.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: Sequence[bytes | bytearray]
    request_id: str | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Exchange without a usable response.

    ``sent`` is False only when no byte of the request can have left.
    """

    sent: bool
    reason: refusals.Reason
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status of a response, and ``values`` to look up its headers."""

    status: int
    values: Callable[[str], Sequence[str]]


def _ignore_head(head: ResponseHead) -> None:
    """Do nothing with the head of a response."""


class UpstreamResponse:
    """Response of an upstream.

    ``body`` is the whole body if ``rest`` is None, otherwise its first part;
    ``rest`` then yields the remaining chunks. ``local_port`` is that of the
    connection. ``held_bytes`` of ``pool`` are given back when the response is
    released.
    """

    def __init__(
        self,
        *,
        response: aiohttp.ClientResponse,
        headers: header_rules.HeaderPairs,
        body: bytes,
        rest: AsyncIterator[bytes] | None,
        local_port: int,
        pool: limits.MemoryPool,
        held_bytes: int,
    ) -> None:
        self.local_port = local_port
        self._pool = pool
        self._held_bytes = held_bytes
        self.status = response.status
        self.headers = headers
        self.body = body
        self.rest = rest
        self._response = response

    def header(self, name: str) -> str | None:
        """Return the value of a header, or None."""
        return self._response.headers.get(name)

    def close(self) -> None:
        """Close the connection unless the response was read to its end."""
        self._response.close()
        self.release()

    def release(self) -> None:
        """Count the body no longer as held."""
        self._pool.add(-self._held_bytes)
        self._held_bytes = 0


class Sender:
    """HTTP client for upstreams, which reuses connections.

    They are not reused for requests without an id.
    """

    def __init__(
        self, *, names: header_names.HeaderNames, pool: limits.MemoryPool
    ) -> None:
        self._names = names
        self._pool = pool
        self._session: aiohttp.ClientSession | None = None
        self._single_use_session: aiohttp.ClientSession | None = None

    def open(self) -> None:
        """Create the sessions; needs a running event loop."""
        self._session = sessions.new_session(
            repeatable=True,
            keepalive_s=KEEPALIVE_S,
            connect_s=CONNECT_TIMEOUT_S,
        )
        self._single_use_session = sessions.new_session(
            repeatable=False, connect_s=CONNECT_TIMEOUT_S
        )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._session, self._single_use_session):
            if session is not None:
                await session.close()

    async def send(
        self,
        request: UpstreamRequest,
        *,
        address: str,
        deadline_s: float,
        on_head: Callable[[ResponseHead], None] = _ignore_head,
        has_caller_left: Callable[[], bool] = lambda: False,
    ) -> UpstreamResponse | Failure:
        """Send a request and return its response or a failure.

        ``on_head`` is called with the head of the response to this request,
        before its body is read, and also if the response is not usable.
        Raises ``CancelledError`` instead of sending if ``has_caller_left``.
        The connection is closed on a time-out, on cancellation and after a
        response that is incomplete or belongs to another request.
        """
        progress = sessions.Progress(
            request_id=request.request_id, has_caller_left=has_caller_left
        )
        sessions.progress.set(progress)
        left_s = deadline_s - time.monotonic()
        try:
            async with asyncio.timeout(left_s):
                return await self._exchange(request, address, on_head)
        except (TimeoutError, aiohttp.ServerTimeoutError) as error:
            if not progress.connected:
                return _unsent(f'no connection in time ({error})')
            return Failure(
                sent=True,
                reason=refusals.Reason.TOO_LATE,
                detail='no answer before the deadline',
            )
        except sessions.UnsentError as error:
            return _unsent(str(error))
        except exchange_protocol.MalformedResponseError as error:
            return _malformed(str(error), sent=progress.connected)
        except (sessions.BrokenError, aiohttp.ClientPayloadError) as error:
            return _broken_off(str(error), sent=progress.connected)
        except (aiohttp.ClientError, ValueError) as error:
            return _malformed(str(error), sent=progress.connected)

    async def is_listening(self, address: str) -> bool:
        """Return whether an upstream accepts a connection at its address."""
        host, _colon, port = address.rpartition(':')
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def _exchange(
        self,
        request: UpstreamRequest,
        address: str,
        on_head: Callable[[ResponseHead], None],
    ) -> UpstreamResponse | Failure:
        url = sessions.url_of(f'http://{address}', request.target)
        session = self._session
        if request.request_id is None:
            session = self._single_use_session
        response = await session.request(
            request.method,
            url,
            headers=[*request.headers, *_length_header(request.body)],
            data=_data(request.body),
            allow_redirects=False,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        )
        try:
            if self._belongs_to(response, request):
                on_head(_head(response))
            return await self._read(response, request)
        except BaseException:
            response.close()
            raise

    async def _read(
        self, response: aiohttp.ClientResponse, request: UpstreamRequest
    ) -> UpstreamResponse | Failure:
        problem = self._check_response(response, request)
        if problem:
            response.close()
            return Failure(
                sent=True,
                reason=refusals.Reason.MALFORMED_RESPONSE,
                detail=problem,
            )
        body, held_bytes = await self._read_body(response)
        is_complete = response.content.at_eof()
        if is_complete:
            response.release()
        return UpstreamResponse(
            response=response,
            headers=header_rules.end_to_end(response.headers),
            body=body,
            rest=None if is_complete else _rest(response),
            local_port=sessions.progress.get().local_port,
            pool=self._pool,
            held_bytes=held_bytes,
        )

    async def _read_body(
        self, response: aiohttp.ClientResponse
    ) -> tuple[bytearray, int]:
        """Read a body, or a part of it; return it and what it holds.

        Not much of it is read while memory is short.
        """
        body = bytearray()
        held_bytes = 0
        try:
            while len(body) < MAX_BUFFERED_BYTES:
                chunk = await response.content.read(READ_BYTES)
                body += chunk
                held_before, held_bytes = held_bytes, len(body)
                if chunk and len(body) >= READ_BYTES:
                    held_bytes += ARRIVING_BYTES
                self._pool.add(held_bytes - held_before)
                if not chunk or not self._pool.fits(READ_BYTES):
                    break
        except BaseException:
            self._pool.add(-held_bytes)
            raise
        return body, held_bytes

    def _belongs_to(
        self, response: aiohttp.ClientResponse, request: UpstreamRequest
    ) -> bool:
        echoed = response.headers.get(self._names.request_id)
        return request.request_id in (None, echoed)

    def _check_response(
        self, response: aiohttp.ClientResponse, request: UpstreamRequest
    ) -> str:
        """Return why a response cannot be used, or an empty string."""
        problem = header_rules.check_framing(response.headers)
        if problem is not None:
            return problem.detail
        if not self._belongs_to(response, request):
            return 'the answer belongs to another request'
        if response.status < 300 and self._names.seal not in response.headers:
            return 'the answer bears no seal'
        return ''


def _length_header(
    body: Sequence[bytes | bytearray],
) -> list[tuple[str, str]]:
    """Return the header that frames a body by its length."""
    if not body:
        return []
    return [(header_rules.CONTENT_LENGTH, str(sum(map(len, body))))]


def _data(
    body: Sequence[bytes | bytearray],
) -> bytes | bytearray | AsyncIterator[bytes | bytearray] | None:
    """Return a body as the client sends it, without a copy of the whole."""
    if len(body) > 1:
        return _blocks(body)
    return body[0] if body else None


async def _blocks(
    body: Sequence[bytes | bytearray],
) -> AsyncIterator[bytes | bytearray]:
    """Yield the parts of a body."""
    for block in body:
        yield block


def _head(response: aiohttp.ClientResponse) -> ResponseHead:
    return ResponseHead(
        status=response.status,
        values=lambda name: response.headers.getall(name, ()),
    )


async def _rest(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    while chunk := await response.content.read(READ_BYTES):
        yield chunk
    response.release()


def _unsent(detail: str) -> Failure:
    return Failure(
        sent=False, reason=refusals.Reason.NOT_REACHED, detail=detail
    )


def _broken_off(detail: str, *, sent: bool) -> Failure:
    if not sent:
        return _unsent(detail)
    return Failure(
        sent=True, reason=refusals.Reason.UPSTREAM_BROKE_OFF, detail=detail
    )


def _malformed(detail: str, *, sent: bool) -> Failure:
    if not sent:
        return _unsent(detail)
    return Failure(
        sent=True, reason=refusals.Reason.MALFORMED_RESPONSE, detail=detail
    )
