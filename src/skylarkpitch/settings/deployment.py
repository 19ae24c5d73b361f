"""Validate the configuration of a deployment: base file and overlays.

The base is a complete document. An overlay is a JSON merge patch (RFC 7396)
for one site. :func:`merge_site` applies it, and :func:`validate_site`
converts the merged document to the dataclass that the program uses.

Sections that must be equal on all hosts, such as the rate of an
organisation, are allowed in the base only.
"""

import dataclasses
from typing import Any

import msgspec
import pydantic

from skylarkpitch import errors
from skylarkpitch.settings import daemon as daemon_settings

__all__ = [
    'FLEET_WIDE_SECTIONS',
    'FailureDomain',
    'Link',
    'Organisation',
    'Policy',
    'Region',
    'Route',
    'Service',
    'SiteConfig',
    'merge_patch',
    'merge_site',
    'validate_site',
]

FLEET_WIDE_SECTIONS = ('organisations', 'regions', 'links', 'policy')

RESERVED_PREFIX = '/skylark/'
_NAME = r'^[a-z0-9][a-z0-9-]{0,62}$'
_Name = pydantic.constr(pattern=_NAME)
_Method = pydantic.constr(pattern=r'^[A-Z]{3,10}$')


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class _RouteModel(_Model):
    prefix: str = pydantic.Field(pattern=r'^/[^\s?#]*$', max_length=200)
    methods: tuple[_Method, ...] = ('GET', 'HEAD')
    open: bool = False
    idempotent: bool | None = None
    request_class: _Name = 'default'


class _ServiceModel(_Model):
    routes: tuple[_RouteModel, ...] = pydantic.Field(min_length=1)
    deadline_s: float = pydantic.Field(default=10.0, gt=0, le=300)
    queue_s: float = pydantic.Field(default=1.0, ge=0, le=60)
    queue_length: int = pydantic.Field(default=200, ge=0, le=100_000)
    retry_ratio: float = pydantic.Field(default=0.1, ge=0, le=1)
    ramp_s: float = pydantic.Field(default=5.0, ge=0, le=600)


class _OrganisationModel(_Model):
    rate_per_s: float = pydantic.Field(gt=0, le=1e7)
    burst: float = pydantic.Field(ge=1, le=1e8)
    weight: float = pydantic.Field(default=1.0, gt=0, le=1000)
    key_lease_s: float | None = pydantic.Field(default=None, ge=1, le=86_400)


class _FailureDomainModel(_Model):
    max_share_percent: float = pydantic.Field(default=100.0, ge=0, le=100)


class _RegionModel(_Model):
    max_share_percent: float = pydantic.Field(default=100.0, ge=0, le=100)
    failure_domains: dict[_Name, _FailureDomainModel] = pydantic.Field(
        min_length=1
    )


class _LinkModel(_Model):
    between: tuple[_Name, _Name]
    mbit_per_s: float = pydantic.Field(gt=0)
    one_way_ms: float = pydantic.Field(default=0.0, ge=0)


class _PolicyModel(_Model):
    key_lease_s: float = pydantic.Field(default=5.0, ge=1, le=86_400)
    clock_drift_percent: float = pydantic.Field(default=1.0, ge=0, le=10)
    shift_percent_per_s: float = pydantic.Field(default=5.0, gt=0, le=100)
    lookup_lifetime_s: float = pydantic.Field(default=5.0, ge=0.5, le=300)
    lookup_hosts: int = pydantic.Field(default=3, ge=1, le=16)
    upstream_lease_s: float = pydantic.Field(default=3.0, ge=0.5, le=60)
    limit_lease_s: float = pydantic.Field(default=1.0, ge=0.2, le=60)
    credit_lease_s: float = pydantic.Field(default=2.0, ge=0.2, le=60)
    ledger_retention_s: float = pydantic.Field(
        default=86_400.0, ge=60, le=2_592_000
    )
    ledger_opened_at_s: float = pydantic.Field(default=0.0, ge=0)
    crash_quarantine_s: float = pydantic.Field(default=300.0, ge=1, le=86_400)
    cut_off_serving: bool = False


