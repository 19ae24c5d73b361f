"""Client sessions towards upstreams and relays.

The HTTP library would send some requests again by itself and would hand out
connections with bytes left over from an earlier exchange; both are kept from
happening here.
"""

from collections.abc import Callable
import contextvars
import dataclasses
from typing import Any

import aiohttp

__all__ = ['BrokenError', 'Progress', 'UnsentError', 'new_session', 'progress']

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 15.0


@dataclasses.dataclass(slots=True)
class Progress:
    """Whether a byte of the request of this task may have left."""

    connected: bool = False


progress: contextvars.ContextVar[Progress] = contextvars.ContextVar(
    'skylarkpitch_exchange_progress'
)


class UnsentError(Exception):
    """The connection could not be made."""


class BrokenError(Exception):
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
        progress.get().connected = True
        return connection


async def _translate_errors(
    request: aiohttp.ClientRequest, handler: Callable[..., Any]
) -> aiohttp.ClientResponse:
    """Keep the client from sending a request again by itself."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError as error:
        raise UnsentError(str(error)) from error
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise BrokenError(str(error)) from error


def new_session(*, repeatable: bool) -> aiohttp.ClientSession:
    """Return a session that reuses connections only if ``repeatable``."""
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
