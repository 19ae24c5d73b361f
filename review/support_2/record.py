"""Write what a case sent, answered and ran to its record file."""

import json
import pathlib
import time

__all__ = ['Record']


class Record:
    """Lines of JSON, each with the seconds since the start of the case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._started_s = time.monotonic()
        self._file = (folder / 'record.txt').open('w')
        self.items: list[dict[str, object]] = []

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def add(self, event: str, **fields: object) -> None:
        """Write one line, and keep it for the check."""
        item = {'at_s': round(self.now_s(), 3), 'event': event, **fields}
        self.items.append(item)
        self._file.write(json.dumps(item) + '\n')
        self._file.flush()

    def of(self, event: str) -> list[dict[str, object]]:
        """Return the lines of one event, in order."""
        return [item for item in self.items if item['event'] == event]

    def close(self) -> None:
        """Close the file."""
        self._file.close()
