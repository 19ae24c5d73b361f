"""Hold a host's copy of the control state and the proof of its age."""

from collections.abc import Iterable
import dataclasses

from skylarkpitch.config import parts
from skylarkpitch.config import view as views
from skylarkpitch.dissemination import answers
from skylarkpitch.dissemination import freshness
from skylarkpitch.messages import dissemination as messages

__all__ = ['Replica', 'Taken']


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Taken:
    """What an answer brought.

    ``kinds`` are the first words of the changed parts' keys.
    """

    is_proof: bool = False
    kinds: frozenset[str] = frozenset()

    @property
    def is_useful(self) -> bool:
        """Tell whether the answer brought parts or a newer proof."""
        return self.is_proof or bool(self.kinds)


class Replica:
    """Parts that a host holds for itself and for the hosts below it.

    The version never goes down: an answer with an older one changes no
    part. Its proof still counts, since a state that is newer than one that
    was current at a time held everything accepted by that time.
    """

    def __init__(self, *, site: str) -> None:
        self.store = parts.PartStore()
        self.view = views.StateView()
        self.proven_at_s = freshness.NEVER_S
        self.digest_mismatches = 0
        self.whole_answers = 0
        self._wanted = {site}
        self._held: frozenset[str] = frozenset()
        self._wants_whole = False

    @property
    def version(self) -> int:
        """Return the version of the parts held."""
        return self.store.version

    def want(self, sites: Iterable[str]) -> None:
        """Hold these sites too, for hosts that ask this one."""
        self._wanted.update(sites)

    def question(
        self, *, now_s: float, hold_s: float, wants_parts: bool = True
    ) -> messages.StateQuestion:
        """Return the question to ask now."""
        nothing = messages.NOTHING
        version = nothing if self._wants_whole else self.version
        age_s = messages.UNPROVEN_S
        if self.proven_at_s > freshness.NEVER_S:
            age_s = max(0.0, now_s - self.proven_at_s)
        return messages.StateQuestion(
            version=version,
            sites={
                site: version if site in self._held else nothing
                for site in sorted(self._wanted)
            },
            age_s=age_s,
            hold_s=hold_s,
            wants_parts=wants_parts,
        )

    def take(
        self,
        question: messages.StateQuestion,
        answer: messages.StateAnswer,
        *,
        asked_at_s: float,
        drift: float,
    ) -> Taken:
        """Take the answer to a question sent at ``asked_at_s``.

        An answer that arrives twice, late or out of order is harmless.
        """
        kinds: frozenset[str] = frozenset()
        if question.wants_parts and answer.version >= self.version:
            kinds = self._take_parts(question, answer)
            if answer.digest != self.store.digest(question.sites):
                self.distrust()
        if answer.version > self.version or answer.age_s < 0:
            return Taken(kinds=kinds)
        if self._wants_whole:
            return Taken(kinds=kinds)
        proven_at_s = freshness.proven_at_s(
            asked_at_s=asked_at_s,
            held_s=answer.held_s,
            age_s=answer.age_s,
            drift=drift,
        )
        is_proof = proven_at_s > self.proven_at_s
        self.proven_at_s = max(self.proven_at_s, proven_at_s)
        return Taken(is_proof=is_proof, kinds=kinds)

    def distrust(self) -> None:
        """Give up the proof and ask for the whole state."""
        self.digest_mismatches += 1
        self.proven_at_s = freshness.NEVER_S
        self._wants_whole = True

    def has_news(
        self, question: messages.StateQuestion, *, arrived_at_s: float
    ) -> bool:
        """Tell whether to answer a question from below now."""
        return answers.has_news(
            question,
            store=self.store,
            sites=self._held,
            proven_at_s=self.proven_at_s,
            arrived_at_s=arrived_at_s,
        )

    def answer(
        self,
        question: messages.StateQuestion,
        *,
        arrived_at_s: float,
        now_s: float,
    ) -> messages.StateAnswer | None:
        """Return the answer, or None when a site is not held yet."""
        if not answers.holds_sites(question, self._held):
            return None
        return answers.answer_to(
            question,
            store=self.store,
            proven_at_s=self.proven_at_s,
            arrived_at_s=arrived_at_s,
            now_s=now_s,
        )

    def _take_parts(
        self, question: messages.StateQuestion, answer: messages.StateAnswer
    ) -> frozenset[str]:
        if answer.whole:
            return self._replace(question, answer)
        if question.version > self.version:
            return frozenset()
        advances = answer.version > self.version
        self.store.merge(answer.rows)
        self.store.advance(answer.version)
        for key, _, value in answer.rows:
            self.view.put(key, value)
        asked = frozenset(question.sites)
        self._held = asked if advances else self._held | asked
        return frozenset(row[0][0] for row in answer.rows)

    def _replace(
        self, question: messages.StateQuestion, answer: messages.StateAnswer
    ) -> frozenset[str]:
        store = parts.PartStore()
        store.merge(answer.rows)
        store.floor_version = answer.version
        store.advance(answer.version)
        view = views.StateView()
        for key, _, value in answer.rows:
            view.put(key, value)
        self.store = store
        self.view = view
        self._held = frozenset(question.sites)
        self._wants_whole = False
        self.whole_answers += 1
        return frozenset({'base', 'overlay', 'key', 'drain', 'leaving'})
