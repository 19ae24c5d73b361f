"""Detection of crashing requests across all entry hosts."""

import collections
from collections.abc import Callable
import contextlib
import hashlib
import time

import structlog

from skylarkpitch.fleet import crash_suspicion
from skylarkpitch.messages import requests as messages
from skylarkpitch.peers import network

__all__ = ['CrashWatch', 'fingerprint']

_log = structlog.get_logger(__name__)


def fingerprint(
    organisation: str | None, method: str, target: str, body: bytes
) -> bytes:
    """Return a hash of organisation, method, target and body of a request.

    ``organisation`` is None on an open route.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (organisation or '', method, target):
        digest.update(part.encode() + b'\0')
    digest.update(body)
    return digest.digest()


class CrashWatch:
    """Crash suspicions of this host, shared with the other entry hosts.

    ``quarantine_s`` returns for how long a request is refused that crashed
    too many upstreams. Without ``peers`` nothing is shared. In all methods,
    ``request`` is the fingerprint of a request.
    """

    def __init__(
        self,
        *,
        quarantine_s: Callable[[], float],
        peers: network.Peers | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._quarantine_s = quarantine_s
        self._peers = peers
        self._clock = clock
        self._suspicions = crash_suspicion.Suspicions()
        self._upstreams_with_suspect: collections.Counter[str] = (
            collections.Counter()
        )
        self._counts = {'deaths': 0, 'quarantined': 0, 'refused': 0}
        if peers is not None:
            peers.handle(messages.CrashReport, self._on_report)

    def counters(self) -> dict[str, float]:
        """Return counts of suspects, crashes, quarantines and refusals."""
        return {'suspects': len(self._suspicions), **self._counts}

    def quarantine_left_s(self, request: bytes) -> float:
        """Return how much longer a request is refused; 0 if it is not."""
        left_s = self._suspicions.quarantine_left_s(
            request, now_s=self._clock()
        )
        self._counts['refused'] += left_s > 0
        return left_s

    def excluded_upstreams(self, request: bytes) -> frozenset[str]:
        """Return the upstreams on which a request must not run.

        For a suspect these are the upstreams that crashed while running it
        and those that are running a suspect of this host.
        """
        crashed = self._suspicions.crashed_upstreams(
            request, now_s=self._clock()
        )
        if not crashed:
            return frozenset()
        return crashed | frozenset(+self._upstreams_with_suspect)

    @contextlib.contextmanager
    def isolate_suspect(self, request: bytes, upstream: str):
        """Exclude other suspects from an upstream while a suspect runs on it.

        Does nothing for a request that is no suspect.
        """
        if not self._suspicions.crashed_upstreams(
            request, now_s=self._clock()
        ):
            yield
            return
        self._upstreams_with_suspect[upstream] += 1
        try:
            yield
        finally:
            self._upstreams_with_suspect[upstream] -= 1

    def record_crash(self, request: bytes, upstream: str) -> None:
        """Record a crash and report it to the other entry hosts."""
        quarantined = self._count_crash(request, upstream)
        self._broadcast(
            messages.CrashReport(
                fingerprint=request,
                upstreams=(upstream,),
                quarantine_s=self._quarantine_s() if quarantined else 0.0,
            )
        )

    def record_response(self, request: bytes) -> None:
        """Clear a request that got a response, on all entry hosts."""
        if self._suspicions.record_response(request):
            self._broadcast(messages.CrashReport(fingerprint=request))

    def _count_crash(self, request: bytes, upstream: str) -> bool:
        self._counts['deaths'] += 1
        quarantined = self._suspicions.record_crash(
            request,
            upstream,
            now_s=self._clock(),
            quarantine_s=self._quarantine_s(),
        )
        if quarantined:
            self._counts['quarantined'] += 1
            _log.warning(
                'request_quarantined',
                fingerprint=request.hex(),
                upstream=upstream,
                quarantine_s=self._quarantine_s(),
            )
        return quarantined

    def _broadcast(self, report: messages.CrashReport) -> None:
        if self._peers is None:
            return
        directory = self._peers.directory
        for host in directory.with_role('entry'):
            if host.name != directory.local_host.name:
                self._peers.send(host.name, report)

    async def _on_report(
        self, sender: str, report: messages.CrashReport
    ) -> None:
        for upstream in report.upstreams:
            self._count_crash(report.fingerprint, upstream)
        if not report.upstreams:
            self._suspicions.record_response(report.fingerprint)
        if report.quarantine_s > 0:
            self._suspicions.quarantine(
                report.fingerprint,
                now_s=self._clock(),
                quarantine_s=min(
                    report.quarantine_s, crash_suspicion.MAX_QUARANTINE_S
                ),
            )
