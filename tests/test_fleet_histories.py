"""Random histories of late messages: what was acknowledged is not undone.

Upstreams start, beat, drain, leave, crash and start again under the same id;
entry hosts report and leave; failure domains are drained and taken back. Any
of their messages may arrive late, at any control host, while leaders change
and hosts restart from their journals and snapshots.

HISTORIES and HISTORIES_SEED set the number of examples and a seed for runs by
hand, and HISTORIES_ABOUT the matters to judge; in CI all of that is fixed.
"""

import asyncio
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.stand_ins import late_messages
from tests.stand_ins import virtual_time

EXAMPLES = int(os.environ.get('HISTORIES', '25'))
SEED = os.environ.get('HISTORIES_SEED')
ABOUT = os.environ.get('HISTORIES_ABOUT', 'upstreams,domains,entry_hosts')
STEPS = 14
UPSTREAMS = strategies.sampled_from(['u1', 'u2'])
ADDRESSES = strategies.sampled_from(['10.0.0.1:80', '10.0.0.2:80'])
HOSTS = strategies.sampled_from(late_messages.HOSTS)
NUMBERS = strategies.integers(0, 7)
FLAGS = strategies.booleans()


def has_processes(machine):
    return bool(machine.history.running())


class Histories(stateful.RuleBasedStateMachine):
    """Steps of a history, each judged after it was taken."""

    def __init__(self):
        super().__init__()
        self._runner = asyncio.Runner(loop_factory=virtual_time.VirtualLoop)
        self.history = late_messages.History()
        self._starts = {}
        self._run(self.history.begin())

    def _run(self, coroutine):
        return self._runner.run(coroutine)

    def _step(self, coroutine):
        async def judged():
            await coroutine
            await self.history.settle()
            return self.history.violations(ABOUT.split(','))

        assert self._run(judged()) == []

    def _process(self, number):
        running = self.history.running()
        return running[number % len(running)]

    @stateful.rule(
        name=UPSTREAMS, address=ADDRESSES, host=HOSTS, is_late=FLAGS
    )
    def start(self, name, address, host, is_late):
        async def step():
            if self.history.running(name) or not self.history.is_free(address):
                return
            await self.history.start(name, address, host=host, is_late=is_late)

        self._step(step())

    @stateful.precondition(has_processes)
    @stateful.rule(number=NUMBERS, host=HOSTS)
    def drain(self, number, host):
        self._step(self.history.drain(self._process(number), host=host))

    @stateful.precondition(has_processes)
    @stateful.rule(number=NUMBERS, host=HOSTS, names_start=FLAGS)
    def leave(self, number, host, names_start):
        self._step(
            self.history.leave(
                self._process(number), host=host, names_start=names_start
            )
        )

    @stateful.precondition(has_processes)
    @stateful.rule(number=NUMBERS)
    def crash(self, number):
        async def step():
            self.history.finish(self._process(number))
            await asyncio.sleep(late_messages.REUSE_AFTER_S)

        self._step(step())

    @stateful.precondition(has_processes)
    @stateful.rule(number=NUMBERS, host=HOSTS, is_late=FLAGS)
    def start_again(self, number, host, is_late):
        async def step():
            process = self._process(number)
            self.history.finish(process)
            await asyncio.sleep(late_messages.REUSE_AFTER_S)
            await self.history.start(
                process.upstream_id,
                process.address,
                host=host,
                is_late=is_late,
            )

        self._step(step())

    @stateful.precondition(has_processes)
    @stateful.rule(number=NUMBERS, host=HOSTS, has_late=FLAGS)
    def be_silent(self, number, host, has_late):
        async def step():
            process = self._process(number)
            process.is_silent = True
            await self.history.advance(7.0)
            if has_late:
                await self.history.deliver_of(process, host=host)
            process.is_silent = False

        self._step(step())

    @stateful.precondition(lambda machine: machine.history.late)
    @stateful.rule(number=NUMBERS, host=HOSTS)
    def deliver(self, number, host):
        self._step(self.history.deliver(number, host=host))

    @stateful.rule(draining=FLAGS, host=HOSTS, has_copy=FLAGS)
    def order(self, draining, host, has_copy):
        self._step(
            self.history.order(
                'east-a', draining=draining, host=host, has_copy=has_copy
            )
        )

    @stateful.rule(host=HOSTS, leaving=FLAGS)
    def report(self, host, leaving):
        start = self._starts.setdefault('e1', 0)
        if leaving:
            self._starts['e1'] += 1
        self._step(
            self.history.report('e1', start, leaving=leaving, host=host)
        )

    @stateful.rule(seconds=strategies.sampled_from([0.5, 2.0, 4.0]))
    def advance(self, seconds):
        self._step(self.history.advance(seconds))

    @stateful.rule()
    def replace_leader(self):
        self._step(self.history.replace_leader())

    @stateful.rule()
    def restart_all(self):
        self._step(self.history.restart_all())

    def teardown(self):
        try:
            assert self._run(self.history.missing()) == []
        finally:
            self._run(self.history.end())
            self._runner.close()


Histories.TestCase.settings = hypothesis.settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize=SEED is None,
    database=None,
    # A history that fails is short enough to be read as it is.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
    print_blob=False,
)
TestHistories = Histories.TestCase
if SEED is not None:
    TestHistories = hypothesis.seed(int(SEED))(TestHistories)
