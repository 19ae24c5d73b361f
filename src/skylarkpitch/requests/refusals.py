"""Model every refusal that a caller can get.

A refusal is a JSON body plus two headers. ``Skylark-Outcome`` is
``not-run`` when no byte of the request can have reached an upstream, and
``unknown`` when the request may have run. ``Skylark-Reason`` repeats the
reason word of the body.
"""

import dataclasses
import enum

import msgspec

__all__ = [
    'OUTCOME_HEADER',
    'REASON_HEADER',
    'REFUSALS',
    'Outcome',
    'Refusal',
    'refusal',
]

OUTCOME_HEADER = 'Skylark-Outcome'
REASON_HEADER = 'Skylark-Reason'


class Outcome(enum.StrEnum):
    """Whether the refused request may have run."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """One refusal as the caller sees it; ``retry_after_s`` is a hint."""

    status: int
    reason: str
    outcome: Outcome
    message: str
    remedy: str
    retry_after_s: float | None = None

    def body(self) -> bytes:
        """Return the JSON body."""
        return msgspec.json.encode(self)

    def headers(self) -> dict[str, str]:
        """Return the headers that go with the body."""
        headers = {
            OUTCOME_HEADER: self.outcome.value,
            REASON_HEADER: self.reason,
            'Content-Type': 'application/json',
            'Cache-Control': 'no-store',
        }
        if self.retry_after_s is not None:
            headers['Retry-After'] = str(max(1, round(self.retry_after_s)))
        return headers


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

_TABLE = (
    (400, 'request_malformed', _NOT_RUN, 'correct the request'),
    (401, 'key_missing', _NOT_RUN, 'send the key in Skylark-Key'),
    (401, 'key_malformed', _NOT_RUN, 'send the key as it was issued'),
    (401, 'key_unknown', _NOT_RUN, 'ask the operators for a new key'),
    (404, 'route_unknown', _NOT_RUN, 'check service, path and method'),
    (409, 'id_reused', _NOT_RUN, 'use a new Idempotency-Key'),
    (409, 'outcome_unknown', _UNKNOWN, 'check the outcome by other means'),
    (410, 'id_expired', _NOT_RUN, 'use a new Idempotency-Key'),
    (413, 'body_too_large', _NOT_RUN, 'send a smaller body'),
    (422, 'crash_suspect', _NOT_RUN, 'do not send this request again'),
    (429, 'rate_exceeded', _NOT_RUN, 'send again after Retry-After'),
    (431, 'headers_too_large', _NOT_RUN, 'send smaller headers'),
    (502, 'upstream_failed', _UNKNOWN, 'send again with the same id'),
    (502, 'upstream_malformed', _UNKNOWN, 'send again with the same id'),
    (503, 'no_room', _NOT_RUN, 'send again after Retry-After'),
    (503, 'stopping', _NOT_RUN, 'look up another entry host'),
    (503, 'state_stale', _NOT_RUN, 'look up another entry host'),
    (503, 'key_lease_expired', _NOT_RUN, 'look up another entry host'),
    (503, 'ledger_unreachable', _NOT_RUN, 'send again with the same id'),
    (503, 'host_busy', _NOT_RUN, 'look up another entry host'),
    (504, 'deadline_exceeded', _NOT_RUN, 'allow more time'),
    (504, 'upstream_timeout', _UNKNOWN, 'send again with the same id'),
)

REFUSALS = {
    reason: (status, outcome, remedy)
    for status, reason, outcome, remedy in _TABLE
}


def refusal(
    reason: str,
    message: str,
    *,
    retry_after_s: float | None = None,
    outcome: Outcome | None = None,
) -> Refusal:
    """Return the refusal for a reason of ``REFUSALS``.

    ``outcome`` may only weaken the table's entry to ``UNKNOWN``. Raises
    ``KeyError`` for an unknown reason.
    """
    status, usual, remedy = REFUSALS[reason]
    if outcome is Outcome.UNKNOWN:
        usual = outcome
    return Refusal(
        status=status,
        reason=reason,
        outcome=usual,
        message=message,
        remedy=remedy,
        retry_after_s=retry_after_s,
    )
