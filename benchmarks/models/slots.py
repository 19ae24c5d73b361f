"""Specification of which host may allocate the one slot of an upstream.

Two entry hosts, and one upstream that announces itself to one of them at a
time. Announcements can be delayed or lost, the connection between the hosts
can fail, and a host can restart without its state. A lease lasts longer on
the host whose clock runs slow. All counters are remaining times. An
announcement without an echo is decided by ``evaluate_claim`` of the program.
"""

from collections.abc import Callable
import dataclasses

import minicheck

from benchmarks.models import spec
from skylarkpitch.membership import ownership

__all__ = ['SPECS']

HOSTS = (0, 1)
NO_HOST = -1
INSTANCES = ('h0', 'h1')


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Variant:
    lease: tuple[int, int] = (2, 1)
    wait: int = 2
    work: int = 2
    from_echo: bool = True
    remembers: bool = True
    restarts: int = 1


def _replace(items: tuple, position: int, item: object) -> tuple:
    return items[:position] + (item,) + items[position + 1 :]


def _decrement(value: int) -> int:
    return max(0, value - 1)


def _tick(state: tuple, variant: _Variant) -> tuple:
    hosts, orphan, upstream, message, left = state
    hosts = tuple(
        (_decrement(lease), known, _decrement(run), _decrement(blocked))
        for lease, known, run, blocked in hosts
    )
    target, echo, previous, age = upstream
    upstream = (target, _decrement(echo), previous, min(age + 1, variant.wait))
    if message is not None:
        message = (message[0], _decrement(message[1]), *message[2:])
    return hosts, _decrement(orphan), upstream, message, left


def _send(state: tuple) -> tuple:
    hosts, orphan, (target, echo, previous, age), _, left = state
    if echo:
        previous, age = target, 0
    upstream = (target, echo, previous, age)
    return hosts, orphan, upstream, (target, echo, previous, age), left


def _switch(state: tuple) -> tuple:
    hosts, orphan, (target, _, previous, age), message, left = state
    return hosts, orphan, (1 - target, 0, previous, age), message, left


def _forget_echoes(state: tuple, host: int) -> tuple:
    hosts, orphan, upstream, message, left = state
    if upstream[0] == host:
        upstream = (upstream[0], 0, *upstream[2:])
    if message is not None and message[0] == host:
        message = (message[0], 0, *message[2:])
    return hosts, orphan, upstream, message, left


def _release(state: tuple, host: int) -> tuple:
    hosts = state[0]
    _, known, run, blocked = hosts[host]
    hosts = _replace(hosts, host, (0, known, run, blocked))
    return _forget_echoes((hosts, *state[1:]), host)


def _restart(state: tuple, host: int, variant: _Variant) -> tuple:
    hosts, orphan, upstream, message, left = state
    orphan = max(orphan, hosts[host][2])
    hosts = _replace(hosts, host, (0, False, 0, 0))
    return _forget_echoes((hosts, orphan, upstream, message, left - 1), host)


def _evaluate(
    state: tuple, host: int, reachable: bool, variant: _Variant
) -> ownership.ClaimDecision:
    hosts, _, _, message, _ = state
    _, _, previous, age = message
    other = 1 - host
    responses = {}
    if reachable:
        responses[INSTANCES[other]] = (
            hosts[other][1] or not variant.remembers,
            0,
        )
    return ownership.evaluate_claim(
        ownership.Claim(
            own_host=INSTANCES[host],
            previous_owner='' if previous == NO_HOST else INSTANCES[previous],
            previous_owner_age_s=age,
        ),
        release_responses=responses,
        unresponsive=[] if reachable else [INSTANCES[other]],
        has_history=hosts[host][1] or not variant.remembers,
        takeover_wait_s=variant.wait,
        max_work_s=variant.work,
    )


