"""Write down what a case sent, what was answered, and what was run."""

import pathlib
import time

__all__ = ['Record']


class Record:
    """Lines of ``record.txt``, each with the time since the start."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')
        self.started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self.started_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f'{self.now_s():8.3f} {text}\n')
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
