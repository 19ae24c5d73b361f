"""Check a configuration as a whole before it is accepted."""

from collections.abc import Iterator

from skylarkpitch import errors
from skylarkpitch.fleet import model

__all__ = ['check', 'mistakes']

MAX_LISTED = 5


def check(configuration: model.Configuration) -> None:
    """Raise ``ValidationError`` when a configuration breaks a rule."""
    found = list(mistakes(configuration))
    if found:
        listed = '; '.join(found[:MAX_LISTED])
        raise errors.ValidationError(
            f'configuration {configuration.version}: {listed}. Correct this '
            'and send it again under a higher version'
        )


def mistakes(configuration: model.Configuration) -> Iterator[str]:
    """Return one line for each rule that is broken."""
    known = {service.name for service in configuration.services}
    places: dict[tuple[str, str], str] = {}
    for route in configuration.routes:
        yield from _route_mistakes(route, known)
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            yield (
                f'routes {places[place]} and {route.name} have the same '
                'host and path prefix'
            )
        places[place] = route.name
    yield from _service_mistakes(configuration)
    yield from _organisation_mistakes(configuration)


def _route_mistakes(route: model.Route, known: set[str]) -> Iterator[str]:
    where = f'route {route.name}'
    if not route.host:
        yield f'{where} names no host'
    prefix = route.path_prefix
    if not prefix.startswith('/'):
        yield f'{where} has a path prefix that begins with no slash'
    elif not prefix.endswith('/'):
        yield f'{where} has a path prefix that ends with no slash'
    if route.timeout_ms <= 0:
        yield f'{where} has a timeout of 0'
    if route.max_upstreams < 1:
        yield f'{where} allows no attempt'
    for part in route.services:
        if part.service not in known:
            yield f'{where} goes to {part.service!r}, which is no service'
        if part.weight < 0:
            yield f'{where} has a weight below 0'
    if sum(part.weight for part in route.services) <= 0:
        yield f'{where} has weights that add up to 0'


def _service_mistakes(configuration: model.Configuration) -> Iterator[str]:
    for service in configuration.services:
        rate = service.cold_rate_per_s
        if rate is not None and rate < 0:
            yield f'service {service.name} has a rate below 0'


def _organisation_mistakes(
    configuration: model.Configuration,
) -> Iterator[str]:
    holders: dict[str, str] = {}
    for item in configuration.organisations:
        if item.rate_per_s < 0 or item.burst < 0:
            yield f'organisation {item.name} has a rate or burst below 0'
        for key in item.api_keys:
            holder = holders.setdefault(key, item.name)
            if holder != item.name:
                yield f'{holder} and {item.name} share a key'
