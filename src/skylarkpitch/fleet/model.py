"""Define the data that the control group stores for a fleet.

The suffix of a field is its unit. A new configuration replaces the previous
one as a whole; upstreams and entry hosts are recorded one by one.
"""

import dataclasses
import enum

import msgspec

__all__ = [
    'CallerLimits',
    'Configuration',
    'ControlHost',
    'EntryHost',
    'Organisation',
    'Route',
    'Service',
    'Upstream',
    'UpstreamState',
    'WeightedService',
    'decode',
    'differs',
    'encode',
]

# An increase of cold_left_ms by more than this is a new cold period.
COLD_RESTART_MARGIN_MS = 500.0


class UpstreamState(enum.StrEnum):
    """State that an upstream reports about itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Rules for the requests with one host name and path prefix.

    ``repeatable`` requests may be executed more than once.
    ``objective_ms`` is the latency objective. ``max_upstreams`` is the
    maximum number of upstreams that one request is sent to. ``homes`` are
    the regions that may serve the route; an empty tuple means every region.
    Rank 0 is served first. A public route needs no API key. Requests of a
    sticky route with the same affinity key go to the same few upstreams,
    which have the data of the key cached.
    """

    name: str
    host: str
    path_prefix: str
    repeatable: bool
    timeout_ms: float
    objective_ms: float
    max_upstreams: int
    rank: int
    services: tuple[WeightedService, ...]
    is_public: bool = False
    is_sticky: bool = False
    homes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Configuration of a service, without its upstreams.

    An upstream is cold while its cache is empty, as after a start.
    ``cold_ms`` is how long upstreams count as cold after a drain, and
    ``cold_rate_per_s`` the maximum request rate of a cold upstream; None
    means no limit.
    """

    name: str
    health_path: str
    max_connections: int = 0
    cold_ms: float = 0.0
    cold_rate_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """Callers that share one rate limit; a rate of 0 means no limit.

    ``burst`` is the number of requests that may exceed the rate at once.
    ``rank`` replaces that of the route unless it is None. ``homes`` are the
    regions that may serve the organisation; an empty tuple means every
    region.
    """

    name: str
    api_keys: tuple[str, ...]
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    homes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Size limits and timeouts for the connections of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """All settings that operators configure, under one version.

    Routes that are not public are open to callers without an API key only
    if ``requires_api_key`` is False. Configurations that were stored before
    this field have None: they require one if any organisation has a key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()
    requires_api_key: bool | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """Report of one incarnation of an upstream about itself.

    ``born_ms`` is the Unix time of its start and orders incarnations;
    ``sequence`` orders the reports of one incarnation. ``cold_left_ms`` is
    the rest of the cold period at the time of the report.
    """

    upstream_id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    failure_domain: str
    slots: int
    release: str = ''
    state: UpstreamState = UpstreamState.READY
    cold_left_ms: float = 0.0

    @property
    def revision(self) -> tuple[int, int]:
        """Return a key that orders the reports of one upstream."""
        return self.born_ms, self.sequence


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryHost:
    """An entry host for callers; ``callers_address`` is ``ip:port``."""

    name: str
    callers_address: str
    region: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlHost:
    """A control host; ``name`` is the one by which its peers know it."""

    name: str
    failure_domain: str


def differs(recorded: Upstream, reported: Upstream) -> bool:
    """Return whether a report must be recorded.

    A report that differs only in ``sequence``, ``release`` or the passing
    of the cold period changes nothing and is not replicated.
    """
    if recorded.born_ms != reported.born_ms:
        return True
    fields = ('service', 'address', 'failure_domain', 'slots', 'state')
    if any(getattr(recorded, f) != getattr(reported, f) for f in fields):
        return True
    was_cold, is_cold = recorded.cold_left_ms > 0, reported.cold_left_ms > 0
    return was_cold != is_cold or (
        reported.cold_left_ms > recorded.cold_left_ms + COLD_RESTART_MARGIN_MS
    )


_decoders: dict[type, msgspec.msgpack.Decoder] = {}


def encode(item: object) -> bytes:
    """Return an object of this module, encoded for storage."""
    return msgspec.msgpack.encode(item)


def decode(kind: type, data: bytes):
    """Return the object of type ``kind`` that ``data`` encodes.

    Raises ``msgspec.DecodeError`` if ``data`` does not encode one.
    """
    if kind not in _decoders:
        _decoders[kind] = msgspec.msgpack.Decoder(kind)
    return _decoders[kind].decode(data)
