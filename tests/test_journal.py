"""Test the journal, and its recovery from each kind of damage."""

import errno
import os

import pytest
import structlog

from skylarkpitch.consensus import faults
from skylarkpitch.consensus import folder as folders
from skylarkpitch.consensus import frames
from skylarkpitch.consensus import journal
from skylarkpitch.consensus import members
from skylarkpitch.consensus import snapshots
from skylarkpitch.consensus import state as states
from skylarkpitch import errors
from skylarkpitch.messages import consensus as messages

IDENTITIES = messages.Members(voters=('a/1',))


def _entry(index, term=1):
    return messages.Entry(
        index=index,
        term=term,
        kind=messages.EntryKind.COMMAND,
        data=b'command %d' % index,
    )


def _open(path, host='a'):
    folder = folders.DataFolder(path=path)
    folder.open()
    try:
        return (*journal.open_journal(folder=folder, host=host), folder)
    except errors.JournalError:
        folder.close()
        raise


def _written(path, entries=6, snapshot=False):
    """Write a journal with one frame per entry and return its path."""
    opened, _, _, folder = _open(path)
    opened.write(states.Write(cluster='c', founders=('a/1',)))
    for index in range(1, entries + 1):
        hard_state = states.HardState(term=1, vote='a/1')
        opened.write(
            states.Write(hard_state=hard_state, entries=(_entry(index),))
        )
    if snapshot:
        _save_snapshot(opened, hard_state)
    folder.close()
    return path / 'journal'


def _save_snapshot(opened, hard_state):
    info = snapshots.describe(
        index=4, term=1, members=IDENTITIES, members_index=0, data=b'state'
    )
    opened.snapshots.save(info, b'state')
    opened.rebase(
        states.Rebase(
            base_index=2,
            base_term=1,
            snapshot_index=4,
            hard_state=hard_state,
            entries=tuple(_entry(index) for index in range(3, 7)),
        )
    )


@pytest.mark.parametrize('snapshot', [False, True])
def test_written_state_is_recovered(tmp_path, snapshot):
    _written(tmp_path, snapshot=snapshot)
    opened, recovered, state, folder = _open(tmp_path)
    first = 3 if snapshot else 1
    assert recovered.entries == tuple(_entry(i) for i in range(first, 7))
    assert recovered.hard_state == states.HardState(term=1, vote='a/1')
    assert recovered.cluster == 'c'
    assert recovered.founders == ('a/1',)
    assert state == (b'state' if snapshot else None)
    assert members.host_of(opened.identity) == 'a'
    folder.close()


def test_later_entries_replace_earlier_ones(tmp_path):
    _written(tmp_path)
    opened, _, _, folder = _open(tmp_path)
    replaced = (_entry(3, term=2),)
    opened.write(states.Write(entries=replaced))
    folder.close()
    recovered = _open(tmp_path)[1]
    assert recovered.entries == (_entry(1), _entry(2), *replaced)


def test_files_are_accessible_to_their_owner_only(tmp_path):
    file = _written(tmp_path / 'data', snapshot=True)
    assert file.parent.stat().st_mode & 0o777 == 0o700
    modes = {f.stat().st_mode & 0o777 for f in file.parent.iterdir()}
    assert modes == {0o600}


def _frame_starts(file):
    content = file.read_bytes()
    marker = frames.MARKER.to_bytes(4, 'big')
    return [i for i in range(len(content)) if content.startswith(marker, i)]


def _cut_last_frame(file):
    os.truncate(file, file.stat().st_size - 3)


def _cut_last_header(file):
    os.truncate(file, _frame_starts(file)[-1] + 5)


def _zero_last_frame(file):
    content = bytearray(file.read_bytes())
    start = _frame_starts(file)[-1]
    content[start:] = bytes(len(content) - start)
    file.write_bytes(content)


@pytest.mark.parametrize(
    'damage', [_cut_last_frame, _cut_last_header, _zero_last_frame]
)
def test_torn_tail_is_cut_off_with_a_log_line(tmp_path, damage):
    file = _written(tmp_path)
    damage(file)
    with structlog.testing.capture_logs() as events:
        opened, recovered, _, folder = _open(tmp_path)
    assert [item['event'] for item in events] == ['journal_tail_cut']
    assert recovered.entries == tuple(_entry(i) for i in range(1, 6))
    opened.write(states.Write(entries=(_entry(6),)))
    folder.close()
    assert len(_open(tmp_path)[1].entries) == 6


