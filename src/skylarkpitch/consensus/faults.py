"""Define the errors of the data folder."""

from skylarkpitch import errors

__all__ = [
    'DiskFailedError',
    'DiskFullError',
    'FolderLockedError',
    'JournalCorruptError',
    'JournalMissingError',
    'NewerFormatError',
    'OtherHostError',
    'ReadOnlyError',
    'SnapshotCorruptError',
    'SnapshotMissingError',
]


class DiskFullError(errors.JournalError):
    """No space is left for the journal."""

    reason = 'disk_full'


class ReadOnlyError(errors.JournalError):
    """The data folder cannot be written to."""

    reason = 'disk_read_only'


class DiskFailedError(errors.JournalError):
    """The disk reported an error.

    The state of data that was not synced before is unknown.
    """

    reason = 'disk_failed'


class FolderLockedError(errors.JournalError):
    """Another process uses the data folder."""

    reason = 'folder_locked'


class JournalCorruptError(errors.JournalError):
    """A record of the journal has changed since it was synced."""

    reason = 'journal_corrupt'


class JournalMissingError(errors.JournalError):
    """The data folder has snapshots but no journal."""

    reason = 'journal_missing'


class SnapshotMissingError(errors.JournalError):
    """The snapshot that the journal requires is missing."""

    reason = 'snapshot_missing'


class SnapshotCorruptError(errors.JournalError):
    """A snapshot has changed since it was synced."""

    reason = 'snapshot_corrupt'


class NewerFormatError(errors.JournalError):
    """A file has a format newer than this release reads."""

    reason = 'format_newer'


class OtherHostError(errors.JournalError):
    """The data folder belongs to another host."""

    reason = 'other_host'
