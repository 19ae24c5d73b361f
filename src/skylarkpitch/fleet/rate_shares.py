"""Divide the rate of each organisation among the entry hosts.

While the demand for an organisation is below its rate, each host is granted
its own demand and an equal part of the remainder, of which one part is left
for a host that starts. Above the rate, the rate is divided in proportion to
demand. What other hosts may still use under an unexpired grant is subtracted
first.

A share can be far below one request, if hosts are many and an organisation
sends little. Hosts may therefore pass a few requests beyond their share, and
report how many they passed. The leader subtracts these from a token bucket
for the whole fleet. While the bucket cannot cover the demand, hosts admit
only a share of the requests. This is "global random drop" by Raghavan et
al., "Cloud control with distributed rate limiting" (ACM SIGCOMM, 2007).

Claims and unexpired grants are kept as totals over all hosts, so that the
cost of a grant does not depend on the number of hosts.
"""

from collections.abc import Mapping
import dataclasses

__all__ = ['Grant', 'Limit', 'RateShares', 'Usage', 'fair_share']

# Longer than a host uses a grant, so that no rate is granted twice.
GRANT_LEASE_S = 2.5
# A host that is silent for longer is forgotten.
MAX_SILENCE_S = 60.0
# A host claims at least this fraction of an equal share, so that one without
# demand has a share for its first requests.
MIN_CLAIM_SHARE = 0.1
EXPIRY_INTERVAL_S = 0.25
# Time within which the fleet may use what is in its bucket, or has to save
# what it used too much.
BALANCE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """Rate of an organisation over the whole fleet, and its burst."""

    rate_per_s: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Requests at one entry host, by organisation.

    ``demand_per_s`` is their rate, and ``passed`` counts those that were
    within the limits since the host started. ``incarnation`` identifies that
    start; without one ``passed`` is ignored.
    """

    demand_per_s: Mapping[str, float]
    passed: Mapping[str, int] = dataclasses.field(default_factory=dict)
    incarnation: str = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """What a host may pass, by organisation.

    ``rate_per_s`` are rates. ``admitted_shares`` are the shares of the
    requests to admit, 0 to 1, of the organisations of which less than all
    are to be admitted.
    """

    rate_per_s: dict[str, float]
    admitted_shares: dict[str, float]


@dataclasses.dataclass(slots=True)
class _HostShare:
    """Claim and grant of one host for one organisation."""

    claimed_per_s: float = 0.0
    granted_per_s: float = 0.0
    demand_per_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Host:
    reported_s: float
    incarnation: str = ''
    passed: dict[str, int] = dataclasses.field(default_factory=dict)
    shares: dict[str, _HostShare] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Total:
    """What all hosts claim, hold and passed, for one organisation.

    ``tokens`` is the level of the bucket of the whole fleet. It is below 0
    when hosts passed more than the rate allows.
    """

    claimed_per_s: float = 0.0
    granted_per_s: float = 0.0
    demand_per_s: float = 0.0
    claiming_hosts: int = 0
    tokens: float = 0.0
    refilled_s: float | None = None

    def refill(self, limit: Limit, *, now_s: float) -> None:
        """Add the tokens of the time since the last call."""
        if self.refilled_s is None:
            # What the hosts passed before the first report is not known.
            self.tokens = limit.burst / 2
        else:
            self.tokens += limit.rate_per_s * (now_s - self.refilled_s)
        self.tokens = min(self.tokens, limit.burst)
        self.refilled_s = now_s

    def admitted_share(self, limit: Limit) -> float:
        """Return the share of the demand that rate and tokens cover."""
        available_per_s = limit.rate_per_s + self.tokens / BALANCE_S
        if available_per_s >= self.demand_per_s:
            return 1.0
        return max(0.0, available_per_s / self.demand_per_s)


def fair_share(
    rate_per_s: float,
    *,
    claimed_per_s: float,
    total_claimed_per_s: float,
    host_count: int,
) -> float:
    """Return the share of a rate for a host, by what it claims.

    The shares of ``host_count`` hosts add up to the rate.
    """
    if total_claimed_per_s <= rate_per_s:
        spare_per_s = rate_per_s - total_claimed_per_s
        return claimed_per_s + spare_per_s / host_count
    return rate_per_s * claimed_per_s / total_claimed_per_s


class RateShares:
    """Claims and grants of all entry hosts; used by the leader only."""

    def __init__(self) -> None:
        self._hosts: dict[str, _Host] = {}
        self._totals: dict[str, _Total] = {}
        self._scarce: dict[str, float] = {}
        self._expired_s = float('-inf')

    def reset(self) -> None:
        """Discard claims and grants, as when this process becomes leader."""
        self._hosts.clear()
        self._totals.clear()
        self._scarce.clear()

    def grant(
        self,
        host: str,
        *,
        usage: Usage,
        limits: Mapping[str, Limit],
        host_count: int,
        now_s: float,
    ) -> Grant:
        """Record the usage of a host; return what it may pass.

        The rates are valid for ``GRANT_LEASE_S``. ``limits`` are those of
        the whole fleet; organisations without one are ignored, and a rate
        of 0 or less sets no limit.
        """
        self._expire(now_s)
        recorded = self._hosts.setdefault(host, _Host(now_s))
        recorded.reported_s = now_s
        passed = self._newly_passed(recorded, usage)
        for name in set(recorded.shares) - set(usage.demand_per_s):
            self._discard(name, recorded.shares.pop(name))
        granted = {}
        for name, demand_per_s in usage.demand_per_s.items():
            limit = limits.get(name)
            if limit is None or limit.rate_per_s <= 0:
                continue
            granted[name] = self._share_of(
                recorded,
                name,
                rate_per_s=limit.rate_per_s,
                demand_per_s=demand_per_s,
                host_count=max(1, host_count),
            )
            total = self._totals[name]
            total.refill(limit, now_s=now_s)
            total.tokens -= passed.get(name, 0)
            admitted = total.admitted_share(limit)
            if admitted < 1.0:
                self._scarce[name] = admitted
            else:
                self._scarce.pop(name, None)
        return Grant(rate_per_s=granted, admitted_shares=dict(self._scarce))

    def _newly_passed(self, recorded: _Host, usage: Usage) -> dict[str, int]:
        """Return how many requests a host passed since its last report.

        The first report of a host that was running before this process
        became leader only sets what later reports are compared with. A late
        report, which counts fewer, changes nothing.
        """
        if not usage.incarnation:
            return {}
        before = recorded.passed
        if recorded.incarnation != usage.incarnation:
            before = usage.passed if not recorded.incarnation else {}
        recorded.incarnation = usage.incarnation
        recorded.passed = {
            name: max(count, before.get(name, 0))
            for name, count in usage.passed.items()
        }
        return {
            name: count - before.get(name, 0)
            for name, count in recorded.passed.items()
        }

    def _share_of(
        self,
        recorded: _Host,
        name: str,
        *,
        rate_per_s: float,
        demand_per_s: float,
        host_count: int,
    ) -> float:
        """Record the claim of a host and return its part of a rate."""
        total = self._totals.setdefault(name, _Total())
        share = recorded.shares.get(name)
        if share is None:
            share = recorded.shares[name] = _HostShare()
            total.claiming_hosts += 1
        min_claim_per_s = MIN_CLAIM_SHARE * rate_per_s / host_count
        claimed_per_s = max(demand_per_s, min_claim_per_s)
        total.claimed_per_s += claimed_per_s - share.claimed_per_s
        share.claimed_per_s = claimed_per_s
        total.demand_per_s += demand_per_s - share.demand_per_s
        share.demand_per_s = demand_per_s
        others = max(0, host_count - total.claiming_hosts)
        fair_per_s = fair_share(
            rate_per_s,
            claimed_per_s=claimed_per_s,
            total_claimed_per_s=total.claimed_per_s + others * min_claim_per_s,
            # One part of the remainder is left for a host that starts.
            host_count=host_count + 1,
        )
        granted_to_others_per_s = total.granted_per_s - share.granted_per_s
        granted_per_s = max(
            0.0, min(fair_per_s, rate_per_s - granted_to_others_per_s)
        )
        total.granted_per_s += granted_per_s - share.granted_per_s
        share.granted_per_s = granted_per_s
        return granted_per_s

    def _expire(self, now_s: float) -> None:
        """Discard expired grants, and hosts that were silent for long.

        What a host has passed is kept, as it may be cut off and come back.
        """
        if now_s - self._expired_s < EXPIRY_INTERVAL_S:
            return
        self._expired_s = now_s
        for name, recorded in list(self._hosts.items()):
            silent_s = now_s - recorded.reported_s
            if silent_s > GRANT_LEASE_S:
                for organisation, share in recorded.shares.items():
                    self._discard(organisation, share)
                recorded.shares.clear()
            if silent_s > MAX_SILENCE_S:
                del self._hosts[name]

    def _discard(self, organisation: str, share: _HostShare) -> None:
        total = self._totals[organisation]
        total.claimed_per_s -= share.claimed_per_s
        total.demand_per_s -= share.demand_per_s
        total.granted_per_s -= share.granted_per_s
        total.claiming_hosts -= 1
