"""Attempts to run an admitted request on one upstream after another."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses

from skylarkpitch import ports
from skylarkpitch.requests import admission as request_admission
from skylarkpitch.requests import bodies
from skylarkpitch.requests import crash_watch as crash_watches
from skylarkpitch.requests import exchange
from skylarkpitch.requests import exchange_results as results
from skylarkpitch.requests import headers as header_rules
from skylarkpitch.requests import refusals
from skylarkpitch.requests import relay_outcomes
from skylarkpitch.requests import retry_budget
from skylarkpitch import sentinels

__all__ = ['Attempts', 'AttemptsOutcome']

MIN_ERROR_STATUS = 400
MAX_ATTEMPTS = 3
# A key may be withdrawn while its request is read or waits. It is checked
# again before a send if the last check is at least this long ago.
KEY_RECHECK_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AttemptsOutcome:
    """Outcome of all attempts: a response or a refusal.

    ``sent`` is False only if no byte of the request can have been sent.
    ``upstream_crashed`` is True if the upstream of the last attempt crashed.
    Call ``finish`` with the result of the exchange once the response has
    been read to its end; this releases the slot.
    """

    sent: bool
    upstream_crashed: bool = False
    response: results.UpstreamResponse | None = None
    refusal: refusals.Refusal | None = None
    finish: Callable[[ports.ExchangeOutcome], None] = lambda result: None


class Attempts:
    """Service that reserves slots, runs exchanges and retries failed ones."""

    def __init__(
        self,
        *,
        slot_allocator: ports.SlotAllocator,
        admission: request_admission.Admission,
        client: exchange.UpstreamClient,
        crash_watch: crash_watches.CrashWatch,
        clock: Callable[[], float],
    ) -> None:
        self._slot_allocator = slot_allocator
        self._admission = admission
        self._client = client
        self._crash_watch = crash_watch
        self._clock = clock
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self.retries = 0

    async def run(
        self,
        admitted: request_admission.AdmittedRequest,
        body: bodies.CallerBody,
        request_id: bytes,
        *,
        has_caller_left: Callable[[], bool] = lambda: False,
    ) -> AttemptsOutcome:
        """Return the first response that is not retried, or a refusal.

        ``request_id`` is the fingerprint of the request. If a byte of the
        request may have been sent, it is sent again only if it is
        repeatable, its body was read to its end and the retry budget allows
        it. Raises ``CancelledError`` before a send if ``has_caller_left``.
        """
        service = admitted.route_match.service_name
        budget = self._budgets.setdefault(service, retry_budget.RetryBudget())
        budget.add_request(ratio=admitted.route_match.service.retry_ratio)
        excluded: frozenset[str] = frozenset()
        sent = False
        outcome = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            avoid = self._crash_watch.excluded_upstreams(request_id)
            slot = await self._reserve_slot(admitted, body, excluded | avoid)
            if sentinels.is_absent(slot):
                refusal = refusals.from_absent(slot)
                return outcome or AttemptsOutcome(sent=False, refusal=refusal)
            if outcome is not None and outcome.response is not None:
                outcome.response.close()
            if has_caller_left():
                slot.finish(ports.ExchangeOutcome.NOT_SENT, latency_s=0.0)
                # As the listener does once it has read the close.
                raise asyncio.CancelledError
            with self._crash_watch.isolate_suspect(request_id, slot.upstream):
                outcome = await self._attempt(
                    admitted,
                    body,
                    slot,
                    sent=sent,
                    has_caller_left=has_caller_left,
                )
            sent = outcome.sent
            self._record_outcome(request_id, slot.upstream, outcome)
            if self._crash_watch.quarantine_left_s(request_id) > 0:
                break
            excluded |= {slot.upstream}
            if attempt == MAX_ATTEMPTS or not _is_retried(outcome):
                break
            if sent and not (admitted.repeatable and body.is_complete):
                break
            if sent and not budget.consume():
                break
            self.retries += 1
        return outcome

    def _record_outcome(
        self, request_id: bytes, upstream: str, outcome: AttemptsOutcome
    ) -> None:
        if outcome.upstream_crashed:
            self._crash_watch.record_crash(request_id, upstream)
            return
        response = outcome.response
        # An error does not show that the upstream has run the request.
        if response is not None and response.status < MIN_ERROR_STATUS:
            self._crash_watch.record_response(request_id)

    async def _reserve_slot(
        self,
        admitted: request_admission.AdmittedRequest,
        body: bodies.CallerBody,
        excluded: frozenset[str],
    ) -> ports.Slot | sentinels.Absent:
        slot = await self._slot_allocator.reserve(
            service=admitted.route_match.service_name,
            caller=admitted.caller,
            request_class=admitted.route_match.route.request_class,
            body_bytes=body.size_bytes,
            deadline_s=admitted.deadline_s,
            exclude=excluded,
        )
        now_s = self._clock()
        key_age_s = now_s - admitted.admitted_s
        if sentinels.is_absent(slot) or key_age_s < KEY_RECHECK_S:
            return slot
        caller = self._admission.authenticate(
            admitted.route_match.route, admitted.key, now_s=now_s
        )
        if sentinels.is_absent(caller):
            slot.finish(ports.ExchangeOutcome.NOT_SENT, latency_s=0.0)
            return caller
        return slot

    async def _attempt(
        self,
        admitted: request_admission.AdmittedRequest,
        body: bodies.CallerBody,
        slot: ports.Slot,
        *,
        sent: bool,
        has_caller_left: Callable[[], bool],
    ) -> AttemptsOutcome:
        started_s = self._clock()

        def finish(result: ports.ExchangeOutcome) -> None:
            slot.finish(result, latency_s=self._clock() - started_s)

        upstream_request = _upstream_request(admitted, body, now_s=started_s)
        try:
            result = await self._client.run(
                slot,
                upstream_request,
                deadline_s=admitted.deadline_s,
                has_caller_left=has_caller_left,
            )
        except BaseException:
            finish(ports.ExchangeOutcome.CANCELLED)
            raise
        if _is_remote(slot):
            result = relay_outcomes.translate(result)
            _count_bytes(result, slot)
        if isinstance(result, results.Failure):
            result = results.as_cancelled(result, reason=body.refusal_reason)
            finish(result.exchange)
            return _failure_outcome(result, sent=sent or result.sent)
        if result.is_complete:
            finish(results.classify_status(result.status))
            finish = _do_nothing
        return AttemptsOutcome(sent=True, response=result, finish=finish)


def _do_nothing(result: ports.ExchangeOutcome) -> None:
    """Do nothing, since the slot is already released."""


def _is_remote(slot: ports.Slot) -> bool:
    return header_rules.TICKET_HEADER in slot.headers


def _count_bytes(
    result: results.UpstreamResponse | results.Failure, slot: ports.Slot
) -> None:
    """Charge the body of a response to the link that it crosses."""
    if isinstance(result, results.Failure):
        return
    slot.account(len(result.prefix))
    if result.rest is not None:
        result.rest = _count_chunks(result.rest, slot)


async def _count_chunks(
    chunks: AsyncIterator[bytes], slot: ports.Slot
) -> AsyncIterator[bytes]:
    async for chunk in chunks:
        slot.account(len(chunk))
        yield chunk


def _is_retried(outcome: AttemptsOutcome) -> bool:
    if outcome.response is None:
        return True
    return (
        outcome.response.status in results.RETRIED_STATUSES
        and outcome.response.is_complete
    )


def _failure_outcome(
    failure: results.Failure, *, sent: bool
) -> AttemptsOutcome:
    refusal = refusals.refusal(
        failure.reason,
        failure.message,
        outcome=refusals.Outcome.UNKNOWN if sent else None,
    )
    return AttemptsOutcome(
        sent=sent, upstream_crashed=failure.upstream_crashed, refusal=refusal
    )


def _upstream_request(
    admitted: request_admission.AdmittedRequest,
    body: bodies.CallerBody,
    *,
    now_s: float,
) -> exchange.UpstreamRequest:
    dropped = {header_rules.ID_HEADER.lower()}
    if body.is_complete:
        dropped.add(header_rules.CONTENT_LENGTH.lower())
    pairs = [
        pair for pair in admitted.headers if pair[0].lower() not in dropped
    ]
    if admitted.operation_id is not None:
        pairs.append((header_rules.ID_HEADER, admitted.operation_id))
    if admitted.caller.organisation is not None:
        pairs.append(
            (
                header_rules.ORGANISATION_HEADER,
                admitted.caller.organisation,
            )
        )
    remaining_ms = max(1, int((admitted.deadline_s - now_s) * 1000))
    pairs.append((header_rules.DEADLINE_HEADER, str(remaining_ms)))
    return exchange.UpstreamRequest(
        method=admitted.method,
        target=admitted.target,
        headers=tuple(pairs),
        body=body.content(),
        repeatable=admitted.repeatable,
    )
