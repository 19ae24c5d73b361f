"""Replicate entries and snapshots to the other members."""

import dataclasses
import zlib

from skylarkpitch.consensus import rules
from skylarkpitch.consensus import state as states
from skylarkpitch import errors
from skylarkpitch.messages import consensus as messages

__all__ = [
    'advance_commit_index',
    'broadcast',
    'is_sending_snapshot',
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
# Limits of a request while the last matching entry is unknown.
MAX_PROBE_BYTES = 64 * 1024
MAX_PROBE_ENTRIES = 16
MAX_UNACKNOWLEDGED_ENTRIES = 4000
SNAPSHOT_RETRY_S = 1.0
# Age up to which the send times of rounds are stored; a response to an older
# round is no contact. Reads start many rounds a second.
MAX_ROUND_AGE_S = 5.0


def quorum_contact_s(state: states.State, *, now_s: float) -> float:
    """Return when the last round that a quorum responded to was sent.

    The result is a monotonic time in seconds, ``NEVER_S`` without one.
    """
    contacts = {name: item.contact_s for name, item in state.progress.items()}
    contacts[state.identity] = now_s
    return rules.quorum_value(
        contacts, state.members.voters, missing=states.NEVER_S
    )


def broadcast(state: states.State, *, now_s: float) -> None:
    """Start a round: send entries or a heartbeat to every other member."""
    state.round += 1
    state.round_sent_s[state.round] = now_s
    _forget_old_rounds(state, now_s)
    state.heartbeat_due_s = now_s + state.timing.heartbeat_s
    for other in state.others():
        if other not in state.progress:
            state.progress[other] = states.Progress(
                next_index=state.log.last_index + 1, contact_s=now_s
            )
        _send(state, other, now_s)
    removed = set(state.progress) - set(state.others())
    for other in removed:
        del state.progress[other]


def _forget_old_rounds(state: states.State, now_s: float) -> None:
    """Remove the send times of old rounds, which are in their order."""
    while state.round_sent_s:
        oldest = next(iter(state.round_sent_s))
        if now_s - state.round_sent_s[oldest] <= MAX_ROUND_AGE_S:
            return
        del state.round_sent_s[oldest]


def send_entries(state: states.State, *, now_s: float) -> None:
    """Send missing entries to the members, and no heartbeats."""
    for other, item in state.progress.items():
        if not item.probing:
            _send_missing(state, other, now_s)


def _send_missing(state: states.State, other: str, now_s: float) -> None:
    """Send missing entries or a snapshot, but no empty append request."""
    item = state.progress[other]
    if item.next_index <= state.log.base_index:
        _send_chunk(state, other, now_s)
    elif _next_entries(state, item):
        _send(state, other, now_s)


def _send(state: states.State, other: str, now_s: float) -> None:
    item = state.progress[other]
    if item.next_index <= state.log.base_index:
        _send_chunk(state, other, now_s)
        _send_append(state, other, state.log.base_index, (), now_s)
        return
    entries = _next_entries(state, item)
    _send_append(state, other, item.next_index - 1, entries, now_s)
    if not item.probing:
        item.next_index += len(entries)


def _next_entries(
    state: states.State, item: states.Progress
) -> tuple[messages.Entry, ...]:
    if item.probing:
        max_entries = MAX_PROBE_ENTRIES
        max_bytes = MAX_PROBE_BYTES
    else:
        unacknowledged = item.next_index - item.match_index - 1
        max_entries = MAX_UNACKNOWLEDGED_ENTRIES - unacknowledged
        max_entries = max(0, min(max_entries, MAX_APPEND_ENTRIES))
        max_bytes = MAX_APPEND_BYTES
    previous = item.next_index - 1
    up_to = min(previous + max_entries, state.log.last_index)
    entries: list[messages.Entry] = []
    size_bytes = 0
    for entry in state.log.after(previous, up_to=up_to):
        size_bytes += len(entry.data)
        if entries and size_bytes > max_bytes:
            break
        entries.append(entry)
    return tuple(entries)


def _send_append(
    state: states.State,
    other: str,
    previous: int,
    entries: tuple[messages.Entry, ...],
    now_s: float,
) -> None:
    state.before_write.append(
        messages.AppendRequest(
            **state.header(other),
            previous_index=previous,
            previous_term=state.log.term_at(previous) or 0,
            commit_index=state.commit_index,
            round=state.round,
            entries=entries,
            echo=_echo(state, other, now_s),
            echoes=True,
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
            'the log was compacted without a snapshot; report this as a bug'
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
    state: states.State, request: messages.AppendRequest
) -> None:
    """Store the leader's entries if the entry before them matches."""
    state.leader_commit_index = max(
        state.leader_commit_index, request.commit_index
    )
    if request.previous_index < state.log.base_index:
        request = _without_compacted_entries(state, request)
    stored_term = state.log.term_at(request.previous_index)
    if stored_term != request.previous_term:
        hint = min(state.log.last_index, request.previous_index - 1)
        send_append_response(
            state, request, accepted=False, index=max(0, hint)
        )
        return
    for entry in request.entries:
        _store_entry(state, entry)
    match = request.previous_index + len(request.entries)
    state.commit_index = max(
        state.commit_index, min(request.commit_index, match)
    )
    _record_if_complete(state, request)
    send_append_response(state, request, accepted=True, index=match)


def _record_if_complete(
    state: states.State, request: messages.AppendRequest
) -> None:
    """Record that this member has what the leader had committed by now.

    A message may have waited for seconds behind others; the leader sent it
    after it had the response whose stamp it echoes. Until an entry of the
    leader's own term is committed, its commit index may be lower than that
    of the leader before it.
    """
    is_own_term = state.log.term_at(state.commit_index) == request.term
    if not is_own_term or state.commit_index < request.commit_index:
        return
    echo = request.echo
    if not request.echoes:
        # A leader of an earlier release.
        state.complete_s = state.leader_contact_s
    elif echo is not None and echo.process == state.process:
        state.complete_s = max(state.complete_s, echo.sent_s)


def _echo(
    state: states.State, other: str, now_s: float
) -> messages.Stamp | None:
    """Return the stamp to echo, None without recent contact to a quorum.

    A leader that has been replaced does not know it before it steps down.
    """
    contact_s = quorum_contact_s(state, now_s=now_s)
    if now_s - contact_s >= state.timing.election_min_s:
        return None
    return state.progress[other].echo


def _without_compacted_entries(
    state: states.State, request: messages.AppendRequest
) -> messages.AppendRequest:
    """Return the request without the entries that a snapshot covers.

    Those are committed, so they equal the leader's.
    """
    base = state.log.base_index
    return dataclasses.replace(
        request,
        previous_index=base,
        previous_term=state.log.base_term,
        entries=tuple(e for e in request.entries if e.index > base),
    )


def _store_entry(state: states.State, entry: messages.Entry) -> None:
    stored_term = state.log.term_at(entry.index)
    if stored_term == entry.term:
        return
    if stored_term is not None:
        if entry.index <= state.commit_index:
            raise errors.InvariantError(
                f'entry {entry.index} is committed with term {stored_term} '
                f'and the leader sent term {entry.term}; stop this host and '
                'save its data folder for the bug report'
            )
        state.truncate(entry.index - 1)
    state.append_entry(entry)


def send_append_response(
    state: states.State,
    request: messages.AppendRequest | messages.SnapshotChunk,
    *,
    accepted: bool,
    index: int,
) -> None:
    """Respond to an append request or a complete snapshot.

    The response is sent after the pending write is durable.
    """
    state.after_write.append(
        messages.AppendResponse(
            **state.header(request.sender),
            accepted=accepted,
            index=index,
            round=request.round,
        )
    )


def on_append_response(
    state: states.State, response: messages.AppendResponse, *, now_s: float
) -> None:
    """Record a member's progress and send it missing entries."""
    item = state.progress.get(response.sender)
    if item is None:
        return
    record_contact(state, item, response.round)
    item.echo = response.stamp
    if not response.accepted:
        _lower_next_index(state, response, now_s)
        return
    item.probing = False
    item.match_index = max(item.match_index, response.index)
    item.next_index = max(item.next_index, item.match_index + 1)
    advance_commit_index(state)
    _send_missing(state, response.sender, now_s)


def _lower_next_index(
    state: states.State, response: messages.AppendResponse, now_s: float
) -> None:
    item = state.progress[response.sender]
    if response.index < item.match_index:
        state.count('stale_refusals')
        return
    if response.index + 1 >= item.next_index:
        return
    item.probing = True
    item.next_index = response.index + 1
    _send_missing(state, response.sender, now_s)


def record_contact(
    state: states.State, item: states.Progress, round_number: int
) -> None:
    """Record that a member responded to a round of this term."""
    item.acked_round = max(item.acked_round, round_number)
    sent_s = state.round_sent_s.get(round_number, states.NEVER_S)
    item.contact_s = max(item.contact_s, sent_s)


def next_commit_index(state: states.State) -> int:
    """Return the highest index that may be committed now."""
    stored = {name: item.match_index for name, item in state.progress.items()}
    stored[state.identity] = state.stable_index
    index = int(rules.quorum_value(stored, state.members.voters, missing=0))
    committable = rules.may_commit(
        index=index,
        commit_index=state.commit_index,
        entry_term=state.log.term_at(index) or 0,
        term=state.term,
    )
    return index if committable else state.commit_index


def advance_commit_index(state: states.State) -> None:
    """Commit the entries that a quorum stores.

    The other members receive the commit index with the next request. A
    separate message would double the messages of each commit, and only the
    leader serves reads of the committed state.
    """
    state.commit_index = next_commit_index(state)


def on_snapshot_chunk(
    state: states.State, chunk: messages.SnapshotChunk
) -> None:
    """Store a chunk of a snapshot; install the snapshot when complete."""
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
    incoming = state.incoming_snapshot
    if chunk.offset_bytes == len(incoming.data):
        incoming.data.extend(chunk.data)
    if len(incoming.data) < chunk.info.size_bytes:
        _request_chunk(state, chunk, len(incoming.data))
        return
    state.incoming_snapshot = None
    if zlib.crc32(incoming.data) != chunk.info.checksum:
        state.count('snapshots_damaged')
        _request_chunk(state, chunk, 0)
        return
    if state.log.term_at(chunk.info.index) == chunk.info.term:
        state.commit_index = chunk.info.index
    else:
        _install(state, incoming)
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


def _install(state: states.State, incoming: states.IncomingSnapshot) -> None:
    info = incoming.info
    state.count('snapshots_installed')
    state.log.reset(index=info.index, term=info.term)
    state.member_history = [(info.members_index, info.members)]
    state.commit_index = info.index
    state.stable_index = info.index
    state.first_changed_index = None
    state.snapshot = info
    state.installed_snapshot = incoming


def is_sending_snapshot(state: states.State, *, now_s: float) -> bool:
    """Return whether a member that responds needs the last snapshot."""
    return any(
        item.snapshot is not None
        and item.next_index <= state.log.base_index
        and now_s - item.contact_s < state.timing.election_max_s
        for item in state.progress.values()
    )


def on_snapshot_response(
    state: states.State, response: messages.SnapshotResponse, *, now_s: float
) -> None:
    """Send the chunk of the snapshot that a member requests."""
    item = state.progress.get(response.sender)
    if item is None or item.snapshot is None:
        return
    record_contact(state, item, response.round)
    if item.snapshot.index != response.index:
        return
    if item.next_index > state.log.base_index:
        return
    item.snapshot_offset_bytes = response.next_offset_bytes
    item.snapshot_sent_s = states.NEVER_S
    _send_chunk(state, response.sender, now_s)
