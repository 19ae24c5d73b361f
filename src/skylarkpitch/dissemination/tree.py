"""Choose whom each host asks for the state.

The entry hosts of a failure domain are ranked by rendezvous hash. The first
``RELAYS`` ask control hosts; the others hang below them in a heap of
``FAN_OUT``, so that no host answers for more than its budget allows however
large the failure domain is. Every host computes the same tree from the
directory, and no message is needed to agree on it.

Rendezvous hashing: Thaler and Ravishankar, "Using Name-Based Mappings to
Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable
import hashlib

from skylarkpitch.peers import directory as directories

__all__ = ['FAN_OUT', 'RELAYS', 'rank', 'relays_of', 'sources_of']

RELAYS = 2
FAN_OUT = 2


def _score(salt: str, name: str) -> bytes:
    return hashlib.blake2b(f'{salt}|{name}'.encode(), digest_size=8).digest()


def rank(salt: str, names: Iterable[str]) -> tuple[str, ...]:
    """Return names by descending rendezvous score for ``salt``."""
    return tuple(
        sorted(names, key=lambda name: (_score(salt, name), name))[::-1]
    )


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
    control = rank(host, (h.name for h in directory.with_role('control')))
    ranked = _ranked(directory, own.failure_domain)
    relays = ranked[:RELAYS]
    wanted: list[str] = []
    if 'control' in own.roles:
        wanted.append(host)
    if host in relays or host not in ranked:
        wanted += [*control, *relays]
    else:
        wanted += [*_parents(ranked, host), *rank(host, relays), *control]
    kept = dict.fromkeys(wanted)
    if 'control' not in own.roles:
        kept.pop(host, None)
    return tuple(kept)


def _ranked(
    directory: directories.Directory, failure_domain: str
) -> tuple[str, ...]:
    hosts = directory.in_failure_domain(failure_domain)
    return rank(failure_domain, (host.name for host in hosts))


def _parents(ranked: tuple[str, ...], host: str) -> list[str]:
    """Return the parent and, against its loss, the parent's neighbour."""
    place = ranked.index(host)
    parent = (place - RELAYS) // FAN_OUT
    neighbour = parent ^ 1
    places = [parent]
    if neighbour < place:
        places.append(neighbour)
    return [ranked[number] for number in places]
