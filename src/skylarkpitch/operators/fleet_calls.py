"""Serve HTTP calls of operators, upstreams and callers to a control host.

The paths and bodies are defined here. A package for another platform can
translate its own calls into the same control requests.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hmac
from typing import Any
import urllib.parse

from aiohttp import web
import msgspec
import structlog

from skylarkpitch.fleet import commands
from skylarkpitch.fleet import control_requests
from skylarkpitch.fleet import control_service as control_services
from skylarkpitch.fleet import model
from skylarkpitch.forwarding import body_budget
from skylarkpitch.operators import call_bodies
from skylarkpitch.operators import executed_calls

__all__ = ['handler']

JSON = 'application/json'
# Time for which a caller may cache the addresses of entry hosts.
LOOK_UP_LIFETIME_S = 2.0
_HTTP_STATUS = {'accepted': 200, 'refused': 400, 'unavailable': 503}

_log = structlog.get_logger(__name__)
_configuration_decoder = msgspec.json.Decoder(model.Configuration)


def _put_configuration(
    _name: str, request: Any, body: bytes
) -> control_requests.ControlRequest:
    configuration = _configuration_decoder.decode(body)
    if configuration.requires_api_key is None:
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
        configuration = dataclasses.replace(
            configuration, requires_api_key='organisations' in fields
        )
    return commands.PutConfiguration(
        configuration=configuration, document=body
    )


def _get_configuration(
    _name: str, request: Any, body: bytes
) -> control_requests.ControlRequest:
    return control_requests.ReadConfiguration()


def _put_upstream(
    name: str, request: Any, body: bytes
) -> control_requests.ControlRequest:
    fields = msgspec.json.decode(body, type=dict[str, Any])
    upstream = msgspec.convert({**fields, 'upstream_id': name}, model.Upstream)
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


# By method and first path segment: the function that builds the control
# request, whether a name follows in the path, and whether the call requires
# the operator token.
_REQUEST_BUILDERS = {
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
    region_of: Callable[[str], str | None],
    operator_token: str,
    bodies: body_budget.BodyBudget,
) -> Callable[[web.BaseRequest], Awaitable[web.Response]]:
    """Return the handler of all HTTP calls to a control host.

    ``region_of`` returns the region of a failure domain, or None if it is
    unknown. Bodies are held within ``bodies``.
    """

    async def handle(request: web.BaseRequest) -> web.Response:
        resource, _slash, name = request.path.removeprefix('/v1/').partition(
            '/'
        )
        if (request.method, request.path) == ('GET', '/v1/entry-hosts'):
            return _entry_hosts(control_service, region_of, request)
        route = _REQUEST_BUILDERS.get((request.method, resource))
        if route is None or not request.path.startswith('/v1/'):
            return _error(404, 'no such call; see docs/operators/fleet.md')
        build, has_name, requires_operator = route
        if bool(name) != has_name:
            return _error(404, 'no such call; see docs/operators/fleet.md')
        if requires_operator and not _is_operator(request, operator_token):
            return _error(401, 'the operator token is missing or wrong')
        return await _execute_call(
            control_service, request, build, name, bodies
        )

    return handle


def _is_operator(request: web.BaseRequest, operator_token: str) -> bool:
    authorisation = request.headers.get('Authorization', '')
    return hmac.compare_digest(
        authorisation.encode('utf-8', 'surrogateescape'),
        f'Bearer {operator_token}'.encode(),
    )


async def _execute_call(
    control_service: control_services.ControlService,
    request: web.BaseRequest,
    build: Callable[[str, Any, bytes], control_requests.ControlRequest],
    quoted_name: str,
    bodies: body_budget.BodyBudget,
) -> web.Response:
    max_bytes = call_bodies.MAX_REPORT_BYTES
    if build is _put_configuration:
        max_bytes = call_bodies.MAX_CONFIGURATION_BYTES
    body = await call_bodies.read(request, max_bytes=max_bytes, bodies=bodies)
    if isinstance(body, call_bodies.BodyProblem):
        text = call_bodies.problem_text(body, max_bytes=max_bytes)
        return _error(body.value, text)
    name = urllib.parse.unquote(quoted_name)
    try:
        control_request = build(name, request, body)
    except ValueError as error:
        _log.info(
            'call_refused', call=request.path[:80], of=name, error=str(error)
        )
        return _error(400, f'{error}; see docs/operators/fleet.md')
    outcome = await executed_calls.execute(
        control_service, request, control_request
    )
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
    return _error(
        _HTTP_STATUS[outcome.outcome], outcome.detail or outcome.reason
    )


def _entry_hosts(
    control_service: control_services.ControlService,
    region_of: Callable[[str], str | None],
    request: web.BaseRequest,
) -> web.Response:
    failure_domain = request.query.get('failure_domain', '')
    region = request.query.get('region') or region_of(failure_domain) or ''
    hosts = control_service.look_up(
        region=region, failure_domain=failure_domain
    )
    if not hosts:
        return _error(503, 'no entry host is ready; try again')
    document = {
        'addresses': [host.callers_address for host in hosts],
        'lifetime_s': LOOK_UP_LIFETIME_S,
    }
    return web.Response(body=msgspec.json.encode(document), content_type=JSON)


def _error(status: int, text: str) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode({'error': text}),
        content_type=JSON,
    )
