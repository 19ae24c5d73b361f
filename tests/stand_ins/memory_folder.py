"""Data folder in memory that simulates crashes during writes."""

import pathlib


class CrashError(Exception):
    """The process crashed; data that was synced before is preserved."""


class MemoryFolder:
    """In-memory implementation of ``Folder`` with crashes during writes.

    After :meth:`crash_after_writes` the write that follows the given number
    of writes fails. It leaves a prefix of its data, or all of its data with
    some sectors unwritten (zeros).
    """

    def __init__(self, *, rng):
        self.path = pathlib.Path('/data')
        self.files = {}
        self._rng = rng
        self._writes_left = None

    def crash_after_writes(self, writes):
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
        if self._crashes_now():
            self.files[name] = self.files[name] + self._torn_write(data)
            raise CrashError
        self.files[name] = self.files[name] + data

    def replace(self, name, data):
        if self._crashes_now():
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

    def _crashes_now(self):
        if self._writes_left is None:
            return False
        self._writes_left -= 1
        return self._writes_left < 0

    def _torn_write(self, data):
        written = self._rng.randrange(len(data) + 1)
        if self._rng.random() < 0.5 or len(data) < 2 * 512:
            return data[:written]
        start = written // 512 * 512
        size = len(data[start : start + 512])
        # Sectors are counted from the start of the write, which may not be
        # aligned in the file. Two consecutive ones contain a whole sector of
        # the file.
        unwritten = data[start : start + 1024]
        return (
            data[:start] + bytes(len(unwritten)) + data[start + 1024 :][:size]
        )
