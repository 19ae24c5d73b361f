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
import functools

from skylarkpitch.fleet import host_parts
from skylarkpitch.fleet import model
from skylarkpitch.forwarding import candidates
from skylarkpitch.forwarding import fleet_rate
from skylarkpitch.forwarding import measurements
from skylarkpitch.forwarding import regions
from skylarkpitch.forwarding import service_pool
from skylarkpitch.forwarding import upstream_load
from skylarkpitch.forwarding import upstream_notices
from skylarkpitch.forwarding import work_times
from skylarkpitch import sentinels

__all__ = ['UpstreamSelector']

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

PartOf = Callable[[str | None], host_parts.HostPart | None]


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
        # Of upstreams that were removed while requests of this host run there.
        self._removed_loads: dict[str, upstream_load.UpstreamLoad] = {}
        self._pools: dict[str, service_pool.ServicePool] = {}
        self.measurements = measurements.Measurements()
        self.notices = upstream_notices.UpstreamNotices()
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
        current = {item.upstream_id: item for item in upstreams}
        for name in set(self._loads) - set(current):
            self.update_upstream(name, None, now_s=now_s)
        for name, item in sorted(current.items()):
            self.update_upstream(name, item, now_s=now_s)
            if item.failure_domain in undrained:
                load = self._loads[name]
                load.become_cold(cold_s(item.service), now_s=now_s)

    def update_upstream(
        self, name: str, item: model.Upstream | None, *, now_s: float
    ) -> None:
        """Replace one upstream, or remove it if ``item`` is None."""
        before = self._loads.pop(name, None)
        if before is not None and (
            item is None or item.service != before.upstream.service
        ):
            self._pools[before.upstream.service].remove(name)
        if item is None:
            if before is not None and before.running:
                self._removed_loads[name] = before
            return
        load = before or self._removed_loads.pop(name, None)
        if load is None or load.upstream.born_ms != item.born_ms:
            load = upstream_load.UpstreamLoad(
                item, notices=self.notices.state_of(item), now_s=now_s
            )
        elif load.upstream != item:
            load.update(item, now_s=now_s)
        self._loads[name] = load
        pool = self._pools.get(item.service)
        if pool is None:
            pool = self._pools[item.service] = service_pool.ServicePool(
                local_region=self._region, now_s=now_s
            )
        is_ready = (
            item.state is model.UpstreamState.READY
            and not load.notices.is_leaving
        )
        if is_ready and item.failure_domain not in self._draining:
            pool.put(name, load, region=self.region_of(load))
        else:
            pool.remove(name)

    def record_notice(
        self,
        upstream: model.Upstream,
        notice: upstream_notices.Notice,
        *,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record what an upstream says of itself in a response.

        One that leaves is not selected from now on.
        """
        self.notices.record(upstream, notice, sent_s=sent_s, now_s=now_s)
        load = self._loads.get(upstream.upstream_id)
        if notice.is_leaving and load is not None:
            self.update_upstream(
                upstream.upstream_id, load.upstream, now_s=now_s
            )

    def region_of(self, load: upstream_load.UpstreamLoad) -> str:
        """Return the region of an upstream."""
        return self._region_of(load.upstream.failure_domain) or ''

    def select(
        self,
        criteria: candidates.SelectionCriteria,
        *,
        cold_rate_per_s: float | None,
        part_of: PartOf,
        now_s: float,
        time_of_day_s: float,
        is_final_attempt: bool = False,
    ) -> candidates.Candidate | sentinels.Absent:
        """Return the candidate of the lowest cost that has capacity.

        An upstream that is not preferred takes several times as long, so a
        request waits for a preferred one. Only the final attempt considers
        the others, and of those only upstreams with few occupied slots (see
        ``NON_PREFERRED_FILL``).
        ``cold_rate_per_s`` bounds the requests for a cold upstream over all
        entry hosts; None sets no bound. ``part_of`` returns this host's part
        of such a rate, in which the hosts of a region are favoured; hosts
        take turns by ``time_of_day_s``.

        Returns ``Absent`` with ``no_upstream`` when the service has no
        usable upstream, or ``no_room`` when all of them are full.
        """
        pool = self._pools.get(criteria.service)
        if pool is None or not pool.loads:
            return sentinels.Absent('no_upstream')
        by_group = self._regions_by_group(pool, criteria)
        if not by_group:
            return sentinels.Absent('no_upstream', 'all are excluded')
        has_token = functools.partial(
            self._has_rate_token,
            part_of=part_of,
            cold_rate_per_s=cold_rate_per_s,
            now_s=now_s,
            time_of_day_s=time_of_day_s,
        )
        score = functools.partial(
            self._scored,
            pool,
            criteria,
            now_s=now_s,
            with_others=is_final_attempt,
        )
        for number, group_regions in enumerate(
            self._group_order(pool, criteria, by_group, score, now_s)
        ):
            for _cost, _name, candidate in score(group_regions):
                if not self._has_slot(candidate, now_s):
                    continue
                if not has_token(candidate.load):
                    continue
                if number > 0 and not pool.spill_tokens.consume():
                    break
                return candidate
        return sentinels.Absent('no_room')

    def _regions_by_group(
        self,
        pool: service_pool.ServicePool,
        criteria: candidates.SelectionCriteria,
    ) -> dict[str, list[str]]:
        """Return the regions of each region group, as a request sees them.

        The groups are the local region, the first remote region of the
        affinity key (without a key, all remote regions), and the other
        remote regions. All regions count as local for a request whose
        ``homes`` are named. Regions whose upstreams are all excluded are
        left out.
        """
        first_remote_region = None
        if criteria.affinity_key is not None:
            first_remote_region = pool.first_remote_region(
                criteria.affinity_key
            )
        groups: dict[str, list[str]] = {}
        for region in pool.regions:
            if not pool.has_other_than(criteria.excluded, region=region):
                continue
            if criteria.homes is not None:
                if region in criteria.homes:
                    groups.setdefault(regions.LOCAL, []).append(region)
            elif region == self._region:
                groups.setdefault(regions.LOCAL, []).append(region)
            elif first_remote_region in (None, region):
                groups.setdefault(regions.REMOTE, []).append(region)
            else:
                groups.setdefault(regions.OTHER_REMOTE, []).append(region)
        return groups

    def _scored(
        self,
        pool: service_pool.ServicePool,
        criteria: candidates.SelectionCriteria,
        group_regions: Iterable[str],
        *,
        now_s: float,
        with_others: bool,
    ) -> list[tuple[float, str, candidates.Candidate]]:
        """Return candidates with their costs, in ascending order.

        Upstreams that are not preferred for the affinity key are included
        if ``with_others`` is set, or if all preferred ones are excluded or
        failed recently.
        """
        times = self.measurements.times_of(criteria)
        scored = []
        for region in group_regions:
            first, preferred = self._preferred(pool, criteria, region)
            for name in self._names_to_score(
                pool, criteria, region, preferred, now_s, with_others
            ):
                cost_s, candidate = self._score(
                    pool.loads[name],
                    criteria,
                    times,
                    now_s,
                    is_first=name == first,
                    is_preferred=name in preferred,
                )
                scored.append((cost_s, name, candidate))
        scored.sort(key=lambda entry: entry[:2])
        return scored

    def _names_to_score(
        self,
        pool: service_pool.ServicePool,
        criteria: candidates.SelectionCriteria,
        region: str,
        preferred: list[str],
        now_s: float,
        with_others: bool,
    ) -> list[str]:
        names = self._eligible(pool, criteria, preferred, now_s)
        if names and not with_others:
            return names
        others = [n for n in pool.sample(region=region) if n not in preferred]
        names += self._eligible(pool, criteria, others, now_s)
        if names:
            return names
        return [n for n in preferred + others if n not in criteria.excluded]

    def _preferred(
        self,
        pool: service_pool.ServicePool,
        criteria: candidates.SelectionCriteria,
        region: str,
    ) -> tuple[str | None, list[str]]:
        """Return the upstream of a region to send a request to first.

        Also returns those that are preferred for its affinity key. Without
        a key, all of a sample are, and None is the first. All entry hosts
        send an affinity key to its first upstream, so that one is warm even
        if this host has not sent it the key. If homes name the regions, that
        holds for the first upstream of each region.
        """
        key = criteria.affinity_key
        if key is None:
            return None, pool.sample(region=region)
        preferred = pool.preferred(key, region=region)
        is_planned = criteria.homes is not None or region in (
            self._region,
            pool.first_remote_region(key),
        )
        return preferred[0] if is_planned else None, preferred

    def _eligible(
        self,
        pool: service_pool.ServicePool,
        criteria: candidates.SelectionCriteria,
        names: Iterable[str],
        now_s: float,
    ) -> list[str]:
        """Return which upstreams are not excluded and not in backoff."""
        return [
            name
            for name in names
            if name not in criteria.excluded
            and not pool.loads[name].is_in_backoff(now_s=now_s)
        ]

    def _score(
        self,
        load: upstream_load.UpstreamLoad,
        criteria: candidates.SelectionCriteria,
        times: work_times.RouteTimes,
        now_s: float,
        *,
        is_first: bool,
        is_preferred: bool,
    ) -> tuple[float, candidates.Candidate]:
        has_key = criteria.affinity_key is not None
        is_warm = (
            not has_key
            or is_first
            or load.is_warm(criteria.affinity_key, now_s=now_s)
        )
        expected_s = times.warm_s if is_warm else times.miss_s
        work_s = expected_s * load.slowness
        slots = max(1, load.upstream.slots)
        excess = load.occupied_slots(now_s=now_s) + 1 - slots
        # A request waits for those that run there, not for its own kind.
        mean_s = self.measurements.mean_work_s(criteria.service)
        ahead_s = max(work_s, mean_s * load.slowness)
        wait_s = max(0.0, excess) * ahead_s / slots
        # A small cost of upstreams that are over half full, whose last slots
        # other requests may need.
        fill_s = 0.1 * work_s * max(0.0, excess / slots + 0.5)
        cost_s = work_s + wait_s + fill_s + self._distance_s(load)
        cost_s += DEGRADED_PENALTY_S * load.failure_share
        if has_key and not is_first:
            cost_s += EVICTION_COST_SHARE * times.miss_penalty_s
        return cost_s, candidates.Candidate(
            load=load,
            expected_s=expected_s,
            is_preferred=is_preferred,
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
        criteria: candidates.SelectionCriteria,
        by_group: Mapping[str, list[str]],
        score: Callable[
            [list[str]], list[tuple[float, str, candidates.Candidate]]
        ],
        now_s: float,
    ) -> list[list[str]]:
        """Return the regions of the groups to try, in this order.

        The first one follows from the local share. The others are used only
        for the few requests that may spill over. A retry uses only the group
        of the candidate with the lowest cost.
        """
        if criteria.excluded:
            lowest = {}
            for group, group_regions in by_group.items():
                for entry in score(group_regions)[:1]:
                    lowest[group] = entry[:2]
            best = sorted(lowest, key=lowest.__getitem__)[:1]
            return [by_group[group] for group in best]
        affinity_fraction = pool.affinity_fraction(criteria.affinity_key)
        chosen = pool.shares.choose(
            criteria.route, affinity_fraction=affinity_fraction, now_s=now_s
        )
        order = [chosen, regions.LOCAL, regions.REMOTE, regions.OTHER_REMOTE]
        present = [g for g in dict.fromkeys(order) if g in by_group]
        if not pool.spill_tokens.has_token():
            present = present[:1]
        return [by_group[group] for group in present]

    def _has_slot(self, candidate: candidates.Candidate, now_s: float) -> bool:
        load = candidate.load
        if now_s < max(load.full_until_s, load.notices.back_off_until_s):
            return False
        slots = load.upstream.slots
        max_occupied = slots + max(1.0, QUEUE_SHARE * slots)
        if not candidate.is_preferred:
            max_occupied = max(1.0, NON_PREFERRED_FILL * slots)
        return load.occupied_slots(now_s=now_s) + 1 <= max_occupied

    def _has_rate_token(
        self,
        load: upstream_load.UpstreamLoad,
        *,
        part_of: PartOf,
        cold_rate_per_s: float | None,
        now_s: float,
        time_of_day_s: float,
    ) -> bool:
        """Return whether the rates that bound an upstream allow a request.

        Most requests for an upstream come from hosts of its region, so these
        have more of the rate that it names.
        """
        max_rate_per_s = load.notices.max_rate_per_s
        if max_rate_per_s is not None and not load.max_rate_bucket.has_token(
            fleet_rate.FleetRate(
                rate_per_s=max_rate_per_s, part=part_of(self.region_of(load))
            ),
            now_s=now_s,
            time_of_day_s=time_of_day_s,
        ):
            return False
        if cold_rate_per_s is None or not load.is_cold(now_s=now_s):
            return True
        return load.cold_bucket.has_token(
            fleet_rate.FleetRate(
                rate_per_s=cold_rate_per_s, part=part_of(None)
            ),
            now_s=now_s,
            time_of_day_s=time_of_day_s,
        )

    def reserve(
        self,
        candidate: candidates.Candidate,
        criteria: candidates.SelectionCriteria,
        *,
        now_s: float,
    ) -> None:
        """Reserve a slot of a candidate for a request."""
        candidate.load.running += 1
        if candidate.load.is_cold(now_s=now_s):
            candidate.load.cold_bucket.consume()
        if candidate.load.notices.max_rate_per_s is not None:
            candidate.load.max_rate_bucket.consume()
        if criteria.affinity_key is not None:
            candidate.load.record_affinity(criteria.affinity_key, now_s=now_s)

    def release(self, candidate: candidates.Candidate) -> None:
        """Release the slot of a request that has ended."""
        load = candidate.load
        load.running -= 1
        name = load.upstream.upstream_id
        if not load.running and self._removed_loads.get(name) is load:
            del self._removed_loads[name]

    def record_response(
        self,
        candidate: candidates.Candidate,
        criteria: candidates.SelectionCriteria,
        *,
        took_s: float,
        now_s: float,
    ) -> None:
        """Update the measured times with those of a successful response."""
        round_trip_s = 0.0
        if candidate.load.upstream.failure_domain != self._failure_domain:
            round_trip_s = (
                DOMAIN_ROUND_TRIP_S
                if self._is_local(candidate)
                else REGION_ROUND_TRIP_S
            )
        work_s = max(0.001, took_s - round_trip_s)
        self.measurements.record_response(
            criteria,
            is_local=self._is_local(candidate),
            is_warm=candidate.is_warm,
            took_s=took_s,
            work_s=work_s,
            now_s=now_s,
        )
        if candidate.is_warm:
            candidate.load.record_success(
                took_s=work_s, expected_s=candidate.expected_s
            )

    def record_timeout(
        self,
        candidate: candidates.Candidate,
        criteria: candidates.SelectionCriteria,
        *,
        took_s: float,
        now_s: float,
    ) -> None:
        """Record that an upstream did not respond before the deadline."""
        self.measurements.record_time(
            criteria,
            is_local=self._is_local(candidate),
            took_s=took_s,
            now_s=now_s,
        )

    def _is_local(self, candidate: candidates.Candidate) -> bool:
        return self.region_of(candidate.load) == self._region

    def record_request(
        self, service: str, route: str, *, now_s: float
    ) -> None:
        """Count a request for a service, whether or not it is served."""
        self.measurements.record_request(service, route, now_s=now_s)
        pool = self._pools.get(service)
        if pool is not None:
            pool.spill_tokens.refill()

    def local_shares(self) -> dict[str, float]:
        """Return the share of each service that runs in the local region."""
        return {
            service: pool.shares.local_share
            for service, pool in self._pools.items()
            if pool.loads
        }

    def route_shares(self) -> dict[str, dict[str, float]]:
        """Return the share of each route in the local region, by service."""
        return {
            service: pool.shares.by_route()
            for service, pool in self._pools.items()
            if pool.loads
        }

    def apply_grant(
        self,
        local_shares: Mapping[str, float],
        route_shares: Mapping[str, Mapping[str, float]],
        *,
        now_s: float,
    ) -> None:
        """Move towards the local shares that control grants.

        ``local_shares`` are by service, ``route_shares`` by service and
        route.
        """
        for service, share in local_shares.items():
            if service in self._pools:
                self._pools[service].shares.apply_grant(
                    share, route_shares.get(service, {}), now_s=now_s
                )
