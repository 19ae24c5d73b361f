"""Admission of requests by their request line and headers."""

from collections.abc import Callable
import dataclasses

from aiohttp import web

from skylarkpitch import ports
from skylarkpitch.requests import headers as header_rules
from skylarkpitch.requests import operation_ids
from skylarkpitch.requests import targets
from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

__all__ = ['Admission', 'AdmittedRequest']

MAX_DEADLINE_MS = 10**9


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdmittedRequest:
    """Request that passed admission.

    ``key`` is the API key that was sent, None without one, and
    ``operation_id`` the ``Idempotency-Key``, None without one.
    ``admitted_s``, when the key was checked, and ``deadline_s`` are times of
    the monotonic clock.
    """

    method: str
    target: str
    route_match: targets.RouteMatch
    caller: ports.Caller
    key: str | None
    operation_id: str | None
    headers: header_rules.HeaderPairs
    admitted_s: float
    deadline_s: float

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route_match.route.is_idempotent(self.method)


class Admission:
    """Check of framing, target, API key and deadline of requests.

    ``region_of`` returns the region of a client address, or None if it is
    unknown.
    """

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
        self._routed_config: deployment.SiteConfig | None = None
        self._routes = targets.RouteTable(services={})

    def admit(
        self, request: web.BaseRequest, *, now_s: float
    ) -> AdmittedRequest | sentinels.Absent:
        """Return the admitted request, or ``Absent`` with a refusal reason.

        ``now_s`` is a time of the monotonic clock.
        """
        config = self._site_config()
        if sentinels.is_absent(config):
            return sentinels.Absent('state_stale')
        problem = self._header_problem(request)
        if problem is not None:
            return problem
        path = targets.decode_path(request.raw_path)
        if sentinels.is_absent(path):
            return path
        route_match = self._route_table(config).match(path, request.method)
        if sentinels.is_absent(route_match):
            return route_match
        timeout_s = _timeout_s(request, route_match.service.deadline_s)
        if sentinels.is_absent(timeout_s):
            return timeout_s
        key = request.headers.get(header_rules.KEY_HEADER)
        caller = self.authenticate(route_match.route, key, now_s=now_s)
        if sentinels.is_absent(caller):
            return caller
        return AdmittedRequest(
            method=request.method,
            target=request.raw_path,
            route_match=route_match,
            caller=dataclasses.replace(
                caller, region=self._region_of(request.remote or '')
            ),
            key=key,
            operation_id=request.headers.get(header_rules.ID_HEADER),
            headers=header_rules.end_to_end(request.headers),
            admitted_s=now_s,
            deadline_s=now_s + timeout_s,
        )

    def authenticate(
        self, route: deployment.Route, key: str | None, *, now_s: float
    ) -> ports.Caller | sentinels.Absent:
        """Return the caller that a key belongs to.

        An open route needs no key and ignores one. Returns ``Absent`` with
        reason ``key_missing`` or another reason of the authenticator.
        """
        if route.open:
            return ports.Caller(organisation=None)
        caller = self._authenticator.authenticate(key, now_s=now_s)
        if not sentinels.is_absent(caller) and caller.organisation is None:
            return sentinels.Absent('key_missing')
        return caller

    def _route_table(
        self, config: deployment.SiteConfig
    ) -> targets.RouteTable:
        if config is not self._routed_config:
            self._routes = targets.RouteTable(services=config.services)
            self._routed_config = config
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


def _timeout_s(
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
    requested_ms = min(int(text), MAX_DEADLINE_MS)
    if requested_ms == 0:
        return sentinels.Absent('deadline_exceeded')
    return min(service_deadline_s, requested_ms / 1000)
