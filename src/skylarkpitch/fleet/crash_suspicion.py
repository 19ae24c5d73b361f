"""Detection of requests that crash the upstreams which run them.

A request is identified by its fingerprint. Each upstream that crashes while
running it counts once against it, until the request gets a response from
any upstream. Of runs that began before the first of their crashes at most
``MAX_CRASHES_PER_ROUND`` count, since upstreams that crash together may have
another cause in common. A crash does not count if the same upstream has
crashed within the last ``CRASH_RETENTION_S`` and only while this request was
not running, since the upstream itself may then be the cause; unless one of
the requests that were running then has crashed other upstreams too.

After a quarantine one crash is enough for the next, which lasts
``QUARANTINE_GROWTH`` times as long.

When an upstream crashes, at most one of the requests that it was running is
the cause. All of them become suspects, and a host runs no two suspects on the
same upstream at a time, so that the next crash identifies the cause.
"""

import collections
import dataclasses

__all__ = ['Crash', 'Suspicions']

CRASH_RETENTION_S = 120.0
CRASHES_TO_QUARANTINE = 3
MAX_CRASHES_PER_ROUND = 2
QUARANTINE_GROWTH = 2
MAX_QUARANTINE_S = 86_400.0
# Crash reports of one upstream within this time are taken as one crash.
SAME_CRASH_WINDOW_S = 2.0
MAX_SUSPECTS = 10_000
MAX_CRASHES_PER_UPSTREAM = 64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """Crash of an upstream while it ran a request.

    ``sent_s`` is when the request was sent to it.
    """

    fingerprint: bytes
    upstream: str
    sent_s: float
    crashed_s: float


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Request under suspicion, with its last crash on each upstream.

    ``quarantines`` counts those that began.
    """

    crashes: dict[str, Crash] = dataclasses.field(default_factory=dict)
    quarantined_until_s: float = 0.0
    quarantined: bool = False
    quarantines: int = 0
    release_delay_s: float = 0.0

    def is_quarantine_running(self, *, now_s: float) -> bool:
        """Return whether a quarantine lasts, apart from its release delay."""
        return self.quarantined and now_s < self.quarantined_until_s

    def end_quarantine(self) -> None:
        """Count crashes anew."""
        self.quarantined = False
        self.crashes.clear()


class Suspicions:
    """Suspected requests and the recent crashes of upstreams.

    All ``now_s`` are times of the same monotonic clock.
    """

    def __init__(self) -> None:
        self._suspects: collections.OrderedDict[bytes, _Suspect] = (
            collections.OrderedDict()
        )
        self._crashes: dict[str, collections.deque[tuple[float, bytes]]] = {}
        self._responses: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self._suspects)

    def quarantine_left_s(self, fingerprint: bytes, *, now_s: float) -> float:
        """Return how much longer a request is refused; 0 if it is not."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.quarantined:
            return 0.0
        ends_s = suspect.quarantined_until_s + suspect.release_delay_s
        if now_s < ends_s:
            return ends_s - now_s
        suspect.end_quarantine()
        return 0.0

    def crashed_upstreams(
        self, fingerprint: bytes, *, now_s: float
    ) -> frozenset[str]:
        """Return the upstreams that crashed while running a request."""
        return frozenset(
            crash.upstream
            for crash in self._recent_crashes(fingerprint, now_s=now_s)
        )

    def crash_count(self, fingerprint: bytes, *, now_s: float) -> int:
        """Return how many crashes count against a request."""
        counted = 0
        counted_in_round = 0
        round_began_s = float('-inf')
        crashes = [
            crash
            for crash in self._recent_crashes(fingerprint, now_s=now_s)
            if not self._may_be_faulty(crash)
        ]
        for crash in sorted(crashes, key=lambda item: item.crashed_s):
            if crash.sent_s >= round_began_s:
                round_began_s = crash.crashed_s
                counted_in_round = 0
            counted_in_round += 1
            counted += counted_in_round <= MAX_CRASHES_PER_ROUND
        return counted

    def _recent_crashes(
        self, fingerprint: bytes, *, now_s: float
    ) -> list[Crash]:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return []
        return [
            crash
            for crash in suspect.crashes.values()
            if now_s - crash.crashed_s < CRASH_RETENTION_S
        ]

    def suspects_since(self, since_s: float) -> list[bytes]:
        """Return the suspects with a crash since then, the latest first.

        Quarantined requests are left out.
        """
        suspects = []
        for fingerprint in reversed(self._suspects):
            suspect = self._suspects[fingerprint]
            if suspect.quarantined or not suspect.crashes:
                continue
            if max(c.crashed_s for c in suspect.crashes.values()) < since_s:
                break
            suspects.append(fingerprint)
        return suspects

    def quarantines_left_s(self, *, now_s: float) -> dict[bytes, float]:
        """Return how much longer each quarantine lasts."""
        return {
            fingerprint: suspect.quarantined_until_s - now_s
            for fingerprint, suspect in self._suspects.items()
            if suspect.is_quarantine_running(now_s=now_s)
        }

    def latest_crashes(self, *, now_s: float, count: int) -> list[Crash]:
        """Return the crashes of the latest suspects, up to ``count``."""
        latest: list[Crash] = []
        for fingerprint in reversed(self._suspects):
            latest += self._recent_crashes(fingerprint, now_s=now_s)
            if len(latest) >= count:
                break
        return latest[:count]

    def record_crash(
        self,
        fingerprint: bytes,
        upstream: str,
        *,
        now_s: float,
        quarantine_s: float,
        sent_s: float | None = None,
        crashed_s: float | None = None,
        release_delay_s: float = 0.0,
    ) -> bool:
        """Record a crash; return whether the request is now quarantined.

        It has crashed now, and the request was sent to it at that moment,
        unless the times say otherwise. A crash from before the last response
        to the request is ignored.
        """
        crash = Crash(
            fingerprint=fingerprint,
            upstream=upstream,
            sent_s=now_s if sent_s is None else sent_s,
            crashed_s=now_s if crashed_s is None else crashed_s,
        )
        if self._is_refuted(crash) or self._is_known(crash):
            return False
        crashes = self._crashes.setdefault(
            upstream, collections.deque(maxlen=MAX_CRASHES_PER_UPSTREAM)
        )
        crashes.append((crash.crashed_s, fingerprint))
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        suspect.crashes[upstream] = crash
        self._suspects.move_to_end(fingerprint)
        self._trim(now_s=now_s)
        if suspect.is_quarantine_running(now_s=now_s):
            return False
        count = self.crash_count(fingerprint, now_s=now_s)
        if count < (1 if suspect.quarantines else CRASHES_TO_QUARANTINE):
            return False
        quarantine_s *= QUARANTINE_GROWTH**suspect.quarantines
        self.quarantine(
            fingerprint,
            now_s=now_s,
            quarantine_s=min(quarantine_s, MAX_QUARANTINE_S),
            release_delay_s=release_delay_s,
        )
        return True

    def quarantine(
        self,
        fingerprint: bytes,
        *,
        now_s: float,
        quarantine_s: float,
        release_delay_s: float = 0.0,
    ) -> None:
        """Refuse a request for at least ``quarantine_s`` from now on.

        This host refuses it for ``release_delay_s`` more. Hosts with
        different delays run the request one after another, so that the
        first can warn the others if it is still harmful.
        """
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        if not suspect.is_quarantine_running(now_s=now_s):
            suspect.quarantines += 1
            suspect.release_delay_s = release_delay_s
        suspect.quarantined = True
        suspect.quarantined_until_s = max(
            suspect.quarantined_until_s, now_s + quarantine_s
        )
        self._trim(now_s=now_s)

    def record_response(self, fingerprint: bytes) -> bool:
        """Clear a suspect that got a response; return whether it was one.

        A quarantined request remains quarantined.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.quarantined:
            return False
        del self._suspects[fingerprint]
        return True

    def record_response_elsewhere(
        self, fingerprint: bytes, *, responded_s: float, now_s: float
    ) -> None:
        """Clear a request that got a response at another host.

        Crashes from before are ignored even if they are reported later.
        """
        self._responses[fingerprint] = responded_s
        self._forget_responses(now_s=now_s)
        self.record_response(fingerprint)

    def _is_refuted(self, crash: Crash) -> bool:
        responded_s = self._responses.get(crash.fingerprint)
        return responded_s is not None and crash.crashed_s <= responded_s

    def _is_known(self, crash: Crash) -> bool:
        suspect = self._suspects.get(crash.fingerprint)
        known = suspect and suspect.crashes.get(crash.upstream)
        if not known:
            return False
        return crash.crashed_s - known.crashed_s <= SAME_CRASH_WINDOW_S

    def _forget_responses(self, *, now_s: float) -> None:
        if len(self._responses) <= MAX_SUSPECTS:
            return
        for fingerprint, responded_s in list(self._responses.items()):
            if now_s - responded_s > CRASH_RETENTION_S:
                del self._responses[fingerprint]

    def _may_be_faulty(self, crash: Crash) -> bool:
        """Return whether the upstream itself may have caused a crash."""
        earlier = [
            (crashed_s, fingerprint)
            for crashed_s, fingerprint in self._crashes.get(crash.upstream, ())
            if SAME_CRASH_WINDOW_S
            < crash.crashed_s - crashed_s
            < CRASH_RETENTION_S
        ]
        if any(item[1] == crash.fingerprint for item in earlier):
            return False
        explained_s = [
            crashed_s
            for crashed_s, fingerprint in earlier
            if self._crashed_elsewhere(fingerprint, crash.upstream)
        ]
        return any(
            all(
                abs(item[0] - at_s) > SAME_CRASH_WINDOW_S
                for at_s in explained_s
            )
            for item in earlier
        )

    def _crashed_elsewhere(self, fingerprint: bytes, upstream: str) -> bool:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        return suspect.quarantined or any(
            name != upstream for name in suspect.crashes
        )

    def _trim(self, *, now_s: float) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            self._suspects.popitem(last=False)
        if len(self._crashes) <= MAX_SUSPECTS:
            return
        for name, crashes in list(self._crashes.items()):
            if now_s - crashes[-1][0] > CRASH_RETENTION_S:
                del self._crashes[name]
