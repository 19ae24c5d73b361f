"""Refusals of requests, as callers get them.

A refusal is a response with a JSON body and two headers.
``Skylark-Outcome`` is ``not-run`` if no byte of the request can have reached
an upstream, and ``unknown`` if the request may have run. ``Skylark-Reason``
repeats the reason of the body.
"""

import dataclasses
import enum

import msgspec

from skylarkpitch import sentinels

__all__ = [
    'OUTCOME_HEADER',
    'REASON_HEADER',
    'REFUSALS',
    'Outcome',
    'Refusal',
    'from_absent',
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
    """Refusal of one request.

    The caller may retry after ``retry_after_s``; None if that is not known.
    """

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
        """Return the headers of the response."""
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
    (408, 'body_timeout', _NOT_RUN, 'send the whole body sooner'),
    (400, 'caller_gone', _NOT_RUN, 'send the whole request again'),
    (404, 'route_unknown', _NOT_RUN, 'check service, path and method'),
    (409, 'id_reused', _NOT_RUN, 'use a new Idempotency-Key'),
    (409, 'answer_not_kept', _UNKNOWN, 'read the result by other means'),
    (409, 'outcome_unknown', _UNKNOWN, 'check the outcome by other means'),
    (410, 'id_expired', _NOT_RUN, 'look up a new id for a new operation'),
    (413, 'body_too_large', _NOT_RUN, 'send a smaller body'),
    (422, 'crash_suspect', _NOT_RUN, 'do not send this request again'),
    (429, 'rate_exceeded', _NOT_RUN, 'send again after Retry-After'),
    (431, 'headers_too_large', _NOT_RUN, 'send smaller headers'),
    (500, 'host_failed', _UNKNOWN, 'send again with the same id'),
    (502, 'upstream_failed', _UNKNOWN, 'send again with the same id'),
    (502, 'upstream_malformed', _UNKNOWN, 'send again with the same id'),
    (503, 'no_room', _NOT_RUN, 'send again after Retry-After'),
    (503, 'stopping', _NOT_RUN, 'look up another entry host'),
    (503, 'state_stale', _NOT_RUN, 'look up another entry host'),
    (503, 'key_lease_expired', _NOT_RUN, 'look up another entry host'),
    (503, 'ledger_unreachable', _NOT_RUN, 'send again with the same id'),
    (503, 'host_busy', _NOT_RUN, 'look up another entry host'),
    (504, 'deadline_exceeded', _NOT_RUN, 'allow more time'),
    (504, 'still_running', _UNKNOWN, 'send again with the same id'),
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

    ``outcome`` can only change the outcome of the table to ``UNKNOWN``.
    Raises ``KeyError`` for an unknown reason.
    """
    status, final_outcome, remedy = REFUSALS[reason]
    if outcome is Outcome.UNKNOWN:
        final_outcome = outcome
    return Refusal(
        status=status,
        reason=reason,
        outcome=final_outcome,
        message=message,
        remedy=remedy,
        retry_after_s=retry_after_s,
    )


_MESSAGES = {
    'answer_not_kept': 'the operation ran; its answer was too large to keep',
    'body_timeout': 'the body did not arrive in time',
    'body_too_large': 'the body is over the limit of this host',
    'caller_gone': 'the body ended before its announced length',
    'crash_suspect': 'upstreams died while running this request',
    'deadline_exceeded': 'the deadline passed before the request could run',
    'host_failed': 'this host failed while it handled the request',
    'host_busy': 'this host runs as many calls as it may',
    'id_expired': (
        'the id is older than the record of operations, which cannot tell '
        'whether an earlier request with it ran'
    ),
    'id_reused': 'another request was sent with this id before',
    'key_lease_expired': 'this host cannot tell which keys are withdrawn',
    'key_malformed': 'the key is not of the form that is issued',
    'key_missing': 'this route needs a key',
    'key_unknown': 'the key was never issued or is withdrawn',
    'ledger_unreachable': 'too few hosts that record operations answered',
    'no_room': 'no upstream has room for the request',
    'outcome_unknown': 'an earlier request with this id may have run',
    'rate_exceeded': 'the rate and burst of the organisation are used up',
    'route_unknown': 'no route covers this path and method',
    'state_stale': 'this host has no confirmed configuration',
    'still_running': 'an earlier request with this id is still running',
    'stopping': 'this host is stopping',
}


def from_absent(absent: sentinels.Absent) -> Refusal:
    """Return the refusal for the ``Absent`` of another module.

    The detail of ``rate_exceeded`` and ``no_room`` is the time in seconds
    after which to retry; any other detail is appended to the message. An
    unknown reason becomes ``host_busy``.
    """
    reason = absent.reason if absent.reason in REFUSALS else 'host_busy'
    message = _MESSAGES.get(reason, reason)
    retry_after_s = None
    if reason in ('rate_exceeded', 'no_room'):
        retry_after_s = _seconds(absent.detail)
    elif absent.detail:
        message = f'{message}: {absent.detail}'
    return refusal(reason, message, retry_after_s=retry_after_s)


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        return 1.0
    return seconds if 0 <= seconds < 86_400 else 1.0
