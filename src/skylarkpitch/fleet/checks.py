"""Validate a configuration as a whole before it is accepted."""

import collections
from collections.abc import Iterator
import dataclasses
import math

from skylarkpitch import errors
from skylarkpitch.fleet import model

__all__ = ['check', 'violations']

MAX_LISTED_VIOLATIONS = 5
# Versions are stored as integers of 64 bits.
MAX_VERSION = 2**63


def check(configuration: model.Configuration) -> None:
    """Raise ``ValidationError`` if a configuration violates a rule.

    The message lists the first ``MAX_LISTED_VIOLATIONS`` violations.
    """
    messages = list(violations(configuration))
    if messages:
        listed = '; '.join(messages[:MAX_LISTED_VIOLATIONS])
        raise errors.ValidationError(
            f'configuration {configuration.version}: {listed}. Correct this '
            'and send it again under a higher version'
        )


def violations(configuration: model.Configuration) -> Iterator[str]:
    """Yield one message for each rule that a configuration violates."""
    if not 0 <= configuration.version < MAX_VERSION:
        yield f'the version is not from 0 to below {MAX_VERSION}'
    service_names = {service.name for service in configuration.services}
    route_names: dict[tuple[str, str], str] = {}
    for route in configuration.routes:
        yield from _route_violations(route, service_names)
        match = (route.host.lower(), route.path_prefix)
        if match in route_names:
            yield (
                f'routes {route_names[match]} and {route.name} have the same '
                'host and path prefix'
            )
        route_names[match] = route.name
    yield from _name_violations(configuration)
    yield from _limit_violations(configuration.limits)
    yield from _service_violations(configuration)
    yield from _organisation_violations(configuration)


def _is_from_0(number: float) -> bool:
    """Return whether a number is finite and not below 0.

    Comparisons with NaN are all false, so a test for what is wrong would let
    it pass.
    """
    return math.isfinite(number) and number >= 0


def _route_violations(
    route: model.Route, service_names: set[str]
) -> Iterator[str]:
    label = f'route {route.name}'
    if not route.host:
        yield f'{label} has no host'
    prefix = route.path_prefix
    if not prefix.startswith('/'):
        yield f'{label} has a path prefix that does not begin with a slash'
    elif not prefix.endswith('/'):
        yield f'{label} has a path prefix that does not end with a slash'
    if not (route.timeout_ms > 0 and math.isfinite(route.timeout_ms)):
        yield f'{label} has a timeout that is not above 0 and finite'
    if route.max_upstreams < 1:
        yield f'{label} allows fewer than 1 upstream'
    for part in route.services:
        if part.service not in service_names:
            yield f'{label} refers to {part.service!r}, which is no service'
        if not _is_from_0(part.weight):
            yield f'{label} has a weight below 0 or not finite'
    if not any(part.weight > 0 for part in route.services):
        yield f'{label} has weights whose sum is not above 0'


def _name_violations(configuration: model.Configuration) -> Iterator[str]:
    for kind, items in (
        ('routes', configuration.routes),
        ('services', configuration.services),
        ('organisations', configuration.organisations),
    ):
        names = collections.Counter(item.name for item in items)
        for name, count in names.items():
            if count > 1:
                yield f'{count} {kind} have the name {name}'


def _limit_violations(limits: model.CallerLimits) -> Iterator[str]:
    for field in dataclasses.fields(limits):
        if not _is_from_0(getattr(limits, field.name)):
            yield f'the limit {field.name} is below 0 or not finite'


def _service_violations(configuration: model.Configuration) -> Iterator[str]:
    for service in configuration.services:
        if service.max_connections < 0 or not _is_from_0(service.cold_ms):
            yield (
                f'service {service.name} has a number of connections, or a '
                'cold time, below 0'
            )
        rate = service.cold_rate_per_s
        if rate is not None and not _is_from_0(rate):
            yield f'service {service.name} has a rate below 0 or not finite'


def _organisation_violations(
    configuration: model.Configuration,
) -> Iterator[str]:
    key_owners: dict[str, str] = {}
    for item in configuration.organisations:
        if not (_is_from_0(item.rate_per_s) and _is_from_0(item.burst)):
            yield (
                f'organisation {item.name} has a rate or burst below 0 or '
                'not finite'
            )
        for key in item.api_keys:
            owner = key_owners.setdefault(key, item.name)
            if owner != item.name:
                yield f'{owner} and {item.name} share an API key'
