"""Choose the upstream for a request, or tell that none has room.

Answers the pattern of the heaviest days: more is asked for than the near
upstreams bear, and an upstream that knows an object takes a third of the
time. Each candidate is judged by when it would have the request done; bytes
that cross a link count as time too.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Any

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import regions as region_shares
from skylarkpitch.forwarding import upstream_load
from skylarkpitch.peers import rendezvous
from skylarkpitch import sentinels

__all__ = ['Place', 'Room', 'Wanted']

DOMAIN_PENALTY_S = 0.012
REGION_PENALTY_S = 0.045
DOMAIN_TRIP_S = 0.003
REGION_TRIP_S = 0.08
GREY_PENALTY_S = 1.0
# All entry hosts agree on the few upstreams that keep an object, so that
# each upstream keeps few objects and remembers them.
KEPT_SHARE = 0.4
# What it costs to use an upstream that is not the first for an object, in
# parts of the time that a miss takes longer.
HELD_SHARE = 0.15
UNHELD_SHARE = 0.8
FIRST_KEPT_SHARE = 0.45
FIRST_OTHER_SHARE = 1.4
# Of its slots, what an upstream may have taken to run what it does not keep.
OTHER_FILL = 0.5
QUEUE_SHARE = 0.25
TIME_MEMORY = 0.08
SHIFT_STEP_PER_S = 0.04
MAX_RANKED = 4096


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

    ``keeps`` tells that it is one of those that keep the request's object.
    """

    load: upstream_load.UpstreamLoad
    expected_s: float
    keeps: bool


@dataclasses.dataclass(slots=True, kw_only=True)
class _Times:
    """Measured time of a route's requests, where the object is kept or not."""

    kept_s: float
    other_s: float


