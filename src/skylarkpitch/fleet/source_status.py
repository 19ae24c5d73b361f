"""Record how far the control hosts are that an entry host asks.

The logs and gauges made of it show by which log index of which control host
an entry host decides, and what that host knows to be committed.
"""

import dataclasses
from typing import Any

import structlog

from skylarkpitch.messages import fleet as messages

__all__ = ['SourceStatus', 'SourceStatuses']

MS_PER_S = 1000
# Control hosts that are remembered; more than a group has.
MAX_SOURCES = 64
# An age is infinite before the first contact.
MAX_LOGGED_AGE_S = 1e6

_log = structlog.get_logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SourceStatus:
    """Log of a control host as of its last response.

    ``view_index`` is that of the entry host's view before the response.
    """

    source: str
    index: int
    applied_index: int
    leader_commit_index: int
    heard_age_s: float
    state_age_s: float
    view_index: int

    @property
    def missing_entries(self) -> int:
        """Return how many committed entries the control host lacks."""
        return max(0, self.leader_commit_index - self.applied_index)


def _is_behind(previous: SourceStatus | None, status: SourceStatus) -> bool:
    """Return whether a host still lacks what was there a response before."""
    if previous is None:
        return False
    return (
        status.applied_index < previous.leader_commit_index
        or status.index < previous.view_index
    )


class SourceStatuses:
    """Last status of each control host, and the host of each use.

    A use is ``watch`` or ``poll``.
    """

    def __init__(self) -> None:
        self._source_by_use: dict[str, str] = {}
        self._statuses: dict[str, SourceStatus] = {}
        self._behind: set[str] = set()

    def record(
        self,
        use: str,
        source: str,
        response: messages.WatchResponse,
        *,
        view_index: int,
    ) -> None:
        """Record a response; log a change of its source.

        A change is another source for the same use, or a source that falls
        behind its own log or the view, or that has caught up.
        """
        status = SourceStatus(
            source=source,
            index=response.index,
            applied_index=response.applied_index,
            leader_commit_index=response.leader_commit_index,
            heard_age_s=response.heard_age_s,
            state_age_s=response.state_age_s,
            view_index=view_index,
        )
        if self._source_by_use.get(use) != source:
            _log.info('control_source', use=use, **_fields(status))
        is_behind = _is_behind(self._statuses.get(source), status)
        if is_behind and source not in self._behind:
            _log.info('control_source_behind', use=use, **_fields(status))
        if not is_behind and source in self._behind:
            _log.info('control_source_caught_up', use=use, **_fields(status))
        self._store(use, status, is_behind)

    def _store(self, use: str, status: SourceStatus, is_behind: bool) -> None:
        if len(self._statuses) >= MAX_SOURCES:
            self._statuses.clear()
            self._behind.clear()
        self._source_by_use[use] = status.source
        self._statuses[status.source] = status
        if is_behind:
            self._behind.add(status.source)
        else:
            self._behind.discard(status.source)

    def counters(self) -> dict[str, float]:
        """Return the gauges of the control host of each use."""
        gauges: dict[str, float] = {}
        for use, source in self._source_by_use.items():
            status = self._statuses.get(source)
            if status is not None:
                gauges[f'{use}_index'] = status.index
                gauges[f'{use}_missing_entries'] = status.missing_entries
        return gauges


def _fields(status: SourceStatus) -> dict[str, Any]:
    return {
        'source': status.source,
        'index': status.index,
        'view_index': status.view_index,
        'applied_index': status.applied_index,
        'leader_commit_index': status.leader_commit_index,
        'heard_age_ms': _ms(status.heard_age_s),
        'state_age_ms': _ms(status.state_age_s),
    }


def _ms(age_s: float) -> int:
    return round(min(age_s, MAX_LOGGED_AGE_S) * MS_PER_S)
