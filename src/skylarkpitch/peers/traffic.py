"""Count the messages that a process sends to its peers."""

import collections

__all__ = ['Traffic']


class Traffic:
    """Messages and bytes sent by kind, and messages dropped on receipt.

    Bytes are those of the bodies, without the overhead of the transport.
    """

    def __init__(self) -> None:
        self._messages: collections.Counter[str] = collections.Counter()
        self._bytes: collections.Counter[str] = collections.Counter()
        self.dropped = 0

    def record_sent(self, kind: str, *, size_bytes: int) -> None:
        """Count a message that was sent."""
        self._messages[kind] += 1
        self._bytes[kind] += size_bytes

    def counters(self) -> dict[str, float]:
        """Return the counts since the start."""
        counts: dict[str, float] = {'messages_dropped': self.dropped}
        for kind, number in self._messages.items():
            # The kind of a refusal is empty.
            name = kind or 'refusal'
            counts[f'messages_sent/{name}'] = number
            counts[f'bytes_sent/{name}'] = self._bytes[kind]
        return counts
