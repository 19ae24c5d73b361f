"""Hand entries and snapshots to the other members and count what they hold."""

import dataclasses
import zlib

from skylarkpitch.consensus import rules
from skylarkpitch.consensus import state as states
from skylarkpitch import errors
from skylarkpitch.messages import consensus as messages

__all__ = [
    'advance_commit_index',
    'broadcast',
    'next_commit_index',
    'on_append_request',
    'on_append_response',
    'on_snapshot_chunk',
    'on_snapshot_response',
    'quorum_contact_s',
    'send_entries',
]

MAX_APPEND_BYTES = 1024 * 1024
MAX_APPEND_ENTRIES = 1000
MAX_PROBE_BYTES = 64 * 1024
MAX_PROBE_ENTRIES = 16
MAX_UNACKNOWLEDGED_ENTRIES = 4000
SNAPSHOT_RETRY_S = 1.0
MAX_TRACKED_ROUNDS = 256


def quorum_contact_s(state: states.State, *, now_s: float) -> float:
    """Return when the latest question that a quorum answered was sent."""
    contacts = {name: item.contact_s for name, item in state.progress.items()}
    contacts[state.identity] = now_s
    return rules.quorum_value(
        contacts, state.members.voters, missing=states.NEVER_S
    )


def broadcast(state: states.State, *, now_s: float) -> None:
    """Start a round: send entries, or a heartbeat, to every member."""
    state.round += 1
    state.round_sent_s[state.round] = now_s
    state.round_sent_s.pop(state.round - MAX_TRACKED_ROUNDS, None)
    state.heartbeat_due_s = now_s + state.timing.heartbeat_s
    for other in state.others():
        if other not in state.progress:
            state.progress[other] = states.Progress(
                next_index=state.log.last_index + 1, contact_s=now_s
            )
        _send(state, other, now_s)
    gone = set(state.progress) - set(state.others())
    for other in gone:
        del state.progress[other]


def send_entries(state: states.State, *, now_s: float) -> None:
    """Send what the members lack, and nothing to those that lack nothing."""
    for other, item in state.progress.items():
        if not item.probing:
            _send_missing(state, other, now_s)


def _send_missing(state: states.State, other: str, now_s: float) -> None:
    """Send what a member lacks; heartbeats go with the rounds only."""
    item = state.progress[other]
    if item.next_index <= state.log.base_index:
        _send_chunk(state, other, now_s)
    elif _next_entries(state, item):
        _send(state, other, now_s)


def _send(state: states.State, other: str, now_s: float) -> None:
    item = state.progress[other]
    if item.next_index <= state.log.base_index:
        _send_chunk(state, other, now_s)
        _send_append(state, other, state.log.base_index, ())
        return
    entries = _next_entries(state, item)
    _send_append(state, other, item.next_index - 1, entries)
    if not item.probing:
        item.next_index += len(entries)


def _next_entries(
    state: states.State, item: states.Progress
) -> tuple[messages.Entry, ...]:
    if item.probing:
        room = MAX_PROBE_ENTRIES
        max_bytes = MAX_PROBE_BYTES
    else:
        unacknowledged = item.next_index - item.match_index - 1
        room = MAX_UNACKNOWLEDGED_ENTRIES - unacknowledged
        room = max(0, min(room, MAX_APPEND_ENTRIES))
        max_bytes = MAX_APPEND_BYTES
    previous = item.next_index - 1
    up_to = min(previous + room, state.log.last_index)
    taken: list[messages.Entry] = []
    size_bytes = 0
    for entry in state.log.after(previous, up_to=up_to):
        size_bytes += len(entry.data)
        if taken and size_bytes > max_bytes:
            break
        taken.append(entry)
    return tuple(taken)


def _send_append(
    state: states.State,
    other: str,
    previous: int,
    entries: tuple[messages.Entry, ...],
) -> None:
    state.before_write.append(
        messages.AppendRequest(
            **state.header(other),
            previous_index=previous,
            previous_term=state.log.term_at(previous) or 0,
            commit_index=state.commit_index,
            round=state.round,
            entries=entries,
        )
    )


def _send_chunk(state: states.State, other: str, now_s: float) -> None:
    item = state.progress[other]
    if item.snapshot != state.snapshot:
        item.snapshot = state.snapshot
        item.snapshot_offset_bytes = 0
        item.snapshot_sent_s = states.NEVER_S
    if item.snapshot is None:
        raise errors.InvariantError(
            'the log was compacted without a snapshot; report this as a '
            'fault of the program'
        )
    if now_s - item.snapshot_sent_s < SNAPSHOT_RETRY_S:
        return
    item.snapshot_sent_s = now_s
    state.count('snapshot_chunks')
    state.before_write.append(
        messages.SnapshotChunk(
            **state.header(other),
            round=state.round,
            info=item.snapshot,
            offset_bytes=item.snapshot_offset_bytes,
        )
    )


def on_append_request(
    state: states.State, ask: messages.AppendRequest
) -> None:
    """Take entries of the leader that fit the own log."""
    if ask.previous_index < state.log.base_index:
        ask = _without_compacted_entries(state, ask)
    held_term = state.log.term_at(ask.previous_index)
    if held_term != ask.previous_term:
        hint = min(state.log.last_index, ask.previous_index - 1)
        send_append_response(state, ask, accepted=False, index=max(0, hint))
        return
    for entry in ask.entries:
        _store_entry(state, entry)
    match = ask.previous_index + len(ask.entries)
    state.commit_index = max(state.commit_index, min(ask.commit_index, match))
    send_append_response(state, ask, accepted=True, index=match)


