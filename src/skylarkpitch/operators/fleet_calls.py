"""Take the calls of operators, upstreams and callers on a control host.

Paths and bodies are the product's own; another deployment may translate its
calls into the same orders.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import hmac
from typing import Any
import urllib.parse

from aiohttp import web
import msgspec
import structlog

from skylarkpitch.fleet import commands
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import control_service as control_services
from skylarkpitch.fleet import look_up
from skylarkpitch.fleet import model
from skylarkpitch.fleet import state as fleet_state

__all__ = ['handler']

JSON = 'application/json'
LOOK_UP_LIFETIME_S = 2.0
_STATUS = {'accepted': 200, 'refused': 400, 'unavailable': 503}

_log = structlog.get_logger(__name__)
_configurations = msgspec.json.Decoder(model.Configuration)


def _put_configuration(
    _name: str, request: Any, body: bytes
) -> control_requests.ControlRequest:
    return commands.PutConfiguration(
        configuration=_configurations.decode(body), document=body
    )


def _get_configuration(
    _name: str, request: Any, body: bytes
) -> control_requests.ControlRequest:
    return control_requests.ReadConfiguration()


def _put_upstream(
    name: str, request: Any, body: bytes
) -> control_requests.ControlRequest:
    said = msgspec.json.decode(body, type=dict[str, Any])
    upstream = msgspec.convert({**said, 'upstream_id': name}, model.Upstream)
    return control_requests.Heartbeat(upstream=upstream)


def _delete_upstream(
    name: str, request: Any, body: bytes
) -> control_requests.ControlRequest:
    born_ms = request.query.get('born_ms')
    return control_requests.Leave(
        upstream_id=name, born_ms=None if born_ms is None else int(born_ms)
    )


def _put_drain(
    name: str, request: Any, body: bytes
) -> control_requests.ControlRequest:
    return commands.SetDomainDrain(failure_domain=name, draining=True)


def _delete_drain(
    name: str, request: Any, body: bytes
) -> control_requests.ControlRequest:
    return commands.SetDomainDrain(failure_domain=name, draining=False)


# By method and the first part of the path: the order, whether the path goes
# on with a name, and whether only operators may give it.
_ORDERS = {
    ('PUT', 'configuration'): (_put_configuration, False, True),
    ('GET', 'configuration'): (_get_configuration, False, True),
    ('PUT', 'upstreams'): (_put_upstream, True, False),
    ('DELETE', 'upstreams'): (_delete_upstream, True, False),
    ('PUT', 'drains'): (_put_drain, True, True),
    ('DELETE', 'drains'): (_delete_drain, True, True),
}


def handler(
    *,
    control_service: control_services.ControlService,
    state: fleet_state.FleetState,
    region_of: Callable[[str], str | None],
    operator_token: str,
) -> Callable[[web.BaseRequest], Awaitable[web.Response]]:
    """Return the handler of every call that a control host takes."""

    async def handle(request: web.BaseRequest) -> web.Response:
        root, _slash, rest = request.path.removeprefix('/v1/').partition('/')
        if (request.method, request.path) == ('GET', '/v1/entry-hosts'):
            return _entry_hosts(state, region_of, request)
        known = _ORDERS.get((request.method, root))
        if known is None or not request.path.startswith('/v1/'):
            return _error(404, 'no such call; see docs/operators/fleet.md')
        make, is_named, is_operators = known
        if bool(rest) != is_named:
            return _error(404, 'no such call; see docs/operators/fleet.md')
        if is_operators and not _is_operator(request, operator_token):
            return _error(401, 'the operator token is missing or wrong')
        return await _carry_out(control_service, request, make, rest)

    return handle


def _is_operator(request: web.BaseRequest, operator_token: str) -> bool:
    given = request.headers.get('Authorization', '')
    return hmac.compare_digest(
        given.encode('utf-8', 'surrogateescape'),
        f'Bearer {operator_token}'.encode(),
    )


async def _carry_out(
    control_service: control_services.ControlService,
    request: web.BaseRequest,
    make: Callable[[str, Any, bytes], control_requests.ControlRequest],
    rest: str,
) -> web.Response:
    body = await request.read()
    name = urllib.parse.unquote(rest)
    try:
        order = make(name, request, body)
    except ValueError as error:
        _log.info(
            'call_refused', call=request.path[:80], of=name, error=str(error)
        )
        return _error(400, f'{error}; see docs/operators/fleet.md')
    outcome = await control_service.execute(order)
    if outcome.outcome == 'accepted':
        content = outcome.content if request.method == 'GET' else b'{}'
        return web.Response(body=content, content_type=JSON)
    _log.info(
        'call_not_accepted',
        call=request.path[:80],
        of=name,
        outcome=outcome.outcome,
        reason=outcome.reason,
        error=outcome.detail,
    )
    return _error(_STATUS[outcome.outcome], outcome.detail or outcome.reason)


def _entry_hosts(
    state: fleet_state.FleetState,
    region_of: Callable[[str], str | None],
    request: web.BaseRequest,
) -> web.Response:
    failure_domain = request.query.get('failure_domain', '')
    region = request.query.get('region') or region_of(failure_domain) or ''
    hosts = look_up.select_entry_hosts(
        state.entry_hosts.values(),
        region=region,
        failure_domain=failure_domain,
    )
    if not hosts:
        return _error(503, 'no entry host is ready; ask again')
    found = {
        'addresses': [host.callers_address for host in hosts],
        'lifetime_s': LOOK_UP_LIFETIME_S,
    }
    return web.Response(body=msgspec.json.encode(found), content_type=JSON)


def _error(status: int, text: str) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode({'error': text}),
        content_type=JSON,
    )
