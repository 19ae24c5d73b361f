"""Specifications of the replicated log, and broken variants of each.

``log`` has a crash, and a host that loses its disk and is added again. In
``log_repaired_leads`` the added member may become the leader.
``log_older_term`` starts with uncommitted entries of two failed leaders.
"""

from benchmarks.models import log_steps
from benchmarks.models import spec

__all__ = ['SPECS']

SPECS = (
    spec.Spec(
        name='log',
        protocol=log_steps.protocol(terms=2, entries=3, crashes=1, losses=1),
        broken=(
            (
                'vote_without_sync',
                log_steps.protocol(
                    terms=1, entries=1, crashes=1, losses=0, syncs_votes=False
                ),
            ),
            (
                'repaired_member_counted_at_once',
                log_steps.protocol(
                    terms=2,
                    entries=1,
                    crashes=0,
                    losses=1,
                    candidates=(0, 1),
                    counts_repaired_at_once=True,
                ),
            ),
            (
                'reset_member_votes_under_its_old_identity',
                log_steps.protocol(
                    terms=2,
                    entries=1,
                    crashes=0,
                    losses=1,
                    candidates=(0, 1),
                    retains_identity=True,
                ),
            ),
        ),
        small=log_steps.protocol(terms=2, entries=2, crashes=0, losses=1),
    ),
    spec.Spec(
        name='log_repaired_leads',
        protocol=log_steps.protocol(
            terms=3,
            entries=3,
            crashes=1,
            losses=1,
            candidates=(0, log_steps.REPAIRED),
        ),
        broken=(),
        small=log_steps.protocol(
            terms=2,
            entries=3,
            crashes=0,
            losses=1,
            candidates=(0, log_steps.REPAIRED),
        ),
    ),
    spec.Spec(
        name='log_older_term',
        protocol=log_steps.protocol(
            terms=4, entries=3, crashes=2, losses=0, leaders_failed=True
        ),
        broken=(
            (
                'older_term_committed_by_counting',
                log_steps.protocol(
                    terms=4,
                    entries=1,
                    crashes=1,
                    losses=0,
                    candidates=(0, 1),
                    leaders_failed=True,
                    counts_own_term_only=False,
                ),
            ),
        ),
        small=log_steps.protocol(
            terms=4, entries=1, crashes=1, losses=0, leaders_failed=True
        ),
    ),
)
