"""Entry hosts that run the program's whole request path, in virtual time.

Each host has a ``RequestHandler`` whose sender is connected to stand-in
upstreams instead of sockets. Reports and grants go to the program's own
``Grants``, and views follow its own ``FleetState``, as in a fleet. Upstreams
record the requests that reach them.
"""

import asyncio
import dataclasses
import random
import types

import multidict

from skylarkpitch.fleet import commands
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import grants
from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import subscriber
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import refusals
from skylarkpitch.forwarding import request_handler as handlers
from skylarkpitch.forwarding import retry_budget
from skylarkpitch.forwarding import sender as senders
from skylarkpitch.forwarding import upstream_selector as selectors
from skylarkpitch.messages import fleet as messages
from tests.stand_ins import connection_guards

HOST = 'pans.example'
NAMES = header_names.HeaderNames()
DOMAINS = ('east-a', 'east-b', 'north-a', 'north-b', 'west-a', 'west-b')
ONE_WAY_S = 0.001
VIEW_DELAY_S = 0.05
RESTART_S = 2.0
# Target of a request that crashes each upstream which runs it.
HARMFUL = '/pans/harmful'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request that reached an upstream."""

    at_s: float
    host: str
    upstream: str
    target: str


class _OpenTransport:
    """Transport of a caller that stays connected, without a socket."""

    def is_closing(self):
        return False

    def get_extra_info(self, name):
        return None


class Response(senders.UpstreamResponse):
    """Response of a stand-in upstream; ``rows`` are its headers."""

    def __init__(self, *, status, rows, body):
        self.status = status
        self.headers = tuple(rows.items())
        self.body = body
        self.rest = None
        self.local_port = 0
        self._rows = multidict.CIMultiDict(rows)

    def header(self, name):
        return self._rows.get(name)

    def head(self):
        return senders.ResponseHead(
            status=self.status,
            values=lambda name: self._rows.getall(name, ()),
        )

    def close(self):
        pass

    def release(self):
        """Hold nothing, since nothing was read from a connection."""


class Upstream:
    """Upstream that answers after ``work_s``, unless a request crashes it.

    ``rows`` are headers of all its responses, and ``status`` is theirs; with
    an error status it does not run requests. Of the requests that it runs it
    breaks off ``break_off_share``. ``is_same_id`` keeps the id at
    a restart. ``crashes`` has the time and the target of each.
    """

    def __init__(self, fleet, name, *, failure_domain, slots, work_s):
        self.fleet = fleet
        self.name = name
        self.failure_domain = failure_domain
        self.slots = slots
        self.work_s = work_s
        self.rows = {}
        self.status = 200
        self.break_off_share = 0.0
        self.is_same_id = False
        self.is_up = False
        self.incarnation = 0
        self.crashes = []
        self.running = set()

    @property
    def upstream_id(self):
        if self.is_same_id:
            return self.name
        return f'{self.name}.{self.incarnation}'

    def start(self):
        """Start a new incarnation and announce it."""
        self.incarnation += 1
        self.is_up = True
        self.fleet.submit(
            commands.RecordUpstream(
                upstream=model.Upstream(
                    upstream_id=self.upstream_id,
                    born_ms=self.incarnation,
                    sequence=1,
                    service='desk',
                    address=self.name,
                    failure_domain=self.failure_domain,
                    slots=self.slots,
                )
            )
        )

    def stop(self):
        """Stop; requests that are running here get no response."""
        self.is_up = False
        for running in self.running:
            running.cancel()

    def crash(self, target):
        """Crash, and start again as a new incarnation after some seconds."""
        self.crashes.append((self.fleet.now_s(), target))
        self.stop()
        loop = asyncio.get_running_loop()
        loop.call_later(RESTART_S, self.start)

    async def run(self, request):
        """Run a request; return a response, or None if it breaks off."""
        if self.status >= 500:
            return Response(status=self.status, rows=self.rows, body=b'')
        if request.target.startswith(HARMFUL):
            await asyncio.sleep(self.fleet.crash_after_s)
            if self.is_up:
                self.crash(request.target)
            return None
        incarnation = self.incarnation
        running = asyncio.ensure_future(asyncio.sleep(self.work_s))
        self.running.add(running)
        try:
            await asyncio.wait([running])
        finally:
            running.cancel()
            self.running.discard(running)
        if not self.is_up or self.incarnation != incarnation:
            return None
        if self.fleet.rng.random() < self.break_off_share:
            return None
        return Response(
            status=self.status, rows=self.rows, body=request.target.encode()
        )


class _Sender:
    """Sender of one host, which delivers requests to the upstreams."""

    def __init__(self, fleet, host):
        self._fleet = fleet
        self._host = host

    async def send(
        self, request, *, address, deadline_s, on_head, has_caller_left
    ):
        try:
            async with asyncio.timeout(deadline_s - self._fleet.now_s()):
                return await self._exchange(request, address, on_head)
        except TimeoutError:
            return senders.Failure(
                sent=True, reason=refusals.Reason.TOO_LATE, detail=''
            )

    async def is_listening(self, address):
        await asyncio.sleep(2 * ONE_WAY_S)
        return self._fleet.upstreams[address].is_up

    async def _exchange(self, request, address, on_head):
        await asyncio.sleep(ONE_WAY_S)
        upstream = self._fleet.upstreams[address]
        if not upstream.is_up:
            return senders.Failure(
                sent=False, reason=refusals.Reason.NOT_REACHED, detail=''
            )
        expected = dict(request.headers)[NAMES.expected_upstream]
        if expected != upstream.upstream_id:
            await asyncio.sleep(ONE_WAY_S)
            return Response(status=421, rows={NAMES.not_run: '1'}, body=b'')
        self._fleet.arrivals.append(
            Arrival(
                at_s=self._fleet.now_s(),
                host=self._host,
                upstream=upstream.upstream_id,
                target=request.target,
            )
        )
        response = await upstream.run(request)
        await asyncio.sleep(ONE_WAY_S)
        if response is None:
            return senders.Failure(
                sent=True,
                reason=self._fleet.crash_reason,
                detail='broke off',
            )
        on_head(response.head())
        return response


class Host:
    """An entry host; it reports while ``is_connected``."""

    def __init__(self, fleet, name, domain):
        self.name = name
        self.entry_host = model.EntryHost(
            name=name,
            callers_address=f'{name}:80',
            region=fleet.region_of(domain),
            failure_domain=domain,
        )
        self.is_connected = True
        self.view = views.FleetView()
        self.outcomes = []
        self.handler = handlers.RequestHandler(
            view=self.view,
            host=name,
            selector=selectors.UpstreamSelector(
                region=fleet.region_of(domain),
                failure_domain=domain,
                region_of=fleet.region_of,
            ),
            names=NAMES,
            retry_limits=retry_budget.RetryLimits(ratio=0.2, extra=60.0),
            rate_tolerance=callers.RateTolerance(),
            pool=connection_guards.resources().pool,
            is_ready=lambda: True,
            is_stopping=lambda: False,
            on_finished=self.outcomes.append,
            sender=_Sender(fleet, name),
            clock=fleet.now_s,
            unix_clock=fleet.now_s,
            rng=fleet.rng,
        )

    def follow(self, state):
        """Apply what has changed in the state since the last call."""
        if not self.is_connected:
            return
        index = self.view.index
        rows = state.parts.rows_since(index, {}) if index else None
        response = messages.WatchResponse(
            cluster='c',
            index=state.index,
            whole=index == 0,
            heard_age_s=0.0,
            rows=fleet_state.shared_rows(rows or state.parts.rows()),
        )
        changes = self.view.apply(response)
        if changes:
            self.handler.apply_view_changes(changes)


class HandlerFleet:
    """``hosts`` entry hosts and ``upstreams`` upstreams of one service.

    A request that is harmful crashes its upstream after ``crash_after_s``,
    and the host sees a failure with the ``crash_reason``.
    """

    def __init__(
        self,
        *,
        hosts,
        upstreams,
        seed,
        slots=4,
        work_s=0.05,
        crash_after_s=0.02,
        crash_reason=refusals.Reason.UPSTREAM_BROKE_OFF,
        repeatable=True,
        timeout_s=1.2,
        objective_s=0.3,
    ):
        self.rng = random.Random(seed)
        self.work_s = work_s
        self.crash_after_s = crash_after_s
        self.crash_reason = crash_reason
        self.arrivals = []
        self.harmful_ids = set()
        self.state = fleet_state.FleetState()
        self.grants = self.new_leader()
        self._repeatable = repeatable
        self._timeout_s = timeout_s
        self._objective_s = objective_s
        self.upstreams = {}
        for number in range(upstreams):
            name = f'u{number}'
            self.upstreams[name] = Upstream(
                self,
                name,
                failure_domain=DOMAINS[number % len(DOMAINS)],
                slots=slots,
                work_s=work_s,
            )
        self._host_count = hosts
        self.hosts = []
        self._tasks = set()

    @staticmethod
    def region_of(failure_domain):
        return failure_domain.partition('-')[0]

    @staticmethod
    def now_s():
        return asyncio.get_running_loop().time()

    def new_leader(self):
        """Replace the leader by one that has seen no report yet."""
        self.grants = grants.Grants(state=self.state, region_of=self.region_of)
        return self.grants

    def submit(self, command):
        """Commit a command; the hosts follow a little later."""
        self.state.apply(self.state.index + 1, commands.encode(command))
        loop = asyncio.get_running_loop()
        for host in self.hosts:
            loop.call_later(VIEW_DELAY_S, host.follow, self.state)

    async def start(self):
        route = model.Route(
            name='r1',
            host=HOST,
            path_prefix='/pans/',
            repeatable=self._repeatable,
            timeout_ms=self._timeout_s * 1000,
            objective_ms=self._objective_s * 1000,
            max_upstreams=2,
            rank=1,
            services=(model.WeightedService(service='desk', weight=1),),
        )
        self.submit(
            commands.PutConfiguration(
                configuration=model.Configuration(
                    version=1,
                    routes=(route,),
                    services=(model.Service(name='desk', health_path='/'),),
                ),
                document=b'{}',
            )
        )
        for upstream in self.upstreams.values():
            upstream.start()
        for _number in range(self._host_count):
            self.add_host()
        for host in self.hosts:
            host.follow(self.state)
        await asyncio.sleep(1.0)

    def add_host(self):
        """Start another entry host and return it."""
        number = len(self.hosts)
        host = Host(self, f'e{number}', DOMAINS[number % len(DOMAINS)])
        self.hosts.append(host)
        self.submit(commands.RecordEntryHost(entry_host=host.entry_host))
        self.run_in_background(self._report_regularly(host))
        return host

    async def stop(self):
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def run_in_background(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _report_regularly(self, host):
        await asyncio.sleep(
            self.rng.uniform(0.0, subscriber.REPORT_INTERVAL_S)
        )
        while True:
            is_due = host.is_connected and await self._report(host)
            await asyncio.sleep(
                subscriber.REPORT_AGAIN_S
                if is_due
                else subscriber.REPORT_INTERVAL_S
            )

    async def _report(self, host):
        report = host.handler.report(host.entry_host, leaving=False)
        sent = control_requests.encode(report)
        await asyncio.sleep(ONE_WAY_S)
        grant = self.grants.grant(
            control_requests.decode(sent), now_s=self.now_s()
        )
        sent = model.encode(grant)
        await asyncio.sleep(ONE_WAY_S)
        return host.handler.apply_grant(
            model.decode(control_requests.EntryGrant, sent)
        )

    async def request(self, target, *, host=None):
        """Send a request to a host, at random unless named."""
        host = host or self.rng.choice(self.hosts)
        request_id = f'{self.rng.getrandbits(64):016x}'
        if target.startswith(HARMFUL):
            self.harmful_ids.add(request_id)
        headers = {'Host': HOST, NAMES.request_id: request_id}
        return await host.handler.handle(
            types.SimpleNamespace(
                method='GET',
                raw_path=target,
                headers=multidict.CIMultiDict(headers),
                content_length=0,
                body_exists=False,
                transport=_OpenTransport(),
            )
        )

    async def requests(self, *, per_s, duration_s, target='/pans/{}'):
        """Send requests at random times, and wait for their responses."""
        ends_s = self.now_s() + duration_s
        running = []
        while self.now_s() < ends_s:
            await asyncio.sleep(self.rng.expovariate(per_s))
            name = target.format(self.rng.randrange(1000))
            running.append(self.run_in_background(self.request(name)))
        return await asyncio.gather(*running)
