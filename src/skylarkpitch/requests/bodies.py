"""Reading of request bodies with limits of size, time and memory."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web

from skylarkpitch.listening import limits
from skylarkpitch import sentinels
from skylarkpitch.settings import daemon

__all__ = ['BodyReader', 'CallerBody', 'stream']

PREFETCH_BYTES = 64 * 1024


class _BufferLimitError(Exception):
    """The process holds as much as it may for its clients."""


class CallerBody:
    """Body of one request.

    ``prefix`` is the part that was read; ``rest`` iterates over the
    remainder and is None if there is none. ``length`` is the announced
    length in bytes. ``refusal_reason`` is set if the rest could not be read,
    so that the failure is not attributed to the upstream.
    """

    def __init__(
        self,
        *,
        prefix: bytes,
        rest: AsyncIterator[bytes] | None,
        length: int | None = None,
    ) -> None:
        self.prefix = prefix
        self.rest = rest
        self.refusal_reason = ''
        self._length = length

    @property
    def is_complete(self) -> bool:
        """Return whether ``prefix`` is the whole body."""
        return self.rest is None

    @property
    def size_bytes(self) -> int:
        """Return the announced length, or the number of bytes read."""
        return max(len(self.prefix), self._length or 0)

    def content(self) -> bytes | AsyncIterator[bytes]:
        """Return the body to send to the upstream."""
        return self.prefix if self.rest is None else self._iterate()

    async def _iterate(self) -> AsyncIterator[bytes]:
        if self.prefix:
            yield self.prefix
        try:
            async for chunk in self.rest:
                yield chunk
        except ValueError:
            self.refusal_reason = 'body_too_large'
            raise
        except TimeoutError:
            self.refusal_reason = 'body_timeout'
            raise
        except (ConnectionError, web.RequestPayloadError):
            self.refusal_reason = 'caller_gone'
            raise


class BodyReader:
    """Reader of request bodies, which are held in the pool of the process."""

    def __init__(
        self, *, settings: daemon.LimitSettings, pool: limits.MemoryPool
    ) -> None:
        self._settings = settings
        self._pool = pool
        self.buffered_bytes = 0

    async def read(
        self, request: web.BaseRequest, *, whole: bool
    ) -> CallerBody | sentinels.Absent:
        """Return the body of a request.

        Reads the body to its end if ``whole``, else its first
        ``PREFETCH_BYTES``. Returns ``Absent`` with reason
        ``body_too_large``, ``host_busy`` if the process has no memory for
        it, ``body_timeout`` or ``caller_gone``. Pass the body to
        :meth:`release` once it is no longer needed.
        """
        length = request.content_length
        if length is not None and length > self._settings.max_body_bytes:
            return sentinels.Absent('body_too_large')
        if not request.body_exists:
            return CallerBody(prefix=b'', rest=None)
        limit = self._settings.max_body_bytes if whole else PREFETCH_BYTES
        try:
            async with asyncio.timeout(self._settings.body_timeout_s):
                return await self._read_chunks(
                    request, limit=limit, whole=whole
                )
        except TimeoutError:
            return sentinels.Absent('body_timeout')
        except (ConnectionError, web.RequestPayloadError):
            return sentinels.Absent('caller_gone')

    def release(self, body: CallerBody) -> None:
        """Subtract a body from the buffered bytes."""
        self._hold(-len(body.prefix))

    def _hold(self, more_bytes: int) -> None:
        self.buffered_bytes += more_bytes
        self._pool.add(more_bytes)

    async def _read_chunks(
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
                self._hold(len(chunk))
                if self._pool.is_short:
                    raise _BufferLimitError
        except BaseException as error:
            self._hold(-size)
            if isinstance(error, _BufferLimitError):
                return sentinels.Absent('host_busy')
            raise
        return self._caller_body(
            request, b''.join(chunks), whole=whole, limit=limit
        )

    def _caller_body(
        self,
        request: web.BaseRequest,
        prefix: bytes,
        *,
        whole: bool,
        limit: int,
    ) -> CallerBody | sentinels.Absent:
        if len(prefix) <= limit:
            return CallerBody(prefix=prefix, rest=None)
        if whole:
            self._hold(-len(prefix))
            return sentinels.Absent('body_too_large')
        return CallerBody(
            prefix=prefix,
            rest=stream(
                request, settings=self._settings, received_bytes=len(prefix)
            ),
        )


async def stream(
    request: web.BaseRequest,
    *,
    settings: daemon.LimitSettings,
    received_bytes: int = 0,
) -> AsyncIterator[bytes]:
    """Yield the chunks of a body as they arrive.

    Reads no faster than the consumer iterates. ``received_bytes`` were read
    before. Raises ``ValueError`` if the body is larger than
    ``max_body_bytes`` and ``TimeoutError`` if nothing arrives for
    ``body_timeout_s``.
    """
    while True:
        async with asyncio.timeout(settings.body_timeout_s):
            chunk = await request.content.readany()
        if not chunk:
            return
        received_bytes += len(chunk)
        if received_bytes > settings.max_body_bytes:
            raise ValueError('the body is over the limit')
        yield chunk
