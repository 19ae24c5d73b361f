"""Admit or refuse a request by its route, API key, rate and body."""

import asyncio
from collections.abc import Callable
import hashlib
import math
import random

from aiohttp import web

from skylarkpitch.fleet import state as fleet_state
from skylarkpitch.fleet import view as views
from skylarkpitch.forwarding import body_budget
from skylarkpitch.forwarding import callers
from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import header_names
from skylarkpitch.forwarding import refusals
from skylarkpitch.forwarding import routing
from skylarkpitch.requests import headers as header_rules

__all__ = ['Admission', 'caller_timeout_s', 'refuse_stopping']

DEFAULT_DEADLINE_S = 30.0
RETRY_AFTER_S = 0.3
BODY_RETRY_AFTER_S = 1.0
FINGERPRINT_BYTES = 16
MS_PER_S = 1000


def caller_timeout_s(header_value: str) -> float:
    """Return how long a caller waits, from its header in milliseconds.

    A missing or malformed value counts as ``DEFAULT_DEADLINE_S``, which is
    also the maximum.
    """
    try:
        timeout_s = float(header_value) / MS_PER_S
    except ValueError:
        return DEFAULT_DEADLINE_S
    if not math.isfinite(timeout_s):
        return DEFAULT_DEADLINE_S
    return min(max(timeout_s, 0.0), DEFAULT_DEADLINE_S)


