"""Specification of operators racing under equal version numbers.

Two operators each send one change against version 0, and each may resend
it after a lost answer. The state is the committed version, the operation
that made it, and the last answer that each operator saw.
"""

import minicheck

from benchmarks.models import spec

__all__ = ['SPECS']

OPERATORS = (1, 2)
NO_ANSWER = 0
WON = 1
LOST = 2


def _answer(state: tuple, operator: int, remembers: bool) -> tuple:
    version, applied, answers = state
    result = answers[operator - 1]
    if operator in applied and remembers:
        result = WON
    elif version == 0 or not remembers:
        version += 1
        applied = applied + (operator,)
        result = WON
    else:
        result = LOST
    changed = list(answers)
    changed[operator - 1] = result
    return version, applied, tuple(changed)


def _transitions(*, sends: int, remembers: bool):
    def transitions(state: tuple) -> list:
        version, applied, answers, left = state
        following = []
        for operator in OPERATORS:
            if left[operator - 1] == 0:
                continue
            fewer = list(left)
            fewer[operator - 1] -= 1
            taken = _answer((version, applied, answers), operator, remembers)
            lost = (taken[0], taken[1], answers)
            following.append((f'answered{operator}', (*taken, tuple(fewer))))
            following.append((f'lost{operator}', (*lost, tuple(fewer))))
        return following

    return transitions


def _protocol(*, sends: int, remembers: bool) -> minicheck.Protocol:
    return minicheck.Protocol(
        name='version_race',
        candidate=False,
        fields=('version', 'applied', 'answers', 'left'),
        initial=(0, (), (NO_ANSWER, NO_ANSWER), (sends, sends)),
        transitions=_transitions(sends=sends, remembers=remembers),
        invariants={
            'one_winner': lambda s: s['version'] <= 1,
            'applied_once': lambda s: len(s['applied']) <= 1,
            'not_both_won': lambda s: s['answers'] != (WON, WON),
        },
    )


SPECS = (
    spec.Spec(
        name='version_race',
        protocol=_protocol(sends=4, remembers=True),
        broken=(
            ('resend_applies_again', _protocol(sends=2, remembers=False)),
        ),
        small=_protocol(sends=2, remembers=True),
    ),
)
