"""Track which requests crash the upstreams that run them, and log why.

Every exchange without a usable response leaves a line that says whether it
counts as a crash against its request, and how many have been counted. The
crashes that this host sees, and those of other hosts, are shared by reports
to the leader and its grants (see ``fleet.crash_reports``).
"""

import collections
import random

import structlog

from skylarkpitch.fleet import crash_reports
from skylarkpitch.fleet import crash_suspicion
from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import refusals

__all__ = ['CrashTracker']

# Failures that a crash can look like, by what the connection showed.
CRASH_REASONS = frozenset(
    (refusals.Reason.UPSTREAM_BROKE_OFF, refusals.Reason.MALFORMED_RESPONSE)
)
# An upstream that responds so soon after it broke off has not crashed: one
# that has takes longer to start again.
ALIVE_WINDOW_S = 1.0
# Bounds of a report, which is sent at every interval.
MAX_REPORTED_CRASHES = 16
MAX_REPORTED_QUARANTINES = 16
# How long a sign of life is reported: several reports, in case one is lost.
SIGN_REPORT_S = 2.0
MAX_REPORTED_SIGNS = 32
MIN_ERROR_STATUS = 400
# Requests whose last successful response is remembered.
MAX_REMEMBERED_RESPONSES = 2000

_log = structlog.get_logger(__name__)


def _incarnation(call: calls.Call) -> str:
    """Return the incarnation of the last upstream, the same on all hosts."""
    upstream = call.candidate.load.upstream
    return f'{upstream.upstream_id}@{upstream.born_ms}'


