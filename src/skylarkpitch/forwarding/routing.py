"""Match requests to routes, and divide routes among services."""

from collections.abc import Iterable

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


class Splitter:
    """Divide the requests of each route among its services by weight.

    Smooth weighted round robin: after any number of requests the count of
    each service is within one of its weighted part, without randomness.
    """

    def __init__(self) -> None:
        self._current_weights: dict[str, dict[str, float]] = {}

    def next_service(self, route: model.Route) -> str:
        """Return the service for the next request of a route."""
        parts = route.services
        if len(parts) == 1:
            return parts[0].service
        current_weights = self._current_weights.setdefault(route.name, {})
        total = sum(part.weight for part in parts)
        for part in parts:
            current_weights[part.service] = (
                current_weights.get(part.service, 0.0) + part.weight
            )
        chosen = max(
            (part for part in parts if part.weight > 0),
            key=lambda part: current_weights[part.service],
        )
        current_weights[chosen.service] -= total
        return chosen.service

    def reset(self) -> None:
        """Discard all state, as after a change of the routes."""
        self._current_weights.clear()
