"""HTTP look-up of the entry hosts that a caller should use for a service.

The answers are computed in advance as bytes, one for each failure domain,
service and variant. A change recomputes the answers of the failure domains
that it affects. Only the prefix of operation ids is inserted when a request
arrives.
"""

from collections.abc import Callable
from collections.abc import Mapping
import time
from typing import Any

from aiohttp import web
import mode
import msgspec

from skylarkpitch.peers import directory as directories
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment
from skylarkpitch.steering import lookup_answers
from skylarkpitch.steering import lookup_blocks

__all__ = ['LookupService']

REFRESH_INTERVAL_S = 0.25
PATH = '/skylark/v1/lookup'
RETRY_AFTER_S = 1

_REFUSALS = {
    'service_unknown': (404, 'name a service of the configuration'),
    'service_missing': (400, 'give the service, as in ?service=NAME'),
    'client_malformed': (400, 'give client as a numeric IP address'),
    'no_hosts': (503, 'look up again after Retry-After'),
    'state_stale': (503, 'ask another entry host'),
}


class LookupService(mode.Service):
    """Serve look-up answers from memory and update them.

    ``capacity`` returns the capacity of the hosts for which it is known, in
    any unit that they share. Hosts are weighted by its ratio to the median,
    and a host with a capacity of 0 is left out of the answers. ``is_leaving``
    returns the names of further hosts to leave out, such as those that are
    stopping. ``id_prefix`` returns the prefix of the operation ids that
    callers use with an answer.
    """

    def __init__(
        self,
        *,
        directory: directories.Directory,
        site_config: Callable[[], deployment.SiteConfig | sentinels.Absent],
        is_leaving: Callable[[], frozenset[str]],
        capacity: Callable[[], Mapping[str, float]] = dict,
        clock: Callable[[], float] = time.monotonic,
        id_prefix: Callable[[], str] = str,
        blocks: lookup_blocks.BlockTable | None = None,
        scheme: str = 'http',
        **options: Any,
    ) -> None:
        self._site_config = site_config
        self._is_leaving = is_leaving
        self._capacity = capacity
        self._clock = clock
        self._id_prefix = id_prefix
        self._blocks = blocks or lookup_blocks.BlockTable()
        self._answers = lookup_answers.Answers(
            hosts=directory.with_role('entry'),
            local_host=directory.local_host,
            scheme=scheme,
        )
        self._config: deployment.SiteConfig | sentinels.Absent = (
            sentinels.Absent('state_stale')
        )
        self._last_refresh_s = float('-inf')
        self._encoded_prefix = b'""'
        self._counts = {'answered': 0, 'refused': 0}
        super().__init__(**options)

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes for the callers' listener."""
        return [web.get(PATH, self._handle)]

    def answer(self, service: str, client_ip: str) -> bytes | sentinels.Absent:
        """Return the JSON answer for a service and a client's IP address.

        ``Absent`` reasons: ``service_unknown``, ``client_malformed``,
        ``no_hosts`` and ``state_stale``.
        """
        self._refresh(self._clock())
        if isinstance(self._config, sentinels.Absent):
            return sentinels.Absent('state_stale')
        match = self._blocks.find(client_ip)
        if isinstance(match, sentinels.Absent):
            return match
        parts = self._answers.find(
            service, match.failure_domain, match.variant
        )
        if isinstance(parts, sentinels.Absent):
            return parts
        return parts.head + self._encoded_prefix + parts.tail

    def counters(self) -> dict[str, float]:
        """Return the counters for metrics and status."""
        return {
            'lookup_answered': self._counts['answered'],
            'lookup_refused': self._counts['refused'],
            'lookup_recomputed': self._answers.recomputed,
            'lookup_blocks': len(self._blocks),
        }

    @mode.Service.task
    async def _refresh_periodically(self) -> None:
        while not self.should_stop:
            self._refresh(self._clock())
            await self.sleep(REFRESH_INTERVAL_S)

    def _refresh(self, now_s: float) -> None:
        if now_s - self._last_refresh_s < REFRESH_INTERVAL_S:
            return
        self._last_refresh_s = now_s
        self._encoded_prefix = msgspec.json.encode(self._id_prefix())
        config = self._site_config()
        if isinstance(config, sentinels.Absent):
            return
        self._config = config
        self._answers.update(
            services=tuple(sorted(config.services)),
            lifetime_s=config.policy.lookup_lifetime_s,
            length=config.policy.lookup_hosts,
            leaving=self._is_leaving(),
            capacity=self._capacity(),
        )

    async def _handle(self, request: web.Request) -> web.Response:
        service = request.query.get('service', '')
        client = request.query.get('client') or request.remote or ''
        if not service:
            return self._refusal('service_missing', service)
        answer = self.answer(service, client)
        if isinstance(answer, sentinels.Absent):
            return self._refusal(answer.reason, answer.detail)
        self._counts['answered'] += 1
        max_age_s = int(self._config.policy.lookup_lifetime_s)
        return web.Response(
            body=answer,
            content_type='application/json',
            headers={'Cache-Control': f'max-age={max_age_s}'},
        )

    def _refusal(self, reason: str, detail: str) -> web.Response:
        self._counts['refused'] += 1
        status, remedy = _REFUSALS[reason]
        headers = {
            'Cache-Control': 'no-store',
            'Skylark-Outcome': 'not-run',
            'Skylark-Reason': reason,
        }
        if status == 503:
            headers['Retry-After'] = str(RETRY_AFTER_S)
        body = {
            'status': status,
            'reason': reason,
            'outcome': 'not-run',
            'message': f'{reason}: {detail}' if detail else reason,
            'remedy': remedy,
        }
        return web.Response(
            status=status,
            body=msgspec.json.encode(body),
            content_type='application/json',
            headers=headers,
        )
