"""Decide whether a request may go on, from its line and headers alone."""

from collections.abc import Callable
import dataclasses

from aiohttp import web

from skylarkpitch import ports
from skylarkpitch.requests import headers as header_rules
from skylarkpitch.requests import operation_ids
from skylarkpitch.requests import targets
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

__all__ = ['Admission', 'Admitted']

MAX_DEADLINE_MS = 10**9


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admitted:
    """Request that may go on; ``deadline_s`` is on the process's clock."""

    method: str
    target: str
    matched: targets.Matched
    caller: ports.Caller
    key: str | None
    operation_id: str | None
    headers: header_rules.HeaderPairs
    deadline_s: float

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.matched.route.is_idempotent(self.method)


class Admission:
    """Check framing, target, key and deadline of requests."""

    def __init__(
        self,
        *,
        site_config: Callable[[], deployment.SiteConfig | sentinels.Absent],
        authenticator: ports.Authenticator,
        max_header_bytes: int,
        region_of: Callable[[str], str | None] = lambda client_ip: None,
    ) -> None:
        self._site_config = site_config
        self._authenticator = authenticator
        self._max_header_bytes = max_header_bytes
        self._region_of = region_of
        self._routed: deployment.SiteConfig | None = None
        self._routes = targets.RouteTable(services={})

    def admit(
        self, request: web.BaseRequest, *, now_s: float
    ) -> Admitted | sentinels.Absent:
        """Return the admitted request, or ``Absent`` with a refusal reason."""
        config = self._site_config()
        if sentinels.is_absent(config):
            return sentinels.Absent('state_stale')
        problem = self._header_problem(request)
        if problem is not None:
            return problem
        path = targets.plain_path(request.raw_path)
        if sentinels.is_absent(path):
            return path
        matched = self._table(config).match(path, request.method)
        if sentinels.is_absent(matched):
            return matched
        budget_s = _deadline(request, matched.service.deadline_s)
        if sentinels.is_absent(budget_s):
            return budget_s
        key = request.headers.get(header_rules.KEY_HEADER)
        caller = self.caller(matched.route, key, now_s=now_s)
        if sentinels.is_absent(caller):
            return caller
        return Admitted(
            method=request.method,
            target=request.raw_path,
            matched=matched,
            caller=dataclasses.replace(
                caller, region=self._region_of(request.remote or '')
            ),
            key=key,
            operation_id=request.headers.get(header_rules.ID_HEADER),
            headers=header_rules.end_to_end(request.headers),
            deadline_s=now_s + budget_s,
        )

    def caller(
        self, route: deployment.Route, key: str | None, *, now_s: float
    ) -> ports.Caller | sentinels.Absent:
        """Return whom a key names now; no key counts on an open route."""
        if route.open:
            return ports.Caller(organisation=None)
        caller = self._authenticator.authenticate(key, now_s=now_s)
        if not sentinels.is_absent(caller) and caller.organisation is None:
            return sentinels.Absent('key_missing')
        return caller

    def _table(self, config: deployment.SiteConfig) -> targets.RouteTable:
        if config is not self._routed:
            self._routes = targets.RouteTable(services=config.services)
            self._routed = config
        return self._routes

    def _header_problem(
        self, request: web.BaseRequest
    ) -> sentinels.Absent | None:
        size = sum(len(n) + len(v) + 4 for n, v in request.raw_headers)
        if size > self._max_header_bytes:
            return sentinels.Absent('headers_too_large')
        if not all(map(header_rules.is_utf8, request.headers.values())):
            return sentinels.Absent(
                'request_malformed', 'a header is not UTF-8'
            )
        operation_id = request.headers.get(header_rules.ID_HEADER)
        if operation_id is not None:
            problem = operation_ids.check_id(operation_id)
            if problem is not None:
                return problem
        return header_rules.check_framing(
            request.headers, version_minor=request.version.minor
        )


def _deadline(
    request: web.BaseRequest, service_deadline_s: float
) -> float | sentinels.Absent:
    text = request.headers.get(header_rules.DEADLINE_HEADER)
    if text is None:
        return service_deadline_s
    if not (text.isascii() and text.isdigit() and len(text) < 12):
        return sentinels.Absent(
            'request_malformed',
            f'{header_rules.DEADLINE_HEADER} is not a whole number of ms',
        )
    wanted_ms = min(int(text), MAX_DEADLINE_MS)
    if wanted_ms == 0:
        return sentinels.Absent('deadline_exceeded')
    return min(service_deadline_s, wanted_ms / 1000)
