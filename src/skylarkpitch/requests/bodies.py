"""Read callers' bodies within bounds of size, time and memory."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web

from skylarkpitch import sentinels
from skylarkpitch.settings import daemon

__all__ = ['BodyReader', 'CallerBody', 'stream']

MAX_BUFFERED_BYTES = 256 * 1024 * 1024
PREFETCH_BYTES = 64 * 1024


class _FullError(Exception):
    """The process holds as much of its callers' bodies as it may."""


class CallerBody:
    """Body of one request: what was read so far, and the rest of it.

    ``broken`` is the reason of a refusal once the rest could not be read,
    so that its upstream is not held to account.
    """

    def __init__(
        self,
        *,
        head: bytes,
        rest: AsyncIterator[bytes] | None,
        length: int | None = None,
    ) -> None:
        self.head = head
        self.rest = rest
        self.broken = ''
        self._length = length

    @property
    def whole(self) -> bool:
        """Tell whether ``head`` is the whole body."""
        return self.rest is None

    @property
    def size_bytes(self) -> int:
        """Return the announced size, or what was read so far."""
        return max(len(self.head), self._length or 0)

    def content(self) -> bytes | AsyncIterator[bytes]:
        """Return the body as it is sent on."""
        return self.head if self.rest is None else self._sent_on()

    async def _sent_on(self) -> AsyncIterator[bytes]:
        if self.head:
            yield self.head
        try:
            async for chunk in self.rest:
                yield chunk
        except ValueError:
            self.broken = 'body_too_large'
            raise
        except TimeoutError:
            self.broken = 'body_timeout'
            raise
        except (ConnectionError, web.RequestPayloadError):
            self.broken = 'caller_gone'
            raise


class BodyReader:
    """Count the bytes that this process holds of its callers' bodies."""

    def __init__(self, *, settings: daemon.LimitSettings) -> None:
        self._settings = settings
        self.buffered_bytes = 0

    async def read(
        self, request: web.BaseRequest, *, whole: bool
    ) -> CallerBody | sentinels.Absent:
        """Return the body, read to its end when ``whole`` or when short.

        Returns ``Absent`` with ``body_too_large``, ``host_busy`` when the
        process holds too much already, ``body_timeout`` or ``caller_gone``.
        Hand the body to :meth:`free` once it is no longer needed.
        """
        length = request.content_length
        if length is not None and length > self._settings.max_body_bytes:
            return sentinels.Absent('body_too_large')
        if not request.body_exists:
            return CallerBody(head=b'', rest=None)
        limit = self._settings.max_body_bytes if whole else PREFETCH_BYTES
        try:
            async with asyncio.timeout(self._settings.body_timeout_s):
                return await self._fill(request, limit=limit, whole=whole)
        except TimeoutError:
            return sentinels.Absent('body_timeout')
        except (ConnectionError, web.RequestPayloadError):
            return sentinels.Absent('caller_gone')

    def free(self, body: CallerBody) -> None:
        """Stop counting what a body holds."""
        self.buffered_bytes -= len(body.head)

    async def _fill(
        self, request: web.BaseRequest, *, limit: int, whole: bool
    ) -> CallerBody | sentinels.Absent:
        chunks: list[bytes] = []
        size = 0
        try:
            while size <= limit:
                chunk = await request.content.readany()
                if not chunk:
                    break
                chunks.append(chunk)
                size += len(chunk)
                self.buffered_bytes += len(chunk)
                if self.buffered_bytes > MAX_BUFFERED_BYTES:
                    raise _FullError
        except BaseException as error:
            self.buffered_bytes -= size
            if isinstance(error, _FullError):
                return sentinels.Absent('host_busy')
            raise
        return self._body(request, b''.join(chunks), whole=whole, limit=limit)

    def _body(
        self, request: web.BaseRequest, head: bytes, *, whole: bool, limit: int
    ) -> CallerBody | sentinels.Absent:
        if len(head) <= limit:
            return CallerBody(head=head, rest=None)
        if whole:
            self.buffered_bytes -= len(head)
            return sentinels.Absent('body_too_large')
        return CallerBody(
            head=head,
            rest=stream(
                request, settings=self._settings, seen_bytes=len(head)
            ),
        )


async def stream(
    request: web.BaseRequest,
    *,
    settings: daemon.LimitSettings,
    seen_bytes: int = 0,
) -> AsyncIterator[bytes]:
    """Read a body as it arrives, at the pace of its reader.

    Raises ``ValueError`` over the limit of bytes and ``TimeoutError`` when
    nothing arrives for ``body_timeout_s``.
    """
    while True:
        async with asyncio.timeout(settings.body_timeout_s):
            chunk = await request.content.readany()
        if not chunk:
            return
        seen_bytes += len(chunk)
        if seen_bytes > settings.max_body_bytes:
            raise ValueError('the body is over the limit')
        yield chunk
