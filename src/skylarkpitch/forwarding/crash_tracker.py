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
from skylarkpitch.forwarding import upstream_notices

__all__ = ['CRASH_REASONS', 'CrashTracker']

# Failures that a crash can look like, by what the connection showed.
CRASH_REASONS = frozenset(
    (refusals.Reason.UPSTREAM_BROKE_OFF, refusals.Reason.MALFORMED_RESPONSE)
)
# Bounds of a report, which is sent at every interval.
MAX_REPORTED_CRASHES = 16
MAX_REPORTED_QUARANTINES = 16
MIN_ERROR_STATUS = 400
# Requests whose last successful response is remembered.
MAX_REMEMBERED_RESPONSES = 2000

_log = structlog.get_logger(__name__)


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
        is_listening: bool,
        now_s: float,
    ) -> None:
        """Record that the last upstream of a call sent no usable response.

        ``is_listening`` is whether it accepted a connection afterwards: then
        it has not crashed. ``now_s`` is when the exchange failed.
        """
        verdict = 'other_reason'
        if reason in CRASH_REASONS and is_listening:
            verdict = 'alive'
        elif reason in CRASH_REASONS:
            is_counted = self._record_crash(call, now_s)
            verdict = 'counted' if is_counted else 'not_counted'
        _log.info(
            'crash_suspected',
            request_id=call.request_id,
            fingerprint=call.fingerprint.hex(),
            upstream=upstream_notices.incarnation_of(
                call.candidate.load.upstream
            ),
            reason=reason.value,
            verdict=verdict,
            crashes=self._count(call, now_s),
        )

    def _record_crash(self, call: calls.Call, now_s: float) -> bool:
        """Return whether the crash is counted."""
        before = self._count(call, now_s)
        quarantined = self._suspicions.record_crash(
            call.fingerprint,
            upstream_notices.incarnation_of(call.candidate.load.upstream),
            now_s=now_s,
            quarantine_s=crash_reports.QUARANTINE_S,
            sent_s=call.sent_s,
            release_delay_s=self._release_delay_s(),
        )
        if quarantined:
            self._log_quarantine(
                call.fingerprint, 'crashes', crash_reports.QUARANTINE_S
            )
        is_counted = quarantined or self._count(call, now_s) > before
        self.counts['crashes_counted'] += is_counted
        return is_counted

    def record_response(
        self, call: calls.Call, *, status: int, now_s: float
    ) -> None:
        """Remove what is counted against a request that has succeeded.

        An error does not show that the upstream has run it to its end.
        """
        if status >= MIN_ERROR_STATUS:
            return
        self._remember_response(call.fingerprint, now_s)
        crashes = self._count(call, now_s)
        if self._suspicions.record_response(call.fingerprint):
            _log.info(
                'suspicion_removed',
                request_id=call.request_id,
                fingerprint=call.fingerprint.hex(),
                upstream=upstream_notices.incarnation_of(
                    call.candidate.load.upstream
                ),
                status=status,
                crashes=crashes,
            )

    def _remember_response(self, fingerprint: bytes, now_s: float) -> None:
        self._responses[fingerprint] = now_s
        self._responses.move_to_end(fingerprint)
        if len(self._responses) > MAX_REMEMBERED_RESPONSES:
            self._responses.popitem(last=False)

    def report(self, *, now_s: float) -> crash_reports.CrashReport:
        """Return what other hosts should know."""
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
