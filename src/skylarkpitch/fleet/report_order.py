"""Tell late reports of entry hosts from those that are in force.

A report may wait at a control host that stands still, and arrive when its
entry host has left or has started again. Clocks of hosts differ and step, so
that starts are ordered by the sequence in which the leader learns of them.
"""

import collections
import dataclasses

from skylarkpitch.fleet import control_requests

__all__ = ['ReportOrder']

# Ended starts that are remembered of each entry host, the latest ones, and
# entry hosts of which any are.
MAX_ENDED_STARTS = 8
MAX_HOSTS = 10_000


@dataclasses.dataclass(slots=True)
class _Starts:
    """Starts of one entry host; ``current`` is empty once it has left."""

    current: str = ''
    ended: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_ENDED_STARTS)
    )


class ReportOrder:
    """Which starts of each entry host have ended, as this process knows.

    Reports without an ``incarnation`` are never late.
    """

    def __init__(self) -> None:
        self._starts: collections.OrderedDict[str, _Starts] = (
            collections.OrderedDict()
        )

    def is_late(self, report: control_requests.EntryReport) -> bool:
        """Return whether a report is of a start that has ended.

        A host that leaves may say so again, as long as it has not started
        again.
        """
        starts = self._starts.get(report.entry_host.name)
        if starts is None or report.incarnation not in starts.ended:
            return False
        return bool(starts.current) or not report.leaving

    def record(self, report: control_requests.EntryReport) -> None:
        """Record a report that is not late and has been executed."""
        if not report.incarnation:
            return
        starts = self._starts_of(report.entry_host.name)
        if starts.current not in ('', report.incarnation):
            starts.ended.append(starts.current)
        starts.current = report.incarnation
        if report.leaving:
            starts.current = ''
            if report.incarnation not in starts.ended:
                starts.ended.append(report.incarnation)

    def _starts_of(self, host: str) -> _Starts:
        starts = self._starts.setdefault(host, _Starts())
        self._starts.move_to_end(host)
        if len(self._starts) > MAX_HOSTS:
            self._starts.popitem(last=False)
        return starts