def _admit(state: tuple, reachable: bool, variant: _Variant) -> tuple | None:
    host = state[3][0]
    decision = _evaluate(state, host, reachable, variant)
    if reachable:
        state = _release(state, 1 - host)
    if decision.retry_after_s > 0:
        return None
    hosts = state[0]
    lease, known, run, blocked = hosts[host]
    if reachable:
        blocked = max(blocked, *hosts[1 - host][2:])
    if decision.unknown_work:
        blocked = variant.work
    hosts = _replace(hosts, host, (lease, known, run, blocked))
    return _answer((hosts, *state[1:]), host, variant)


def _answer(state: tuple, host: int, variant: _Variant) -> tuple:
    hosts, orphan, (target, echo, previous, age), _, left = state
    if target == host:
        echo = variant.lease[host]
    return hosts, orphan, (target, echo, previous, age), None, left


def _renew(state: tuple, variant: _Variant) -> tuple:
    hosts, orphan, upstream, (host, echo, *_), left = state
    lease, _, run, blocked = hosts[host]
    lease_left = echo if variant.from_echo else variant.lease[host]
    hosts = _replace(hosts, host, (max(lease, lease_left), True, run, blocked))
    return hosts, orphan, upstream, None, left


def _delivered(state: tuple, variant: _Variant) -> list:
    message = state[3]
    if message[1] or (not variant.from_echo and message[2] == message[0]):
        renewed = _renew(state, variant)
        answered = _answer(renewed, message[0], variant)
        return [('renewed', answered), ('answer_lost', renewed)]
    successors = []
    for reachable in (True, False):
        after = _admit(state, reachable, variant)
        if after is not None:
            successors.append((f'admitted_heard_{reachable}', after))
    return successors


def _host_steps(state: tuple, host: int, variant: _Variant) -> list:
    hosts = state[0]
    lease, known, run, blocked = hosts[host]
    successors = []
    if lease and not run and not blocked:
        started = _replace(hosts, host, (lease, known, variant.work, blocked))
        successors.append((f'run{host}', (started, *state[1:])))
    if run:
        ended = _replace(hosts, host, (lease, known, 0, blocked))
        successors.append((f'end{host}', (ended, *state[1:])))
    if lease:
        successors.append((f'hand_over{host}', _release(state, host)))
    if state[4]:
        successors.append((f'restart{host}', _restart(state, host, variant)))
    return successors


def _transitions(variant: _Variant) -> Callable[[tuple], list]:
    def transitions(state: tuple) -> list:
        successors = [('tick', _tick(state, variant))]
        successors.append(('switch', _switch(state)))
        if state[3] is None:
            successors.append(('send', _send(state)))
        else:
            lost = (*state[:3], None, state[4])
            successors.append(('lost', lost))
            successors.extend(_delivered(state, variant))
        for host in HOSTS:
            successors.extend(_host_steps(state, host, variant))
        return successors

    return transitions


def _slots_in_use(state: dict) -> int:
    running = sum(1 for host in state['hosts'] if host[2])
    return running + (1 if state['orphan'] else 0)


def _protocol(variant: _Variant) -> minicheck.Protocol:
    idle = (0, False, 0, 0)
    return minicheck.Protocol(
        name='slot_ownership',
        candidate=False,
        fields=('hosts', 'orphan', 'upstream', 'message', 'restarts'),
        initial=(
            (idle, idle),
            0,
            (0, 0, NO_HOST, 0),
            None,
            variant.restarts,
        ),
        transitions=_transitions(variant),
        invariants={
            'one_owner': lambda s: not all(host[0] for host in s['hosts']),
            'slots_in_use': lambda s: _slots_in_use(s) <= 1,
        },
    )


SPECS = (
    spec.Spec(
        name='slot_ownership',
        protocol=_protocol(_Variant(lease=(3, 2), wait=3, work=3, restarts=2)),
        broken=(
            ('switch_before_the_lease_ends', _protocol(_Variant(wait=1))),
            ('lease_from_the_receipt', _protocol(_Variant(from_echo=False))),
            (
                'restart_forgets_running_work',
                _protocol(_Variant(remembers=False)),
            ),
        ),
        small=_protocol(_Variant()),
    ),
)
