"""Send an admitted request to upstreams until one answers or none may."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses

from skylarkpitch import ports
from skylarkpitch.requests import admission
from skylarkpitch.requests import bodies
from skylarkpitch.requests import crash_watch as crash_watches
from skylarkpitch.requests import exchange
from skylarkpitch.requests import exchange_results as results
from skylarkpitch.requests import headers as header_rules
from skylarkpitch.requests import refusals
from skylarkpitch.requests import relay_outcomes
from skylarkpitch.requests import retry_budget
from skylarkpitch import sentinels

__all__ = ['Attempts', 'Ended']

MAX_ATTEMPTS = 3
KEY_RECHECK_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """End of all attempts: an answer with its slot, or a refusal.

    ``sent`` is False only when no byte of the request can have left.
    """

    sent: bool
    died: bool = False
    answer: results.Answer | None = None
    refusal: refusals.Refusal | None = None
    finish: Callable[[ports.ExchangeOutcome], None] = lambda result: None


class Attempts:
    """Choose slots, run exchanges, and spend the retry budgets."""

    def __init__(
        self,
        *,
        slot_allocator: ports.SlotAllocator,
        admitter: admission.Admission,
        exchanger: exchange.Exchanger,
        crash_watch: crash_watches.CrashWatch,
        clock: Callable[[], float],
    ) -> None:
        self._slot_allocator = slot_allocator
        self._admitter = admitter
        self._exchanger = exchanger
        self._crash_watch = crash_watch
        self._clock = clock
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self.retries = 0

    async def run(
        self,
        call: admission.Admitted,
        body: bodies.CallerBody,
        request_id: bytes,
    ) -> Ended:
        """Return the answer of the first upstream that gives a good one.

        A request of which a byte may have left is sent again only when it
        is repeatable, its body is at hand and the retry budget allows it.
        """
        service = call.matched.service_name
        budget = self._budgets.setdefault(service, retry_budget.RetryBudget())
        budget.add_call(ratio=call.matched.service.retry_ratio)
        excluded: frozenset[str] = frozenset()
        sent = False
        ended = None
        for attempt in range(1, MAX_ATTEMPTS + 1):
            avoided = self._crash_watch.avoided(request_id)
            slot = await self._slot(call, body, excluded | avoided)
            if sentinels.is_absent(slot):
                refused = refusals.from_absent(slot)
                return ended or Ended(sent=False, refusal=refused)
            if ended is not None and ended.answer is not None:
                ended.answer.close()
            with self._crash_watch.running(request_id, slot.upstream):
                ended = await self._attempt(call, body, slot, sent=sent)
            sent = ended.sent
            self._judge(request_id, slot.upstream, ended)
            if self._crash_watch.quarantine_left_s(request_id) > 0:
                break
            excluded |= {slot.upstream}
            if attempt == MAX_ATTEMPTS or not _wants_retry(ended):
                break
            if sent and not (call.repeatable and body.whole):
                break
            if sent and not budget.take():
                break
            self.retries += 1
        return ended

    def _judge(self, request_id: bytes, upstream: str, ended: Ended) -> None:
        if ended.died:
            self._crash_watch.record_crash(request_id, upstream)
        elif ended.answer is not None:
            self._crash_watch.record_response(request_id)

    async def _slot(
        self,
        call: admission.Admitted,
        body: bodies.CallerBody,
        excluded: frozenset[str],
    ) -> ports.Slot | sentinels.Absent:
        asked_s = self._clock()
        slot = await self._slot_allocator.reserve(
            service=call.matched.service_name,
            caller=call.caller,
            request_class=call.matched.route.request_class,
            body_bytes=body.size_bytes,
            deadline_s=call.deadline_s,
            exclude=excluded,
        )
        now_s = self._clock()
        if sentinels.is_absent(slot) or now_s - asked_s < KEY_RECHECK_S:
            return slot
        caller = self._admitter.caller(
            call.matched.route, call.key, now_s=now_s
        )
        if sentinels.is_absent(caller):
            slot.finish(ports.ExchangeOutcome.NOT_SENT, latency_s=0.0)
            return caller
        return slot

    async def _attempt(
        self,
        call: admission.Admitted,
        body: bodies.CallerBody,
        slot: ports.Slot,
        *,
        sent: bool,
    ) -> Ended:
        started_s = self._clock()

        def finish(result: ports.ExchangeOutcome) -> None:
            slot.finish(result, latency_s=self._clock() - started_s)

        outgoing = _outgoing(call, body, now_s=started_s)
        try:
            result = await self._exchanger.run(
                slot, outgoing, deadline_s=call.deadline_s
            )
        except BaseException:
            finish(ports.ExchangeOutcome.CANCELLED)
            raise
        if _is_remote(slot):
            result = relay_outcomes.translate(result)
            _count_bytes(result, slot)
        if isinstance(result, results.Failure):
            result = results.without_blame(result, reason=body.broken)
            finish(result.exchange)
            return _failed(result, sent=sent or result.sent)
        if result.whole:
            finish(results.judged(result.status))
            finish = _nothing
        return Ended(sent=True, answer=result, finish=finish)


def _nothing(result: ports.ExchangeOutcome) -> None:
    """Do nothing: the slot is given back already."""


def _is_remote(slot: ports.Slot) -> bool:
    return header_rules.TICKET_HEADER in slot.headers


def _count_bytes(
    result: results.Answer | results.Failure, slot: ports.Slot
) -> None:
    if isinstance(result, results.Failure):
        return
    slot.account(len(result.head))
    if result.rest is not None:
        result.rest = _counted(result.rest, slot)


async def _counted(
    chunks: AsyncIterator[bytes], slot: ports.Slot
) -> AsyncIterator[bytes]:
    async for chunk in chunks:
        slot.account(len(chunk))
        yield chunk


def _wants_retry(ended: Ended) -> bool:
    if ended.answer is None:
        return True
    return (
        ended.answer.status in results.RETRIED_STATUSES and ended.answer.whole
    )


def _failed(failure: results.Failure, *, sent: bool) -> Ended:
    refusal = refusals.refusal(
        failure.reason,
        failure.message,
        outcome=refusals.Outcome.UNKNOWN if sent else None,
    )
    return Ended(sent=sent, died=failure.died, refusal=refusal)


def _outgoing(
    call: admission.Admitted, body: bodies.CallerBody, *, now_s: float
) -> exchange.Outgoing:
    dropped = {header_rules.ID_HEADER.lower()}
    if body.whole:
        dropped.add(header_rules.CONTENT_LENGTH.lower())
    pairs = [pair for pair in call.headers if pair[0].lower() not in dropped]
    if call.operation_id is not None:
        pairs.append((header_rules.ID_HEADER, call.operation_id))
    if call.caller.organisation is not None:
        pairs.append(
            (
                header_rules.ORGANISATION_HEADER,
                call.caller.organisation,
            )
        )
    left_ms = max(1, int((call.deadline_s - now_s) * 1000))
    pairs.append((header_rules.DEADLINE_HEADER, str(left_ms)))
    return exchange.Outgoing(
        method=call.method,
        target=call.target,
        headers=tuple(pairs),
        body=body.content(),
        repeatable=call.repeatable,
    )
