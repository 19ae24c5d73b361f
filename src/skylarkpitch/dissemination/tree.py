"""Sources from which each host requests the state.

The entry hosts of a failure domain are ranked by rendezvous hash. The first
``RELAYS`` use control hosts as sources. The others form a heap below them in
which each host has ``FAN_OUT`` children, so that the load of a host stays
bounded however large the failure domain is. Every host computes the same tree
from the directory, and no message is needed to agree on it.
"""

from skylarkpitch.peers import directory as directories
from skylarkpitch.peers import rendezvous

__all__ = ['FAN_OUT', 'RELAYS', 'relays_of', 'sources_of']

RELAYS = 2
FAN_OUT = 2


def relays_of(
    directory: directories.Directory, failure_domain: str
) -> tuple[str, ...]:
    """Return the hosts of a failure domain that use control hosts."""
    return _ranked(directory, failure_domain)[:RELAYS]


def sources_of(directory: directories.Directory, host: str) -> tuple[str, ...]:
    """Return the hosts from which ``host`` requests the state, best first.

    A host with the control role uses itself first. After its parents come the
    other relays of its failure domain and then every control host, so that any
    one reachable source is enough.
    """
    host_entry = directory.get(host)
    if host_entry is None:
        return ()
    control = rendezvous.rank(
        host, (h.name for h in directory.with_role('control'))
    )
    ranked = _ranked(directory, host_entry.failure_domain)
    relays = ranked[:RELAYS]
    sources: list[str] = []
    if 'control' in host_entry.roles:
        sources.append(host)
    if host in relays or host not in ranked:
        sources += [*control, *relays]
    else:
        sources += [
            *_parents(ranked, host),
            *rendezvous.rank(host, relays),
            *control,
        ]
    unique = dict.fromkeys(sources)
    if 'control' not in host_entry.roles:
        unique.pop(host, None)
    return tuple(unique)


def _ranked(
    directory: directories.Directory, failure_domain: str
) -> tuple[str, ...]:
    hosts = directory.in_failure_domain(failure_domain)
    names = (host.name for host in hosts)
    return tuple(rendezvous.rank(failure_domain, names))


def _parents(ranked: tuple[str, ...], host: str) -> list[str]:
    """Return the parent and, in case it fails, the parent's sibling."""
    position = ranked.index(host)
    parent = (position - RELAYS) // FAN_OUT
    sibling = parent ^ 1
    positions = [parent]
    if sibling < position:
        positions.append(sibling)
    return [ranked[number] for number in positions]
