"""Track the callers that wait for the replicated log."""

import asyncio
import dataclasses

from skylarkpitch import errors
from skylarkpitch import sentinels

__all__ = ['PendingRequests']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Proposal:
    term: int
    future: asyncio.Future


class PendingRequests:
    """Pending proposals, by index, and pending reads."""

    def __init__(self) -> None:
        self._proposals: dict[int, _Proposal] = {}
        self._reads: set[asyncio.Future] = set()

    def add_proposal(
        self, index: int, *, term: int, future: asyncio.Future
    ) -> None:
        """Add a proposal that was appended at an index in a term."""
        self._proposals[index] = _Proposal(term=term, future=future)

    def add_read(self, future: asyncio.Future) -> None:
        """Add a read; it is removed when its future is done."""
        self._reads.add(future)
        future.add_done_callback(self._reads.discard)

    def complete_proposal(
        self, index: int, *, term: int, result: object | Exception
    ) -> None:
        """Complete the proposal at an index with the result of its entry.

        If the applied entry has another term than the proposal, another
        leader's entry replaced the proposed one, which will never be
        committed; the proposal fails with ``NotLeaderError``.
        """
        proposal = self._proposals.pop(index, None)
        if proposal is None or proposal.future.done():
            return
        if proposal.term != term:
            proposal.future.set_exception(
                errors.NotLeaderError(
                    'another leader replaced this change before it was '
                    'committed; retry it',
                    leader=None,
                )
            )
        elif isinstance(result, Exception):
            proposal.future.set_exception(result)
        else:
            proposal.future.set_result(result)

    def fail_other_terms(self, term: int | None) -> None:
        """Fail the proposals of other terms with ``UncertainError``.

        Their outcome is unknown: a new leader may still commit them.
        """
        for index, proposal in list(self._proposals.items()):
            if proposal.term == term:
                continue
            del self._proposals[index]
            if not proposal.future.done():
                proposal.future.set_exception(
                    errors.UncertainError(
                        'the leader changed before this change was '
                        'committed; retry it with the same operation id'
                    )
                )

    def fail_other_reads(
        self, unconfirmed: set[object], *, leader: str | None
    ) -> None:
        """Complete the reads not in ``unconfirmed`` as ``not_leader``.

        The core discards its reads when its member loses leadership.
        ``leader`` is the host name of the new leader, None while unknown.
        """
        for future in self._reads - unconfirmed:
            if not future.done():
                future.set_result(sentinels.Absent('not_leader', leader or ''))

    def fail_all(self) -> None:
        """Fail all proposals and reads."""
        self.fail_other_terms(None)
        self.fail_other_reads(set(), leader=None)
