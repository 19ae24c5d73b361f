"""Serve the operators' HTTP API of a control host.

Every call requires an operator token. A command for the replicated log has an
operation id, so that it can be repeated safely after a lost response. Only
the leader accepts changes; another control host responds with status 421 and
the leader's name.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import functools
import hmac
import math
import time
from typing import Any

from aiohttp import web
import msgspec
import pydantic
import structlog

from skylarkpitch.config import commands
from skylarkpitch.config import diff
from skylarkpitch.config import state as config_state
from skylarkpitch.consensus import ports as consensus_ports
from skylarkpitch.dissemination import reports
from skylarkpitch.dissemination import source as sources
from skylarkpitch import errors
from skylarkpitch.operators import host_requests
from skylarkpitch.operators import models
from skylarkpitch.operators import provision
from skylarkpitch.peers import network
from skylarkpitch import sentinels

__all__ = ['OperatorsApi']

SUBMIT_TIMEOUT_S = 5.0
CONFIRM_TIMEOUT_S = 1.0
MAX_CURRENT_AGE_S = 3.0
BEARER_PREFIX = 'Bearer '

HTTP_STATUS_BY_REASON = {
    'invalid': 400,
    'not_leader': 421,
    'uncertain': 504,
    'version_conflict': 409,
}

_Handler = Callable[[web.Request], Awaitable[web.Response]]
_log = structlog.get_logger(__name__)


def _json_response(value: Any, *, status: int = 200) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        content_type='application/json',
    )


def _error_response(error: errors.SkylarkError) -> web.Response:
    body: dict[str, Any] = {'reason': error.reason, 'message': str(error)}
    if isinstance(error, errors.ConflictError):
        body['current_version'] = error.current_version
    if isinstance(error, errors.NotLeaderError):
        body['leader'] = error.leader
    return _json_response(
        body, status=HTTP_STATUS_BY_REASON.get(error.reason, 422)
    )


async def _parse_body(
    request: web.Request, model: type[pydantic.BaseModel]
) -> pydantic.BaseModel:
    try:
        return model.model_validate_json(await request.read())
    except pydantic.ValidationError as error:
        problems = '; '.join(
            f'{".".join(map(str, item["loc"])) or "body"}: {item["msg"]}'
            for item in error.errors()
        )
        raise errors.ValidationError(
            f'the request body is not valid: {problems}. Use the skylark tool '
            'of the same release'
        ) from error


class OperatorsApi:
    """Handle operators' calls on one control host.

    ``token_hashes`` are the hashes of the accepted operator tokens, as
    :func:`provision.token_hash` computes them.
    """

    def __init__(
        self,
        *,
        log: consensus_ports.ControlLog,
        state: config_state.ControlState,
        source: sources.StateSource,
        peers: network.Peers,
        token_hashes: tuple[str, ...],
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._control_log = log
        self._state = state
        self._source = source
        self._peers = peers
        self._token_hashes = token_hashes
        self._clock = clock
        self._wall_clock = wall_clock

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the API; each requires an operator token."""
        prefix = '/operators/v1'
        table = (
            ('GET', 'config', self._show),
            ('POST', 'config/check', self._check),
            ('POST', 'config', self._push),
            ('POST', 'config/overlay', self._push_overlay),
            ('GET', 'config/status', self._config_status),
            ('GET', 'config/history', self._history),
            ('GET', 'keys', self._list_keys),
            (
                'POST',
                'keys',
                self._change_handler(models.IssueBody, commands.IssueKey),
            ),
            ('POST', 'keys/withdraw', self._withdraw),
            ('GET', 'keys/unconfirmed', self._unconfirmed),
            (
                'POST',
                'upstreams/drain',
                self._change_handler(models.DrainBody, commands.SetDrain),
            ),
            ('POST', 'hosts/stop', self._stop_host),
            ('GET', 'hosts', self._hosts),
            ('GET', 'status', self._status),
            ('GET', 'histograms', self._histograms),
            ('GET', 'members', self._members),
            ('POST', 'members', self._change_member),
        )
        return [
            web.route(
                method,
                f'{prefix}/{path}',
                functools.partial(self._handle_authorised, handler),
            )
            for method, path, handler in table
        ]

    def _change_handler(
        self, model: type[pydantic.BaseModel], command_type: type
    ) -> _Handler:
        return functools.partial(self._apply_change, model, command_type)

    async def _handle_authorised(
        self, handler: _Handler, request: web.Request
    ) -> web.Response:
        """Call a handler if the request has an operator token.

        An error that the handler raises becomes the response.
        """
        if not self._is_operator(request.headers.get('Authorization', '')):
            return _json_response(
                {
                    'reason': 'token_refused',
                    'message': 'the operator token is missing or unknown; '
                    'pass --token-file with the token that skylark hosts '
                    'provision wrote',
                },
                status=401,
            )
        try:
            return await handler(request)
        except errors.SkylarkError as error:
            _log.info('operator_call_refused', reason=error.reason)
            return _error_response(error)

    def _is_operator(self, header: str) -> bool:
        token = header.removeprefix(BEARER_PREFIX)
        if token == header:
            return False
        offered_hash = provision.token_hash(token)
        matches = [
            hmac.compare_digest(offered_hash, known_hash)
            for known_hash in self._token_hashes
        ]
        return any(matches)

    async def _submit(
        self, command: commands.Command, *, operator: str, **extra: Any
    ) -> web.Response:
        result = await self._control_log.submit(
            commands.encode(command), timeout_s=SUBMIT_TIMEOUT_S
        )
        _log.info(
            'operator_change',
            operator=operator,
            operation_id=command.operation_id,
            kind=type(command).__name__,
            result=type(result).__name__,
        )
        if isinstance(result, commands.Conflict):
            raise errors.ConflictError(
                'the configuration is at version '
                f'{result.current_version}; review it with skylark config '
                'show, then push against that version',
                current_version=result.current_version,
            )
        if isinstance(result, commands.Rejected):
            return _json_response(
                {'reason': result.reason, 'message': result.message},
                status=422,
            )
        return _json_response({**msgspec.to_builtins(result), **extra})

    async def _freshness(self) -> dict[str, Any]:
        """Return how long ago a quorum last confirmed the applied state.

        ``proof_age_s`` is in seconds, and None if the state has not been
        confirmed since this host started. ``current`` is true up to an age
        of ``MAX_CURRENT_AGE_S``.
        """
        confirmed = await self._control_log.confirm(
            timeout_s=CONFIRM_TIMEOUT_S
        )
        age_s = 0.0
        if sentinels.is_absent(confirmed):
            age_s = self._source.age_s(self._clock())
        return {
            'proof_age_s': age_s if math.isfinite(age_s) else None,
            'current': age_s <= MAX_CURRENT_AGE_S,
        }

    async def _host_reports(self) -> list[reports.HostReport]:
        """Return the last report of each host that has sent one.

        Its status is the one requested now, or the one last reported if the
        host does not respond in time.
        """
        responses = await host_requests.query_entry_hosts(
            self._peers, host_requests.StatusRequest()
        )
        return [
            dataclasses.replace(host, status=responses[host.host].status)
            if host.host in responses
            else host
            for domain in self._source.in_force()
            for host in domain.hosts
        ]

    async def _show(self, request: web.Request) -> web.Response:
        return _json_response(
            {
                'version': self._state.version,
                'config_version': self._state.config_version,
                **await self._freshness(),
                'base': self._state.base,
                'overlays': self._state.overlays,
                'drains': sorted(self._state.drains),
                'leaving_hosts': sorted(self._state.leaving_hosts),
            }
        )

    async def _check(self, request: web.Request) -> web.Response:
        body = await _parse_body(request, models.PushBody)
        changes = diff.diff_sites(
            old_base=self._state.base,
            old_overlays=self._state.overlays,
            new_base=body.base,
            new_overlays=body.overlays,
        )
        return _json_response(
            {
                'changes': changes,
                'config_version': self._state.config_version,
            }
        )

    async def _push(self, request: web.Request) -> web.Response:
        body = await _parse_body(request, models.PushBody)
        command = commands.PushConfig(
            operation_id=body.operation_id,
            operator=body.operator,
            at_s=self._wall_clock(),
            against_version=body.against_version,
            base_json=msgspec.json.encode(body.base).decode(),
            overlays_json={
                site: msgspec.json.encode(overlay).decode()
                for site, overlay in body.overlays.items()
            },
        )
        return await self._submit(command, operator=body.operator)

    async def _push_overlay(self, request: web.Request) -> web.Response:
        body = await _parse_body(request, models.OverlayBody)
        command = commands.PushOverlay(
            operation_id=body.operation_id,
            operator=body.operator,
            at_s=self._wall_clock(),
            against_version=body.against_version,
            site=body.site,
            overlay_json=msgspec.json.encode(body.overlay).decode(),
        )
        return await self._submit(command, operator=body.operator)

    async def _config_status(self, request: web.Request) -> web.Response:
        return _json_response(
            {
                'version': self._state.version,
                'config_version': self._state.config_version,
                **await self._freshness(),
                'failure_domains': self._source.in_force(),
            }
        )

    async def _history(self, request: web.Request) -> web.Response:
        return _json_response({'history': list(self._state.history)})

    async def _list_keys(self, request: web.Request) -> web.Response:
        keys = [
            {'key_id': key_id, 'organisation': key.organisation}
            for key_id, key in sorted(self._state.keys.items())
        ]
        return _json_response({'keys': keys, **await self._freshness()})

    async def _apply_change(
        self,
        model: type[pydantic.BaseModel],
        command_type: type,
        request: web.Request,
    ) -> web.Response:
        body = await _parse_body(request, model)
        command = command_type(**body.model_dump(), at_s=self._wall_clock())
        return await self._submit(command, operator=body.operator)

    async def _withdraw(self, request: web.Request) -> web.Response:
        body = await _parse_body(request, models.WithdrawBody)
        record = self._state.keys.get(body.key_id)
        command = commands.WithdrawKey(
            **body.model_dump(), at_s=self._wall_clock()
        )
        return await self._submit(
            command,
            operator=body.operator,
            organisation=None if record is None else record.organisation,
        )

    async def _unconfirmed(self, request: web.Request) -> web.Response:
        try:
            version = int(request.query['version'])
        except (KeyError, ValueError) as error:
            raise errors.ValidationError(
                'the query parameter version is missing or not an integer; '
                'pass the version that the withdrawal returned'
            ) from error
        return _json_response(
            {
                'unconfirmed': self._source.withdrawal_status(
                    version, organisation=request.query.get('organisation')
                )
            }
        )

    async def _stop_host(self, request: web.Request) -> web.Response:
        body = await _parse_body(request, models.StopHostBody)
        if self._peers.directory.get(body.host) is None:
            raise errors.ValidationError(
                f'host {body.host!r} is not in the settings of this control '
                'host; see skylark hosts list'
            )
        command = commands.SetHostLeaving(
            **body.model_dump(), at_s=self._wall_clock()
        )
        return await self._submit(command, operator=body.operator)

    async def _hosts(self, request: web.Request) -> web.Response:
        return _json_response({'hosts': await self._host_reports()})

    async def _status(self, request: web.Request) -> web.Response:
        return _json_response(
            {
                'version': self._state.version,
                'config_version': self._state.config_version,
                **await self._freshness(),
                'control': dataclasses.asdict(self._control_log.status()),
                'failure_domains': self._source.in_force(),
                'hosts': await self._host_reports(),
            }
        )

    async def _histograms(self, request: web.Request) -> web.Response:
        responses = await host_requests.query_entry_hosts(
            self._peers, host_requests.HistogramRequest()
        )
        return _json_response(
            {'hosts': {name: item.encoded for name, item in responses.items()}}
        )

    async def _members(self, request: web.Request) -> web.Response:
        return _json_response(dataclasses.asdict(self._control_log.status()))

    async def _change_member(self, request: web.Request) -> web.Response:
        body = await _parse_body(request, models.MemberBody)
        if body.remove:
            await self._control_log.remove_member(body.host)
        else:
            await self._control_log.add_member(body.host)
        return _json_response(dataclasses.asdict(self._control_log.status()))
