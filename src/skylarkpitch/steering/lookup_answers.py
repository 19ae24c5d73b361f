"""Compute look-up answers per failure domain before they are requested."""

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

__all__ = ['Answers', 'Parts']

# Weight of a host in the caller's own failure domain, in its region and
# elsewhere, for usual room.
WEIGHTS = (1000, 100, 10)
# Steps of room, so that small changes of a measurement leave the answers
# alone: the least part of the usual room, and the step it counts as.
FULL_STEP = 4
CAPACITY_STEPS = ((0.5, FULL_STEP), (0.1, 2), (0.0, 1))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parts:
    """Bytes of an answer before and after the prefix of operation ids."""

    head: bytes
    tail: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Inputs:
    services: tuple[str, ...] = ()
    lifetime_s: float = 0.0
    length: int = 0


class Answers:
    """Answers by failure domain; ``recomputed`` counts recomputed domains."""

    def __init__(
        self,
        *,
        hosts: Iterable[directories.Host],
        own: directories.Host,
        scheme: str,
    ) -> None:
        self._hosts = {
            host.name: host for host in hosts if host.callers_address
        }
        self._local_domain = own.failure_domain
        self._scheme = scheme
        self._regions = {
            host.failure_domain: host.region
            for host in (*self._hosts.values(), own)
        }
        self._weights: dict[str, int] = {}
        self._inputs = _Inputs()
        self._by_domain: dict[str, dict[tuple[str, int], Parts]] = {}
        self._members: dict[str, frozenset[str]] = {}
        self._reach = self._reach_by_domain()
        self.recomputed = 0

    def find(
        self, service: str, failure_domain: str | None, variant: int
    ) -> Parts | sentinels.Absent:
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
        """Recompute the answers of the places that a change concerns."""
        inputs = _Inputs(
            services=services, lifetime_s=lifetime_s, length=length
        )
        weights = self._weigh(leaving, capacity)
        if not any(weights.values()):
            weights = {name: int(name not in leaving) for name in weights}
        if inputs == self._inputs and weights == self._weights:
            return
        changed = {
            name
            for name in weights
            if weights[name] != self._weights.get(name)
        }
        everything = inputs != self._inputs
        self._inputs = inputs
        self._weights = weights
        for failure_domain in list(self._by_domain):
            if everything or not changed.isdisjoint(
                self._reach_of(failure_domain)
            ):
                self._compute(failure_domain)

    def _weigh(
        self, leaving: frozenset[str], capacity: Mapping[str, float]
    ) -> dict[str, int]:
        known = [value for value in capacity.values() if value > 0]
        usual = statistics.median(known) if known else 1.0
        weights = dict.fromkeys(self._hosts, FULL_STEP)
        for name, value in capacity.items():
            if name in weights:
                weights[name] = _step(value / usual)
        for name in leaving & weights.keys():
            weights[name] = 0
        return weights

    def _reach_of(self, failure_domain: str) -> frozenset[str]:
        """Return the hosts whose changes can change a domain's answers."""
        local = self._reach[failure_domain]
        alive = [name for name in local if self._weights[name]]
        if len(alive) > self._inputs.length:
            return local | self._members.get(failure_domain, frozenset())
        return frozenset(self._hosts)

    def _reach_by_domain(self) -> dict[str, frozenset[str]]:
        by_region: dict[str, set[str]] = {}
        for host in self._hosts.values():
            by_region.setdefault(host.region, set()).add(host.name)
        return {
            failure_domain: frozenset(by_region.get(region, ()))
            for failure_domain, region in self._regions.items()
        }

    def _compute(self, failure_domain: str) -> dict[tuple[str, int], Parts]:
        self.recomputed += 1
        answers = {}
        members: set[str] = set()
        ranked = self._ranked(failure_domain)
        for variant in range(lookup_blocks.VARIANTS):
            chosen = self._choose(ranked, variant)
            members.update(name for name, _ in chosen)
            if chosen:
                for service in self._inputs.services:
                    answers[service, variant] = self._parts(service, chosen)
        self._by_domain[failure_domain] = answers
        self._members[failure_domain] = frozenset(members)
        return answers

    def _ranked(self, failure_domain: str) -> tuple[list[str], ...]:
        """Return the hosts in the domain, in its region, and elsewhere.

        Those elsewhere are left out where the region has enough.
        """
        region = self._alive(self._reach[failure_domain])
        near = [name for name in region if self._is_at(name, failure_domain)]
        far = [
            name for name in region if not self._is_at(name, failure_domain)
        ]
        if len(region) >= self._inputs.length:
            return near, far, []
        others = self._alive(self._hosts.keys() - self._reach[failure_domain])
        return near, far, others

    def _alive(self, names: Iterable[str]) -> list[str]:
        return [name for name in names if self._weights[name]]

    def _is_at(self, name: str, failure_domain: str) -> bool:
        return self._hosts[name].failure_domain == failure_domain

    def _choose(
        self, ranked: tuple[list[str], ...], variant: int
    ) -> list[tuple[str, int]]:
        chosen: list[tuple[str, int]] = []
        for names, weight in zip(ranked, WEIGHTS, strict=True):
            missing = self._inputs.length - len(chosen)
            if missing <= 0:
                break
            order = sorted(
                names,
                key=lambda name: _score(name, variant, self._weights[name]),
                reverse=True,
            )
            chosen += [
                (name, max(1, weight * self._weights[name] // FULL_STEP))
                for name in order[:missing]
            ]
        return chosen

    def _parts(self, service: str, chosen: list[tuple[str, int]]) -> Parts:
        hosts = [
            {
                'url': f'{self._scheme}://{self._hosts[name].callers_address}',
                'weight': weight,
            }
            for name, weight in chosen
        ]
        head = {
            'service': service,
            'hosts': hosts,
            'lifetime_s': self._inputs.lifetime_s,
        }
        encoded = msgspec.json.encode(head)
        return Parts(head=encoded[:-1] + b',"operation_id_prefix":', tail=b'}')


def _step(part: float) -> int:
    if part <= 0:
        return 0
    return next(step for least, step in CAPACITY_STEPS if part >= least)


def _score(name: str, variant: int, weight: int) -> float:
    """Return the weighted rendezvous score of a host (Resch, 2015)."""
    return -weight / math.log(_uniform(name, variant))


@functools.lru_cache(maxsize=200_000)
def _uniform(name: str, variant: int) -> float:
    digest = hashlib.blake2b(f'{name}\0{variant}'.encode(), digest_size=8)
    return (int.from_bytes(digest.digest(), 'big') + 1) / (2**64 + 2)
