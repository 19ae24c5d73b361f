"""Determine when hosts that missed a withdrawal stop accepting the key.

A host whose proof is older than the withdrawal may accept the key until its
lease ends. Its proof can't be newer than the time at which the withdrawal was
applied on this host, so that time plus the lease is an upper bound, whatever
the host does. A host may still use a longer lease that was in force before,
but then only from a proof older than the change of the lease.
"""

import collections
from collections.abc import Mapping
import dataclasses
from typing import Any

__all__ = ['DEFAULT_KEY_LEASE_S', 'KeyLeases', 'LeaseHistory', 'leases_from']

DEFAULT_KEY_LEASE_S = 5.0
MAX_VERSIONS = 20_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyLeases:
    """Key lease of the policy and those of individual organisations."""

    default_s: float
    by_organisation: dict[str, float]

    @property
    def shortest_s(self) -> float:
        """Return the shortest lease, from which request timing is derived."""
        return min(self.default_s, *self.by_organisation.values(), 86_400.0)

    def lease_s(self, organisation: str) -> float:
        """Return the lease of an organisation's keys, in seconds."""
        return self.by_organisation.get(organisation, self.default_s)


def leases_from(base: Mapping[str, Any]) -> KeyLeases:
    """Return the leases in a valid base document."""
    policy = base.get('policy', {})
    by_organisation = {
        name: fields['key_lease_s']
        for name, fields in base.get('organisations', {}).items()
        if fields.get('key_lease_s') is not None
    }
    return KeyLeases(
        default_s=policy.get('key_lease_s', DEFAULT_KEY_LEASE_S),
        by_organisation=by_organisation,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Applied:
    at_s: float
    leases: KeyLeases


class LeaseHistory:
    """Times at which versions were applied, and the leases in force then.

    The last ``MAX_VERSIONS`` versions are stored.
    """

    def __init__(self, *, started_at_s: float) -> None:
        self._started_at_s = started_at_s
        self._applied: collections.OrderedDict[int, _Applied] = (
            collections.OrderedDict()
        )
        self._newest: _Applied | None = None
        self._former_expires_at_s: dict[str | None, float] = {}

    def record(self, version: int, leases: KeyLeases, *, now_s: float) -> None:
        """Record that ``version`` was applied, if it is new."""
        if version in self._applied:
            return
        if self._newest is not None and self._newest.leases != leases:
            self._record_former(self._newest.leases, now_s)
        self._newest = _Applied(now_s, leases)
        self._applied[version] = self._newest
        if len(self._applied) > MAX_VERSIONS:
            self._applied.popitem(last=False)

    def expires_at_s(self, version: int, organisation: str | None) -> float:
        """Return the time from which no host accepts a withdrawn key.

        The key of ``organisation`` was withdrawn at ``version``.

        A version from before this process started counts from its start.
        Without an organisation the longest lease counts.
        """
        applied = self._applied.get(version) or self._first_after(version)
        if applied is None:
            return self._started_at_s + DEFAULT_KEY_LEASE_S
        leases = applied.leases
        if organisation is None:
            longest_s = max(
                leases.default_s, *leases.by_organisation.values(), 0.0
            )
            former_s = max(self._former_expires_at_s.values(), default=0.0)
            return max(applied.at_s + longest_s, former_s)
        former_s = self._former_expires_at_s.get(
            organisation, self._former_expires_at_s.get(None, 0.0)
        )
        return max(applied.at_s + leases.lease_s(organisation), former_s)

    def _first_after(self, version: int) -> _Applied | None:
        for later_version, applied in self._applied.items():
            if later_version > version:
                return applied
        return self._newest

    def _record_former(self, leases: KeyLeases, now_s: float) -> None:
        former: dict[str | None, float] = {None: leases.default_s}
        former.update(leases.by_organisation)
        for name, lease_s in former.items():
            known_s = self._former_expires_at_s.get(name, 0.0)
            self._former_expires_at_s[name] = max(known_s, now_s + lease_s)