class CrashTracker:
    """Suspected requests, as this entry host knows them.

    ``counts`` has the number of crashes that were counted, of quarantines
    that started, and of requests that were refused by one.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._suspicions = crash_suspicion.Suspicions()
        self._shared_suspects: frozenset[bytes] = frozenset()
        self._responses: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._signs_of_life: dict[str, float] = {}
        self.counts: dict[str, float] = {
            'crashes_counted': 0,
            'quarantines_started': 0,
            'quarantine_refusals': 0,
        }

    def quarantine_left_s(self, call: calls.Call, *, now_s: float) -> float:
        """Return how much longer a request is refused; 0 if it is not."""
        left_s = self._suspicions.quarantine_left_s(
            call.fingerprint, now_s=now_s
        )
        self.counts['quarantine_refusals'] += left_s > 0
        return left_s

    def record_failure(
        self,
        call: calls.Call,
        *,
        reason: refusals.Reason,
        now_s: float,
    ) -> None:
        """Record that the last upstream of a call sent no usable response."""
        upstream = _incarnation(call)
        verdict = 'other_reason'
        before = self._count(call, now_s)
        if reason in CRASH_REASONS:
            quarantined = self._suspicions.record_crash(
                call.fingerprint,
                upstream,
                now_s=now_s,
                quarantine_s=crash_reports.QUARANTINE_S,
                sent_s=call.sent_s,
                release_delay_s=self._release_delay_s(),
            )
            is_counted = quarantined or self._count(call, now_s) > before
            verdict = 'counted' if is_counted else 'not_counted'
            self.counts['crashes_counted'] += is_counted
            if quarantined:
                self._log_quarantine(
                    call.fingerprint, 'crashes', crash_reports.QUARANTINE_S
                )
        _log.info(
            'crash_suspected',
            request_id=call.request_id,
            fingerprint=call.fingerprint.hex(),
            upstream=upstream,
            reason=reason.value,
            verdict=verdict,
            crashes=self._count(call, now_s),
        )

    def record_response(
        self, call: calls.Call, *, status: int, now_s: float
    ) -> None:
        """Remove what is counted against a request that has succeeded.

        An error shows that the upstream is alive, but not that it has run
        the request to its end.
        """
        self._record_sign_of_life(call, now_s)
        if status >= MIN_ERROR_STATUS:
            return
        self._remember_response(call.fingerprint, now_s)
        crashes = self._count(call, now_s)
        if self._suspicions.record_response(call.fingerprint):
            _log.info(
                'suspicion_removed',
                request_id=call.request_id,
                fingerprint=call.fingerprint.hex(),
                upstream=_incarnation(call),
                status=status,
                crashes=crashes,
            )

    def _remember_response(self, fingerprint: bytes, now_s: float) -> None:
        self._responses[fingerprint] = now_s
        self._responses.move_to_end(fingerprint)
        if len(self._responses) > MAX_REMEMBERED_RESPONSES:
            self._responses.popitem(last=False)

    def _record_sign_of_life(self, call: calls.Call, now_s: float) -> None:
        name = _incarnation(call)
        crashed_s = self._suspicions.last_crash_s(name)
        if crashed_s is None or call.sent_s < crashed_s:
            return
        if now_s - crashed_s > ALIVE_WINDOW_S:
            return
        self._suspicions.record_alive(name, alive_s=now_s, now_s=now_s)
        self._signs_of_life[name] = now_s
        _log.info('crash_refuted', upstream=name)

    def report(self, *, now_s: float) -> crash_reports.CrashReport:
        """Return what other hosts should know."""
        self._signs_of_life = {
            name: seen_s
            for name, seen_s in self._signs_of_life.items()
            if now_s - seen_s <= SIGN_REPORT_S
        }
        crashes = self._suspicions.latest_crashes(
            now_s=now_s, count=MAX_REPORTED_CRASHES
        )
        left_s = self._suspicions.quarantines_left_s(now_s=now_s)
        return crash_reports.CrashReport(
            crashes=tuple(
                crash_reports.ReportedCrash(
                    fingerprint=crash.fingerprint,
                    upstream=crash.upstream,
                    sent_age_s=now_s - crash.sent_s,
                    crashed_age_s=now_s - crash.crashed_s,
                )
                for crash in crashes
            ),
            responses=tuple(
                crash_reports.ReportedResponse(
                    fingerprint=fingerprint,
                    age_s=now_s - self._responses[fingerprint],
                )
                for fingerprint in self._shared_suspects
                if fingerprint in self._responses
            ),
            signs_of_life=tuple(
                crash_reports.ReportedSign(upstream=name, age_s=now_s - seen_s)
                for name, seen_s in self._signs_of_life.items()
            )[-MAX_REPORTED_SIGNS:],
            quarantines=tuple(
                crash_reports.Quarantine(
                    fingerprint=fingerprint, left_s=seconds
                )
                for fingerprint, seconds in left_s.items()
            )[-MAX_REPORTED_QUARANTINES:],
        )

    def apply_grant(
        self, grant: crash_reports.CrashGrant, *, now_s: float
    ) -> bool:
        """Apply what the entry hosts know together.

        Returns whether this host should report at once, since it has had a
        response to a new suspect.
        """
        suspects = frozenset(grant.suspects)
        has_news = any(
            fingerprint in self._responses
            for fingerprint in suspects - self._shared_suspects
        )
        self._shared_suspects = suspects
        current = self._suspicions.quarantines_left_s(now_s=now_s)
        for item in grant.quarantines:
            self._suspicions.quarantine(
                item.fingerprint,
                now_s=now_s,
                quarantine_s=item.left_s,
                release_delay_s=self._release_delay_s(),
            )
            if item.fingerprint not in current:
                self._log_quarantine(item.fingerprint, 'grant', item.left_s)
        return has_news

    def _release_delay_s(self) -> float:
        return self._rng.uniform(0.0, crash_reports.QUARANTINE_S)

    def _count(self, call: calls.Call, now_s: float) -> int:
        return self._suspicions.crash_count(call.fingerprint, now_s=now_s)

    def _log_quarantine(
        self, fingerprint: bytes, source: str, quarantine_s: float
    ) -> None:
        self.counts['quarantines_started'] += 1
        _log.warning(
            'quarantine_started',
            fingerprint=fingerprint.hex(),
            source=source,
            quarantine_s=round(quarantine_s, 1),
        )
