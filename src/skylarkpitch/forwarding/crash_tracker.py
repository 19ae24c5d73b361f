"""Track which requests crash the upstreams that run them, and log why.

Every exchange without a usable response leaves a line that says whether it
counts as a crash against its request, and how many have been counted.
"""

import structlog

from skylarkpitch.forwarding import calls
from skylarkpitch.forwarding import refusals
from skylarkpitch.requests import crash_suspicion

__all__ = ['CrashTracker']

# How long a request is refused that several upstreams crashed on.
QUARANTINE_S = 60.0

_log = structlog.get_logger(__name__)


class CrashTracker:
    """Suspected requests of this entry host.

    ``counts`` has the number of crashes that were counted, of quarantines
    that started, and of requests that were refused by one.
    """

    def __init__(self) -> None:
        self._suspicions = crash_suspicion.Suspicions()
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
        upstream_id: str,
        *,
        reason: refusals.Reason,
        now_s: float,
    ) -> None:
        """Record that an upstream sent no usable response to a request."""
        counted = 'other_reason'
        before = self._count(call, now_s)
        if reason is refusals.Reason.UPSTREAM_BROKE_OFF:
            quarantined = self._suspicions.record_crash(
                call.fingerprint,
                upstream_id,
                now_s=now_s,
                quarantine_s=QUARANTINE_S,
            )
            is_counted = quarantined or self._count(call, now_s) > before
            counted = 'counted' if is_counted else 'upstream_suspected'
            self.counts['crashes_counted'] += is_counted
            if quarantined:
                self._log_quarantine(call)
        _log.info(
            'crash_suspected',
            request_id=call.request_id,
            fingerprint=call.fingerprint.hex(),
            upstream=upstream_id,
            reason=reason.value,
            verdict=counted,
            crashes=self._count(call, now_s),
        )

    def record_response(
        self, call: calls.Call, upstream_id: str, *, status: int, now_s: float
    ) -> None:
        """Remove what is counted against a request that got a response."""
        crashes = self._count(call, now_s)
        if self._suspicions.record_response(call.fingerprint):
            _log.info(
                'suspicion_removed',
                request_id=call.request_id,
                fingerprint=call.fingerprint.hex(),
                upstream=upstream_id,
                status=status,
                crashes=crashes,
            )

    def _count(self, call: calls.Call, now_s: float) -> int:
        return len(
            self._suspicions.crashed_upstreams(call.fingerprint, now_s=now_s)
        )

    def _log_quarantine(self, call: calls.Call) -> None:
        self.counts['quarantines_started'] += 1
        _log.warning(
            'quarantine_started',
            request_id=call.request_id,
            fingerprint=call.fingerprint.hex(),
            quarantine_s=QUARANTINE_S,
        )
