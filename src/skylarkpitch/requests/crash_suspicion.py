"""Tell requests that crash upstreams from upstreams that crash alone.

A request is known by its fingerprint. Each upstream that dies while running
it counts once, until the request gets an answer anywhere. A death does not
count against a request when the same upstream also died without it a short
while before. Several requests run on an upstream when it dies, and all but
one are innocent: what is suspected runs apart from other suspects, so that
the next death can be told from them.
"""

import collections
import dataclasses

__all__ = ['Suspicions']

MEMORY_S = 120.0
DEATHS_TO_QUARANTINE = 3
SAME_DEATH_S = 2.0
MAX_SUSPECTS = 10_000
MAX_UPSTREAM_DEATHS = 64


@dataclasses.dataclass(slots=True)
class _Suspect:
    upstreams: dict[str, float]
    quarantined_until_s: float = 0.0
    quarantined: bool = False


class Suspicions:
    """Hold suspected requests and the recent deaths of upstreams."""

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        self._deaths: dict[str, collections.deque[tuple[float, bytes]]] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def quarantine_left_s(self, fingerprint: bytes, *, now_s: float) -> float:
        """Return for how long a request is refused; 0 when it is not."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.quarantined:
            return 0.0
        if now_s < suspect.quarantined_until_s:
            return suspect.quarantined_until_s - now_s
        del self._suspects[fingerprint]
        return 0.0

    def died_on(self, fingerprint: bytes, *, now_s: float) -> frozenset[str]:
        """Return the upstreams that died while running a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return frozenset()
        return frozenset(
            name
            for name, died_s in suspect.upstreams.items()
            if now_s - died_s < MEMORY_S
        )

    def record_crash(
        self,
        fingerprint: bytes,
        upstream: str,
        *,
        now_s: float,
        quarantine_s: float,
    ) -> bool:
        """Count a death; tell whether the request is now quarantined."""
        alone = self._dies_alone(fingerprint, upstream, now_s=now_s)
        deaths = self._deaths.setdefault(
            upstream, collections.deque(maxlen=MAX_UPSTREAM_DEATHS)
        )
        deaths.append((now_s, fingerprint))
        if alone:
            return False
        suspect = self._suspects.setdefault(
            fingerprint, _Suspect(upstreams={})
        )
        suspect.upstreams[upstream] = now_s
        self._trim(now_s=now_s)
        counted = self.died_on(fingerprint, now_s=now_s)
        if len(counted) < DEATHS_TO_QUARANTINE:
            return False
        self.quarantine(fingerprint, now_s=now_s, quarantine_s=quarantine_s)
        return True

    def quarantine(
        self, fingerprint: bytes, *, now_s: float, quarantine_s: float
    ) -> None:
        """Refuse a request for ``quarantine_s`` from now on."""
        suspect = self._suspects.setdefault(
            fingerprint, _Suspect(upstreams={})
        )
        suspect.quarantined = True
        suspect.quarantined_until_s = now_s + quarantine_s

    def record_response(self, fingerprint: bytes) -> bool:
        """Clear a request that got an answer; tell if it was suspected."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.quarantined:
            return False
        del self._suspects[fingerprint]
        return True

    def _dies_alone(
        self, fingerprint: bytes, upstream: str, *, now_s: float
    ) -> bool:
        """Tell whether an earlier death came without this request."""
        deaths = [
            item
            for item in self._deaths.get(upstream, ())
            if now_s - item[0] < MEMORY_S
        ]
        earlier = [d for d in deaths if now_s - d[0] > SAME_DEATH_S]
        return bool(earlier) and all(d[1] != fingerprint for d in earlier)

    def _trim(self, *, now_s: float) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        if len(self._deaths) <= MAX_SUSPECTS:
            return
        for name, deaths in list(self._deaths.items()):
            if now_s - deaths[-1][0] > MEMORY_S:
                del self._deaths[name]
