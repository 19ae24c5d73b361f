"""Specification of operators racing, resends and a change of leader.

Operators send commands to the leader, which appends them; a lost answer makes
an operator send the same command again, to the same leader or the next. A new
leader keeps the committed entries and any part of the tail after them. The
committed commands are applied by the program's own control state.
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


class _ForgetfulState(states.ControlState):
    """Remember no first result."""

    def __init__(self) -> None:
        super().__init__()
        self._first_results = _NoResults()


class _NoResults(results.FirstResults):
    def find(self, operation_id, fingerprint, *, at_s):
        return None


class _BlindState(states.ControlState):
    """Take a push against any version."""

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
    following = []
    for place, operator in enumerate(OPERATORS):
        if left[place]:
            fewer = (*left[:place], left[place] - 1, *left[place + 1 :])
            after = (committed, (*tail, operator), seen, fewer)
            following.append((f'send_{operator}', after))
    return following


def _commits(state: tuple, state_type: type) -> list[tuple[str, tuple]]:
    committed, tail, seen, left = state
    if not tail:
        return []
    log = (*committed, tail[0])
    place = OPERATORS.index(tail[0])
    answer = _answers(state_type, log)[-1]
    heard = (*seen[:place], seen[place] | {answer}, *seen[place + 1 :])
    return [
        ('commit_lost', (log, tail[1:], seen, left)),
        ('commit_answered', (log, tail[1:], heard, left)),
    ]


def _leader_changes(
    state: tuple, keeps_committed: bool
) -> list[tuple[str, tuple]]:
    committed, tail, seen, left = state
    following = [
        (f'keep{kept}', (committed, tail[:kept], seen, left))
        for kept in range(len(tail))
    ]
    if committed and not keeps_committed:
        following.append(('forget', (committed[:-1], (), seen, left)))
    return following


def _transitions(
    state_type: type, keeps_committed: bool
) -> Callable[[tuple], list]:
    def transitions(state: tuple) -> list:
        return (
            _sends(state)
            + _commits(state, state_type)
            + _leader_changes(state, keeps_committed)
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
    keeps_committed: bool = True,
) -> minicheck.Protocol:
    def one_winner(fields: dict) -> bool:
        return len(_accepted(state_type, fields['committed'])) <= 1

    def first_answer_again(fields: dict) -> bool:
        return all(len(answers) <= 1 for answers in fields['seen'])

    def winner_stays(fields: dict) -> bool:
        held = _accepted(state_type, fields['committed'])
        told = {
            answer
            for answers in fields['seen']
            for answer in answers
            if isinstance(answer, commands.Accepted)
        }
        return told <= held

    empty: tuple[frozenset, ...] = (frozenset(),) * len(OPERATORS)
    return minicheck.Protocol(
        name='version_race',
        candidate=False,
        fields=('committed', 'tail', 'seen', 'left'),
        initial=((), (), empty, (sends,) * len(OPERATORS)),
        transitions=_transitions(state_type, keeps_committed),
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
                _protocol(sends=2, state_type=_ForgetfulState),
            ),
            ('version_ignored', _protocol(sends=2, state_type=_BlindState)),
            (
                'leader_forgets_committed',
                _protocol(sends=2, keeps_committed=False),
            ),
        ),
        small=_protocol(sends=2),
    ),
)
