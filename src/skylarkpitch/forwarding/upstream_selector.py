"""Choose the upstream for a request, or tell that none has room.

Answers the pattern of the heaviest days: more is asked for than the near
upstreams bear, and an upstream that knows an object takes a third of the
time. Each candidate is judged by when it would have the request done; bytes
that cross a link count as time too.
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

__all__ = ['Place', 'Room', 'Wanted']

DOMAIN_PENALTY_S = 0.012
REGION_PENALTY_S = 0.045
DOMAIN_TRIP_S = 0.003
REGION_TRIP_S = 0.08
GREY_PENALTY_S = 1.0
# An upstream that takes in what it does not keep forgets another object,
# which costs this part of a miss.
FORGETS_SHARE = 0.25
# Of its slots, what an upstream may have taken to run what it does not keep.
OTHER_FILL = 0.5
# Requests that may wait at an upstream that keeps their object, in parts of
# its slots.
QUEUE_SHARE = 0.5
# For a request without an object all upstreams are alike.
_ONLY = service_pool.Standing(keeps=True, is_first=True, is_near=True)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wanted:
    """What a request asks of an upstream.

    ``homes`` are the regions that may run it; None allows all. A request
    avoids the upstreams that it was sent to before.
    """

    service: str
    route: str
    affinity: str | None
    homes: frozenset[str] | None
    objective_s: float
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """An upstream, and how long the request should take there.

    ``keeps`` tells that it is one of those that keep the request's object,
    ``holds`` that it should have it at hand now.
    """

    load: upstream_load.UpstreamLoad
    expected_s: float
    keeps: bool
    holds: bool


class Room:
    """Upstreams by service, as one entry host judges them."""

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
        self._offered = arrivals.OfferedWork()
        self._draining: frozenset[str] = frozenset()

    def learn(
        self,
        upstreams: Iterable[model.Upstream],
        *,
        draining_domains: frozenset[str],
        cold_s: Callable[[str], float],
        now_s: float,
    ) -> None:
        """Take the present upstreams and the drained failure domains.

        ``cold_s`` tells for how long an upstream of a service is cold. The
        upstreams of a domain that is taken back may be cold.
        """
        taken_back = self._draining - draining_domains
        self._draining = draining_domains
        loads = {}
        for item in upstreams:
            load = self._loads.get(item.upstream_id)
            if load is None or load.upstream.born_ms != item.born_ms:
                load = upstream_load.UpstreamLoad(item, now_s=now_s)
            elif load.upstream != item:
                load.learn(item, now_s=now_s)
            if item.failure_domain in taken_back:
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
                    own_region=self._region, now_s=now_s
                )
            pool.set_upstreams(usable.get(service, {}))
            pool.shares.set_region_groups(pool.region_groups)

    def _group_of(
        self,
        pool: service_pool.ServicePool,
        load: upstream_load.UpstreamLoad,
        wanted: Wanted,
    ) -> str:
        """Return whether an upstream is near, away, or further for a request.

        Where homes are named all that may run it are alike.
        """
        if wanted.homes is not None:
            return regions.LOCAL
        region = self.region_of(load)
        if region == self._region:
            return regions.LOCAL
        if wanted.affinity is None:
            return regions.REMOTE
        first_away = pool.first_away(wanted.affinity)
        return regions.REMOTE if region == first_away else regions.OTHER_REMOTE

    def region_of(self, load: upstream_load.UpstreamLoad) -> str:
        """Return the region of an upstream."""
        return self._region_of(load.upstream.failure_domain) or ''

    def is_known(self, service: str) -> bool:
        """Tell whether a service has an upstream that may be used."""
        pool = self._pools.get(service)
        return pool is not None and bool(pool.loads)

    def is_current(self, load: upstream_load.UpstreamLoad) -> bool:
        """Tell whether an upstream may still be sent to."""
        pool = self._pools.get(load.upstream.service)
        return pool is not None and (
            pool.loads.get(load.upstream.upstream_id) is load
        )

    def find(
        self,
        wanted: Wanted,
        *,
        cold_rate_per_s: float | None,
        entry_hosts: int,
        now_s: float,
        is_last_look: bool = False,
    ) -> Place | sentinels.Absent:
        """Return a place for a request.

        On an upstream that does not keep the request's object it takes a
        multiple of the time, so that it waits for one that does, and until
        its last look uses only those that are hardly busy.

        Returns ``Absent`` with ``no_upstream`` when the service has none
        that may be used, or ``no_room`` when all of them are full.
        """
        pool = self._pools.get(wanted.service)
        if pool is None or not pool.loads:
            return sentinels.Absent('no_upstream')
        judged = self._judged(pool, wanted, now_s)
        if not judged:
            return sentinels.Absent('no_upstream', 'all are excluded')
        cold_share = None
        if cold_rate_per_s is not None:
            cold_share = cold_rate_per_s / max(1, entry_hosts)
        for number, group in enumerate(
            self._groups(pool, wanted, judged, now_s)
        ):
            for _cost, _name, place in judged[group]:
                if not place.keeps and not is_last_look:
                    continue
                if not self._has_room(place, cold_share, now_s):
                    continue
                if number > 0 and not pool.shares.consume_spill_token():
                    break
                return place
        return sentinels.Absent('no_room')

    def _judged(
        self, pool: service_pool.ServicePool, wanted: Wanted, now_s: float
    ) -> dict[str, list[tuple[float, str, Place]]]:
        times = self._times_of(wanted)
        judged: dict[str, list[tuple[float, str, Place]]] = {}
        for name, load in self._candidates(pool, wanted, now_s):
            cost_s, place = self._judge(pool, load, wanted, times, now_s)
            entry = (cost_s, name, place)
            group = self._group_of(pool, load, wanted)
            judged.setdefault(group, []).append(entry)
        for entries in judged.values():
            entries.sort(key=lambda entry: entry[:2])
        return judged

    def _candidates(
        self, pool: service_pool.ServicePool, wanted: Wanted, now_s: float
    ) -> list[tuple[str, upstream_load.UpstreamLoad]]:
        """Return the upstreams that may run a request.

        Those that failed just now are left out while there are others.
        """
        allowed = [
            (name, load)
            for name, load in pool.loads.items()
            if name not in wanted.excluded
            and (wanted.homes is None or self.region_of(load) in wanted.homes)
        ]
        sound = [
            item for item in allowed if not item[1].is_avoided(now_s=now_s)
        ]
        return sound or allowed

    def _judge(
        self,
        pool: service_pool.ServicePool,
        load: upstream_load.UpstreamLoad,
        wanted: Wanted,
        times: work_times.RouteTimes,
        now_s: float,
    ) -> tuple[float, Place]:
        standing = _ONLY
        if wanted.affinity is not None:
            name = load.upstream.upstream_id
            standing = pool.standing(wanted.affinity, name)
        # Every host sends an object to its first upstream, which holds it
        # also when this host did not send it there. Where homes name the
        # region, that is the first of any region.
        is_first = standing.is_first and (
            standing.is_near or wanted.homes is not None
        )
        holds = is_first or load.holds(wanted.affinity, now_s=now_s)
        expected_s = times.held_s if holds else times.missed_s
        work_s = expected_s * load.slowness
        slots = max(1, load.upstream.slots)
        over = load.occupied(now_s=now_s) + 1 - slots
        wait_s = max(0.0, over) * work_s / slots
        # A nearly full upstream leaves no room for those that need it.
        fill_s = 0.1 * work_s * max(0.0, over / slots + 0.5)
        cost_s = work_s + wait_s + fill_s + self._distance_s(load)
        cost_s += GREY_PENALTY_S * load.failure_share
        if not is_first:
            cost_s += FORGETS_SHARE * times.miss_costs_s
        return cost_s, Place(
            load=load,
            expected_s=expected_s,
            keeps=standing.keeps,
            holds=holds,
        )

    def _distance_s(self, load: upstream_load.UpstreamLoad) -> float:
        if load.upstream.failure_domain == self._failure_domain:
            return 0.0
        if self.region_of(load) == self._region:
            return DOMAIN_PENALTY_S + DOMAIN_TRIP_S
        return REGION_PENALTY_S + REGION_TRIP_S

    def _groups(
        self,
        pool: service_pool.ServicePool,
        wanted: Wanted,
        judged: dict[str, list[tuple[float, str, Place]]],
        now_s: float,
    ) -> list[str]:
        """Return the groups to try: the own region, away, or either.

        The share names one. The others only take the few requests that may
        run elsewhere than planned.
        """
        if wanted.excluded:
            return sorted(judged, key=lambda group: judged[group][0][:2])[:1]
        key = pool.fraction(wanted.affinity)
        chosen = pool.shares.choose(key=key, now_s=now_s)
        wished = [chosen, regions.LOCAL, regions.REMOTE, regions.OTHER_REMOTE]
        return [group for group in dict.fromkeys(wished) if group in judged]

    def _has_room(
        self,
        place: Place,
        cold_share_per_s: float | None,
        now_s: float,
    ) -> bool:
        load = place.load
        if now_s < load.full_until_s:
            return False
        slots = load.upstream.slots
        most = slots + max(1.0, QUEUE_SHARE * slots)
        if not place.keeps:
            most = max(1.0, OTHER_FILL * slots)
        if load.occupied(now_s=now_s) + 1 > most:
            return False
        if cold_share_per_s is None or not load.is_cold(now_s=now_s):
            return True
        return load.has_cold_token(cold_share_per_s, now_s=now_s)

    def take(self, place: Place, wanted: Wanted, *, now_s: float) -> None:
        """Count a request that is sent to a place."""
        place.load.running += 1
        if place.load.is_cold(now_s=now_s):
            place.load.take_cold_token()
        if wanted.affinity is not None:
            place.load.handled(wanted.affinity, now_s=now_s)

    def give_back(self, place: Place) -> None:
        """Count a request that has ended."""
        place.load.running -= 1

    def answered(self, place: Place, wanted: Wanted, *, took_s: float) -> None:
        """Learn from how long a good answer took."""
        trip_s = 0.0
        if place.load.upstream.failure_domain != self._failure_domain:
            near = self.region_of(place.load) == self._region
            trip_s = DOMAIN_TRIP_S if near else REGION_TRIP_S
        worked_s = max(0.001, took_s - trip_s)
        self._offered.worked(wanted.service, took_s=worked_s)
        self._times.learn(
            wanted.route,
            objective_s=wanted.objective_s,
            held=place.holds,
            worked_s=worked_s,
        )
        if place.holds:
            place.load.answered(took_s=worked_s, expected_s=place.expected_s)

    def expected_s(self, wanted: Wanted) -> float:
        """Return how long a request should take where its object is known."""
        return self._times_of(wanted).held_s

    def _times_of(self, wanted: Wanted) -> work_times.RouteTimes:
        return self._times.of(wanted.route, objective_s=wanted.objective_s)

    def asked(self, service: str, *, now_s: float) -> None:
        """Count a request for a service, whether or not it finds room."""
        self._offered.asked(service, now_s=now_s)
        pool = self._pools.get(service)
        if pool is not None:
            pool.shares.refill_spill_tokens()

    def offered_slots(self, *, now_s: float) -> dict[str, float]:
        """Return the work asked for by service, as slots that it fills."""
        return self._offered.slots(now_s=now_s)

    def own_shares(self) -> dict[str, float]:
        """Return the share of each service that runs in the own region."""
        return {
            service: pool.shares.local_share
            for service, pool in self._pools.items()
            if pool.loads
        }

    def apply_grant(
        self, own_shares: Mapping[str, float], *, now_s: float
    ) -> None:
        """Move towards the shares that control grants."""
        for service, share in own_shares.items():
            if service in self._pools:
                self._pools[service].shares.apply_grant(share, now_s=now_s)
