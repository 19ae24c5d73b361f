"""Whether a caller is still there, as its connection shows.

The event loop tells of a caller's close only once it has read it. A host that
has stood still finds request and close together and reads the request first,
so the socket itself is asked before a request is sent to an upstream.
"""

import select

from aiohttp import web

__all__ = ['has_left']

_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def has_left(request: web.BaseRequest) -> bool:
    """Return whether the caller of a request has closed its connection.

    Bytes that have not been read yet, such as a further request, do not hide
    the close.
    """
    transport = request.transport
    if transport is None or transport.is_closing():
        return True
    connection = transport.get_extra_info('socket')
    if connection is None:
        return False
    poller = select.poll()
    poller.register(connection.fileno(), _CLOSED)
    return bool(poller.poll(0))
