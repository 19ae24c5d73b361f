"""Share what entry hosts know of requests that crash upstreams.

A harmful request comes to any entry host, so that each of them sees few of
the crashes. Hosts therefore report theirs to the leader, which counts them
together and grants the quarantines that follow. A report repeats what is
still valid: a new leader learns it from the next report of each host. Times
are ages, since the clocks of two hosts have nothing in common.
"""

import msgspec
import structlog

from skylarkpitch.fleet import crash_suspicion

__all__ = [
    'CrashGrant',
    'CrashReport',
    'Quarantine',
    'QUARANTINE_S',
    'ReportedCrash',
    'ReportedResponse',
    'SharedSuspicions',
]

# How long the first quarantine of a request lasts.
QUARANTINE_S = 600.0
# Bounds of a grant, which every host receives with each of its reports.
MAX_GRANTED_QUARANTINES = 64
MAX_GRANTED_SUSPECTS = 32
# A suspect is named to all hosts for so long after its last crash.
SUSPECT_GRANT_S = 10.0

_log = structlog.get_logger(__name__)


class ReportedCrash(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Crash of an upstream incarnation that ran a request."""

    fingerprint: bytes
    upstream: str
    sent_age_s: float
    crashed_age_s: float


class ReportedResponse(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True
):
    """Last successful response to a suspected request."""

    fingerprint: bytes
    age_s: float


class Quarantine(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """How much longer a request is refused."""

    fingerprint: bytes
    left_s: float


class CrashReport(msgspec.Struct, frozen=True, kw_only=True):
    """What one entry host knows of suspected requests."""

    crashes: tuple[ReportedCrash, ...] = ()
    responses: tuple[ReportedResponse, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()


class CrashGrant(msgspec.Struct, frozen=True, kw_only=True):
    """What the entry hosts of a fleet know together.

    ``suspects`` are requests with crashes. A host that has had a response to
    one reports it, since other hosts may see nothing but further crashes.
    """

    quarantines: tuple[Quarantine, ...] = ()
    suspects: tuple[bytes, ...] = ()


class SharedSuspicions:
    """Suspicions of all entry hosts; used by the leader only."""

    def __init__(self) -> None:
        self._suspicions = crash_suspicion.Suspicions()

    def apply_report(
        self, host: str, report: CrashReport, *, now_s: float
    ) -> None:
        """Add what an entry host reports; repetitions have no effect."""
        for response in report.responses:
            self._suspicions.record_response_elsewhere(
                response.fingerprint,
                responded_s=now_s - response.age_s,
                now_s=now_s,
            )
        for quarantine in report.quarantines:
            self._suspicions.quarantine(
                quarantine.fingerprint,
                now_s=now_s,
                quarantine_s=quarantine.left_s,
            )
        for crash in report.crashes:
            self._record_crash(host, crash, now_s)

    def _record_crash(
        self, host: str, crash: ReportedCrash, now_s: float
    ) -> None:
        quarantined = self._suspicions.record_crash(
            crash.fingerprint,
            crash.upstream,
            now_s=now_s,
            quarantine_s=QUARANTINE_S,
            sent_s=now_s - crash.sent_age_s,
            crashed_s=now_s - crash.crashed_age_s,
        )
        if quarantined:
            _log.warning(
                'quarantine_granted',
                fingerprint=crash.fingerprint.hex(),
                last_upstream=crash.upstream,
                last_reported_by=host,
                quarantine_s=QUARANTINE_S,
            )

    def grant(self, *, now_s: float) -> CrashGrant:
        """Return the quarantines and suspects of the fleet."""
        left_s = self._suspicions.quarantines_left_s(now_s=now_s)
        suspects = self._suspicions.suspects_since(now_s - SUSPECT_GRANT_S)
        return CrashGrant(
            quarantines=tuple(
                Quarantine(fingerprint=fingerprint, left_s=seconds)
                for fingerprint, seconds in left_s.items()
            )[-MAX_GRANTED_QUARANTINES:],
            suspects=tuple(suspects[:MAX_GRANTED_SUSPECTS]),
        )
