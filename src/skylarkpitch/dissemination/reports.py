"""Reports of the versions that each host has applied, for operators."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Any

from skylarkpitch.messages import dissemination as messages
from skylarkpitch.peers import directory as directories

__all__ = [
    'DomainInForce',
    'DomainUnconfirmed',
    'HostReport',
    'ReportTable',
    'Reporter',
]

FULL_REPORT_INTERVAL_S = 30.0
SEQUENCE_EXPIRY_S = 60.0
NOT_APPLIED = -1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HostReport:
    """Last report of a host, received ``reported_s`` ago.

    ``age_s`` was the age of its proof of the state at the time of the report,
    or -1.0 without one.
    """

    host: str
    failure_domain: str
    region: str
    applied_version: int
    age_s: float
    life_cycle: str
    status: dict[str, Any]
    reported_s: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainInForce:
    """Versions that the hosts of a failure domain have applied.

    ``applied_version`` is the lowest of those that were reported, or -1, and
    ``oldest_report_s`` the time since the oldest of the hosts' last reports.
    ``unheard`` names the hosts that never reported.
    """

    failure_domain: str
    region: str
    applied_version: int
    newest_version: int
    oldest_age_s: float
    oldest_report_s: float
    hosts: tuple[HostReport, ...]
    unheard: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainUnconfirmed:
    """Hosts of a failure domain that have not confirmed a version.

    ``lease_left_s`` is the time after which they refuse the withdrawn key in
    any case; 0.0 when it has passed.
    """

    failure_domain: str
    region: str
    hosts: tuple[str, ...]
    lease_left_s: float


class ReportTable:
    """Newest report of each host."""

    def __init__(self, *, directory: directories.Directory) -> None:
        self._directory = directory
        self._rows: dict[str, messages.ReportRow] = {}
        self._reported_at_s: dict[str, float] = {}
        self._status: dict[str, dict] = {}

    def record(self, row: messages.ReportRow, *, now_s: float) -> bool:
        """Store a report; return False for an unknown host or an old report.

        A lower sequence number is accepted again ``SEQUENCE_EXPIRY_S`` after
        the last report.
        """
        if self._directory.get(row.host) is None:
            return False
        before = self._rows.get(row.host)
        if before is not None and row.sequence <= before.sequence:
            since_report_s = now_s - self._reported_at_s[row.host]
            if since_report_s < SEQUENCE_EXPIRY_S:
                return False
        self._rows[row.host] = row
        self._reported_at_s[row.host] = now_s
        if row.status is not None:
            self._status[row.host] = row.status
        return True

    def in_force(self, *, now_s: float) -> list[DomainInForce]:
        """Return one entry per failure domain, by region and name."""
        return [
            self._domain(region, name, hosts, now_s)
            for (region, name), hosts in sorted(self._domains().items())
        ]

    def unconfirmed(
        self, version: int, *, lease_left_s: float
    ) -> list[DomainUnconfirmed]:
        """Return the failure domains with hosts below ``version``."""
        unconfirmed = []
        for (region, name), hosts in sorted(self._domains().items()):
            behind = tuple(
                host.name for host in hosts if self._applied(host) < version
            )
            if behind:
                unconfirmed.append(
                    DomainUnconfirmed(
                        failure_domain=name,
                        region=region,
                        hosts=behind,
                        lease_left_s=lease_left_s,
                    )
                )
        return unconfirmed

    def _applied(self, host: directories.Host) -> int:
        row = self._rows.get(host.name)
        return NOT_APPLIED if row is None else row.applied_version

    def _domains(self) -> dict[tuple[str, str], list[directories.Host]]:
        domains: dict[tuple[str, str], list[directories.Host]] = {}
        for host in self._directory.with_role('entry'):
            domain_key = (host.region, host.failure_domain)
            domains.setdefault(domain_key, []).append(host)
        return domains

    def _domain(
        self,
        region: str,
        name: str,
        hosts: Iterable[directories.Host],
        now_s: float,
    ) -> DomainInForce:
        host_reports = [
            self._report(host, now_s)
            for host in hosts
            if host.name in self._rows
        ]
        versions = [report.applied_version for report in host_reports]
        return DomainInForce(
            failure_domain=name,
            region=region,
            applied_version=min(versions, default=NOT_APPLIED),
            newest_version=max(versions, default=NOT_APPLIED),
            oldest_age_s=max((r.age_s for r in host_reports), default=-1.0),
            oldest_report_s=max(
                (r.reported_s for r in host_reports), default=-1.0
            ),
            hosts=tuple(host_reports),
            unheard=tuple(h.name for h in hosts if h.name not in self._rows),
        )

    def _report(self, host: directories.Host, now_s: float) -> HostReport:
        row = self._rows[host.name]
        return HostReport(
            host=host.name,
            failure_domain=host.failure_domain,
            region=host.region,
            applied_version=row.applied_version,
            age_s=row.age_s,
            life_cycle=row.life_cycle,
            status=self._status.get(host.name, {}),
            reported_s=now_s - self._reported_at_s[host.name],
        )


class Reporter:
    """Create a host's own reports and forward those that it receives.

    It receives the reports of the hosts that use it as their source.
    """

    def __init__(self, *, host: str, first_sequence: int) -> None:
        self._host = host
        self._sequence = first_sequence
        self._pending: dict[str, messages.ReportRow] = {}
        self._last_sent: tuple[int, str] | None = None
        self._full_at_s = float('-inf')

    def add(self, rows: Iterable[messages.ReportRow]) -> None:
        """Store received reports until the next flush."""
        for row in rows:
            before = self._pending.get(row.host)
            if before is None or row.sequence > before.sequence:
                self._pending[row.host] = _with_status(row, before)

    def is_due(self, applied_version: int) -> bool:
        """Return whether there are rows to send or a new version to report."""
        sent_version = None if self._last_sent is None else self._last_sent[0]
        return bool(self._pending) or sent_version != applied_version

    def flush(
        self,
        *,
        applied_version: int,
        age_s: float,
        report: Callable[[], dict],
        now_s: float,
    ) -> tuple[messages.ReportRow, ...]:
        """Return the rows to send now, with the host's own report when due.

        ``report()`` returns a dictionary with ``life_cycle`` and free-form
        status. The host's own report is due when the version or the life
        cycle changed, and with its status every ``FULL_REPORT_INTERVAL_S``.
        """
        status = dict(report())
        life_cycle = str(status.pop('life_cycle', ''))
        current = (applied_version, life_cycle)
        is_full = now_s >= self._full_at_s
        if is_full or current != self._last_sent:
            self._last_sent = current
            self._sequence += 1
            if is_full:
                self._full_at_s = now_s + FULL_REPORT_INTERVAL_S
            own_row = messages.ReportRow(
                host=self._host,
                sequence=self._sequence,
                applied_version=applied_version,
                age_s=round(age_s, 2),
                life_cycle=life_cycle,
                status=status if is_full else None,
            )
            self.add((own_row,))
        rows = tuple(self._pending.values())
        self._pending.clear()
        return rows

    def requeue(self, rows: Iterable[messages.ReportRow]) -> None:
        """Store rows that could not be sent for the next flush."""
        newer = self._pending
        self._pending = {}
        self.add(rows)
        self.add(newer.values())


def _with_status(
    row: messages.ReportRow, before: messages.ReportRow | None
) -> messages.ReportRow:
    if before is None or row.status is not None:
        return row
    return messages.ReportRow(
        host=row.host,
        sequence=row.sequence,
        applied_version=row.applied_version,
        age_s=row.age_s,
        life_cycle=row.life_cycle,
        status=before.status,
    )
