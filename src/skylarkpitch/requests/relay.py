"""Relay that runs exchanges for other hosts that have tickets.

The relay has its own listener, apart from that for callers. A ticket is for
one reserved slot and can be redeemed once. It was sent over the authenticated
peer transport, so no other host knows it.
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
_FORWARDED_HEADERS = (
    header_rules.ORGANISATION_HEADER,
    header_rules.DEADLINE_HEADER,
)


class RelayServer:
    """Server that runs exchanges on slots that this host owns.

    ``redeem`` returns the reserved slot of a ticket, ``Absent`` if the ticket
    is unknown or was redeemed before.
    """

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
        self._client = exchange.UpstreamClient(settings=settings, clock=clock)
        self._counts = {'relayed': 0, 'ticket_refused': 0, 'failed': 0}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the relay listener."""
        return [web.route('*', RELAY_PATH, self.handle)]

    async def start(self) -> None:
        """Do nothing; the first exchange opens the client sessions."""

    async def close(self) -> None:
        """Close the client sessions."""
        await self._client.close()

    def counters(self) -> dict[str, float]:
        """Return counts of running and finished exchanges."""
        return {'running': self.running, **self._counts}

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Redeem the ticket of a request and run its exchange."""
        slot = self._redeem(
            request.headers.get(header_rules.TICKET_HEADER, '')
        )
        target = request.headers.get(header_rules.TARGET_HEADER, '')
        if sentinels.is_absent(slot):
            return self._refuse_ticket()
        started_s = self._clock()
        result = ports.Exchange.CANCELLED
        self.running += 1
        try:
            response, result = await self._run(request, slot, target)
            return response
        finally:
            self.running -= 1
            slot.finish(result, latency_s=self._clock() - started_s)

    async def _run(
        self, request: web.Request, slot: ports.Slot, target: str
    ) -> tuple[web.StreamResponse, ports.Exchange]:
        self._counts['relayed'] += 1
        deadline_s = self._clock() + _deadline_s(request)
        body = self._body(request)
        result = await self._client.run(
            slot,
            _upstream_request(request, body, target),
            deadline_s=deadline_s,
        )
        if isinstance(result, results.Failure):
            result = results.as_cancelled(result, reason=body.refusal_reason)
            self._counts['failed'] += 1
            headers = relay_outcomes.failure_headers(result)
            return web.Response(status=502, headers=headers), result.exchange
        extra = relay_outcomes.outcome_headers(relay_outcomes.ANSWERED)
        if result.is_complete:
            response = responses.complete_response(
                result, method=request.method, extra=extra
            )
            return response, results.classify_status(result.status)
        return await responses.stream_response(
            request,
            result,
            extra=extra,
            write_timeout_s=self._settings.body_timeout_s,
        )

    def _body(self, request: web.Request) -> bodies.CallerBody:
        if not request.body_exists:
            return bodies.CallerBody(prefix=b'', rest=None)
        rest = bodies.stream(request, settings=self._settings)
        return bodies.CallerBody(prefix=b'', rest=rest)

    def _refuse_ticket(self) -> web.Response:
        self._counts['ticket_refused'] += 1
        headers = relay_outcomes.outcome_headers(relay_outcomes.NOT_RUN)
        return web.Response(status=410, headers=headers)


def _upstream_request(
    request: web.Request, body: bodies.CallerBody, target: str
) -> exchange.UpstreamRequest:
    system_headers = tuple(
        (name, request.headers[name])
        for name in _FORWARDED_HEADERS
        if name in request.headers
    )
    return exchange.UpstreamRequest(
        method=request.method,
        target=target,
        headers=header_rules.end_to_end(request.headers) + system_headers,
        body=body.content(),
        # The host that reserved the slot decides on retries, so the relay
        # sends each request once.
        repeatable=request.method in ('GET', 'HEAD'),
    )


def _deadline_s(request: web.Request) -> float:
    text = request.headers.get(header_rules.DEADLINE_HEADER, '')
    if text.isascii() and text.isdigit() and len(text) < 12:
        return min(int(text) / 1000, MAX_DEADLINE_S)
    return MAX_DEADLINE_S
