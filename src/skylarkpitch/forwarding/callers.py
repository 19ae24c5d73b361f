"""Authenticate callers by API key, and limit the rates of organisations."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import random

from skylarkpitch.fleet import model
from skylarkpitch.fleet import rate_shares
from skylarkpitch.forwarding import arrivals

__all__ = ['KeyTable', 'RateLimits', 'RateTolerance']

GRANT_EXPIRY_S = 2.0
# Requests that a host in touch with control may pass beyond its share of a
# rate until the next grant. Grants arrive every 0.5 s; a host that missed two
# of them keeps to its share.
SPARE_REQUESTS = 2.0
SPARE_EXPIRY_S = 1.1
# An organisation without a request for this long is no longer reported.
IDLE_ACCOUNT_S = 10.0
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

    def __init__(self, *, tokens: float, credit: float, now_s: float) -> None:
        self.tokens = tokens
        self.refilled_s = now_s
        self.requested_s = now_s
        self.granted_per_s: float | None = None
        self.has_spare = False
        self.credit = credit
        self.passed = 0
        self.demand = arrivals.ArrivalRate(now_s=now_s)


class RateLimits:
    """Token buckets for this host's share of each organisation's rate.

    The share is what control has granted, or an equal share among the known
    entry hosts without a grant. A share can be far below one request, so
    that a host in touch with control also passes ``SPARE_REQUESTS`` between
    two grants, and admits only the share of the requests that control
    grants. Without a grant for ``SPARE_EXPIRY_S`` the host keeps to its
    share, and after ``GRANT_EXPIRY_S`` to the lower of the granted and the
    equal share.
    """

    def __init__(
        self,
        *,
        tolerance: RateTolerance,
        rng: random.Random | None = None,
    ) -> None:
        self._tolerance = tolerance
        self._rng = rng or random.Random()
        self._incarnation = f'{self._rng.getrandbits(64):016x}'
        self._accounts: dict[str, _Account] = {}
        self._admitted_shares: Mapping[str, float] = {}
        self._granted_s = float('-inf')

    def spend(
        self,
        organisation: model.Organisation,
        *,
        entry_hosts: int,
        now_s: float,
    ) -> float:
        """Consume a token for a request.

        Returns 0 if the request may pass, otherwise the number of seconds
        after which the caller should retry. A rate of 0 or less sets no
        limit.
        """
        account = self._accounts.get(organisation.name)
        if account is None:
            account = self._open_account(organisation, entry_hosts, now_s)
        account.demand.add()
        account.requested_s = now_s
        if organisation.rate_per_s <= 0:
            return 0.0
        rate_per_s = self._refill(account, organisation, entry_hosts, now_s)
        if account.tokens < 1:
            return (1 - account.tokens) / max(rate_per_s, 0.1)
        if self._is_in_touch(now_s):
            share = self._admitted_shares.get(organisation.name, 1.0)
            account.credit = min(account.credit, 1.0) + share
            if account.credit < 1:
                return (1 - account.credit) / max(rate_per_s, 0.1)
            account.credit -= 1
        account.tokens -= 1
        account.passed += 1
        return 0.0

    def _is_in_touch(self, now_s: float) -> bool:
        return now_s - self._granted_s <= SPARE_EXPIRY_S

    def _open_account(
        self, organisation: model.Organisation, entry_hosts: int, now_s: float
    ) -> _Account:
        tokens = self._tolerance.burst(organisation.burst)
        tokens /= max(1, entry_hosts)
        account = _Account(
            tokens=tokens, credit=self._rng.random(), now_s=now_s
        )
        if self._is_in_touch(now_s):
            self._add_spare(account)
        else:
            account.tokens = self._whole_tokens(tokens)
        self._accounts[organisation.name] = account
        return account

    def _add_spare(self, account: _Account) -> None:
        if account.tokens < SPARE_REQUESTS:
            account.tokens = SPARE_REQUESTS
            account.has_spare = True

    def _whole_tokens(self, tokens: float) -> float:
        """Round at random, so that the hosts together have as many tokens."""
        whole, fraction = divmod(tokens, 1.0)
        return whole + (1.0 if self._rng.random() < fraction else 0.0)

    def _refill(
        self,
        account: _Account,
        organisation: model.Organisation,
        entry_hosts: int,
        now_s: float,
    ) -> float:
        """Add the tokens since the last call; return the rate of this host.

        Spare tokens are taken back when the host is no longer in touch.
        """
        rate_per_s = organisation.rate_per_s
        share_per_s = self._share_per_s(
            account, rate_per_s, entry_hosts, now_s
        )
        burst = self._tolerance.burst(organisation.burst)
        burst *= share_per_s / rate_per_s
        if account.has_spare and not self._is_in_touch(now_s):
            account.has_spare = False
            account.tokens = min(account.tokens, self._whole_tokens(burst))
        share_per_s *= self._tolerance.rate_per_s(rate_per_s) / rate_per_s
        elapsed_s = max(0.0, now_s - account.refilled_s)
        account.refilled_s = now_s
        max_tokens = max(1.0, burst)
        if account.has_spare:
            max_tokens = max(SPARE_REQUESTS, burst)
        account.tokens = min(
            max_tokens, account.tokens + share_per_s * elapsed_s
        )
        return share_per_s

    def _share_per_s(
        self,
        account: _Account,
        rate_per_s: float,
        entry_hosts: int,
        now_s: float,
    ) -> float:
        equal_share_per_s = rate_per_s / max(1, entry_hosts)
        if account.granted_per_s is None:
            return equal_share_per_s
        if now_s - self._granted_s > GRANT_EXPIRY_S:
            return min(equal_share_per_s, account.granted_per_s)
        return account.granted_per_s

    def describe(self, name: str, *, now_s: float) -> str:
        """Return what decides on requests of an organisation, for logs."""
        account = self._accounts.get(name)
        if account is None:
            return 'no account'
        return (
            f'tokens {account.tokens:.2f}, granted_per_s '
            f'{account.granted_per_s}, admitted_share '
            f'{self._admitted_shares.get(name, 1.0):.2f}, grant_age_s '
            f'{now_s - self._granted_s:.2f}'
        )

    def apply_grant(
        self,
        rates_per_s: Mapping[str, float],
        admitted_shares: Mapping[str, float],
        *,
        now_s: float,
    ) -> None:
        """Set the rates and admitted shares that control grants this host.

        Organisations without a request on this host so far have no rate.
        """
        self._granted_s = now_s
        self._admitted_shares = admitted_shares
        for name, account in self._accounts.items():
            if name in rates_per_s:
                account.granted_per_s = rates_per_s[name]
            if name not in admitted_shares:
                self._add_spare(account)

    def usage(self, *, now_s: float) -> rate_shares.Usage:
        """Return the current demand and what has passed, by organisation."""
        self._accounts = {
            name: account
            for name, account in self._accounts.items()
            if now_s - account.requested_s <= IDLE_ACCOUNT_S
        }
        return rate_shares.Usage(
            demand_per_s={
                name: account.demand.per_s(now_s=now_s)
                for name, account in self._accounts.items()
            },
            passed={
                name: account.passed
                for name, account in self._accounts.items()
            },
            incarnation=self._incarnation,
        )
