"""Leases that decide which host may assign the slots of an upstream.

The upstream arbitrates: it announces itself to one entry host at a time, and
that host owns it for the duration of a lease. Each response carries an echo, a
value that the next announcement returns. The lease counts from the time at
which the echo was issued, so an announcement that was delayed on the network,
or read late by a process that was suspended, does not prove a longer lease.
"""

from collections.abc import Iterable
import dataclasses

from skylarkpitch import sentinels

__all__ = [
    'Claim',
    'ClaimDecision',
    'Lease',
    'LeaseTable',
    'evaluate_claim',
    'takeover_wait_s',
]

MAX_ECHOES = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """Right to assign the slots of one upstream until ``until_s``.

    ``epoch`` is a new number each time that this host gains the lease anew or
    for another process (``instance``) of the upstream.
    """

    instance: str
    url: str
    epoch: int
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Echo:
    value: str
    instance: str
    url: str
    issued_s: float


class LeaseTable:
    """Leases of one host and the echoes that it has issued."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        self._echoes: dict[str, tuple[_Echo, ...]] = {}
        self._epoch = 0

    def record_echo(
        self, name: str, *, instance: str, url: str, value: str, now_s: float
    ) -> None:
        """Record the echo in the response that is sent now.

        The last ``MAX_ECHOES`` echoes of each upstream are valid.
        """
        recent = self._echoes.get(name, ())[1 - MAX_ECHOES :]
        self._echoes[name] = (*recent, _Echo(value, instance, url, now_s))

    def renew(
        self,
        name: str,
        *,
        instance: str,
        url: str,
        echo: str,
        now_s: float,
        lease_s: float,
    ) -> Lease | sentinels.Absent:
        """Extend or gain the lease that an echo proves, and return it.

        Returns ``Absent`` with reason ``echo_unknown`` or ``echo_expired``;
        the lease is then unchanged.
        """
        echo_record = self._find(name, instance=instance, echo=echo)
        if echo_record is None:
            return sentinels.Absent('echo_unknown')
        until_s = echo_record.issued_s + lease_s
        if until_s <= now_s:
            return sentinels.Absent('echo_expired')
        current = self.lease(name, now_s=now_s)
        if current is None or current.instance != instance:
            self._epoch += 1
            epoch = self._epoch
        else:
            epoch = current.epoch
            until_s = max(until_s, current.until_s)
        lease = Lease(instance=instance, url=url, epoch=epoch, until_s=until_s)
        self._leases[name] = lease
        return lease

    def release(self, name: str) -> None:
        """Remove the lease and invalidate all echoes issued before."""
        self._leases.pop(name, None)
        self._echoes.pop(name, None)

    def lease(self, name: str, *, now_s: float) -> Lease | None:
        """Return the lease of ``name``, or None when it has expired."""
        current = self._leases.get(name)
        if current is None or current.until_s <= now_s:
            return None
        return current

    def pending_url(
        self, name: str, *, now_s: float, lease_s: float
    ) -> str | None:
        """Return the address that may gain the lease with its next echo.

        None when the newest echo has expired.
        """
        echoes = self._echoes.get(name)
        if not echoes or echoes[-1].issued_s + lease_s <= now_s:
            return None
        return echoes[-1].url

    def name_of_url(self, url: str, *, now_s: float) -> str | None:
        """Return the upstream with a valid lease at an address, or None."""
        for name, lease in self._leases.items():
            if lease.url == url and lease.until_s > now_s:
                return name
        return None

    def remove_expired(self, *, now_s: float, lease_s: float) -> None:
        """Remove expired leases and echoes."""
        for name in list(self._leases):
            if self._leases[name].until_s <= now_s:
                del self._leases[name]
        for name in list(self._echoes):
            if self._echoes[name][-1].issued_s + lease_s <= now_s:
                del self._echoes[name]

    def _find(self, name: str, *, instance: str, echo: str) -> _Echo | None:
        for item in self._echoes.get(name, ()):
            if item.value == echo and item.instance == instance:
                return item
        return None


def takeover_wait_s(*, lease_s: float, drift: float) -> float:
    """Return how long an upstream must wait before it changes hosts.

    The owner counts ``lease_s`` on a clock that may run slow by ``drift``, and
    the upstream counts its wait on one that may run fast by as much. ``drift``
    is a fraction, 0.01 for one percent.
    """
    return lease_s * (1 + drift) / (1 - drift)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Earlier owner that an upstream names in its announcement.

    ``previous_owner`` is empty for an upstream that has announced itself to no
    host since its process started ``previous_owner_age_s`` ago. Otherwise the
    age is the time since its last attempt to announce to that host.
    """

    own_host: str
    previous_owner: str
    previous_owner_age_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClaimDecision:
    """Whether a host may own an upstream.

    With ``retry_after_s`` above 0 it must refuse the claim. With
    ``unknown_work`` every slot may be busy with work that no host can count.
    """

    retry_after_s: float = 0.0
    unknown_work: bool = False


def evaluate_claim(
    claim: Claim,
    *,
    release_responses: dict[str, tuple[bool, float]],
    unresponsive: Iterable[str],
    has_history: bool,
    takeover_wait_s: float,
    max_work_s: float,
) -> ClaimDecision:
    """Decide on the first announcement of an upstream to this host.

    ``release_responses`` are the responses of the other hosts of the failure
    domain to the request to release the upstream: whether they know it, and
    the age of their process in seconds. ``unresponsive`` hosts did not
    respond. ``has_history`` means that this host's records reach back to its
    earlier work for the upstream.
    """
    remaining_s = takeover_wait_s - claim.previous_owner_age_s
    if not claim.previous_owner:
        if remaining_s > 0 and tuple(unresponsive):
            return ClaimDecision(retry_after_s=remaining_s)
        return ClaimDecision()
    if claim.previous_owner == claim.own_host:
        return ClaimDecision(unknown_work=not has_history)
    if claim.previous_owner not in release_responses:
        if remaining_s > 0:
            return ClaimDecision(retry_after_s=remaining_s)
        return ClaimDecision(unknown_work=True)
    known, up_for_s = release_responses[claim.previous_owner]
    history_s = claim.previous_owner_age_s + takeover_wait_s + max_work_s
    return ClaimDecision(unknown_work=not known and up_for_s <= history_s)
