"""Authenticate callers by API key, and limit the rates of organisations."""

from collections.abc import Iterable
import dataclasses

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import arrivals

__all__ = ['KeyTable', 'RateLimits', 'RateTolerance']

GRANT_EXPIRY_S = 3.0
# Fraction of the tolerance that callers may use. The rest covers errors that
# arise because a host does not see the requests at other hosts.
USED_TOLERANCE_SHARE = 0.5


class KeyTable:
    """Organisations by the API keys of their callers."""

    def __init__(self, organisations: Iterable[model.Organisation]) -> None:
        self._organisations_by_key = {
            key: organisation
            for organisation in organisations
            for key in organisation.api_keys
        }
        self.is_empty = not self._organisations_by_key

    def organisation_of(self, key: str) -> model.Organisation | None:
        """Return the organisation that an API key belongs to, or None."""
        return self._organisations_by_key.get(key)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RateTolerance:
    """How far an organisation may exceed its rate, over the whole fleet.

    Within any ``window_s`` it may exceed its requests by the fraction
    ``excess_ratio`` and by ``slack`` requests more. The rate limits use
    half of that; the rest covers errors that arise because a host does not
    see the requests at other hosts.
    """

    excess_ratio: float = 0.0
    slack: float = 0.0
    window_s: float = 5.0

    def rate_per_s(self, rate_per_s: float) -> float:
        """Return the rate to enforce for a configured rate."""
        extra_per_s = USED_TOLERANCE_SHARE * self.slack / 2 / self.window_s
        return (
            rate_per_s * (1 + USED_TOLERANCE_SHARE * self.excess_ratio)
            + extra_per_s
        )

    def burst(self, burst: float) -> float:
        """Return the burst to enforce for a configured burst."""
        return burst + USED_TOLERANCE_SHARE * self.slack / 2


class _Account:
    """Token bucket, grant and demand of one organisation on this host."""

    def __init__(self, *, now_s: float) -> None:
        self.tokens = 0.0
        self.refilled_s = now_s
        self.granted_per_s: float | None = None
        self.granted_s = float('-inf')
        self.demand = arrivals.ArrivalRate(now_s=now_s)


class RateLimits:
    """Token buckets for this host's share of each organisation's rate.

    The share is what control has granted. Without a grant it is an equal
    share among the known entry hosts, and once a grant is older than
    ``GRANT_EXPIRY_S`` it is the lower of the two.
    """

    def __init__(self, *, tolerance: RateTolerance) -> None:
        self._tolerance = tolerance
        self._accounts: dict[str, _Account] = {}

    def spend(
        self,
        organisation: model.Organisation,
        *,
        entry_hosts: int,
        now_s: float,
    ) -> float:
        """Consume a token for a request.

        Returns 0 if a token was available, otherwise the number of seconds
        after which the caller should retry. A rate of 0 or less sets no
        limit.
        """
        account = self._accounts.get(organisation.name)
        rate_per_s = organisation.rate_per_s
        burst = self._tolerance.burst(organisation.burst)
        if account is None:
            account = _Account(now_s=now_s)
            self._accounts[organisation.name] = account
            account.tokens = burst / max(1, entry_hosts)
        account.demand.add()
        if rate_per_s <= 0:
            return 0.0
        host_rate_per_s = self._host_rate_per_s(
            account, rate_per_s, entry_hosts, now_s
        )
        burst = max(1.0, burst * host_rate_per_s / rate_per_s)
        host_rate_per_s *= self._tolerance.rate_per_s(rate_per_s) / rate_per_s
        elapsed_s = max(0.0, now_s - account.refilled_s)
        account.refilled_s = now_s
        account.tokens = min(
            burst, account.tokens + host_rate_per_s * elapsed_s
        )
        if account.tokens >= 1:
            account.tokens -= 1
            return 0.0
        return (1 - account.tokens) / max(host_rate_per_s, 0.1)

    def _host_rate_per_s(
        self,
        account: _Account,
        rate_per_s: float,
        entry_hosts: int,
        now_s: float,
    ) -> float:
        equal_share_per_s = rate_per_s / max(1, entry_hosts)
        if account.granted_per_s is None:
            return equal_share_per_s
        if now_s - account.granted_s > GRANT_EXPIRY_S:
            return min(equal_share_per_s, account.granted_per_s)
        return account.granted_per_s

    def describe(self, name: str, *, now_s: float) -> str:
        """Return what decides on requests of an organisation, for logs."""
        account = self._accounts.get(name)
        if account is None:
            return 'no account'
        return (
            f'tokens {account.tokens:.2f}, granted_per_s '
            f'{account.granted_per_s}, grant_age_s '
            f'{now_s - account.granted_s:.2f}'
        )

    def apply_grant(
        self, rates_per_s: dict[str, float], *, now_s: float
    ) -> None:
        """Set the rates that control grants this host.

        Organisations without a request on this host so far are ignored.
        """
        for name, rate_per_s in rates_per_s.items():
            account = self._accounts.get(name)
            if account is not None:
                account.granted_per_s = rate_per_s
                account.granted_s = now_s

    def demand_per_s(self, *, now_s: float) -> dict[str, float]:
        """Return the current rate of requests by organisation."""
        return {
            name: account.demand.per_s(now_s=now_s)
            for name, account in self._accounts.items()
        }
