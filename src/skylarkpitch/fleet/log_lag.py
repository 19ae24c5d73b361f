"""Log while a control host lacks entries that it knows to be committed."""

from collections.abc import Callable
import time
from typing import Any

import mode
import structlog

from skylarkpitch.consensus import ports
from skylarkpitch.consensus import service as consensus
from skylarkpitch.fleet import currency

__all__ = ['LogLag']

CHECK_INTERVAL_S = 0.25
LOG_INTERVAL_S = 1.0

_log = structlog.get_logger(__name__)


class LogLag(mode.Service):
    """Log the lag of one control host: regularly, and when it has ended.

    A host is behind if it still lacks what it knew to be committed at the
    check before, or if it hears the leader and its state is old.
    """

    def __init__(
        self,
        *,
        log: consensus.ReplicatedLog,
        clock: Callable[[], float] = time.monotonic,
        **options: Any,
    ) -> None:
        self._replicated_log = log
        self._clock = clock
        self._expected_index = 0
        self._was_behind = False
        self._logged_s = float('-inf')
        super().__init__(**options)

    @mode.Service.task
    async def _check_regularly(self) -> None:
        while not self.should_stop:
            await self.sleep(CHECK_INTERVAL_S)
            self._check(self._replicated_log.status(), now_s=self._clock())

    def _check(self, status: ports.LogStatus, *, now_s: float) -> None:
        log = self._replicated_log
        is_behind = (
            status.applied_index < self._expected_index
            or currency.is_behind(
                contact_age_s=log.quorum_contact_age_s(now_s=now_s),
                state_age_s=log.state_age_s(now_s=now_s),
            )
        )
        self._expected_index = status.leader_commit_index
        if is_behind and now_s - self._logged_s >= LOG_INTERVAL_S:
            self._logged_s = now_s
            _log.info('log_behind', **_fields(status))
        if self._was_behind and not is_behind:
            _log.info('log_caught_up', **_fields(status))
        self._was_behind = is_behind


def _fields(status: ports.LogStatus) -> dict[str, Any]:
    return {
        'role': status.role,
        'term': status.term,
        'leader': status.leader or '',
        'applied_index': status.applied_index,
        'commit_index': status.commit_index,
        'leader_commit_index': status.leader_commit_index,
    }