def _flip(file, position):
    content = bytearray(file.read_bytes())
    content[position] ^= 0x10
    file.write_bytes(content)


def _flip_in_frame(number, offset):
    return lambda file: _flip(file, _frame_starts(file)[number] + offset)


def _newer_journal(file):
    text = file.read_bytes()
    file.write_bytes(text.replace(b'journal 1\n', b'journal 2\n', 1))


def _snapshot(file):
    return next(file.parent.glob('snapshot-*'))


def _newer_snapshot(file):
    text = _snapshot(file).read_bytes()
    _snapshot(file).write_bytes(text.replace(b'snapshot 1', b'snapshot 9', 1))


@pytest.mark.parametrize(
    ('damage', 'kind', 'remedy'),
    [
        (_flip_in_frame(2, 30), faults.JournalCorruptError, 'add this host'),
        (_flip_in_frame(2, 5), faults.JournalCorruptError, 'add this host'),
        (_flip_in_frame(2, 0), faults.JournalCorruptError, 'add this host'),
        (_flip_in_frame(-1, 30), faults.JournalCorruptError, 'check the disk'),
        (_flip_in_frame(-1, 6), faults.JournalCorruptError, 'check the disk'),
        (lambda f: _flip(f, 30), faults.JournalCorruptError, 'check the disk'),
        (_newer_journal, faults.NewerFormatError, 'run the newer release'),
        (
            lambda f: f.unlink(),
            faults.JournalMissingError,
            'add this host',
        ),
        (
            lambda f: _snapshot(f).unlink(),
            faults.SnapshotMissingError,
            'add this host',
        ),
        (
            lambda f: _flip(_snapshot(f), -2),
            faults.SnapshotCorruptError,
            'check the disk',
        ),
        (
            lambda f: _flip(_snapshot(f), 45),
            faults.SnapshotCorruptError,
            'check the disk',
        ),
        (_newer_snapshot, faults.NewerFormatError, 'run the newer release'),
    ],
)
def test_each_kind_of_damage_has_its_own_error(tmp_path, damage, kind, remedy):
    file = _written(tmp_path, snapshot=True)
    opened, _, _, folder = _open(tmp_path)
    for index in range(7, 12):
        opened.write(states.Write(entries=(_entry(index),)))
    folder.close()
    damage(file)
    with pytest.raises(kind, match=remedy):
        _open(tmp_path)


def test_folder_of_another_host_is_refused(tmp_path):
    _written(tmp_path)
    with pytest.raises(faults.OtherHostError, match='of its own'):
        _open(tmp_path, host='b')


def test_folder_is_locked_by_one_process(tmp_path):
    folder = _open(tmp_path)[3]
    with pytest.raises(faults.FolderLockedError, match='stop that one'):
        _open(tmp_path)
    folder.close()
    _open(tmp_path)[3].close()


@pytest.mark.parametrize(
    ('number', 'kind', 'remedy'),
    [
        (errno.ENOSPC, faults.DiskFullError, 'free some space'),
        (errno.EDQUOT, faults.DiskFullError, 'free some space'),
        (errno.EROFS, faults.ReadOnlyError, 'mount its disk for writing'),
        (errno.EACCES, faults.ReadOnlyError, 'give the folder to the user'),
        (errno.EIO, faults.DiskFailedError, 'replace the disk'),
    ],
)
@pytest.mark.parametrize('call', ['write', 'fdatasync'])
def test_each_disk_error_has_its_own_exception(
    tmp_path, monkeypatch, call, number, kind, remedy
):
    opened = _open(tmp_path)[0]

    def failing(*arguments):
        raise OSError(number, os.strerror(number))

    monkeypatch.setattr(folders.os, call, failing)
    with pytest.raises(kind, match=remedy):
        opened.write(states.Write(entries=(_entry(1),)))


def test_write_to_full_device(tmp_path):
    opened, _, _, folder = _open(tmp_path)
    folder._append_fds['journal'] = os.open('/dev/full', os.O_WRONLY)
    with pytest.raises(faults.DiskFullError):
        opened.write(states.Write(entries=(_entry(1),)))
    folder.close()
