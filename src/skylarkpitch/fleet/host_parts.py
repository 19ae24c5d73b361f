"""Divide what belongs to the whole fleet among its entry hosts.

All hosts compute the same division from the list of entry hosts, without
asking control. The hosts of one region may get more of it than the others.
"""

from collections.abc import Iterable
import dataclasses

from skylarkpitch.fleet import model

__all__ = ['HostPart', 'divide']

# Weight of a host in the favoured region; that of any other host is 1.
FAVOURED_WEIGHT = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostPart:
    """Part of one entry host: ``weight`` of ``total_weight``.

    The parts of all hosts follow each other without gaps; that of this host
    begins at ``position``.
    """

    position: int
    weight: int
    total_weight: int


def divide(
    hosts: Iterable[model.EntryHost], *, favoured_region: str | None
) -> dict[str, HostPart]:
    """Return the part of each entry host by its name.

    Without a favoured region all parts are equal.
    """
    weights = {
        host.name: FAVOURED_WEIGHT if host.region == favoured_region else 1
        for host in sorted(hosts, key=lambda host: host.name)
    }
    total_weight = sum(weights.values())
    parts = {}
    position = 0
    for name, weight in weights.items():
        parts[name] = HostPart(
            position=position, weight=weight, total_weight=total_weight
        )
        position += weight
    return parts
