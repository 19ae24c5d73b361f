"""Choose whom each host asks for the state.

The entry hosts of a failure domain are ranked by rendezvous hash. The first
``RELAYS`` ask control hosts; the others hang below them in a heap of
``FAN_OUT``, so that no host answers for more than its budget allows however
large the failure domain is. Every host computes the same tree from the
directory, and no message is needed to agree on it.
"""

from skylarkpitch.peers import directory as directories
from skylarkpitch.peers import rendezvous

__all__ = ['FAN_OUT', 'RELAYS', 'relays_of', 'sources_of']

RELAYS = 2
FAN_OUT = 2


def relays_of(
    directory: directories.Directory, failure_domain: str
) -> tuple[str, ...]:
    """Return the hosts of a failure domain that ask control hosts."""
    return _ranked(directory, failure_domain)[:RELAYS]


def sources_of(directory: directories.Directory, host: str) -> tuple[str, ...]:
    """Return the hosts that ``host`` asks for the state, best first.

    A host that carries the control role asks itself first. Below its
    parents come the other relays of its failure domain and then every
    control host, so that any one path is enough.
    """
    own = directory.get(host)
    if own is None:
        return ()
    control = rendezvous.rank(
        host, (h.name for h in directory.with_role('control'))
    )
    ranked = _ranked(directory, own.failure_domain)
    relays = ranked[:RELAYS]
    wanted: list[str] = []
    if 'control' in own.roles:
        wanted.append(host)
    if host in relays or host not in ranked:
        wanted += [*control, *relays]
    else:
        wanted += [
            *_parents(ranked, host),
            *rendezvous.rank(host, relays),
            *control,
        ]
    kept = dict.fromkeys(wanted)
    if 'control' not in own.roles:
        kept.pop(host, None)
    return tuple(kept)


def _ranked(
    directory: directories.Directory, failure_domain: str
) -> tuple[str, ...]:
    hosts = directory.in_failure_domain(failure_domain)
    names = (host.name for host in hosts)
    return tuple(rendezvous.rank(failure_domain, names))


def _parents(ranked: tuple[str, ...], host: str) -> list[str]:
    """Return the parent and, against its loss, the parent's neighbour."""
    place = ranked.index(host)
    parent = (place - RELAYS) // FAN_OUT
    neighbour = parent ^ 1
    places = [parent]
    if neighbour < place:
        places.append(neighbour)
    return [ranked[number] for number in places]
