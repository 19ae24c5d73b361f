"""Simulated callers that cache look-ups and check every response."""

import asyncio
import dataclasses
import hashlib
import itertools
import random
import time

import aiohttp

LOOKUP_TIMEOUT_S = 3.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Tally:
    """Counts of the outcomes that a caller got.

    ``aborted`` counts calls whose connection failed.
    """

    sent: int = 0
    answered: int = 0
    refused_not_run: int = 0
    unknown: int = 0
    wrong_answers: int = 0
    aborted: int = 0
    reasons: dict = dataclasses.field(default_factory=dict)
    latencies_s: list = dataclasses.field(default_factory=list)

    def count_reason(self, reason):
        self.reasons[reason] = self.reasons.get(reason, 0) + 1


@dataclasses.dataclass(slots=True, kw_only=True)
class Lookup:
    """Cached response to a look-up."""

    hosts: list
    prefix: str
    expires_s: float


async def _request_lookup(session, url, service):
    try:
        async with session.get(
            f'{url}/skylark/v1/lookup',
            params={'service': service},
            timeout=aiohttp.ClientTimeout(total=LOOKUP_TIMEOUT_S),
        ) as response:
            if response.status == 200:
                return await response.json()
    except (aiohttp.ClientError, TimeoutError):
        pass
    return None


class Caller:
    """Caller of one organisation in one failure domain.

    ``first_entries`` are the URLs that it sends look-ups to.
    """

    def __init__(
        self, *, key, organisation, first_entries, seed, clock=time.monotonic
    ):
        self.key = key
        self.organisation = organisation
        self.tally = Tally()
        self._first_entries = list(first_entries)
        self._rng = random.Random(seed)
        self._clock = clock
        self._lookups = {}
        self._numbers = itertools.count()

    async def entry(self, session, service):
        """Return an entry URL and an id prefix from the cached look-up."""
        lookup = self._lookups.get(service)
        if lookup is None or self._clock() >= lookup.expires_s:
            lookup = await self._look_up(session, service) or lookup
        if lookup is None:
            return self._first_entries[0], ''
        weights = [max(host['weight'], 0.001) for host in lookup.hosts]
        chosen = self._rng.choices(lookup.hosts, weights)[0]
        return chosen['url'].rstrip('/'), lookup.prefix

    async def _look_up(self, session, service):
        for url in self._first_entries:
            requested_s = self._clock()
            answer = await _request_lookup(session, url, service)
            if answer is not None and answer['hosts']:
                self._lookups[service] = Lookup(
                    hosts=answer['hosts'],
                    prefix=answer['operation_id_prefix'],
                    expires_s=requested_s + answer['lifetime_s'],
                )
                return self._lookups[service]
        return None

    async def call(
        self, session, service, method, path, *, body=b'', headers=None
    ):
        """Send one call; return its status, or None if it was aborted."""
        url, prefix = await self.entry(session, service)
        number = next(self._numbers)
        echo = f'{self.organisation}-{id(self)}-{number}'
        sent = {'Stand-In-Echo': echo, **(headers or {})}
        if self.key:
            sent['Skylark-Key'] = self.key
        if method == 'POST' and 'Idempotency-Key' not in sent:
            sent['Idempotency-Key'] = f'{prefix}{echo}'
        self.tally.sent += 1
        started_s = self._clock()
        try:
            async with session.request(
                method, url + path, data=body, headers=sent
            ) as response:
                answer = await response.json()
        except (aiohttp.ClientError, TimeoutError) as error:
            self.tally.aborted += 1
            self.tally.count_reason(f'cut:{type(error).__name__}')
            return None
        latency_s = self._clock() - started_s
        self._check_response(response, answer, path, body, echo, latency_s)
        return response.status

    def _check_response(self, response, answer, path, body, echo, latency_s):
        outcome = response.headers.get('Skylark-Outcome')
        if outcome is not None:
            self.tally.count_reason(answer['reason'])
            if outcome == 'not-run':
                self.tally.refused_not_run += 1
            else:
                self.tally.unknown += 1
            return
        expected = {
            'echo': echo,
            'path': path,
            'body_sha256': hashlib.sha256(body).hexdigest(),
        }
        seen = {name: answer.get(name) for name in expected}
        if response.status != 200 or seen != expected:
            self.tally.wrong_answers += 1
            self.tally.count_reason(f'wrong:{response.status}')
            return
        self.tally.answered += 1
        self.tally.latencies_s.append(latency_s)


async def call_regularly(
    caller, session, *, calls_per_s, until, send_call, clock=time.monotonic
):
    """Send calls at a constant rate, without waiting for responses.

    ``until()`` returns the time after which no further call is sent.
    """
    running = set()
    interval_s = 1 / calls_per_s
    next_s = clock()
    while clock() < until():
        task = asyncio.create_task(send_call(caller, session))
        running.add(task)
        task.add_done_callback(running.discard)
        next_s += interval_s
        await asyncio.sleep(max(0.0, next_s - clock()))
    await asyncio.gather(*running)