class _SiteModel(_Model):
    services: dict[_Name, _ServiceModel] = pydantic.Field(min_length=1)
    organisations: dict[_Name, _OrganisationModel]
    regions: dict[_Name, _RegionModel] = pydantic.Field(min_length=1)
    links: tuple[_LinkModel, ...] = ()
    policy: _PolicyModel = _PolicyModel()

    @pydantic.model_validator(mode='after')
    def _check_document(self) -> '_SiteModel':
        _check_routes(self.services)
        _check_links(self.links, self.regions)
        _check_failure_domains(self.regions)
        _check_shares(self.regions)
        return self


def _check_routes(services: dict[str, _ServiceModel]) -> None:
    owners: dict[str, str] = {}
    methods: set[tuple[str, str]] = set()
    for name, service in services.items():
        for route in service.routes:
            owner = owners.setdefault(route.prefix, name)
            if owner != name:
                raise ValueError(
                    f'route prefix {route.prefix!r} stands in services '
                    f'{owner!r} and {name!r}; keep it in one'
                )
            if f'{route.prefix}/'.startswith(RESERVED_PREFIX):
                raise ValueError(
                    f'route prefix {route.prefix!r} lies under '
                    f'{RESERVED_PREFIX}, which the system answers itself; '
                    'choose another'
                )
            _check_methods(route, methods)


def _check_methods(route: _RouteModel, routed: set[tuple[str, str]]) -> None:
    for method in route.methods:
        if (route.prefix, method) in routed:
            raise ValueError(
                f'{method} {route.prefix} stands in two routes; keep it in one'
            )
        routed.add((route.prefix, method))


def _check_links(
    links: tuple[_LinkModel, ...], regions: dict[str, _RegionModel]
) -> None:
    pairs: set[frozenset[str]] = set()
    for link in links:
        for name in link.between:
            if name not in regions:
                raise ValueError(
                    f'links names region {name!r}, which regions lacks; '
                    'add the region or correct the link'
                )
        pair = frozenset(link.between)
        if len(pair) == 1:
            raise ValueError(
                f'links joins region {link.between[0]!r} to itself; name two '
                'regions'
            )
        if pair in pairs:
            raise ValueError(
                f'links names {" and ".join(sorted(pair))} twice; keep one '
                'entry, it counts for both directions'
            )
        pairs.add(pair)


def _check_failure_domains(regions: dict[str, _RegionModel]) -> None:
    seen: set[str] = set()
    for name, region in regions.items():
        for domain, limits in region.failure_domains.items():
            if domain in seen:
                raise ValueError(
                    f'failure domain {domain!r} stands in two regions; keep '
                    'it in one'
                )
            seen.add(domain)
            is_set = 'max_share_percent' in limits.model_fields_set
            if is_set and limits.max_share_percent > region.max_share_percent:
                raise ValueError(
                    f'max_share_percent of failure domain {domain!r} is '
                    f'{limits.max_share_percent:g}, past the '
                    f'{region.max_share_percent:g} of its region {name!r}; '
                    'lower it or raise the region'
                )


