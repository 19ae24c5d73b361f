"""Look-up answers by failure domain, computed before they are requested."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools
import hashlib
import math
import statistics

import msgspec

from skylarkpitch.peers import directory as directories
from skylarkpitch import sentinels
from skylarkpitch.steering import lookup_blocks

__all__ = ['Answers', 'EncodedAnswer']

# Weight of a host of median capacity in the client's failure domain, in the
# other domains of its region, and in other regions.
WEIGHTS = (1000, 100, 10)
# Capacity is rounded to steps so that small changes of the measured value do
# not change the answers. CAPACITY_STEPS are pairs of the minimum ratio to the
# median capacity and the step.
MEDIAN_STEP = 4
CAPACITY_STEPS = ((0.5, MEDIAN_STEP), (0.1, 2), (0.0, 1))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EncodedAnswer:
    """JSON bytes of an answer before and after the operation id prefix."""

    head: bytes
    tail: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Inputs:
    services: tuple[str, ...] = ()
    lifetime_s: float = 0.0
    length: int = 0


class Answers:
    """Look-up answers by failure domain.

    ``recomputed`` counts how often the answers of a domain were computed.
    """

    def __init__(
        self,
        *,
        hosts: Iterable[directories.Host],
        local_host: directories.Host,
        scheme: str,
    ) -> None:
        self._hosts = {
            host.name: host for host in hosts if host.callers_address
        }
        self._local_domain = local_host.failure_domain
        self._scheme = scheme
        self._regions = {
            host.failure_domain: host.region
            for host in (*self._hosts.values(), local_host)
        }
        self._weights: dict[str, int] = {}
        self._inputs = _Inputs()
        self._by_domain: dict[str, dict[tuple[str, int], EncodedAnswer]] = {}
        self._members: dict[str, frozenset[str]] = {}
        self._regional_hosts = self._regional_hosts_by_domain()
        self.recomputed = 0

    def find(
        self, service: str, failure_domain: str | None, variant: int
    ) -> EncodedAnswer | sentinels.Absent:
        """Return the answer for clients of a failure domain.

        Clients of a domain without entry hosts get the local domain's.
        ``Absent`` reasons: ``service_unknown`` and ``no_hosts``.
        """
        if failure_domain not in self._regions:
            failure_domain = self._local_domain
        answers = self._by_domain.get(failure_domain)
        if answers is None:
            answers = self._compute(failure_domain)
        parts = answers.get((service, variant))
        if parts is not None:
            return parts
        if service not in self._inputs.services:
            return sentinels.Absent('service_unknown', service[:60])
        return sentinels.Absent('no_hosts', service)

    def update(
        self,
        *,
        services: tuple[str, ...],
        lifetime_s: float,
        length: int,
        leaving: frozenset[str],
        capacity: Mapping[str, float],
    ) -> None:
        """Apply new inputs and recompute the answers that they affect.

        ``length`` is the number of hosts in an answer. Hosts in ``leaving``
        are left out. If none of the others has capacity, all of them are
        used.
        """
        inputs = _Inputs(
            services=services, lifetime_s=lifetime_s, length=length
        )
        weights = self._compute_weights(leaving, capacity)
        if not any(weights.values()):
            weights = {name: int(name not in leaving) for name in weights}
        if inputs == self._inputs and weights == self._weights:
            return
        changed = {
            name
            for name in weights
            if weights[name] != self._weights.get(name)
        }
        inputs_changed = inputs != self._inputs
        self._inputs = inputs
        self._weights = weights
        for failure_domain in list(self._by_domain):
            if inputs_changed or not changed.isdisjoint(
                self._affecting_hosts(failure_domain)
            ):
                self._compute(failure_domain)

    def _compute_weights(
        self, leaving: frozenset[str], capacity: Mapping[str, float]
    ) -> dict[str, int]:
        known = [value for value in capacity.values() if value > 0]
        median = statistics.median(known) if known else 1.0
        weights = dict.fromkeys(self._hosts, MEDIAN_STEP)
        for name, value in capacity.items():
            if name in weights:
                weights[name] = _capacity_step(value / median)
        for name in leaving & weights.keys():
            weights[name] = 0
        return weights

    def _affecting_hosts(self, failure_domain: str) -> frozenset[str]:
        """Return the hosts whose weights can affect a domain's answers."""
        local = self._regional_hosts[failure_domain]
        usable = [name for name in local if self._weights[name]]
        if len(usable) > self._inputs.length:
            return local | self._members.get(failure_domain, frozenset())
        return frozenset(self._hosts)

    def _regional_hosts_by_domain(self) -> dict[str, frozenset[str]]:
        by_region: dict[str, set[str]] = {}
        for host in self._hosts.values():
            by_region.setdefault(host.region, set()).add(host.name)
        return {
            failure_domain: frozenset(by_region.get(region, ()))
            for failure_domain, region in self._regions.items()
        }

    def _compute(
        self, failure_domain: str
    ) -> dict[tuple[str, int], EncodedAnswer]:
        self.recomputed += 1
        answers = {}
        members: set[str] = set()
        ranked = self._ranked(failure_domain)
        for variant in range(lookup_blocks.VARIANTS):
            selected = self._select(ranked, variant)
            members.update(name for name, _ in selected)
            if selected:
                for service in self._inputs.services:
                    answers[service, variant] = self._encode(service, selected)
        self._by_domain[failure_domain] = answers
        self._members[failure_domain] = frozenset(members)
        return answers

    def _ranked(self, failure_domain: str) -> tuple[list[str], ...]:
        """Return the hosts of the domain, its region, and other regions.

        The hosts of other regions are omitted if the region has enough.
        """
        region = self._usable(self._regional_hosts[failure_domain])
        same_domain = [
            name for name in region if self._is_in_domain(name, failure_domain)
        ]
        same_region = [
            name
            for name in region
            if not self._is_in_domain(name, failure_domain)
        ]
        if len(region) >= self._inputs.length:
            return same_domain, same_region, []
        other_regions = self._usable(
            self._hosts.keys() - self._regional_hosts[failure_domain]
        )
        return same_domain, same_region, other_regions

    def _usable(self, names: Iterable[str]) -> list[str]:
        return [name for name in names if self._weights[name]]

    def _is_in_domain(self, name: str, failure_domain: str) -> bool:
        return self._hosts[name].failure_domain == failure_domain

    def _select(
        self, ranked: tuple[list[str], ...], variant: int
    ) -> list[tuple[str, int]]:
        selected: list[tuple[str, int]] = []
        for names, weight in zip(ranked, WEIGHTS, strict=True):
            missing = self._inputs.length - len(selected)
            if missing <= 0:
                break
            by_score = sorted(
                names,
                key=lambda name: _score(name, variant, self._weights[name]),
                reverse=True,
            )
            selected += [
                (name, max(1, weight * self._weights[name] // MEDIAN_STEP))
                for name in by_score[:missing]
            ]
        return selected

    def _encode(
        self, service: str, selected: list[tuple[str, int]]
    ) -> EncodedAnswer:
        hosts = [
            {
                'url': f'{self._scheme}://{self._hosts[name].callers_address}',
                'weight': weight,
            }
            for name, weight in selected
        ]
        head = {
            'service': service,
            'hosts': hosts,
            'lifetime_s': self._inputs.lifetime_s,
        }
        encoded = msgspec.json.encode(head)
        return EncodedAnswer(
            head=encoded[:-1] + b',"operation_id_prefix":', tail=b'}'
        )


def _capacity_step(ratio: float) -> int:
    if ratio <= 0:
        return 0
    return next(step for minimum, step in CAPACITY_STEPS if ratio >= minimum)


def _score(name: str, variant: int, weight: int) -> float:
    """Return a host's score in weighted rendezvous hashing (Resch, 2015)."""
    return -weight / math.log(_uniform(name, variant))


@functools.lru_cache(maxsize=200_000)
def _uniform(name: str, variant: int) -> float:
    digest = hashlib.blake2b(f'{name}\0{variant}'.encode(), digest_size=8)
    return (int.from_bytes(digest.digest(), 'big') + 1) / (2**64 + 2)
