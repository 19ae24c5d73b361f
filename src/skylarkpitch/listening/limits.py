"""Limits of the connections of clients to one process."""

import contextlib
import dataclasses
import resource

__all__ = [
    'BASE_MEMORY_BYTES',
    'ConnectionLimits',
    'DEFAULT_MEMORY_BYTES',
    'MAX_CHECKS',
    'MemoryPool',
    'Resources',
    'resources_of',
]

DEFAULT_MEMORY_BYTES = 300 * 1024 * 1024
# A process takes this much memory before it holds anything for a client, with
# a margin.
BASE_MEMORY_BYTES = 90 * 1024 * 1024
# Descriptors for files, and at most this part of all of them.
FILE_DESCRIPTORS = 200
FILES_SHARE = 0.5
# Part of the other descriptors for connections of clients; the rest is for
# upstreams and other hosts.
CONNECTIONS_SHARE = 0.7
MAX_CONNECTIONS = 20_000
# Connections to a port that only tells how the process is doing.
MAX_CHECKS = 16


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """What a client may send on a connection, and how long it may take.

    The header fields of a request, and its request line, have
    ``header_bytes`` each. A head may take ``header_timeout_s`` from its first
    byte. A connection without a request is closed after ``idle_timeout_s``.
    A client that lets an answer wait must take a part of it, the size of the
    send buffer, within ``delivery_timeout_s``.
    """

    header_bytes: int = 16384
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    delivery_timeout_s: float = 30.0


class MemoryPool:
    """Bytes that a process may hold for clients, of all ports together.

    ``memory_bytes`` is what the process may use. What is held may exceed
    ``max_bytes`` for a moment: who adds to it gives something back then.
    """

    def __init__(self, *, memory_bytes: int) -> None:
        self.max_bytes = max(0, memory_bytes - BASE_MEMORY_BYTES)
        self.held_bytes = 0

    @property
    def is_short(self) -> bool:
        """Return whether more is held than the pool has."""
        return self.held_bytes > self.max_bytes

    def fits(self, more_bytes: int) -> bool:
        """Return whether there is room for so many bytes."""
        return self.held_bytes + more_bytes <= self.max_bytes

    def add(self, more_bytes: int) -> None:
        """Add bytes that are held, or that are no longer if negative."""
        self.held_bytes += more_bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Resources:
    """What a process has for its clients.

    ``max_connections`` is how many connections they may have, apart from
    those to ports that only tell how the process is doing.
    """

    pool: MemoryPool
    max_connections: int


def resources_of(
    *, memory_bytes: int, max_descriptors: int | None = None
) -> Resources:
    """Return the resources of a process, from what it may use.

    The limit of the operating system holds if it has fewer descriptors than
    ``max_descriptors``, or if that is None.
    """
    descriptors = _limited_descriptors(max_descriptors)
    files = min(FILE_DESCRIPTORS, int(descriptors * FILES_SHARE))
    connections = int((descriptors - files) * CONNECTIONS_SHARE)
    return Resources(
        pool=MemoryPool(memory_bytes=memory_bytes),
        max_connections=max(1, min(connections, MAX_CONNECTIONS)),
    )


def _limited_descriptors(max_descriptors: int | None) -> int:
    """Limit the descriptors of this process, and return how many it has.

    The limit also holds for connections that libraries accept by themselves.
    """
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_limit == resource.RLIM_INFINITY:
        soft_limit = max_descriptors or MAX_CONNECTIONS
    if max_descriptors is None or max_descriptors >= soft_limit:
        return soft_limit
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (max_descriptors, hard_limit)
        )
    return max_descriptors
