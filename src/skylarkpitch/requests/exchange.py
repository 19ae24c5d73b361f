"""HTTP exchanges with an upstream or with the relay of another host.

An exchange returns an ``UpstreamResponse`` or a ``Failure``. A response has
the start of its body; the rest is read by iteration. A failure states whether
a byte of the request may have been sent. A response without a length or
chunked coding is rejected, since its end could not be distinguished from a
broken connection.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses

import aiohttp
import yarl

from skylarkpitch import ports
from skylarkpitch.requests import exchange_protocol
from skylarkpitch.requests import exchange_results as results
from skylarkpitch.requests import exchange_sessions as sessions
from skylarkpitch.requests import headers as header_rules
from skylarkpitch.settings import daemon

__all__ = ['UpstreamClient', 'UpstreamRequest']

PREFETCH_BYTES = 64 * 1024
_BODILESS_STATUSES = (204, 304)
_SKIPPED_AUTO_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamRequest:
    """Request to an upstream.

    ``body`` is the whole body, or an iterator over a body that is streamed.
    A ``repeatable`` request may run more than once.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | AsyncIterator[bytes]
    repeatable: bool


class UpstreamClient:
    """HTTP client for upstreams and relays.

    Each request that may run only once gets a new connection, since the
    upstream may be closing a reused one.
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
        self,
        slot: ports.Slot,
        request: UpstreamRequest,
        *,
        deadline_s: float,
        has_caller_left: Callable[[], bool] = lambda: False,
    ) -> results.UpstreamResponse | results.Failure:
        """Send a request and return its response, or a failure.

        The connection is closed on a timeout, on cancellation and after a
        response with invalid framing. Raises ``CancelledError`` instead of
        sending if ``has_caller_left``.
        """
        progress = sessions.Progress(has_caller_left=has_caller_left)
        sessions.progress.set(progress)
        try:
            async with asyncio.timeout(deadline_s - self._clock()):
                response = await self._send(slot, request)
                try:
                    return await self._receive(response, request.method)
                except BaseException:
                    response.close()
                    raise
        except (TimeoutError, aiohttp.ServerTimeoutError):
            return results.timed_out(connected=progress.connected)
        except sessions.UnsentError as error:
            return results.unsent(str(error))
        except exchange_protocol.MalformedResponseError as error:
            return results.malformed(str(error), connected=progress.connected)
        except (sessions.BrokenError, aiohttp.ClientPayloadError) as error:
            return results.broken(str(error), connected=progress.connected)
        except (aiohttp.ClientError, ValueError) as error:
            return results.malformed(str(error), connected=progress.connected)

    async def _send(
        self, slot: ports.Slot, request: UpstreamRequest
    ) -> aiohttp.ClientResponse:
        url, extra = _destination(slot, request.target)
        return await self._session(request.repeatable).request(
            request.method,
            url,
            headers=[*request.headers, *extra],
            data=request.body if request.body != b'' else None,
            allow_redirects=False,
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        )

    async def _receive(
        self, response: aiohttp.ClientResponse, method: str
    ) -> results.UpstreamResponse | results.Failure:
        bodiless = method == 'HEAD' or response.status in _BODILESS_STATUSES
        problem = self._framing_problem(response, bodiless=bodiless)
        if problem:
            response.close()
            return results.malformed(problem, connected=True)
        prefix, is_complete = await _read_prefix(response, bodiless=bodiless)
        if is_complete:
            response.release()
        return results.UpstreamResponse(
            status=response.status,
            headers=header_rules.end_to_end(response.headers),
            prefix=prefix,
            rest=None
            if is_complete
            else self._read_rest(response, len(prefix)),
            response=response,
            relay_headers=_relay_headers(response),
        )

    def _framing_problem(
        self, response: aiohttp.ClientResponse, *, bodiless: bool
    ) -> str:
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

    async def _read_rest(
        self, response: aiohttp.ClientResponse, received_bytes: int
    ) -> AsyncIterator[bytes]:
        while True:
            async with asyncio.timeout(self._settings.body_timeout_s):
                chunk = await response.content.readany()
            if not chunk:
                response.release()
                return
            received_bytes += len(chunk)
            if received_bytes > self._settings.max_answer_bytes:
                response.close()
                raise aiohttp.ClientPayloadError('answer over the limit')
            yield chunk

    def _session(self, repeatable: bool) -> aiohttp.ClientSession:
        if repeatable not in self._sessions:
            self._sessions[repeatable] = sessions.new_session(
                repeatable=repeatable
            )
        return self._sessions[repeatable]


def _destination(
    slot: ports.Slot, target: str
) -> tuple[yarl.URL, list[tuple[str, str]]]:
    extra = list(slot.headers.items())
    if header_rules.TICKET_HEADER in slot.headers:
        extra.append((header_rules.TARGET_HEADER, target))
        return yarl.URL(slot.url, encoded=True), extra
    return sessions.url_of(slot.url, target), extra


async def _read_prefix(
    response: aiohttp.ClientResponse, *, bodiless: bool
) -> tuple[bytes, bool]:
    if bodiless:
        return b'', True
    chunks = []
    size = 0
    while size < PREFETCH_BYTES:
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
