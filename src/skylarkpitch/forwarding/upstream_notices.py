"""Remember what upstreams say of themselves in their responses.

An upstream names the rate of requests that it takes from all entry hosts
together, says that it leaves, or asks a host for a pause. A notice belongs
to one incarnation, and holds although the upstream is missing from a later
view, or a late heartbeat does not repeat it.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import re

import structlog

from skylarkpitch.fleet import model
from skylarkpitch.forwarding import header_names

__all__ = [
    'Notice',
    'NoticeReader',
    'UpstreamNotices',
    'UpstreamState',
    'incarnation_of',
]

STATUS_UNAVAILABLE = 503
# Plain decimals only: no sign, exponent, infinity or date.
_DECIMAL = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
MAX_RATE_PER_S = 1e6
MAX_BACK_OFF_S = 60.0
MAX_LOGGED_CHARACTERS = 64
# Incarnations that are remembered, the latest ones.
MAX_INCARNATIONS = 10_000

_log = structlog.get_logger(__name__)

# Returns all values of a header.
HeaderValues = Callable[[str], Sequence[str]]


def incarnation_of(upstream: model.Upstream) -> str:
    """Return the name of an upstream's incarnation, the same on all hosts."""
    return f'{upstream.upstream_id}@{upstream.born_ms}'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Notice:
    """What an upstream says of itself in one response.

    ``max_rate_per_s`` is the rate that it takes from all entry hosts
    together. None means no limit, unless ``is_rate_readable`` is False: then
    there was a value that could not be read, which changes nothing.
    ``back_off_s`` is how long this host should send nothing.
    """

    max_rate_per_s: float | None = None
    is_rate_readable: bool = True
    is_leaving: bool = False
    back_off_s: float | None = None


class NoticeReader:
    """Read the notices in the heads of responses.

    Values that cannot be read are ignored; ``malformed`` counts them.
    """

    def __init__(self, *, names: header_names.HeaderNames) -> None:
        self._names = names
        self.malformed = 0

    def read(
        self, values: HeaderValues, *, status: int, upstream: model.Upstream
    ) -> Notice:
        """Return the notice in a response with a status."""
        rate_per_s, is_rate_readable = self._read_decimal(
            values, self._names.max_rate, upstream
        )
        leaving, _readable = self._read_decimal(
            values, self._names.leaving, upstream, allowed=('1',)
        )
        back_off_s = None
        if status == STATUS_UNAVAILABLE:
            back_off_s, _readable = self._read_decimal(
                values, self._names.retry_after, upstream
            )
        return Notice(
            max_rate_per_s=_at_most(rate_per_s, MAX_RATE_PER_S),
            is_rate_readable=is_rate_readable,
            is_leaving=leaving is not None,
            back_off_s=_at_most(back_off_s, MAX_BACK_OFF_S),
        )

    def _read_decimal(
        self,
        values: HeaderValues,
        name: str,
        upstream: model.Upstream,
        *,
        allowed: tuple[str, ...] = (),
    ) -> tuple[float | None, bool]:
        """Return a value above 0, or None, and whether it was readable."""
        texts = {text.strip() for text in values(name)}
        if not texts:
            return None, True
        text = texts.pop()
        is_decimal = not texts and _DECIMAL.fullmatch(text)
        if is_decimal and text in (allowed or (text,)) and float(text) > 0:
            return float(text), True
        self.malformed += 1
        _log.info(
            'notice_malformed',
            upstream=incarnation_of(upstream),
            header=name,
            value=text[:MAX_LOGGED_CHARACTERS],
            is_repeated=bool(texts),
        )
        return None, False


def _at_most(value: float | None, maximum: float) -> float | None:
    return None if value is None else min(value, maximum)


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamState:
    """What one incarnation last said of itself, and when.

    ``max_rate_named_s`` is when a response with ``max_rate_per_s`` arrived
    last. This host sends nothing before ``back_off_until_s``, and nothing
    any more once ``is_leaving``. All times are of the monotonic clock.
    """

    max_rate_per_s: float | None = None
    max_rate_named_s: float = float('-inf')
    is_leaving: bool = False
    back_off_until_s: float = float('-inf')


class UpstreamNotices:
    """The notices of all upstreams, as this entry host knows them."""

    def __init__(self) -> None:
        self._states: collections.OrderedDict[str, UpstreamState] = (
            collections.OrderedDict()
        )

    def state_of(self, upstream: model.Upstream) -> UpstreamState:
        """Return the state of an incarnation, which is kept up to date."""
        name = incarnation_of(upstream)
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = UpstreamState()
            if len(self._states) > MAX_INCARNATIONS:
                self._states.popitem(last=False)
        return state

    def record(
        self,
        upstream: model.Upstream,
        notice: Notice,
        *,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Record the notice in the response to a request sent at ``sent_s``.

        A response that names no limit ends one only if its request was sent
        after the limit was named last, since responses may overtake each
        other.
        """
        state = self.state_of(upstream)
        if notice.is_leaving and not state.is_leaving:
            state.is_leaving = True
            _log.info('leaving_announced', upstream=incarnation_of(upstream))
        if notice.back_off_s is not None:
            self._back_off(upstream, state, notice.back_off_s, now_s)
        if notice.max_rate_per_s is not None:
            self._name_rate(upstream, state, notice.max_rate_per_s, now_s)
        elif (
            state.max_rate_per_s is not None
            and notice.is_rate_readable
            and sent_s > state.max_rate_named_s
        ):
            _log.info(
                'max_rate_ended',
                upstream=incarnation_of(upstream),
                max_rate_per_s=state.max_rate_per_s,
                named_age_s=round(now_s - state.max_rate_named_s, 3),
            )
            state.max_rate_per_s = None

    def _name_rate(
        self,
        upstream: model.Upstream,
        state: UpstreamState,
        rate_per_s: float,
        now_s: float,
    ) -> None:
        if rate_per_s != state.max_rate_per_s:
            _log.info(
                'max_rate_named',
                upstream=incarnation_of(upstream),
                max_rate_per_s=rate_per_s,
                before_per_s=state.max_rate_per_s,
            )
        state.max_rate_per_s = rate_per_s
        state.max_rate_named_s = now_s

    def _back_off(
        self,
        upstream: model.Upstream,
        state: UpstreamState,
        back_off_s: float,
        now_s: float,
    ) -> None:
        if now_s >= state.back_off_until_s:
            _log.info(
                'back_off_started',
                upstream=incarnation_of(upstream),
                back_off_s=back_off_s,
            )
        state.back_off_until_s = max(
            state.back_off_until_s, now_s + back_off_s
        )

    def counts(self) -> dict[str, float]:
        """Return how many incarnations have given notices."""
        states = self._states.values()
        return {
            'upstreams_with_max_rate': sum(
                state.max_rate_per_s is not None for state in states
            ),
            'upstreams_leaving': sum(state.is_leaving for state in states),
        }
