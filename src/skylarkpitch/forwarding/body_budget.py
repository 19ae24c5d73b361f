"""Limit the bytes of request bodies that an entry host holds at a time."""

from skylarkpitch.listening import limits

__all__ = ['BodyBudget', 'append_chunk']

# Larger bodies leave a part of the budget to all others.
SMALL_BODY_BYTES = 64 * 1024
SMALL_BODIES_SHARE = 0.2
# Small chunks are joined, since each object takes memory of its own.
BLOCK_BYTES = 256 * 1024


class BodyBudget:
    """Bytes that request bodies of all callers may take together.

    They are a part of what a process holds for its clients. ``refused``
    counts the bodies that did not fit.
    """

    def __init__(self, *, pool: limits.MemoryPool) -> None:
        self._pool = pool
        self.held_bytes = 0
        self.refused = 0

    @property
    def is_memory_short(self) -> bool:
        """Return whether the process holds more than it may."""
        return self._pool.is_short

    def take(self, more_bytes: int, *, body_bytes: int) -> bool:
        """Take bytes for a body of a known size or a size so far.

        Returns whether they fit. A body that does not fit on an idle host
        is taken there all the same, alone: the configured limit of a body
        goes before this one.
        """
        limit = self._pool.max_bytes
        if body_bytes > SMALL_BODY_BYTES:
            limit -= int(limit * SMALL_BODIES_SHARE)
        held_by_others = self.held_bytes - (body_bytes - more_bytes)
        is_full = self._pool.held_bytes + more_bytes > limit
        if is_full and held_by_others > 0:
            self.refused += 1
            return False
        self._hold(more_bytes)
        return True

    def release(self, size_bytes: int) -> None:
        """Give back the bytes of a body that is no longer held."""
        self._hold(-size_bytes)

    def _hold(self, more_bytes: int) -> None:
        self.held_bytes += more_bytes
        self._pool.add(more_bytes)


def append_chunk(blocks: list[bytearray], chunk: bytes) -> None:
    """Append a chunk to a body, which is a list of blocks."""
    if blocks and len(blocks[-1]) < BLOCK_BYTES:
        blocks[-1] += chunk
    else:
        blocks.append(bytearray(chunk))
