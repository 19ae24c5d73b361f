"""Read and write the files of one data folder.

Files have mode 0600 and the folder 0700. Replacing a file is atomic: the
new content is written to a temporary file, synced and renamed, and then the
folder is synced. Errors of the operating system are raised as a
``JournalError`` whose message has the remedy.
"""

from collections.abc import Iterator
import contextlib
import errno
import fcntl
import os
import pathlib
from typing import Protocol

from skylarkpitch.consensus import faults
from skylarkpitch import errors

__all__ = ['DataFolder', 'Folder']

FILE_MODE = 0o600
FOLDER_MODE = 0o700
LOCK_NAME = 'lock'
TEMPORARY_SUFFIX = '.tmp'

DISK_FULL_ERRNOS = frozenset((errno.ENOSPC, errno.EDQUOT, errno.EFBIG))
READ_ONLY_ERRNOS = frozenset((errno.EROFS, errno.EACCES, errno.EPERM))


class Folder(Protocol):
    """Storage interface of the journal and the snapshots."""

    path: pathlib.Path

    def open(self) -> None:
        """Create the folder and lock it for this process."""

    def names(self) -> list[str]:
        """Return the names of the files, sorted."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None when it does not exist."""

    def read_part(self, name: str, offset: int, size: int) -> bytes | None:
        """Return a part of a file, or None when it does not exist."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, durably."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file, atomically and durably."""

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to a size, durably."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    def close(self) -> None:
        """Close the files and unlock the folder."""


class DataFolder:
    """Implementation of :class:`Folder` on a file system."""

    def __init__(self, *, path: pathlib.Path) -> None:
        self.path = path
        self._append_fds: dict[str, int] = {}
        self._lock_fd: int | None = None

    def open(self) -> None:
        """Create and lock the folder, and remove its temporary files.

        Raises ``FolderLockedError`` when another process has locked it.
        """
        with self._translating_errors(self.path):
            self.path.mkdir(FOLDER_MODE, parents=True, exist_ok=True)
            self.path.chmod(FOLDER_MODE)
            self._lock_fd = self._open(LOCK_NAME, os.O_RDWR | os.O_CREAT)
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            self.close()
            raise faults.FolderLockedError(
                f'{self.path} is used by another process; stop that one or '
                'give this host a data folder of its own'
            ) from error
        for name in self.names():
            if name.endswith(TEMPORARY_SUFFIX):
                self.remove(name)

    def names(self) -> list[str]:
        """Return the names of the files, sorted."""
        with self._translating_errors(self.path):
            return sorted(item.name for item in self.path.iterdir())

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None when it does not exist."""
        with self._translating_errors(self.path / name):
            try:
                return (self.path / name).read_bytes()
            except FileNotFoundError:
                return None

    def read_part(self, name: str, offset: int, size: int) -> bytes | None:
        """Return a part of a file, or None when it does not exist."""
        with self._translating_errors(self.path / name):
            try:
                fd = os.open(self.path / name, os.O_RDONLY | os.O_CLOEXEC)
            except FileNotFoundError:
                return None
            try:
                return os.pread(fd, size, offset)
            finally:
                os.close(fd)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file and sync it."""
        with self._translating_errors(self.path / name):
            if name not in self._append_fds:
                self._append_fds[name] = self._open(
                    name, os.O_WRONLY | os.O_APPEND
                )
            fd = self._append_fds[name]
            _write_all(fd, data)
            os.fdatasync(fd)

    def replace(self, name: str, data: bytes) -> None:
        """Replace the content of a file atomically, and sync it."""
        temporary = name + TEMPORARY_SUFFIX
        with self._translating_errors(self.path / name):
            flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
            fd = self._open(temporary, flags)
            try:
                _write_all(fd, data)
                os.fsync(fd)
            finally:
                os.close(fd)
            (self.path / temporary).rename(self.path / name)
            self._sync_folder()
        if name in self._append_fds:
            os.close(self._append_fds.pop(name))

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to a size and sync it."""
        with self._translating_errors(self.path / name):
            fd = self._open(name, os.O_WRONLY)
            try:
                os.ftruncate(fd, size_bytes)
                os.fsync(fd)
            finally:
                os.close(fd)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        with self._translating_errors(self.path / name):
            (self.path / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Close the files and unlock the folder."""
        for fd in self._append_fds.values():
            os.close(fd)
        self._append_fds.clear()
        if self._lock_fd is not None:
            os.close(self._lock_fd)
            self._lock_fd = None

    def _open(self, name: str, flags: int) -> int:
        return os.open(self.path / name, flags | os.O_CLOEXEC, FILE_MODE)

    def _sync_folder(self) -> None:
        fd = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    @contextlib.contextmanager
    def _translating_errors(self, path: pathlib.Path) -> Iterator[None]:
        try:
            yield
        except OSError as error:
            raise to_journal_error(error, path) from error


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def to_journal_error(
    error: OSError, path: pathlib.Path
) -> errors.JournalError:
    """Return the ``JournalError`` for an ``OSError``."""
    if error.errno in DISK_FULL_ERRNOS:
        return faults.DiskFullError(
            f'{path} cannot be written: no space is left; free some space '
            'on its disk and restart this host'
        )
    if error.errno in READ_ONLY_ERRNOS:
        return faults.ReadOnlyError(
            f'{path} cannot be written or read ({error.strerror}); mount '
            'its disk for writing, give the folder to the user that runs '
            'the daemon, and restart this host'
        )
    return faults.DiskFailedError(
        f'{path}: {error.strerror or error}; replace the disk, give this '
        'host an empty data folder and add it again as a member'
    )
