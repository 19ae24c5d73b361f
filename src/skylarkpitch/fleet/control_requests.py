"""Define the control requests and their outcomes.

Any control host accepts a control request and passes it on to the leader.
Requests of operators that change the state are commands of the replicated
log. Reports of upstreams and entry hosts result in a command only if they
change the state.
"""

import msgspec

from skylarkpitch import errors
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import crash_reports
from skylarkpitch.fleet import model
from skylarkpitch.fleet import route_plan
from skylarkpitch.messages import fleet as messages

__all__ = [
    'ControlRequest',
    'EntryGrant',
    'EntryReport',
    'Heartbeat',
    'Leave',
    'Outcome',
    'ReadConfiguration',
    'accepted',
    'decode',
    'describe',
    'encode',
    'refused',
    'unavailable',
]

Outcome = messages.SubmitResponse


class _Tagged(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of the requests; the tag on the wire is the class name."""


class Heartbeat(_Tagged, frozen=True, kw_only=True):
    """Report of an upstream that it is alive, with its state."""

    upstream: model.Upstream


class Leave(_Tagged, frozen=True, kw_only=True):
    """Departure of an upstream.

    Without ``born_ms`` the incarnation whose caller waits departs.
    """

    upstream_id: str
    born_ms: int | None = None


class ReadConfiguration(_Tagged, frozen=True, kw_only=True):
    """Request for the document of the latest configuration."""


class EntryReport(_Tagged, frozen=True, kw_only=True):
    """Report of an entry host that it is alive, with its load.

    ``demand_per_s`` is the rate of requests by organisation, and ``passed``
    counts those within the limits since the start that ``incarnation``
    identifies.
    ``offered_slots`` is the load by service, as the number of slots that it
    occupies, and ``own_shares`` the share of it that the host sends to its
    own region, by service. ``route_loads`` and ``route_shares`` have both by
    service and route. ``relative_times`` has the mean times of responses
    from its own region and from others, by service, as fractions of the
    latency objective. ``crash_report`` is about requests that crash
    upstreams.
    """

    entry_host: model.EntryHost
    leaving: bool = False
    demand_per_s: dict[str, float] = {}
    offered_slots: dict[str, float] = {}
    own_shares: dict[str, float] = {}
    passed: dict[str, int] = {}
    incarnation: str = ''
    relative_times: dict[str, tuple[float, float]] = {}
    route_loads: dict[str, dict[str, route_plan.RouteLoad]] = {}
    route_shares: dict[str, dict[str, float]] = {}
    crash_report: crash_reports.CrashReport = crash_reports.CrashReport()


class EntryGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that the leader grants to an entry host.

    ``rate_per_s`` are the rates that it may use, by organisation, and
    ``own_shares`` the shares of the load that it sends to its own region,
    by service; ``route_shares`` has them by service and route.
    ``admitted_shares`` are the shares of the requests to admit of
    organisations that are over their rate. ``crash_grant`` is about requests
    that crash upstreams.
    """

    rate_per_s: dict[str, float]
    own_shares: dict[str, float] = {}
    admitted_shares: dict[str, float] = {}
    route_shares: dict[str, dict[str, float]] = {}
    crash_grant: crash_reports.CrashGrant = crash_reports.CrashGrant()


ControlRequest = (
    commands.PutConfiguration
    | commands.SetDomainDrain
    | commands.RecordControlHost
    | Heartbeat
    | Leave
    | ReadConfiguration
    | EntryReport
)
_decoder = msgspec.msgpack.Decoder(ControlRequest)


def encode(request: ControlRequest) -> bytes:
    """Return a control request, encoded."""
    return msgspec.msgpack.encode(request)


def decode(data: bytes) -> ControlRequest:
    """Return the request encoded in ``data``; raise ``MessageError``."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MessageError(
            f'control request is malformed ({error}); run the same release '
            'on every host'
        ) from error


def describe(request: ControlRequest) -> str:
    """Return the kind of a request and what it is about, for logs."""
    kind = type(request).__name__
    if isinstance(request, commands.SetDomainDrain):
        action = 'start' if request.draining else 'end'
        return f'{kind} {action} {request.failure_domain}'
    if isinstance(request, Leave):
        return f'{kind} {request.upstream_id}'
    return kind


def accepted(content: bytes = b'') -> Outcome:
    """Return the outcome of a request that was executed."""
    return Outcome(outcome='accepted', content=content)


def refused(reason: str, detail: str) -> Outcome:
    """Return the outcome of a request that violates a rule."""
    return Outcome(outcome='refused', reason=reason, detail=detail)


def unavailable(reason: str, detail: str = '') -> Outcome:
    """Return the outcome of a request that may be sent again."""
    return Outcome(outcome='unavailable', reason=reason, detail=detail)
