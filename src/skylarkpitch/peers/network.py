"""Exchange typed messages between hosts over ZeroMQ.

Each host binds one ROUTER socket and connects one DEALER socket to every
peer that it sends messages to. CURVE authenticates both ends; a public key
that is not in the directory is refused. Messages to a peer that is not
connected are dropped instead of queued, so that no peer acts on a message
sent before a long partition.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import secrets
from typing import Any
from typing import Protocol

import mode
import structlog
import zmq
import zmq.asyncio
import zmq.auth.asyncio

from skylarkpitch import errors
from skylarkpitch.messages import codec
from skylarkpitch.peers import directory as directories
from skylarkpitch.peers import traffic
from skylarkpitch import sentinels

__all__ = ['Handler', 'PeerNetwork', 'Peers']

HEARTBEAT_INTERVAL_MS = 500
HEARTBEAT_TIMEOUT_MS = 1500
CONNECT_TIMEOUT_MS = 1000
HANDSHAKE_TIMEOUT_MS = 2000
SEND_QUEUE_MESSAGES = 2000
MAX_CONCURRENT_HANDLERS = 2000
ID_PREFIX_BYTES = 8
# Domain of the ZeroMQ authentication protocol (ZAP).
ZAP_DOMAIN = 'peers'
MAX_FRAME_BYTES = codec.MAX_BODY_BYTES

Handler = Callable[[str, Any], Awaitable[object | None]]

_log = structlog.get_logger(__name__)


class Peers(Protocol):
    """Interface of the peer transport."""

    @property
    def directory(self) -> directories.Directory:
        """Return the directory of the known hosts."""

    def handle(self, message_type: type, handler: Handler) -> None:
        """Call ``handler(sender, message)`` for each message of a type.

        ``sender`` is the name of the sending host, empty if it is unknown.
        The return value is the response; None refuses the request.
        """

    def connect(self, host: str) -> None:
        """Connect to a host in advance, unless it is connected."""

    def send(self, host: str, message: object) -> bool:
        """Send without a response; return whether the message was queued."""

    async def request(
        self, host: str, message: object, *, timeout_s: float
    ) -> Any | sentinels.Absent:
        """Send and return the response, or an ``Absent`` with the reason.

        After the reason ``peer_timeout`` the peer may have acted on the
        message.
        """


class _Connection:
    """Manage one DEALER socket and the requests pending on it."""

    def __init__(
        self, *, socket: zmq.asyncio.Socket, counts: traffic.Traffic
    ) -> None:
        self._socket = socket
        self._counts = counts
        self._pending: dict[bytes, asyncio.Future[Any]] = {}
        # A peer may still respond to requests of an earlier process of this
        # host, which had the same routing id.
        self._id_prefix = secrets.token_bytes(ID_PREFIX_BYTES)
        self._request_numbers = itertools.count(1)
        self._reader = asyncio.create_task(self._read())

    def send(self, message: object, *, request_id: bytes = b'') -> bool:
        # Not a send on the underlying synchronous socket: ZeroMQ signals
        # readiness by edges, so that such a send would consume the one that
        # wakes the reader task.
        kind, body = codec.encode(message)
        sent = self._socket.send_multipart(
            [request_id, kind, body], flags=zmq.NOBLOCK
        )
        if not sent.done() or sent.exception() is not None:
            return False
        self._counts.record_sent(kind.decode(), size_bytes=len(body))
        return True

    async def request(
        self, message: object, *, timeout_s: float
    ) -> Any | sentinels.Absent:
        number = next(self._request_numbers).to_bytes(8, 'big')
        request_id = self._id_prefix + number
        future = asyncio.get_running_loop().create_future()
        self._pending[request_id] = future
        try:
            if not self.send(message, request_id=request_id):
                return sentinels.Absent('peer_not_connected')
            async with asyncio.timeout(timeout_s):
                return await future
        except TimeoutError:
            return sentinels.Absent('peer_timeout')
        finally:
            del self._pending[request_id]

    async def close(self) -> None:
        self._reader.cancel()
        await asyncio.gather(self._reader, return_exceptions=True)
        self._socket.close(linger=0)

    async def _read(self) -> None:
        while True:
            frames = await self._socket.recv_multipart()
            if len(frames) == 3:
                self._complete(*frames)

    def _complete(self, request_id: bytes, kind: bytes, body: bytes) -> None:
        future = self._pending.get(request_id)
        if future is None or future.done():
            return
        if not kind:
            future.set_result(sentinels.Absent('peer_refused'))
            return
        try:
            future.set_result(codec.decode(kind, body))
        except errors.MessageError as error:
            _log.warning('message_malformed', error=str(error))
            future.set_result(sentinels.Absent('message_malformed'))


class PeerNetwork(mode.Service):
    """Exchange messages between this host and its peers over ZeroMQ.

    ``secret_key`` is the CURVE key of this host, in Z85. ``on_malformed`` is
    called for each message that cannot be decoded or has no handler.
    """

    def __init__(
        self,
        *,
        directory: directories.Directory,
        secret_key: str,
        on_malformed: Callable[[], None] = lambda: None,
        **options: Any,
    ) -> None:
        self.directory = directory
        self._secret_key = secret_key
        self._on_malformed = on_malformed
        self._handlers: dict[type, Handler] = {}
        self._connections: dict[str, _Connection] = {}
        self._handler_tasks: set[asyncio.Task[None]] = set()
        self._traffic = traffic.Traffic()
        super().__init__(**options)

    def handle(self, message_type: type, handler: Handler) -> None:
        """Call ``handler(sender, message)`` for each message of a type.

        ``sender`` is the name of the sending host, empty if it is unknown.
        The return value of the handler is the response to :meth:`request`;
        None refuses the request.
        """
        self._handlers[message_type] = handler

    def connect(self, host: str) -> None:
        """Start to connect to a host, without waiting.

        Messages sent before the connection is established are dropped.
        Between regions the handshake takes several round trips.
        """
        self._connection(host)

    def send(self, host: str, message: object) -> bool:
        """Send without a response; return False if the peer is unreachable."""
        connection = self._connection(host)
        return connection is not None and connection.send(message)

    async def request(
        self, host: str, message: object, *, timeout_s: float
    ) -> Any | sentinels.Absent:
        """Send and return the response.

        Returns an ``Absent`` with reason ``peer_unknown``,
        ``peer_not_connected``, ``peer_timeout``, ``peer_refused`` or
        ``message_malformed``. After ``peer_timeout`` the peer may have
        acted on the message.
        """
        connection = self._connection(host)
        if connection is None:
            return sentinels.Absent('peer_unknown', host)
        return await connection.request(message, timeout_s=timeout_s)

    async def on_start(self) -> None:
        """Bind the ROUTER socket and connect to the hosts of the directory.

        Raises ``SettingsError`` if the address cannot be bound.
        """
        self._context = zmq.asyncio.Context()
        self._authenticator = zmq.auth.asyncio.AsyncioAuthenticator(
            self._context
        )
        self._authenticator.start()
        self._authenticator.configure_curve_callback(
            domain=ZAP_DOMAIN, credentials_provider=self
        )
        self._router = self._socket(zmq.ROUTER)
        self._router.curve_server = True
        self._router.zap_domain = ZAP_DOMAIN.encode()
        # The new connection of a restarted host replaces its earlier one,
        # which uses the same routing id.
        self._router.router_handover = self.directory.shares_key
        address = self.directory.local_host.peers_address
        try:
            self._router.bind(f'tcp://{address}')
        except zmq.ZMQError as error:
            raise errors.SettingsError(
                f'peers_address {address} cannot be bound ({error}); use a '
                'free address of this host'
            ) from error
        for host in self.directory.all():
            self._connection(host.name)

    async def on_stop(self) -> None:
        """Close all sockets; messages still queued are dropped."""
        for task in self._handler_tasks:
            task.cancel()
        for connection in self._connections.values():
            await connection.close()
        self._router.close(linger=0)
        self._authenticator.stop()
        self._context.destroy(linger=0)

    def counters(self) -> dict[str, float]:
        """Return the messages and bytes sent, by kind, and the drops."""
        return self._traffic.counters()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a public key in Z85 belongs to a known peer.

        The authenticator of ZeroMQ calls this method by its name.
        """
        return self.directory.name_of_key(key.decode()) is not None

    @mode.Service.task
    async def _serve(self) -> None:
        while not self.should_stop:
            frames = await self._router.recv_multipart(copy=False)
            if len(self._handler_tasks) >= MAX_CONCURRENT_HANDLERS:
                # A request for a response times out.
                self._traffic.dropped += 1
                _log.warning(
                    'message_dropped',
                    running=len(self._handler_tasks),
                    dropped=self._traffic.dropped,
                )
                continue
            task = asyncio.create_task(self._handle_frames(frames))
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)

    async def _handle_frames(self, frames: list[zmq.Frame]) -> None:
        if len(frames) != 4:
            self._report_malformed('message does not have four frames')
            return
        routing_id, request_id, kind, body = (frame.bytes for frame in frames)
        sender = self.directory.name_of_sender(
            public_key=frames[3].get('User-Id'), routing_id=routing_id
        )
        try:
            message = codec.decode(kind, body)
            handler = self._handlers[type(message)]
        except errors.MessageError as error:
            self._report_malformed(str(error))
            return
        except KeyError:
            self._report_malformed(
                f'kind {kind!r} has no handler in this role'
            )
            return
        response = await self._call_handler(handler, sender, message)
        if request_id:
            await self._send_response(routing_id, request_id, response)

    async def _call_handler(
        self, handler: Handler, sender: str | None, message: object
    ) -> object | None:
        try:
            return await handler(sender or '', message)
        except errors.SkylarkError as error:
            _log.warning(
                'message_refused',
                sender=sender,
                kind=codec.kind_of(message),
                reason=error.reason,
                error=str(error),
            )
        except Exception:
            _log.exception(
                'message_failed', sender=sender, kind=codec.kind_of(message)
            )
        return None

    async def _send_response(
        self, routing_id: bytes, request_id: bytes, response: object | None
    ) -> None:
        kind, body = b'', b''
        if response is not None:
            kind, body = codec.encode(response)
        try:
            await self._router.send_multipart(
                [routing_id, request_id, kind, body], zmq.NOBLOCK
            )
        except zmq.ZMQError as error:
            _log.info('answer_dropped', error=str(error))
            return
        self._traffic.record_sent(kind.decode(), size_bytes=len(body))

    def _report_malformed(self, error: str) -> None:
        self._on_malformed()
        _log.warning('message_malformed', error=error)

    def _socket(self, kind: int) -> zmq.asyncio.Socket:
        socket = self._context.socket(kind)
        socket.curve_secretkey = self._secret_key.encode()
        socket.curve_publickey = self.directory.local_host.public_key.encode()
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        # Detect an unreachable peer within seconds instead of after the TCP
        # timeouts of the kernel.
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        socket.setsockopt(zmq.HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS)
        socket.setsockopt(zmq.TCP_MAXRT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, 100)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, 500)
        return socket

    def _connection(self, name: str) -> _Connection | None:
        if name in self._connections:
            return self._connections[name]
        host = self.directory.get(name)
        if host is None:
            return None
        socket = self._socket(zmq.DEALER)
        if self.directory.shares_key:
            socket.routing_id = self.directory.local_host.name.encode()
        socket.curve_serverkey = host.public_key.encode()
        socket.connect(f'tcp://{host.peers_address}')
        self._connections[name] = _Connection(
            socket=socket, counts=self._traffic
        )
        return self._connections[name]
