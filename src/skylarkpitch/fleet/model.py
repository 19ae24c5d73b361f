"""Describe what control keeps for a whole fleet.

Times are in the unit of the field's suffix. A configuration replaces the
one before it as a whole; upstreams and entry hosts are recorded one by one.
"""

import dataclasses
import enum

import msgspec

__all__ = [
    'CallerLimits',
    'Configuration',
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

COLD_AGAIN_MS = 500.0


class UpstreamState(enum.StrEnum):
    """What an upstream says of itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WeightedService:
    """One service that takes a part of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where the requests of a host name and a path prefix may go.

    ``repeatable`` requests may run more than once. ``max_upstreams`` bounds
    how many upstreams one request may be sent to. ``homes`` names the
    regions that may serve it; none means every region. Rank 0 is served
    first.
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
    """What is known of a service beside its upstreams.

    A cold upstream bears ``cold_rate_per_s``; None sets no bound.
    """

    name: str
    health_path: str
    max_connections: int = 0
    cold_ms: float = 0.0
    cold_rate_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """Callers that share a rate; a rate of 0 sets no bound."""

    name: str
    api_keys: tuple[str, ...]
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    homes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send and for how long it may be idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """Everything that operators configure, under one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    organisations: tuple[Organisation, ...] = ()
    limits: CallerLimits = CallerLimits()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """What one incarnation of an upstream says of itself.

    ``born_ms`` is the Unix time of its start and orders incarnations;
    ``sequence`` orders what one incarnation says. ``cold_left_ms`` counts
    from the moment at which that was said.
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
    def order(self) -> tuple[int, int]:
        """Return what is higher the later this was said."""
        return self.born_ms, self.sequence


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryHost:
    """An entry host that callers may use; addresses are ``ip:port``."""

    name: str
    callers_address: str
    region: str
    failure_domain: str


def differs(held: Upstream, said: Upstream) -> bool:
    """Tell whether a report changes more than the time it was made."""
    if held.born_ms != said.born_ms:
        return True
    told = ('service', 'address', 'failure_domain', 'slots', 'state')
    if any(getattr(held, name) != getattr(said, name) for name in told):
        return True
    was_cold, is_cold = held.cold_left_ms > 0, said.cold_left_ms > 0
    return was_cold != is_cold or (
        said.cold_left_ms > held.cold_left_ms + COLD_AGAIN_MS
    )


_decoders: dict[type, msgspec.msgpack.Decoder] = {}


def encode(item: object) -> bytes:
    """Return the bytes of a description."""
    return msgspec.msgpack.encode(item)


def decode(kind: type, data: bytes):
    """Return the description of a kind in ``data``.

    Raises ``msgspec.DecodeError`` for bytes that are none.
    """
    if kind not in _decoders:
        _decoders[kind] = msgspec.msgpack.Decoder(kind)
    return _decoders[kind].decode(data)
