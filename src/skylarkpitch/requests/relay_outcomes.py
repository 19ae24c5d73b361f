"""Carry the outcome of an exchange from a relay to the chooser.

A relay adds ``Skylark-Relay-Outcome`` to every answer. An answer to a
ticket without it did not come from a relay, so nothing is known of it.
"""

import dataclasses

from skylarkpitch import ports
from skylarkpitch.requests import exchange_results as results

__all__ = ['ANSWERED', 'failure_headers', 'outcome_headers', 'translate']

OUTCOME_HEADER = 'Skylark-Relay-Outcome'
REASON_HEADER = 'Skylark-Relay-Reason'
EXCHANGE_HEADER = 'Skylark-Relay-Exchange'
DIED_HEADER = 'Skylark-Relay-Died'
ANSWERED = 'answered'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'


def outcome_headers(outcome: str) -> dict[str, str]:
    """Return the headers that state an outcome."""
    return {OUTCOME_HEADER: outcome}


def failure_headers(failure: results.Failure) -> dict[str, str]:
    """Return the headers that state a failure in full."""
    return {
        OUTCOME_HEADER: UNKNOWN if failure.sent else NOT_RUN,
        REASON_HEADER: failure.reason,
        EXCHANGE_HEADER: failure.exchange.value,
        DIED_HEADER: str(int(failure.died)),
    }


def translate(
    answer: results.Answer | results.Failure,
) -> results.Answer | results.Failure:
    """Return the upstream's answer, or the failure that the relay met.

    A relay that dies itself is no death of the upstream.
    """
    if isinstance(answer, results.Failure):
        return dataclasses.replace(answer, died=False)
    stated = answer.relay_headers
    outcome = stated.get(OUTCOME_HEADER)
    if outcome == ANSWERED:
        return answer
    answer.close()
    if outcome == NOT_RUN:
        return results.Failure(
            exchange=ports.ExchangeOutcome.NOT_SENT,
            sent=False,
            reason='no_room',
            message='the owning host could not reach the upstream',
        )
    return results.Failure(
        exchange=_exchange(stated.get(EXCHANGE_HEADER)),
        sent=True,
        reason=_reason(stated.get(REASON_HEADER)),
        message='the exchange failed between the owner and the upstream',
        died=stated.get(DIED_HEADER) == '1',
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