class _Pool:
    """The upstreams of one service that may be used."""

    def __init__(self, *, now_s: float) -> None:
        self.loads: dict[str, upstream_load.UpstreamLoad] = {}
        self.shares = region_shares.RegionShares(
            step_per_s=SHIFT_STEP_PER_S, now_s=now_s
        )
        self.groups: dict[str, dict[str, upstream_load.UpstreamLoad]] = {}
        self._ranks: dict[str, dict[str, int]] = {}
        self._keys: dict[str, float] = {}

    def rank(self, affinity: str, upstream_id: str) -> int:
        """Return the place of an upstream for an object, 0 the best.

        Upstreams of the own region are ranked among themselves, and those
        of the others among themselves.
        """
        ranks = self._ranks.get(affinity)
        if ranks is None:
            if len(self._ranks) >= MAX_RANKED:
                self._ranks.clear()
            ranks = self._ranks[affinity] = {
                name: place
                for loads in self.groups.values()
                for place, name in enumerate(rendezvous.rank(affinity, loads))
            }
        return ranks[upstream_id]

    def key(self, affinity: str | None) -> float | None:
        """Return a number from 0 to 1 that stands for an object."""
        if affinity is None:
            return None
        if affinity not in self._keys:
            if len(self._keys) >= MAX_RANKED:
                self._keys.clear()
            self._keys[affinity] = rendezvous.fraction(affinity)
        return self._keys[affinity]

    def set_loads(
        self, groups: dict[str, dict[str, upstream_load.UpstreamLoad]]
    ) -> None:
        """Take the upstreams that may be used, in the own region and away."""
        before = {place: set(loads) for place, loads in self.groups.items()}
        if {p: set(loads) for p, loads in groups.items()} != before:
            self._ranks.clear()
        self.groups = groups
        self.loads = {
            name: load
            for loads in groups.values()
            for name, load in loads.items()
        }


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
        self._pools: dict[str, _Pool] = {}
        self._times: dict[str, _Times] = {}
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
        groups: dict[str, dict[str, dict[str, Any]]] = {}
        slots: dict[str, dict[str, int]] = {}
        for name, load in sorted(self._loads.items()):
            item = load.upstream
            is_ready = item.state is model.UpstreamState.READY
            if not is_ready or item.failure_domain in self._draining:
                continue
            places = groups.setdefault(item.service, {})
            places.setdefault(self._group_of(load), {})[name] = load
            region = self.region_of(load)
            counted = slots.setdefault(item.service, {})
            counted[region] = counted.get(region, 0) + item.slots
        for service in set(self._pools) | set(groups):
            pool = self._pools.setdefault(service, _Pool(now_s=now_s))
            pool.set_loads(groups.get(service, {}))
            pool.shares.set_places(
                frozenset(pool.groups),
                first_own_share=region_shares.first_own_share(
                    slots.get(service, {}), own_region=self._region
                ),
            )

    def _group_of(self, load: upstream_load.UpstreamLoad) -> str:
        is_own = self.region_of(load) == self._region
        return region_shares.OWN if is_own else region_shares.AWAY

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
        groups = self._groups(pool, wanted, judged, now_s)
        cold_share = None
        if cold_rate_per_s is not None:
            cold_share = cold_rate_per_s / max(1, entry_hosts)
        for group in groups:
            for _cost, _name, place in judged[group]:
                if not place.keeps and not is_last_look:
                    break
                if self._has_room(place, cold_share, now_s):
                    return place
        return sentinels.Absent('no_room')

    def _judged(
        self, pool: _Pool, wanted: Wanted, now_s: float
    ) -> dict[str, list[tuple[float, str, Place]]]:
        times = self._times_of(wanted)
        judged: dict[str, list[tuple[float, str, Place]]] = {}
        for name, load in self._candidates(pool, wanted, now_s):
            cost_s, place = self._judge(pool, load, wanted, times, now_s)
            entry = (cost_s, name, place)
            judged.setdefault(self._group_of(load), []).append(entry)
        for entries in judged.values():
            entries.sort(key=lambda entry: entry[:2])
        return judged

    def _candidates(
        self, pool: _Pool, wanted: Wanted, now_s: float
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
        pool: _Pool,
        load: upstream_load.UpstreamLoad,
        wanted: Wanted,
        times: _Times,
        now_s: float,
    ) -> tuple[float, Place]:
        rank, keeps = self._rank(pool, load, wanted.affinity)
        expected_s = times.kept_s if keeps else times.other_s
        work_s = expected_s * load.slowness
        slots = max(1, load.upstream.slots)
        over = load.occupied(now_s=now_s) + 1 - slots
        wait_s = max(0.0, over) * work_s / slots
        # A nearly full upstream leaves no room for those that need it.
        fill_s = 0.1 * work_s * max(0.0, over / slots + 0.5)
        cost_s = work_s + wait_s + fill_s + self._distance_s(load)
        cost_s += GREY_PENALTY_S * load.failure_share
        # What an upstream does not hold yet drives out an object that
        # another request will miss.
        missed_s = max(0.0, times.other_s - times.kept_s)
        if not keeps:
            cost_s += missed_s
        elif rank > 0:
            held = load.holds(wanted.affinity, now_s=now_s)
            cost_s += missed_s * (HELD_SHARE if held else UNHELD_SHARE)
        return cost_s, Place(load=load, expected_s=expected_s, keeps=keeps)

    def _rank(
        self,
        pool: _Pool,
        load: upstream_load.UpstreamLoad,
        affinity: str | None,
    ) -> tuple[int, bool]:
        """Return an upstream's place for an object; tell if it keeps it."""
        if affinity is None:
            return 0, True
        rank = pool.rank(affinity, load.upstream.upstream_id)
        group = pool.groups[self._group_of(load)]
        return rank, rank < max(1, round(KEPT_SHARE * len(group)))

    def _distance_s(self, load: upstream_load.UpstreamLoad) -> float:
        if load.upstream.failure_domain == self._failure_domain:
            return 0.0
        if self.region_of(load) == self._region:
            return DOMAIN_PENALTY_S + DOMAIN_TRIP_S
        return REGION_PENALTY_S + REGION_TRIP_S

    def _groups(
        self,
        pool: _Pool,
        wanted: Wanted,
        judged: dict[str, list[tuple[float, str, Place]]],
        now_s: float,
    ) -> list[str]:
        """Return the groups to try: the own region, away, or either.

        Where the shares name one it is tried alone, but for the own region,
        which may take what does not fit away.
        """
        by_cost = sorted(judged, key=lambda group: judged[group][0][:2])
        if wanted.homes is not None or wanted.excluded:
            return by_cost
        key = pool.key(wanted.affinity)
        chosen = pool.shares.choose(by_cost[0], key=key, now_s=now_s)
        wished = [chosen, region_shares.OWN]
        return [g for g in dict.fromkeys(wished) if g in judged] or by_cost

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
        times = self._times_of(wanted)
        if place.keeps:
            times.kept_s += TIME_MEMORY * (worked_s - times.kept_s)
            place.load.answered(took_s=worked_s, expected_s=place.expected_s)
        else:
            times.other_s += TIME_MEMORY * (worked_s - times.other_s)

    def expected_s(self, wanted: Wanted) -> float:
        """Return how long a request should take where its object is known."""
        return self._times_of(wanted).kept_s

    def _times_of(self, wanted: Wanted) -> _Times:
        times = self._times.get(wanted.route)
        if times is None:
            times = _Times(
                kept_s=FIRST_KEPT_SHARE * wanted.objective_s,
                other_s=FIRST_OTHER_SHARE * wanted.objective_s,
            )
            self._times[wanted.route] = times
        return times
