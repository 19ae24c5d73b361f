"""Specification of concurrent pushes, resends and a change of leader.

Operators send commands to the leader, which appends them to its log. After a
lost response, an operator sends the same command again, to the same leader or
to its successor. The log of a new leader contains the committed entries and
any prefix of the uncommitted tail. The committed commands are applied by the
program's control state.
"""

from collections.abc import Callable
import functools
import json

import minicheck

from benchmarks.models import spec
from skylarkpitch.config import commands
from skylarkpitch.config import results
from skylarkpitch.config import rules
from skylarkpitch.config import state as states

__all__ = ['SPECS']

OPERATORS = ('ana', 'ben')
_BASE = json.dumps(
    {
        'services': {'s': {'routes': [{'prefix': '/s'}]}},
        'organisations': {},
        'regions': {'r': {'failure_domains': {'d': {}}}},
    }
)


def _push(operator: str, against_version: int) -> commands.PushConfig:
    return commands.PushConfig(
        operation_id=f'push-{operator}',
        operator=operator,
        at_s=0.0,
        against_version=against_version,
        base_json=_BASE,
        overlays_json={},
    )


class _StateWithoutResults(states.ControlState):
    """Store no first results."""

    def __init__(self) -> None:
        super().__init__()
        self._first_results = _NoResults()


class _NoResults(results.FirstResults):
    def find(self, operation_id, fingerprint, *, at_s):
        return None


class _StateIgnoringVersions(states.ControlState):
    """Accept a push against any version."""

    def _changes(self, item):
        current = commands.PushConfig(
            operation_id=item.operation_id,
            operator=item.operator,
            at_s=item.at_s,
            against_version=self.config_version,
            base_json=item.base_json,
            overlays_json=item.overlays_json,
        )
        return rules.changes_of(
            current,
            view=self._view,
            store=self.parts,
            config_version=self.config_version,
        )


@functools.cache
def _answers(state_type: type, log: tuple[str, ...]) -> tuple:
    """Return the result of each committed command."""
    state = state_type()
    return tuple(
        state.apply(n, commands.encode(_push(operator, 0)))
        for n, operator in enumerate(log)
    )


def _sends(state: tuple) -> list[tuple[str, tuple]]:
    committed, tail, seen, left = state
    successors = []
    for index, operator in enumerate(OPERATORS):
        if left[index]:
            fewer = (*left[:index], left[index] - 1, *left[index + 1 :])
            after = (committed, (*tail, operator), seen, fewer)
            successors.append((f'send_{operator}', after))
    return successors


def _commits(state: tuple, state_type: type) -> list[tuple[str, tuple]]:
    committed, tail, seen, left = state
    if not tail:
        return []
    log = (*committed, tail[0])
    index = OPERATORS.index(tail[0])
    answer = _answers(state_type, log)[-1]
    received = (*seen[:index], seen[index] | {answer}, *seen[index + 1 :])
    return [
        ('commit_lost', (log, tail[1:], seen, left)),
        ('commit_answered', (log, tail[1:], received, left)),
    ]


def _leader_changes(
    state: tuple, preserves_committed: bool
) -> list[tuple[str, tuple]]:
    committed, tail, seen, left = state
    successors = [
        (f'keep{length}', (committed, tail[:length], seen, left))
        for length in range(len(tail))
    ]
    if committed and not preserves_committed:
        successors.append(('forget', (committed[:-1], (), seen, left)))
    return successors


def _transitions(
    state_type: type, preserves_committed: bool
) -> Callable[[tuple], list]:
    def transitions(state: tuple) -> list:
        return (
            _sends(state)
            + _commits(state, state_type)
            + _leader_changes(state, preserves_committed)
        )

    return transitions


def _accepted(state_type: type, log: tuple[str, ...]) -> set:
    return {
        answer
        for answer in _answers(state_type, log)
        if isinstance(answer, commands.Accepted)
    }


def _protocol(
    *,
    sends: int,
    state_type: type = states.ControlState,
    preserves_committed: bool = True,
) -> minicheck.Protocol:
    def one_winner(fields: dict) -> bool:
        return len(_accepted(state_type, fields['committed'])) <= 1

    def first_answer_again(fields: dict) -> bool:
        return all(len(answers) <= 1 for answers in fields['seen'])

    def winner_stays(fields: dict) -> bool:
        accepted = _accepted(state_type, fields['committed'])
        received = {
            answer
            for answers in fields['seen']
            for answer in answers
            if isinstance(answer, commands.Accepted)
        }
        return received <= accepted

    empty: tuple[frozenset, ...] = (frozenset(),) * len(OPERATORS)
    return minicheck.Protocol(
        name='version_race',
        candidate=False,
        fields=('committed', 'tail', 'seen', 'left'),
        initial=((), (), empty, (sends,) * len(OPERATORS)),
        transitions=_transitions(state_type, preserves_committed),
        invariants={
            'one_winner': one_winner,
            'first_answer_again': first_answer_again,
            'winner_stays': winner_stays,
        },
    )


SPECS = (
    spec.Spec(
        name='version_race',
        protocol=_protocol(sends=4),
        broken=(
            (
                'resend_judged_anew',
                _protocol(sends=2, state_type=_StateWithoutResults),
            ),
            (
                'version_ignored',
                _protocol(sends=2, state_type=_StateIgnoringVersions),
            ),
            (
                'leader_forgets_committed',
                _protocol(sends=2, preserves_committed=False),
            ),
        ),
        small=_protocol(sends=2),
    ),
)
