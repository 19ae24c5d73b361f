"""Data folder in memory whose process can crash in the middle of a write."""

import pathlib


class CrashError(Exception):
    """The process died here; what was synced before is still there."""


class MemoryFolder:
    """Keep files as a disk would.

    After :meth:`crash_soon` the write after so many dies in its middle and
    leaves a beginning of it, or all of it but a sector never written.
    """

    def __init__(self, *, rng):
        self.path = pathlib.Path('/data')
        self.files = {}
        self._rng = rng
        self._writes_left = None

    def crash_soon(self, writes):
        self._writes_left = writes

    def open(self):
        self._writes_left = None
        self.files = {
            name: content
            for name, content in self.files.items()
            if not name.endswith('.tmp')
        }

    def names(self):
        return sorted(self.files)

    def read(self, name):
        return self.files.get(name)

    def read_part(self, name, offset, size):
        content = self.files.get(name)
        return None if content is None else content[offset : offset + size]

    def append(self, name, data):
        if self._dies():
            self.files[name] = self.files[name] + self._torn(data)
            raise CrashError
        self.files[name] = self.files[name] + data

    def replace(self, name, data):
        if self._dies():
            if self._rng.random() < 0.5:
                self.files[name] = data
            raise CrashError
        self.files[name] = data

    def truncate(self, name, size_bytes):
        self.files[name] = self.files[name][:size_bytes]

    def remove(self, name):
        self.files.pop(name, None)

    def close(self):
        pass

    def _dies(self):
        if self._writes_left is None:
            return False
        self._writes_left -= 1
        return self._writes_left < 0

    def _torn(self, data):
        kept = self._rng.randrange(len(data) + 1)
        if self._rng.random() < 0.5 or len(data) < 2 * 512:
            return data[:kept]
        start = kept // 512 * 512
        size = len(data[start : start + 512])
        # Sectors are counted from the start of the write, which may lie
        # within one of the file; two in a row hold a whole one of the file.
        blank = data[start : start + 1024]
        return data[:start] + bytes(len(blank)) + data[start + 1024 :][:size]
