"""Find the route of a request target, and refuse ambiguous targets.

An upstream may decode or normalise a path before it picks its handler. A
path that this could turn into another one is refused, so that no closed
route is reached through an open one.
"""

import dataclasses
import re
import urllib.parse

from skylarkpitch import sentinels
from skylarkpitch.settings import deployment

__all__ = ['Matched', 'RouteTable', 'plain_path']

MAX_TARGET_CHARS = 8000
_TARGET = re.compile(r'/[!-~]*')
_ENCODED_SEPARATOR = re.compile(r'%(?:2f|5c|00|25|3b)', re.IGNORECASE)
_BAD_ESCAPE = re.compile(r'%(?![0-9a-fA-F]{2})')


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Matched:
    """Service and route that a request falls under."""

    service_name: str
    service: deployment.Service
    route: deployment.Route


def plain_path(target: str) -> str | sentinels.Absent:
    """Return the decoded path of an origin-form target.

    ``Absent`` with ``request_malformed`` for a target that an upstream
    could read as another path: dot segments, empty segments, encoded
    separators, backslashes, control characters, fragments, bad escapes.
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
    """Map paths to routes by their longest prefix of whole segments."""

    def __init__(self, *, services: dict[str, deployment.Service]) -> None:
        self._routes: dict[str, list[Matched]] = {}
        for name, service in services.items():
            for route in service.routes:
                prefix = route.prefix.rstrip('/')
                self._routes.setdefault(prefix, []).append(
                    Matched(service_name=name, service=service, route=route)
                )

    def match(self, path: str, method: str) -> Matched | sentinels.Absent:
        """Return the longest route that allows the method.

        An open route never covers what a longer, closed prefix covers.
        """
        closed = False
        prefix = path.rstrip('/')
        while True:
            here = self._routes.get(prefix, ())
            found = [item for item in here if method in item.route.methods]
            if found:
                break
            closed = closed or any(not item.route.open for item in here)
            if not prefix:
                return sentinels.Absent('route_unknown')
            prefix = prefix.rpartition('/')[0]
        if found[0].route.open and closed:
            return sentinels.Absent('route_unknown')
        return found[0]
