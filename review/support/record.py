"""Write what a case sent, received and ran to its record."""

import pathlib
import time


class Record:
    """Lines of ``record.txt``, each with the seconds since the start."""

    def __init__(self, *, path: pathlib.Path) -> None:
        self._started_s = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        at_s = time.monotonic() - self._started_s
        listed = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{at_s:8.3f} {what} {listed}'.rstrip() + '\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
