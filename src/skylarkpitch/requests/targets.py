"""Routing of request targets, with rejection of ambiguous ones.

An upstream may decode or normalise a path before it selects a handler. A
path that this could change into another one is rejected. Otherwise a request
without a key could reach a closed route through an open one.
"""

import dataclasses
import re
import urllib.parse

from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

__all__ = ['RouteMatch', 'RouteTable', 'decode_path']

MAX_TARGET_CHARS = 8000
_TARGET = re.compile(r'/[!-~]*')
_ENCODED_SEPARATOR = re.compile(r'%(?:2f|5c|00|25|3b)', re.IGNORECASE)
_BAD_ESCAPE = re.compile(r'%(?![0-9a-fA-F]{2})')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteMatch:
    """Service and route of a request."""

    service_name: str
    service: deployment.Service
    route: deployment.Route


def decode_path(target: str) -> str | sentinels.Absent:
    """Return the decoded path of an origin-form target.

    Returns ``Absent`` with reason ``request_malformed`` if an upstream could
    interpret the target as another path: dot segments, empty segments,
    encoded separators, backslashes, control characters, fragments or bad
    escapes.
    """
    path, _, _ = target.partition('?')
    if len(target) > MAX_TARGET_CHARS or not _TARGET.fullmatch(target):
        return _malformed('is not a path of visible ASCII characters')
    if '#' in target or '\\' in path:
        return _malformed('holds a fragment or a backslash')
    if _ENCODED_SEPARATOR.search(path) or _BAD_ESCAPE.search(path):
        return _malformed('holds an encoded separator or a bad escape')
    decoded = urllib.parse.unquote(path, errors='replace')
    if any(char < ' ' or char == '\x7f' for char in decoded):
        return _malformed('holds an encoded control character')
    segments = decoded.split('/')[1:]
    if '' in segments[:-1]:
        return _malformed('holds an empty segment')
    if any(part.split(';')[0] in ('.', '..') for part in segments):
        return _malformed('holds a dot segment')
    return decoded


def _malformed(what: str) -> sentinels.Absent:
    return sentinels.Absent('request_malformed', f'the target {what}')


class RouteTable:
    """Table that maps a path to the route with the longest prefix.

    Prefixes match whole segments only.
    """

    def __init__(self, *, services: dict[str, deployment.Service]) -> None:
        self._routes: dict[str, list[RouteMatch]] = {}
        for name, service in services.items():
            for route in service.routes:
                prefix = route.prefix.rstrip('/')
                self._routes.setdefault(prefix, []).append(
                    RouteMatch(service_name=name, service=service, route=route)
                )

    def match(self, path: str, method: str) -> RouteMatch | sentinels.Absent:
        """Return the route with the longest prefix that allows the method.

        An open route is not used if a longer prefix of the path belongs to a
        closed route. Returns ``Absent`` with reason
        ``route_unknown`` if there is no route.
        """
        is_closed = False
        prefix = path.rstrip('/')
        while True:
            candidates = self._routes.get(prefix, ())
            matches = [
                item for item in candidates if method in item.route.methods
            ]
            if matches:
                break
            is_closed = is_closed or any(
                not item.route.open for item in candidates
            )
            if not prefix:
                return sentinels.Absent('route_unknown')
            prefix = prefix.rpartition('/')[0]
        if matches[0].route.open and is_closed:
            return sentinels.Absent('route_unknown')
        return matches[0]
