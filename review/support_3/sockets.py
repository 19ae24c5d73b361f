"""What the machine shows of a connection, from the process's end."""

import pathlib
import socket

__all__ = ['unread_bytes']

TABLE = pathlib.Path('/proc/net/tcp')


def _row_address(address: tuple[str, int]) -> str:
    packed = socket.inet_aton(address[0])[::-1].hex().upper()
    return f'{packed}:{address[1]:04X}'


def unread_bytes(
    server: tuple[str, int], client: tuple[str, int]
) -> int | None:
    """Return how much a process has not read of what a client sent.

    Returns None once its end of the connection is closed.
    """
    ends = (_row_address(server), _row_address(client))
    for row in TABLE.read_text().splitlines()[1:]:
        fields = row.split()
        if (fields[1], fields[2]) == ends:
            return int(fields[4].partition(':')[2], 16)
    return None