def _without_compacted_entries(
    state: states.State, ask: messages.AppendRequest
) -> messages.AppendRequest:
    """Leave out what a snapshot replaced; that is committed and the same."""
    base = state.log.base_index
    return dataclasses.replace(
        ask,
        previous_index=base,
        previous_term=state.log.base_term,
        entries=tuple(e for e in ask.entries if e.index > base),
    )


def _store_entry(state: states.State, entry: messages.Entry) -> None:
    held_term = state.log.term_at(entry.index)
    if held_term == entry.term:
        return
    if held_term is not None:
        if entry.index <= state.commit_index:
            raise errors.InvariantError(
                f'entry {entry.index} is committed with term {held_term} and '
                f'the leader sends term {entry.term}; stop this host and '
                'keep its data folder for the report'
            )
        state.truncate(entry.index - 1)
    state.append_entry(entry)


def send_append_response(
    state: states.State,
    ask: messages.AppendRequest | messages.SnapshotChunk,
    *,
    accepted: bool,
    index: int,
) -> None:
    """Answer an append or a complete snapshot, once that is durable."""
    state.after_write.append(
        messages.AppendResponse(
            **state.header(ask.sender),
            accepted=accepted,
            index=index,
            round=ask.round,
        )
    )


def on_append_response(
    state: states.State, reply: messages.AppendResponse, *, now_s: float
) -> None:
    """Note what a member holds, and send it what it lacks."""
    item = state.progress.get(reply.sender)
    if item is None:
        return
    record_contact(state, item, reply.round)
    if not reply.accepted:
        _lower_next_index(state, reply, now_s)
        return
    item.probing = False
    item.match_index = max(item.match_index, reply.index)
    item.next_index = max(item.next_index, item.match_index + 1)
    advance_commit_index(state)
    _send_missing(state, reply.sender, now_s)


def _lower_next_index(
    state: states.State, reply: messages.AppendResponse, now_s: float
) -> None:
    item = state.progress[reply.sender]
    if reply.index < item.match_index:
        state.count('stale_refusals')
        return
    if reply.index + 1 >= item.next_index:
        return
    item.probing = True
    item.next_index = reply.index + 1
    _send_missing(state, reply.sender, now_s)


def record_contact(
    state: states.State, item: states.Progress, round_number: int
) -> None:
    """Note that a member answered a round of this term."""
    item.acked_round = max(item.acked_round, round_number)
    sent_s = state.round_sent_s.get(round_number, states.NEVER_S)
    item.contact_s = max(item.contact_s, sent_s)


def next_commit_index(state: states.State) -> int:
    """Return the highest index that may be committed by counting."""
    held = {name: item.match_index for name, item in state.progress.items()}
    held[state.identity] = state.stable_index
    index = int(rules.quorum_value(held, state.members.voters, missing=0))
    committable = rules.may_commit(
        index=index,
        commit_index=state.commit_index,
        entry_term=state.log.term_at(index) or 0,
        term=state.term,
    )
    return index if committable else state.commit_index


def advance_commit_index(state: states.State) -> None:
    """Commit what a quorum holds; the members hear of it with the next send.

    A notice of its own would double the messages of each commit, and only
    the leader answers for the committed state.
    """
    state.commit_index = next_commit_index(state)


def on_snapshot_chunk(
    state: states.State, chunk: messages.SnapshotChunk
) -> None:
    """Collect the parts of a snapshot and take it when it is whole."""
    if chunk.info.index <= state.commit_index:
        state.incoming_snapshot = None
        send_append_response(
            state, chunk, accepted=True, index=chunk.info.index
        )
        return
    if (
        state.incoming_snapshot is None
        or state.incoming_snapshot.info != chunk.info
    ):
        state.incoming_snapshot = states.IncomingSnapshot(info=chunk.info)
    receipt = state.incoming_snapshot
    if chunk.offset_bytes == len(receipt.data):
        receipt.data.extend(chunk.data)
    if len(receipt.data) < chunk.info.size_bytes:
        _request_chunk(state, chunk, len(receipt.data))
        return
    state.incoming_snapshot = None
    if zlib.crc32(receipt.data) != chunk.info.checksum:
        state.count('snapshots_damaged')
        _request_chunk(state, chunk, 0)
        return
    if state.log.term_at(chunk.info.index) == chunk.info.term:
        state.commit_index = chunk.info.index
    else:
        _install(state, receipt)
    send_append_response(state, chunk, accepted=True, index=chunk.info.index)


def _request_chunk(
    state: states.State, chunk: messages.SnapshotChunk, offset: int
) -> None:
    state.after_write.append(
        messages.SnapshotResponse(
            **state.header(chunk.sender),
            round=chunk.round,
            index=chunk.info.index,
            next_offset_bytes=offset,
        )
    )


def _install(state: states.State, receipt: states.IncomingSnapshot) -> None:
    info = receipt.info
    state.count('snapshots_installed')
    state.log.reset(index=info.index, term=info.term)
    state.member_history = [(info.members_index, info.members)]
    state.commit_index = info.index
    state.stable_index = info.index
    state.first_changed_index = None
    state.snapshot = info
    state.installed_snapshot = receipt


def on_snapshot_response(
    state: states.State, reply: messages.SnapshotResponse, *, now_s: float
) -> None:
    """Send the part of the snapshot that a member asks for."""
    item = state.progress.get(reply.sender)
    if item is None or item.snapshot is None:
        return
    record_contact(state, item, reply.round)
    if item.snapshot.index != reply.index:
        return
    if item.next_index > state.log.base_index:
        return
    item.snapshot_offset_bytes = reply.next_offset_bytes
    item.snapshot_sent_s = states.NEVER_S
    _send_chunk(state, reply.sender, now_s)
