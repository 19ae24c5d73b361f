"""Define the rules for quorums, votes and commits.

These are the rules of the Raft algorithm (Ongaro and Ousterhout, "In Search
of an Understandable Consensus Algorithm", 2014; Ongaro's dissertation for
pre-vote and single-member changes). The core and its model under
benchmarks/models both use them.
"""

from collections.abc import Iterable
from collections.abc import Mapping

__all__ = [
    'has_quorum',
    'is_up_to_date',
    'majority',
    'may_commit',
    'may_vote',
    'quorum_value',
]


def majority(voters: Iterable[str]) -> int:
    """Return the number of voters in a quorum."""
    return len(tuple(voters)) // 2 + 1


def has_quorum(granted: Iterable[str], voters: Iterable[str]) -> bool:
    """Return whether the granting identities include a quorum."""
    voters = frozenset(voters)
    return len(voters.intersection(granted)) >= majority(voters)


def quorum_value(
    values: Mapping[str, float], voters: Iterable[str], *, missing: float
) -> float:
    """Return the highest value that a quorum of the voters has reached.

    A voter without a value counts with ``missing``.
    """
    voters = tuple(voters)
    reached = sorted(
        (values.get(voter, missing) for voter in voters), reverse=True
    )
    return reached[majority(voters) - 1] if reached else missing


def is_up_to_date(
    last: tuple[int, int],
    *,
    other: tuple[int, int],
) -> bool:
    """Return whether a log is at least as up to date as another.

    Each log is given as the term and the index of its last entry.
    """
    return last >= other


def may_vote(*, vote: str | None, candidate: str, up_to_date: bool) -> bool:
    """Return whether a member may vote for a candidate in its term.

    ``vote`` is the candidate that the member has voted for in the term, and
    ``up_to_date`` whether the candidate's log is.
    """
    return up_to_date and vote in (None, candidate)


def may_commit(
    *, index: int, commit_index: int, entry_term: int, term: int
) -> bool:
    """Return whether the leader may commit an index that a quorum stores.

    Only entries of the leader's own term are committed by counting
    replicas; earlier entries are committed with them (section 5.4.2 of the
    paper).
    """
    return index > commit_index and entry_term == term
