"""Serve exchanges that other hosts hold tickets for.

The relay listens apart from callers. A ticket stands for one reserved slot
and was handed out over the authenticated peer transport, so it can be
redeemed once and by nobody else.
"""

from collections.abc import Callable
import time

from aiohttp import web

from skylarkpitch import ports
from skylarkpitch.requests import bodies
from skylarkpitch.requests import exchange
from skylarkpitch.requests import exchange_results as results
from skylarkpitch.requests import headers as header_rules
from skylarkpitch.requests import relay_outcomes
from skylarkpitch.requests import responses
from skylarkpitch import sentinels
from skylarkpitch.settings import daemon

__all__ = ['RELAY_PATH', 'RelayServer']

RELAY_PATH = '/skylark/v1/relay'
MAX_DEADLINE_S = 300.0
_PASSED_ON = (header_rules.ORGANISATION_HEADER, header_rules.DEADLINE_HEADER)


class RelayServer:
    """Run exchanges for other hosts on slots that this host owns."""

    def __init__(
        self,
        *,
        redeem: Callable[[str], ports.Slot | sentinels.Absent],
        settings: daemon.LimitSettings,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.running = 0
        self._redeem = redeem
        self._settings = settings
        self._clock = clock
        self._exchanger = exchange.Exchanger(settings=settings, clock=clock)
        self._counts = {'relayed': 0, 'ticket_refused': 0, 'failed': 0}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the relay listener."""
        return [web.route('*', RELAY_PATH, self.handle)]

    async def start(self) -> None:
        """Do nothing yet: sessions open with the first exchange."""

    async def close(self) -> None:
        """Close the client sessions."""
        await self._exchanger.close()

    def counters(self) -> dict[str, float]:
        """Return running and ended exchanges."""
        return {'running': self.running, **self._counts}

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Redeem the ticket and run its exchange."""
        slot = self._redeem(
            request.headers.get(header_rules.TICKET_HEADER, '')
        )
        target = request.headers.get(header_rules.TARGET_HEADER, '')
        if sentinels.is_absent(slot):
            return self._refuse_ticket()
        started_s = self._clock()
        result = ports.ExchangeOutcome.CANCELLED
        self.running += 1
        try:
            response, result = await self._run(request, slot, target)
            return response
        finally:
            self.running -= 1
            slot.finish(result, latency_s=self._clock() - started_s)

    async def _run(
        self, request: web.Request, slot: ports.Slot, target: str
    ) -> tuple[web.StreamResponse, ports.ExchangeOutcome]:
        self._counts['relayed'] += 1
        deadline_s = self._clock() + _deadline_s(request)
        body = self._body(request)
        result = await self._exchanger.run(
            slot, _outgoing(request, body, target), deadline_s=deadline_s
        )
        if isinstance(result, results.Failure):
            result = results.without_blame(result, reason=body.broken)
            self._counts['failed'] += 1
            headers = relay_outcomes.failure_headers(result)
            return web.Response(status=502, headers=headers), result.exchange
        extra = relay_outcomes.outcome_headers(relay_outcomes.ANSWERED)
        if result.whole:
            response = responses.whole(
                result, method=request.method, extra=extra
            )
            return response, results.judged(result.status)
        return await responses.stream(
            request,
            result,
            extra=extra,
            write_timeout_s=self._settings.body_timeout_s,
        )

    def _body(self, request: web.Request) -> bodies.CallerBody:
        if not request.body_exists:
            return bodies.CallerBody(head=b'', rest=None)
        rest = bodies.stream(request, settings=self._settings)
        return bodies.CallerBody(head=b'', rest=rest)

    def _refuse_ticket(self) -> web.Response:
        self._counts['ticket_refused'] += 1
        headers = relay_outcomes.outcome_headers(relay_outcomes.NOT_RUN)
        return web.Response(status=410, headers=headers)


def _outgoing(
    request: web.Request, body: bodies.CallerBody, target: str
) -> exchange.Outgoing:
    promised = tuple(
        (name, request.headers[name])
        for name in _PASSED_ON
        if name in request.headers
    )
    return exchange.Outgoing(
        method=request.method,
        target=target,
        headers=header_rules.end_to_end(request.headers) + promised,
        body=body.content(),
        # The chooser decides on retries, so none happens here.
        repeatable=request.method in ('GET', 'HEAD'),
    )


def _deadline_s(request: web.Request) -> float:
    text = request.headers.get(header_rules.DEADLINE_HEADER, '')
    if text.isascii() and text.isdigit() and len(text) < 12:
        return min(int(text) / 1000, MAX_DEADLINE_S)
    return MAX_DEADLINE_S