class Admission:
    """Admit requests according to the current configuration."""

    def __init__(
        self,
        *,
        view: views.FleetView,
        names: header_names.HeaderNames,
        rate_tolerance: callers.RateTolerance,
        is_serving: Callable[[], bool],
        clock: Callable[[], float],
        rng: random.Random | None = None,
        bodies: body_budget.BodyBudget,
    ) -> None:
        self._bodies = bodies
        self._view = view
        self._names = names
        self._is_serving = is_serving
        self._clock = clock
        self._routes = routing.RoutingTable(())
        self._splitter = routing.Splitter()
        self._key_table = callers.KeyTable(())
        self._requires_api_key = True
        self._reading: set[asyncio.Timeout] = set()
        self._read_until_s = float('inf')
        self.rates = callers.RateLimits(tolerance=rate_tolerance, rng=rng)

    def apply_view_changes(self, changed: frozenset[str]) -> None:
        """Apply changes of the view.

        ``changed`` are the kinds of state that differ, such as ``route``.
        """
        if fleet_state.ROUTE in changed:
            self._routes = routing.RoutingTable(self._view.routes)
            self._splitter.reset()
        if fleet_state.ORGANISATION in changed:
            self._key_table = callers.KeyTable(self._view.organisations)
        self._requires_api_key = self._view.requires_api_key

    def stop_reading(self, *, at_s: float) -> None:
        """Refuse the requests whose bodies have not arrived by ``at_s``."""
        self._read_until_s = at_s
        left_s = max(0.0, at_s - self._clock())
        end_s = asyncio.get_running_loop().time() + left_s
        for timeout in self._reading:
            if not timeout.expired():
                timeout.reschedule(min(timeout.when(), end_s))

    async def admit(self, call: calls.Call) -> refusals.Refusal | None:
        """Set the route, service, body and other fields of a call.

        Returns a refusal if the request is not admitted, otherwise None. It
        is judged by the configuration in force once it has been read.
        """
        if not self._view.version or not self._is_serving():
            return refusals.refuse(
                refusals.Reason.NO_CONFIGURATION, retry_after_s=RETRY_AFTER_S
            )
        if self._bodies.is_memory_short:
            return _no_memory()
        refusal = (
            self._look_up(call)
            or self._spend_rate(call)
            or await self._read_body(call)
        )
        if refusal is None and call.request.body_exists:
            refusal = self._look_up(call)
        if refusal is not None:
            return refusal
        call.service = self._splitter.next_service(call.route)
        call.fingerprint = _fingerprint(call)
        return None

    def _look_up(self, call: calls.Call) -> refusals.Refusal | None:
        """Set the route, deadline, organisation and rank of a call.

        Changes nothing but the call, so that it may be repeated.
        """
        host = call.request.headers.get('Host', '')
        path = call.target.partition('?')[0]
        call.route = self._routes.find(host.partition(':')[0], path)
        if call.route is None:
            return refusals.refuse(refusals.Reason.ROUTE_UNKNOWN)
        call.deadline_s = min(
            call.deadline_s,
            call.started_s + call.route.timeout_ms / MS_PER_S,
        )
        call.rank = call.route.rank
        call.organisation = None
        api_key = call.request.headers.get(self._names.api_key)
        if api_key is not None:
            call.organisation = self._key_table.organisation_of(api_key)
        if call.route.is_public:
            return None
        if call.organisation is None:
            if not self._requires_api_key:
                return None
            return refusals.refuse(refusals.Reason.KEY_UNKNOWN)
        if call.organisation.rank is not None:
            call.rank = call.organisation.rank
        return None

    def _spend_rate(self, call: calls.Call) -> refusals.Refusal | None:
        if call.route.is_public or call.organisation is None:
            return None
        now_s = self._clock()
        wait_s = self.rates.spend(
            call.organisation,
            entry_hosts=self._view.entry_host_count,
            now_s=now_s,
        )
        if wait_s <= 0:
            return None
        return refusals.refuse(
            refusals.Reason.OVER_RATE,
            f'{call.organisation.name} is over its rate here: '
            + self.rates.describe(call.organisation.name, now_s=now_s),
            retry_after_s=wait_s,
        )

    async def _read_body(self, call: calls.Call) -> refusals.Refusal | None:
        request = call.request
        max_body_bytes = self._view.limits.max_body_bytes
        problem = header_rules.check_framing(request.headers)
        if problem is not None:
            return refusals.refuse(refusals.Reason.MALFORMED, problem.detail)
        length = request.content_length or 0
        if length > max_body_bytes:
            return refusals.refuse(refusals.Reason.BODY_TOO_LARGE)
        if request.body_exists:
            if request.headers.get('Expect', '').lower() == '100-continue':
                request.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')
            refusal = await self._receive_body(call, max_body_bytes)
            if refusal is not None:
                return refusal
        return None

    async def _receive_body(
        self, call: calls.Call, max_bytes: int
    ) -> refusals.Refusal | None:
        until_s = min(call.deadline_s, self._read_until_s)
        left_s = max(0.0, until_s - self._clock())
        try:
            async with asyncio.timeout(left_s) as timeout:
                self._reading.add(timeout)
                try:
                    return await self._receive_blocks(call, max_bytes)
                finally:
                    self._reading.discard(timeout)
        except TimeoutError:
            if self._read_until_s < call.deadline_s:
                return refuse_stopping()
            return refusals.refuse(refusals.Reason.BODY_LATE)
        except web.RequestPayloadError as error:
            return refusals.refuse(refusals.Reason.MALFORMED, str(error))

    async def _receive_blocks(
        self, call: calls.Call, max_bytes: int
    ) -> refusals.Refusal | None:
        """Read a body; stop after the chunk that exceeds ``max_bytes``."""
        if not self._take(call, call.request.content_length or 0):
            return _no_memory()
        size = 0
        while chunk := await call.request.content.readany():
            size += len(chunk)
            if size > max_bytes:
                return refusals.refuse(refusals.Reason.BODY_TOO_LARGE)
            if not self._take(call, size - call.held_bytes):
                return _no_memory()
            body_budget.append_chunk(call.body, chunk)
        return None

    def _take(self, call: calls.Call, more_bytes: int) -> bool:
        """Return whether the budget has room for more of a body."""
        if more_bytes <= 0:
            return True
        size = call.held_bytes + more_bytes
        if not self._bodies.take(more_bytes, body_bytes=size):
            return False
        call.held_bytes = size
        return True


def refuse_stopping() -> refusals.Refusal:
    """Refuse a request that this host cannot end before it stops."""
    return refusals.refuse(
        refusals.Reason.STOPPING, retry_after_s=RETRY_AFTER_S
    )


def _no_memory() -> refusals.Refusal:
    return refusals.refuse(
        refusals.Reason.NO_MEMORY, retry_after_s=BODY_RETRY_AFTER_S
    )


def _fingerprint(call: calls.Call) -> bytes:
    """Return a digest by which a repeated request is recognised."""
    organisation = call.organisation.name if call.organisation else ''
    identity = '\0'.join((organisation, call.request.method, call.target))
    hashed = hashlib.blake2b(
        identity.encode('utf-8', 'surrogateescape'),
        digest_size=FINGERPRINT_BYTES,
    )
    hashed.update(b'\0')
    for block in call.body:
        hashed.update(block)
    return hashed.digest()
