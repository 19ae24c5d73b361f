"""Run one server and its clients in a process of their own.

With ``flood`` the server answers each request with an endless body of chunks
of one byte, until the other side closes; with ``sound`` it answers it well.
The clients send two requests a second and read whatever comes, until their
deadline. A process of their own keeps the load off those who measure.
"""

import contextlib
import itertools
import socket
import sys
import threading
import time

__all__ = ['main']

CHUNKS = b'1\r\nx\r\n' * 5000
READ_BYTES = 1024 * 1024


def read_head(connection: socket.socket) -> bytes:
    """Return the bytes up to the end of a head and its short body."""
    data = b''
    while b'\r\n\r\n' not in data:
        more = connection.recv(READ_BYTES)
        if not more:
            raise EOFError
        data += more
    return data


def attempt_of(head: bytes) -> bytes:
    """Return the value of ``Attempt-Id``."""
    for line in head.split(b'\r\n'):
        name, _colon, value = line.partition(b':')
        if name.lower() == b'attempt-id':
            return value.strip()
    return b''


def answer(connection: socket.socket, with_flood: bool) -> None:
    """Answer the requests on one connection."""
    with contextlib.suppress(OSError, EOFError), connection:
        while True:
            attempt = attempt_of(read_head(connection))
            head = (
                b'HTTP/1.1 200 OK\r\nAttempt-Id: ' + attempt + b'\r\n'
                b'Reply-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n'
            )
            connection.sendall(head)
            while with_flood:
                connection.sendall(CHUNKS)
            connection.sendall(b'4\r\nwell\r\n0\r\n\r\n')


def serve(listening: socket.socket, with_flood: bool) -> None:
    """Accept connections without an end."""
    while True:
        connection, _address = listening.accept()
        threading.Thread(
            target=answer, args=(connection, with_flood), daemon=True
        ).start()


def ask(address: tuple[str, int], request: bytes, deadline_s: float) -> None:
    """Send one request and read what comes until the deadline."""
    ends_s = time.monotonic() + deadline_s
    with (
        contextlib.suppress(OSError),
        socket.create_connection(address, timeout=deadline_s) as connection,
    ):
        connection.sendall(request)
        while (left_s := ends_s - time.monotonic()) > 0:
            connection.settimeout(left_s)
            if not connection.recv(READ_BYTES):
                return


def main(arguments: list[str]) -> None:
    """Serve at once, and send requests once a line of input has come."""
    mode, server_ip, front, host, target, deadline_ms = arguments
    listening = socket.create_server((server_ip, 0))
    threading.Thread(
        target=serve, args=(listening, mode == 'flood'), daemon=True
    ).start()
    print(f'{server_ip}:{listening.getsockname()[1]}', flush=True)
    if not sys.stdin.readline():
        return
    ip, _colon, port = front.rpartition(':')
    for number in itertools.count(1):
        request = (
            f'POST {target} HTTP/1.1\r\nHost: {host}\r\n'
            f'Attempt-Id: f{number:015x}\r\nDeadline-Ms: {deadline_ms}\r\n'
            'Content-Length: 0\r\n\r\n'
        ).encode()
        threading.Thread(
            target=ask,
            args=((ip, int(port)), request, int(deadline_ms) / 1000),
            daemon=True,
        ).start()
        time.sleep(0.5)


if __name__ == '__main__':
    main(sys.argv[1:])
