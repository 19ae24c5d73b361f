"""Headers with the outcome of an exchange that ran through a relay.

A relay adds ``Skylark-Relay-Outcome`` to every response to the host that
redeems a ticket. A response without this header is not from a relay, so its
outcome is unknown.
"""

import dataclasses

from skylarkpitch import ports
from skylarkpitch.requests import exchange_results as results

__all__ = ['ANSWERED', 'failure_headers', 'outcome_headers', 'translate']

OUTCOME_HEADER = 'Skylark-Relay-Outcome'
REASON_HEADER = 'Skylark-Relay-Reason'
EXCHANGE_HEADER = 'Skylark-Relay-Exchange'
CRASHED_HEADER = 'Skylark-Relay-Died'
ANSWERED = 'answered'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'


def outcome_headers(outcome: str) -> dict[str, str]:
    """Return the headers for an outcome."""
    return {OUTCOME_HEADER: outcome}


def failure_headers(failure: results.Failure) -> dict[str, str]:
    """Return the headers for a failure."""
    return {
        OUTCOME_HEADER: UNKNOWN if failure.sent else NOT_RUN,
        REASON_HEADER: failure.reason,
        EXCHANGE_HEADER: failure.exchange.value,
        CRASHED_HEADER: str(int(failure.upstream_crashed)),
    }


def translate(
    result: results.UpstreamResponse | results.Failure,
) -> results.UpstreamResponse | results.Failure:
    """Return the response of the upstream, or the failure at the relay.

    If the exchange with the relay itself fails, that is no crash of the
    upstream.
    """
    if isinstance(result, results.Failure):
        return dataclasses.replace(result, upstream_crashed=False)
    headers = result.relay_headers
    outcome = headers.get(OUTCOME_HEADER)
    if outcome == ANSWERED:
        return result
    result.close()
    if outcome == NOT_RUN:
        return results.Failure(
            exchange=ports.ExchangeOutcome.NOT_SENT,
            sent=False,
            reason='no_room',
            message='the owning host could not reach the upstream',
        )
    return results.Failure(
        exchange=_exchange(headers.get(EXCHANGE_HEADER)),
        sent=True,
        reason=_reason(headers.get(REASON_HEADER)),
        message='the exchange failed between the owner and the upstream',
        upstream_crashed=headers.get(CRASHED_HEADER) == '1',
    )


def _exchange(text: str | None) -> ports.ExchangeOutcome:
    try:
        return ports.ExchangeOutcome(text or '')
    except ValueError:
        return ports.ExchangeOutcome.FAILED


def _reason(text: str | None) -> str:
    if text in ('upstream_failed', 'upstream_timeout'):
        return text
    return 'upstream_malformed'
