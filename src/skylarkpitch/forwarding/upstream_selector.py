"""Select the upstream for a request, or report that none has capacity.

On the days of heaviest load callers send more than the upstreams nearby can
serve, and an upstream that is warm for the affinity key of a request
takes a third of the time that another takes. Each candidate therefore gets
a cost in seconds: when it would have finished the request, plus a penalty
for the bytes that cross a link between failure domains or regions.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import arrivals
from skylarkpitch.forwarding import regions
from skylarkpitch.forwarding import service_pool
from skylarkpitch.forwarding import upstream_load
from skylarkpitch.forwarding import work_times
from skylarkpitch import sentinels

__all__ = ['Candidate', 'SelectionCriteria', 'UpstreamSelector']

# Costs of another failure domain or region: a penalty for the bytes that cross
# the link, and the round trip.
DOMAIN_PENALTY_S = 0.012
REGION_PENALTY_S = 0.045
DOMAIN_ROUND_TRIP_S = 0.003
REGION_ROUND_TRIP_S = 0.08
# Cost of an upstream all of whose requests fail.
DEGRADED_PENALTY_S = 1.0
# An upstream that caches the data of an affinity key for which it is not the
# first choice evicts that of another, which costs this fraction of a miss.
EVICTION_COST_SHARE = 0.25
# Fraction of its slots up to which an upstream accepts requests for whose
# affinity key it is not preferred.
NON_PREFERRED_FILL = 0.5
# Requests that may queue at an upstream that is preferred for their affinity
# key, as a fraction of its slots.
QUEUE_SHARE = 0.5
# All upstreams are equal for a request without an affinity key.
_NO_AFFINITY_RANK = service_pool.AffinityRank(
    is_preferred=True, is_first=True, is_in_planned_region=True
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SelectionCriteria:
    """What a request requires of an upstream.

    ``affinity_key`` identifies the data that upstreams cache for the
    request, if any. ``homes`` are the regions that may run it; None allows
    all. ``excluded`` are the upstreams that it was sent to before.
    """

    service: str
    route: str
    affinity_key: str | None
    homes: frozenset[str] | None
    objective_s: float
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """An upstream that a request could use.

    ``expected_s`` is how long the upstream should work on the request.
    ``is_preferred`` is set for the upstreams that rendezvous hashing assigns
    to the affinity key, ``is_warm`` for one that should have the data of the
    key cached now.
    """

    load: upstream_load.UpstreamLoad
    expected_s: float
    is_preferred: bool
    is_warm: bool


class UpstreamSelector:
    """The upstreams of all services, as measured by one entry host."""

    def __init__(
        self,
        *,
        region: str,
        failure_domain: str,
        region_of: Callable[[str], str | None],
    ) -> None:
        self._region = region
        self._failure_domain = failure_domain
        self._region_of = region_of
        self._loads: dict[str, upstream_load.UpstreamLoad] = {}
        self._pools: dict[str, service_pool.ServicePool] = {}
        self._times = work_times.WorkTimes()
        self._offered_load = arrivals.OfferedLoad()
        self._draining: frozenset[str] = frozenset()

    def update_upstreams(
        self,
        upstreams: Iterable[model.Upstream],
        *,
        draining_domains: frozenset[str],
        cold_s: Callable[[str], float],
        now_s: float,
    ) -> None:
        """Replace the upstreams and the draining failure domains.

        ``cold_s`` returns for how many seconds an upstream of a service is
        cold. The upstreams of a failure domain that no longer drains are
        treated as cold, since they may be.
        """
        undrained = self._draining - draining_domains
        self._draining = draining_domains
        loads = {}
        for item in upstreams:
            load = self._loads.get(item.upstream_id)
            if load is None or load.upstream.born_ms != item.born_ms:
                load = upstream_load.UpstreamLoad(item, now_s=now_s)
            elif load.upstream != item:
                load.update(item, now_s=now_s)
            if item.failure_domain in undrained:
                load.become_cold(cold_s(item.service), now_s=now_s)
            loads[item.upstream_id] = load
        self._loads = loads
        self._fill_pools(now_s)

    def _fill_pools(self, now_s: float) -> None:
        usable: dict[str, dict[str, service_pool.Loads]] = {}
        for name, load in sorted(self._loads.items()):
            item = load.upstream
            is_ready = item.state is model.UpstreamState.READY
            if is_ready and item.failure_domain not in self._draining:
                by_region = usable.setdefault(item.service, {})
                by_region.setdefault(self.region_of(load), {})[name] = load
        for service in set(self._pools) | set(usable):
            pool = self._pools.get(service)
            if pool is None:
                pool = self._pools[service] = service_pool.ServicePool(
                    local_region=self._region, now_s=now_s
                )
            pool.set_upstreams(usable.get(service, {}))
            pool.shares.set_region_groups(pool.region_groups)

    def _region_group(
        self,
        pool: service_pool.ServicePool,
        load: upstream_load.UpstreamLoad,
        criteria: SelectionCriteria,
    ) -> str:
        """Return the region group of an upstream, as a request sees it.

        The groups are the local region, the first remote region of the
        affinity key (without a key, all remote regions), and the other
        remote regions. All upstreams count as local for a request whose
        ``homes`` are named.
        """
        if criteria.homes is not None:
            return regions.LOCAL
        region = self.region_of(load)
        if region == self._region:
            return regions.LOCAL
        if criteria.affinity_key is None:
            return regions.REMOTE
        first_remote_region = pool.first_remote_region(criteria.affinity_key)
        return (
            regions.REMOTE
            if region == first_remote_region
            else regions.OTHER_REMOTE
        )

    def region_of(self, load: upstream_load.UpstreamLoad) -> str:
        """Return the region of an upstream."""
        return self._region_of(load.upstream.failure_domain) or ''

    def is_known(self, service: str) -> bool:
        """Return whether a service has a usable upstream."""
        pool = self._pools.get(service)
        return pool is not None and bool(pool.loads)

    def is_current(self, load: upstream_load.UpstreamLoad) -> bool:
        """Return whether an upstream may still receive requests."""
        pool = self._pools.get(load.upstream.service)
        return pool is not None and (
            pool.loads.get(load.upstream.upstream_id) is load
        )

    def select(
        self,
        criteria: SelectionCriteria,
        *,
        cold_rate_per_s: float | None,
        entry_hosts: int,
        now_s: float,
        is_final_attempt: bool = False,
    ) -> Candidate | sentinels.Absent:
        """Return the candidate of the lowest cost that has capacity.

        An upstream that is not preferred takes several times as long, so a
        request waits for a preferred one. Only the final attempt considers
        the others, and of those only upstreams with few occupied slots (see
        ``NON_PREFERRED_FILL``).
        ``cold_rate_per_s`` bounds the requests for a cold upstream over all
        ``entry_hosts``; None sets no bound.

        Returns ``Absent`` with ``no_upstream`` when the service has no
        usable upstream, or ``no_room`` when all of them are full.
        """
        pool = self._pools.get(criteria.service)
        if pool is None or not pool.loads:
            return sentinels.Absent('no_upstream')
        scored = self._score_by_group(pool, criteria, now_s)
        if not scored:
            return sentinels.Absent('no_upstream', 'all are excluded')
        cold_share = None
        if cold_rate_per_s is not None:
            cold_share = cold_rate_per_s / max(1, entry_hosts)
        for number, group in enumerate(
            self._group_order(pool, criteria, scored, now_s)
        ):
            for _cost, _name, candidate in scored[group]:
                if not candidate.is_preferred and not is_final_attempt:
                    continue
                if not self._has_capacity(candidate, cold_share, now_s):
                    continue
                if number > 0 and not pool.shares.consume_spill_token():
                    break
                return candidate
        return sentinels.Absent('no_room')

    def _score_by_group(
        self,
        pool: service_pool.ServicePool,
        criteria: SelectionCriteria,
        now_s: float,
    ) -> dict[str, list[tuple[float, str, Candidate]]]:
        times = self._times_of(criteria)
        scored: dict[str, list[tuple[float, str, Candidate]]] = {}
        for name, load in self._eligible(pool, criteria, now_s):
            cost_s, candidate = self._score(pool, load, criteria, times, now_s)
            entry = (cost_s, name, candidate)
            group = self._region_group(pool, load, criteria)
            scored.setdefault(group, []).append(entry)
        for entries in scored.values():
            entries.sort(key=lambda entry: entry[:2])
        return scored

    def _eligible(
        self,
        pool: service_pool.ServicePool,
        criteria: SelectionCriteria,
        now_s: float,
    ) -> list[tuple[str, upstream_load.UpstreamLoad]]:
        """Return the upstreams that may run a request, with their ids.

        Those that failed recently are left out while there are others.
        """
        allowed = [
            (name, load)
            for name, load in pool.loads.items()
            if name not in criteria.excluded
            and (
                criteria.homes is None
                or self.region_of(load) in criteria.homes
            )
        ]
        not_in_backoff = [
            item for item in allowed if not item[1].is_in_backoff(now_s=now_s)
        ]
        return not_in_backoff or allowed

    def _score(
        self,
        pool: service_pool.ServicePool,
        load: upstream_load.UpstreamLoad,
        criteria: SelectionCriteria,
        times: work_times.RouteTimes,
        now_s: float,
    ) -> tuple[float, Candidate]:
        affinity_rank = _NO_AFFINITY_RANK
        if criteria.affinity_key is not None:
            name = load.upstream.upstream_id
            affinity_rank = pool.affinity_rank(criteria.affinity_key, name)
        # All entry hosts send an affinity key to its first upstream, so that
        # one is warm even if this host has not sent it the key. If homes
        # name the regions, that holds for the first upstream of each region.
        is_first = affinity_rank.is_first and (
            affinity_rank.is_in_planned_region or criteria.homes is not None
        )
        is_warm = is_first or load.is_warm(criteria.affinity_key, now_s=now_s)
        expected_s = times.warm_s if is_warm else times.miss_s
        work_s = expected_s * load.slowness
        slots = max(1, load.upstream.slots)
        excess = load.occupied_slots(now_s=now_s) + 1 - slots
        wait_s = max(0.0, excess) * work_s / slots
        # A small cost of upstreams that are over half full, whose last slots
        # other requests may need.
        fill_s = 0.1 * work_s * max(0.0, excess / slots + 0.5)
        cost_s = work_s + wait_s + fill_s + self._distance_s(load)
        cost_s += DEGRADED_PENALTY_S * load.failure_share
        if not is_first:
            cost_s += EVICTION_COST_SHARE * times.miss_penalty_s
        return cost_s, Candidate(
            load=load,
            expected_s=expected_s,
            is_preferred=affinity_rank.is_preferred,
            is_warm=is_warm,
        )

    def _distance_s(self, load: upstream_load.UpstreamLoad) -> float:
        if load.upstream.failure_domain == self._failure_domain:
            return 0.0
        if self.region_of(load) == self._region:
            return DOMAIN_PENALTY_S + DOMAIN_ROUND_TRIP_S
        return REGION_PENALTY_S + REGION_ROUND_TRIP_S

    def _group_order(
        self,
        pool: service_pool.ServicePool,
        criteria: SelectionCriteria,
        scored: dict[str, list[tuple[float, str, Candidate]]],
        now_s: float,
    ) -> list[str]:
        """Return the region groups to try, in this order.

        The first one follows from the local share. The others are used only
        for the few requests that may spill over. A retry uses only the group
        of the candidate with the lowest cost.
        """
        if criteria.excluded:
            return sorted(scored, key=lambda group: scored[group][0][:2])[:1]
        affinity_fraction = pool.affinity_fraction(criteria.affinity_key)
        chosen = pool.shares.choose(
            affinity_fraction=affinity_fraction, now_s=now_s
        )
        order = [chosen, regions.LOCAL, regions.REMOTE, regions.OTHER_REMOTE]
        return [group for group in dict.fromkeys(order) if group in scored]

    def _has_capacity(
        self,
        candidate: Candidate,
        cold_share_per_s: float | None,
        now_s: float,
    ) -> bool:
        load = candidate.load
        if now_s < load.full_until_s:
            return False
        slots = load.upstream.slots
        max_occupied = slots + max(1.0, QUEUE_SHARE * slots)
        if not candidate.is_preferred:
            max_occupied = max(1.0, NON_PREFERRED_FILL * slots)
        if load.occupied_slots(now_s=now_s) + 1 > max_occupied:
            return False
        if cold_share_per_s is None or not load.is_cold(now_s=now_s):
            return True
        return load.has_cold_token(cold_share_per_s, now_s=now_s)

    def reserve(
        self,
        candidate: Candidate,
        criteria: SelectionCriteria,
        *,
        now_s: float,
    ) -> None:
        """Reserve a slot of a candidate for a request."""
        candidate.load.running += 1
        if candidate.load.is_cold(now_s=now_s):
            candidate.load.consume_cold_token()
        if criteria.affinity_key is not None:
            candidate.load.record_affinity(criteria.affinity_key, now_s=now_s)

    def release(self, candidate: Candidate) -> None:
        """Release the slot of a request that has ended."""
        candidate.load.running -= 1

    def record_response(
        self,
        candidate: Candidate,
        criteria: SelectionCriteria,
        *,
        took_s: float,
    ) -> None:
        """Update the measured times with those of a successful response."""
        round_trip_s = 0.0
        if candidate.load.upstream.failure_domain != self._failure_domain:
            is_local = self.region_of(candidate.load) == self._region
            round_trip_s = (
                DOMAIN_ROUND_TRIP_S if is_local else REGION_ROUND_TRIP_S
            )
        work_s = max(0.001, took_s - round_trip_s)
        self._offered_load.record_work(criteria.service, took_s=work_s)
        self._times.record(
            criteria.route,
            objective_s=criteria.objective_s,
            is_warm=candidate.is_warm,
            work_s=work_s,
        )
        if candidate.is_warm:
            candidate.load.record_success(
                took_s=work_s, expected_s=candidate.expected_s
            )

    def expected_warm_s(self, criteria: SelectionCriteria) -> float:
        """Return how long a warm upstream should work on a request."""
        return self._times_of(criteria).warm_s

    def _times_of(self, criteria: SelectionCriteria) -> work_times.RouteTimes:
        return self._times.for_route(
            criteria.route, objective_s=criteria.objective_s
        )

    def record_request(self, service: str, *, now_s: float) -> None:
        """Count a request for a service, whether or not it is served."""
        self._offered_load.record_arrival(service, now_s=now_s)
        pool = self._pools.get(service)
        if pool is not None:
            pool.shares.refill_spill_tokens()

    def offered_slots(self, *, now_s: float) -> dict[str, float]:
        """Return the offered load of each service, in slots."""
        return self._offered_load.slots(now_s=now_s)

    def local_shares(self) -> dict[str, float]:
        """Return the share of each service that runs in the local region."""
        return {
            service: pool.shares.local_share
            for service, pool in self._pools.items()
            if pool.loads
        }

    def apply_grant(
        self, local_shares: Mapping[str, float], *, now_s: float
    ) -> None:
        """Move towards the local shares that control grants."""
        for service, share in local_shares.items():
            if service in self._pools:
                self._pools[service].shares.apply_grant(share, now_s=now_s)
