"""Tell which entry hosts of the own failure domain live."""

import dataclasses

from skylarkpitch.peers import rendezvous

__all__ = ['LiveHosts']

SILENT_AFTER_S = 2.0
SILENT_AFTER_S_A_HOST = 0.5
SETTLED_AFTER_S = 3.0


@dataclasses.dataclass(slots=True)
class _Heard:
    since_s: float
    last_s: float
    stopping: bool
    slots: dict[str, int]
    slots_until_s: float


class LiveHosts:
    """Remember when each host was last heard and what it said."""

    def __init__(self, *, own: str, others: int = 0) -> None:
        self._own = own
        self.silent_after_s = max(
            SILENT_AFTER_S, SILENT_AFTER_S_A_HOST * others
        )
        self._heard: dict[str, _Heard] = {}
        self.stopping = False

    def heard(
        self,
        host: str,
        *,
        stopping: bool,
        now_s: float,
    ) -> None:
        """Take a sign of life."""
        known = self._heard.get(host)
        if known is None or now_s - known.last_s > self.silent_after_s:
            self._heard[host] = _Heard(now_s, now_s, stopping, {}, now_s)
            return
        known.last_s = now_s
        known.stopping = stopping

    def owns(
        self, host: str, slots: dict[str, int], *, until_s: float
    ) -> None:
        """Take it that a host owns slots until ``until_s`` at least."""
        known = self._heard.get(host)
        if known is not None:
            known.slots = slots
            known.slots_until_s = until_s

    def forget_slots(self) -> None:
        """Forget what the others own; some of it is changing hands."""
        for known in self._heard.values():
            known.slots = {}

    def lost(self, host: str) -> None:
        """Take it that a host does not answer."""
        self._heard.pop(host, None)

    def live(self, *, now_s: float) -> tuple[str, ...]:
        """Return the hosts heard lately, stopping ones included."""
        return tuple(
            host
            for host, heard in sorted(self._heard.items())
            if now_s - heard.last_s <= self.silent_after_s
        )

    def preferred(self, upstream: str, *, now_s: float) -> str | None:
        """Return the host that should own an upstream, if any can."""
        hosts = [
            host
            for host in self.live(now_s=now_s)
            if not self._heard[host].stopping
        ]
        if not self.stopping:
            hosts.append(self._own)
        return rendezvous.first(upstream, hosts)

    def is_settled(self, host: str, *, now_s: float) -> bool:
        """Tell whether a host has lived long enough to take over."""
        heard = self._heard.get(host)
        return heard is not None and now_s - heard.since_s >= SETTLED_AFTER_S

    def slots(self, *, now_s: float) -> dict[str, int]:
        """Return the slots that the other live hosts own, by service."""
        total: dict[str, int] = {}
        for host in self.live(now_s=now_s):
            if self._heard[host].slots_until_s <= now_s:
                continue
            for service, count in self._heard[host].slots.items():
                total[service] = total.get(service, 0) + count
        return total
