"""Define the refusals of requests that get no response of an upstream.

The statuses 408, 421, 429 and 503 guarantee that the request has not run and
never will. After 502 and 504 it may have run.
"""

import dataclasses
import enum

import msgspec

__all__ = ['NOT_RUN_STATUSES', 'Reason', 'Refusal', 'refuse']

# What guarantees that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Reason(enum.StrEnum):
    """Why a request gets no response of an upstream."""

    NO_CONFIGURATION = 'no_configuration'
    ROUTE_UNKNOWN = 'route_unknown'
    KEY_UNKNOWN = 'key_unknown'
    MALFORMED = 'request_malformed'
    BODY_TOO_LARGE = 'body_too_large'
    BODY_LATE = 'body_late'
    NO_MEMORY = 'no_memory'
    STOPPING = 'stopping'
    OVER_RATE = 'over_rate'
    NO_UPSTREAM = 'no_upstream'
    NO_CAPACITY = 'no_room'
    QUARANTINED = 'quarantined'
    NOT_REACHED = 'not_reached'
    REJECTED = 'rejected'
    UPSTREAM_BROKE_OFF = 'upstream_broke_off'
    MALFORMED_RESPONSE = 'answer_malformed'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    TOO_LATE = 'too_late'


_STATUS = {
    Reason.NO_CONFIGURATION: 503,
    Reason.ROUTE_UNKNOWN: 404,
    Reason.KEY_UNKNOWN: 401,
    Reason.MALFORMED: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BODY_LATE: 408,
    Reason.NO_MEMORY: 503,
    Reason.STOPPING: 503,
    Reason.OVER_RATE: 429,
    Reason.NO_UPSTREAM: 503,
    Reason.NO_CAPACITY: 503,
    Reason.QUARANTINED: 503,
    Reason.NOT_REACHED: 503,
    Reason.REJECTED: 503,
    Reason.UPSTREAM_BROKE_OFF: 502,
    Reason.MALFORMED_RESPONSE: 502,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.TOO_LATE: 504,
}

_REMEDY = {
    Reason.NO_CONFIGURATION: 'come back; this host has just started',
    Reason.ROUTE_UNKNOWN: 'check the host name and the path',
    Reason.KEY_UNKNOWN: 'ask the operators for a new key',
    Reason.MALFORMED: 'correct the request',
    Reason.BODY_TOO_LARGE: 'send a smaller body',
    Reason.BODY_LATE: 'send the whole body sooner',
    Reason.NO_MEMORY: 'come back at the time given',
    Reason.STOPPING: 'send it to another entry host',
    Reason.OVER_RATE: 'come back at the time given',
    Reason.NO_UPSTREAM: 'come back at the time given',
    Reason.NO_CAPACITY: 'come back at the time given',
    Reason.QUARANTINED: 'do not send this request again',
    Reason.NOT_REACHED: 'come back at the time given',
    Reason.REJECTED: 'come back at the time given',
    Reason.UPSTREAM_BROKE_OFF: 'find out by other means whether it has run',
    Reason.MALFORMED_RESPONSE: 'find out by other means whether it has run',
    Reason.OUTCOME_UNKNOWN: 'find out by other means whether it has run',
    Reason.TOO_LATE: 'find out by other means whether it has run',
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Refusal of one request.

    ``retry_after_s`` is the delay after which the caller should retry; None
    means that the refusal names no delay.
    """

    status: int
    reason: Reason
    detail: str = ''
    retry_after_s: float | None = None

    def body(self) -> bytes:
        """Return the body of the response, in JSON."""
        return msgspec.json.encode(
            {
                'reason': self.reason.value,
                'detail': self.detail,
                'remedy': _REMEDY[self.reason],
            }
        )


def refuse(
    reason: Reason, detail: str = '', *, retry_after_s: float | None = None
) -> Refusal:
    """Return the refusal for a reason."""
    return Refusal(
        status=_STATUS[reason],
        reason=reason,
        detail=detail,
        retry_after_s=retry_after_s,
    )
