"""Store the entries of the log that are not compacted."""

from collections.abc import Iterable

from skylarkpitch import errors
from skylarkpitch.messages import consensus as messages

__all__ = ['EntryLog']


class EntryLog:
    """Log entries after ``base_index``, in memory.

    A snapshot covers the entries up to ``base_index``.
    """

    def __init__(
        self,
        *,
        base_index: int = 0,
        base_term: int = 0,
        entries: Iterable[messages.Entry] = (),
    ) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def last(self) -> tuple[int, int]:
        """Return the last entry's term and index, the order that votes use."""
        return self.last_term, self.last_index

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None when it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def after(
        self, index: int, *, up_to: int | None = None
    ) -> tuple[messages.Entry, ...]:
        """Return the entries after ``index``, up to ``up_to`` inclusive.

        Raises ``InvariantError`` when some of them are compacted.
        """
        if index < self.base_index:
            raise errors.InvariantError(
                f'entry {index + 1} is compacted; send the snapshot'
            )
        stop = self.last_index if up_to is None else up_to
        start = index - self.base_index
        return tuple(self._entries[start : stop - self.base_index])

    def append(self, entry: messages.Entry) -> None:
        """Add an entry at the end; its index must be the next one."""
        if entry.index != self.last_index + 1:
            raise errors.InvariantError(
                f'entry {entry.index} does not follow {self.last_index}; '
                'report this as a bug'
            )
        self._entries.append(entry)

    def truncate(self, index: int) -> None:
        """Remove every entry after ``index``."""
        del self._entries[max(0, index - self.base_index) :]

    def compact(self, index: int) -> None:
        """Remove the entries up to ``index``, which a snapshot covers."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        if term is None:
            raise errors.InvariantError(
                f'entry {index} is not in the log; compact up to one that is'
            )
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, *, index: int, term: int) -> None:
        """Clear the log; a snapshot covers the entries up to ``index``."""
        self._entries.clear()
        self.base_index = index
        self.base_term = term
