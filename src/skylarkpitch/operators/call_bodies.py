"""Read the bodies of calls to a control host, within limits."""

from aiohttp import web

__all__ = ['MAX_CONFIGURATION_BYTES', 'MAX_REPORT_BYTES', 'read']

# A configuration is stored with its document, in a command of at most twice
# this size.
MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
MAX_REPORT_BYTES = 64 * 1024


async def read(request: web.BaseRequest, *, max_bytes: int) -> bytes | None:
    """Return the body of a call, None if it has over ``max_bytes``.

    The limit of the library does not apply: it is the same for all calls,
    and lower than a large configuration.
    """
    if (request.content_length or 0) > max_bytes:
        return None
    chunks = []
    size_bytes = 0
    while chunk := await request.content.readany():
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            return None
        chunks.append(chunk)
    return b''.join(chunks)