def _check_shares(regions: dict[str, _RegionModel]) -> None:
    total = 0.0
    for region in regions.values():
        domain_total = sum(
            domain.max_share_percent
            for domain in region.failure_domains.values()
        )
        total += min(region.max_share_percent, domain_total)
    if total < 100:
        raise ValueError(
            'max_share_percent of all regions, each bounded by the sum of '
            f'its failure domains, sums to {total:g}, so traffic would have '
            'no place to go; raise it to at least 100'
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Rule for the requests whose path starts with ``prefix``.

    ``open`` routes need no API key. ``idempotent`` overrides the default of
    the method.
    """

    prefix: str
    methods: tuple[str, ...]
    open: bool
    idempotent: bool | None
    request_class: str

    def is_idempotent(self, method: str) -> bool:
        """Return whether a request may run more than once."""
        if self.idempotent is not None:
            return self.idempotent
        return method in ('GET', 'HEAD')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """Routes, time limits and queue limits of one service.

    A request waits in a queue of at most ``queue_length`` requests for at
    most ``queue_s``, and ends after ``deadline_s``. ``retry_ratio`` limits
    the retries, as a fraction of the requests. The usable slots of an
    upstream increase over the first ``ramp_s`` after its process started.
    """

    routes: tuple[Route, ...]
    deadline_s: float
    queue_s: float
    queue_length: int
    retry_ratio: float
    ramp_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """Rate, burst and weight of one organisation in the whole fleet.

    ``weight`` is that in fair queueing. ``key_lease_s`` overrides that of the
    policy for the organisation's keys.
    """

    rate_per_s: float
    burst: float
    weight: float
    key_lease_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FailureDomain:
    """Maximum share of a service's traffic that the domain may receive."""

    max_share_percent: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Region:
    """Failure domains of a region and its maximum share of traffic."""

    max_share_percent: float
    failure_domains: dict[str, FailureDomain]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Link:
    """Link between two regions.

    ``mbit_per_s`` is the capacity in each direction, shared by all traffic,
    and ``one_way_ms`` the latency in one direction.
    """

    between: tuple[str, str]
    mbit_per_s: float
    one_way_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Leases, lifetimes and rates of change that apply to the whole fleet.

    A host accepts keys for ``key_lease_s`` after its state was last proven
    current. ``clock_drift_percent`` is the largest deviation of a clock.
    ``shift_percent_per_s`` limits how fast calls between regions increase, in
    percent of the fleet's slots. Callers use a look-up response, which lists
    ``lookup_hosts`` entry hosts, for ``lookup_lifetime_s``. The leases
    ``upstream_lease_s``, ``limit_lease_s`` and ``credit_lease_s`` apply to
    the ownership of an upstream, to loans of rate and to tickets.

    The record of an operation expires after ``ledger_retention_s``; no id
    that a caller chose before the Unix time ``ledger_opened_at_s`` is sent
    again. A request that crashed upstreams is refused for
    ``crash_quarantine_s``. With ``cut_off_serving``, a host that is cut off
    from control when it starts serves with the newest state of its failure
    domain.
    """

    key_lease_s: float
    clock_drift_percent: float
    shift_percent_per_s: float
    lookup_lifetime_s: float
    lookup_hosts: int
    upstream_lease_s: float
    limit_lease_s: float
    credit_lease_s: float
    ledger_retention_s: float
    crash_quarantine_s: float
    cut_off_serving: bool
    ledger_opened_at_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SiteConfig:
    """Merged configuration of one site."""

    services: dict[str, Service]
    organisations: dict[str, Organisation]
    regions: dict[str, Region]
    links: tuple[Link, ...]
    policy: Policy

    def region_of(self, failure_domain: str) -> str | None:
        """Return the region of a failure domain, or None if it is unknown."""
        for name, region in self.regions.items():
            if failure_domain in region.failure_domains:
                return name
        return None


def merge_patch(target: Any, patch: Any) -> Any:
    """Return ``target`` with a JSON merge patch (RFC 7396) applied.

    Neither argument is modified.
    """
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged


def merge_site(base: dict[str, Any], overlay: dict[str, Any]) -> Any:
    """Return the document of one site, which is the base with its overlay."""
    return merge_patch(base, overlay)


def validate_site(
    base: dict[str, Any], overlay: dict[str, Any], *, site: str
) -> SiteConfig:
    """Return the validated configuration of ``site``.

    Raises ``ValidationError``. Its message lists each violation with its
    field, its value and the expected value, or the fleet-wide section that
    the overlay must not change. Members store the message in the replicated
    state, so that its text must be the same in all releases.
    """
    if not isinstance(base, dict):
        raise errors.ValidationError(
            'the base is not a JSON object; write one with services, '
            'organisations and regions'
        )
    if not isinstance(overlay, dict):
        raise errors.ValidationError(
            f'overlay of site {site!r} is not a JSON object; write one'
        )
    for section in FLEET_WIDE_SECTIONS:
        if section in overlay:
            raise errors.ValidationError(
                f'overlay of site {site!r} changes {section!r}, which holds '
                'for the whole fleet; change it in the base'
            )
    try:
        model = _SiteModel.model_validate(merge_site(base, overlay))
    except pydantic.ValidationError as error:
        violations = '; '.join(daemon_settings.validation_lines(error))
        raise errors.ValidationError(
            f'site {site!r}: {violations}. Correct each field and push again'
        ) from error
    return msgspec.convert(model.model_dump(), SiteConfig)
