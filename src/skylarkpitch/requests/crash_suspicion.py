"""Detection of requests that crash the upstreams which run them.

A request is identified by its fingerprint. Each upstream that crashes while
running it counts once against it, until the request gets a response from
any upstream. A crash does not count if the same upstream has crashed within
the last ``CRASH_RETENTION_S`` and only while this request was not running,
since the upstream itself may then be the cause.

When an upstream crashes, at most one of the requests that it was running is
the cause. All of them become suspects, and a host runs no two suspects on the
same upstream at a time, so that the next crash identifies the cause.
"""

import collections
import dataclasses

__all__ = ['Suspicions']

CRASH_RETENTION_S = 120.0
CRASHES_TO_QUARANTINE = 3
# Crash reports of one upstream within this time are taken as one crash.
SAME_CRASH_WINDOW_S = 2.0
MAX_SUSPECTS = 10_000
MAX_CRASHES_PER_UPSTREAM = 64


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Request under suspicion, with its last crash on each upstream."""

    crash_times_s: dict[str, float]
    quarantined_until_s: float = 0.0
    quarantined: bool = False


class Suspicions:
    """Suspected requests and the recent crashes of upstreams.

    All ``now_s`` are times of the same monotonic clock.
    """

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        self._crashes: dict[str, collections.deque[tuple[float, bytes]]] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def quarantine_left_s(self, fingerprint: bytes, *, now_s: float) -> float:
        """Return how much longer a request is refused; 0 if it is not."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.quarantined:
            return 0.0
        if now_s < suspect.quarantined_until_s:
            return suspect.quarantined_until_s - now_s
        del self._suspects[fingerprint]
        return 0.0

    def crashed_upstreams(
        self, fingerprint: bytes, *, now_s: float
    ) -> frozenset[str]:
        """Return the upstreams that crashed while running a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return frozenset()
        return frozenset(
            name
            for name, crashed_s in suspect.crash_times_s.items()
            if now_s - crashed_s < CRASH_RETENTION_S
        )

    def record_crash(
        self,
        fingerprint: bytes,
        upstream: str,
        *,
        now_s: float,
        quarantine_s: float,
    ) -> bool:
        """Record a crash; return whether the request is now quarantined."""
        is_unrelated = self._crashed_without(
            fingerprint, upstream, now_s=now_s
        )
        crashes = self._crashes.setdefault(
            upstream, collections.deque(maxlen=MAX_CRASHES_PER_UPSTREAM)
        )
        crashes.append((now_s, fingerprint))
        if is_unrelated:
            return False
        suspect = self._suspects.setdefault(
            fingerprint, _Suspect(crash_times_s={})
        )
        suspect.crash_times_s[upstream] = now_s
        self._trim(now_s=now_s)
        counted = self.crashed_upstreams(fingerprint, now_s=now_s)
        if len(counted) < CRASHES_TO_QUARANTINE:
            return False
        self.quarantine(fingerprint, now_s=now_s, quarantine_s=quarantine_s)
        return True

    def quarantine(
        self, fingerprint: bytes, *, now_s: float, quarantine_s: float
    ) -> None:
        """Refuse a request for ``quarantine_s`` from now on."""
        suspect = self._suspects.setdefault(
            fingerprint, _Suspect(crash_times_s={})
        )
        suspect.quarantined = True
        suspect.quarantined_until_s = now_s + quarantine_s

    def record_response(self, fingerprint: bytes) -> bool:
        """Clear a suspect that got a response; return whether it was one.

        A quarantined request remains quarantined.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.quarantined:
            return False
        del self._suspects[fingerprint]
        return True

    def _crashed_without(
        self, fingerprint: bytes, upstream: str, *, now_s: float
    ) -> bool:
        """Return whether earlier crashes were without this request."""
        crashes = [
            item
            for item in self._crashes.get(upstream, ())
            if now_s - item[0] < CRASH_RETENTION_S
        ]
        earlier = [
            item for item in crashes if now_s - item[0] > SAME_CRASH_WINDOW_S
        ]
        return bool(earlier) and all(
            item[1] != fingerprint for item in earlier
        )

    def _trim(self, *, now_s: float) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        if len(self._crashes) <= MAX_SUSPECTS:
            return
        for name, crashes in list(self._crashes.items()):
            if now_s - crashes[-1][0] > CRASH_RETENTION_S:
                del self._crashes[name]
