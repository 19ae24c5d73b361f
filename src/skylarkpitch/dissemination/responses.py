"""Decide when a question is answered and what the answer holds.

Control hosts and relays answer alike. ``sites`` are those whose parts the
answerer holds, or None when it holds every site.
"""

from collections.abc import Collection

from skylarkpitch.config import parts
from skylarkpitch.dissemination import freshness
from skylarkpitch.messages import dissemination as messages

__all__ = ['MIN_GAIN_S', 'answer_to', 'has_news', 'holds_sites']

MIN_GAIN_S = 0.2


def holds_sites(
    question: messages.StateQuestion, sites: Collection[str] | None
) -> bool:
    """Tell whether all sites of a question are held."""
    if sites is None or not question.wants_parts:
        return True
    return all(site in sites for site in question.sites)


def has_news(
    question: messages.StateQuestion,
    *,
    store: parts.PartStore,
    sites: Collection[str] | None,
    proven_at_s: float,
    arrived_at_s: float,
) -> bool:
    """Tell whether an answer now would give the asker parts or a newer proof.

    A proof that is newer by less than ``MIN_GAIN_S`` is no news.
    """
    if not holds_sites(question, sites):
        return False
    if question.wants_parts and _lacks_parts(question, store):
        return True
    theirs_s = freshness.NEVER_S
    if question.age_s >= 0:
        theirs_s = arrived_at_s - question.age_s
    return proven_at_s > theirs_s + MIN_GAIN_S


def answer_to(
    question: messages.StateQuestion,
    *,
    store: parts.PartStore,
    proven_at_s: float,
    arrived_at_s: float,
    now_s: float,
) -> messages.StateAnswer:
    """Return the answer to a question that arrived at ``arrived_at_s``."""
    lacks = question.wants_parts and _lacks_parts(question, store)
    whole = lacks and _needs_whole(question, store)
    rows: tuple[parts.Row, ...] = ()
    if whole:
        nothing = dict.fromkeys(question.sites, messages.NOTHING)
        rows = store.rows_since(0, nothing)
    elif lacks:
        rows = store.rows_since(question.version, question.sites)
    proven = proven_at_s > freshness.NEVER_S
    return messages.StateAnswer(
        version=store.version,
        age_s=now_s - proven_at_s if proven else messages.UNPROVEN_S,
        held_s=now_s - arrived_at_s,
        digest=store.digest(question.sites),
        whole=whole,
        rows=rows,
    )


def _lacks_parts(
    question: messages.StateQuestion, store: parts.PartStore
) -> bool:
    if question.version < store.version:
        return True
    held = (question.version, *question.sites.values())
    return messages.NOTHING in held


def _needs_whole(
    question: messages.StateQuestion, store: parts.PartStore
) -> bool:
    return question.version <= 0 or question.version < store.floor_version
