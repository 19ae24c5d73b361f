"""Match requests to routes, and divide routes among services."""

from collections.abc import Iterable
import math

from skylarkpitch.fleet import model

__all__ = ['RoutingTable', 'Splitter']


class RoutingTable:
    """Routes by host name and path prefix; the longest prefix wins."""

    def __init__(self, routes: Iterable[model.Route]) -> None:
        self._hosts: dict[str, dict[str, model.Route]] = {}
        for route in routes:
            by_prefix = self._hosts.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route

    def find(self, host: str, path: str) -> model.Route | None:
        """Return the route of a request, or None.

        Path prefixes begin and end with a slash, so only the parts of the
        path that end with a slash are looked up.
        """
        by_prefix = self._hosts.get(host.lower())
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind('/', 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


def _relative_weights(route: model.Route) -> list[tuple[str, float]]:
    """Return the services that get requests, with weights of at most 1.

    A configuration that an earlier release stored may have weights that are
    not finite; if no other is above 0, its first service gets all requests.
    """
    positive = [
        (part.service, part.weight)
        for part in route.services
        if part.weight > 0 and math.isfinite(part.weight)
    ]
    if not positive:
        return [(route.services[0].service, 1.0)]
    largest = max(weight for _service, weight in positive)
    return [(service, weight / largest) for service, weight in positive]


class Splitter:
    """Divide the requests of each route among its services by weight.

    Smooth weighted round robin: after any number of requests the count of
    each service is within one of its weighted part, without randomness.
    """

    def __init__(self) -> None:
        self._weights: dict[str, list[tuple[str, float]]] = {}
        self._current_weights: dict[str, dict[str, float]] = {}

    def next_service(self, route: model.Route) -> str:
        """Return the service for the next request of a route."""
        weights = self._weights.get(route.name)
        if weights is None:
            weights = self._weights[route.name] = _relative_weights(route)
        if len(weights) == 1:
            return weights[0][0]
        current_weights = self._current_weights.setdefault(route.name, {})
        for service, weight in weights:
            current_weights[service] = (
                current_weights.get(service, 0.0) + weight
            )
        chosen, _weight = max(
            weights, key=lambda item: current_weights[item[0]]
        )
        current_weights[chosen] -= sum(weight for _name, weight in weights)
        return chosen

    def reset(self) -> None:
        """Discard all state, as after a change of the routes."""
        self._weights.clear()
        self._current_weights.clear()
