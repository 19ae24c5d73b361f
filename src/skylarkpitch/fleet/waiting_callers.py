"""Track the callers that wait for the outcome of their orders.

An order can wait in a buffer while a host stands still or a link is slow. Its
caller gives up after a second, sends it again to another host and may follow
it by the opposite order. Executed after that, the order would undo the later
one, so it is executed only while its caller waits.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import secrets

__all__ = ['CallReference', 'WaitingCallers']

# Callers send an order to another host after a second without a response. The
# rest is for the way from the caller.
CALLER_PATIENCE_S = 0.9
ID_PREFIX_BYTES = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallReference:
    """Name of a call: the host that its caller is connected to, and an id."""

    host: str
    call_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Call:
    has_caller_left: Callable[[], bool]
    read_s: float


class WaitingCallers:
    """The calls of one host that have no outcome yet."""

    def __init__(self) -> None:
        # Other hosts may ask about calls to an earlier process of this host.
        self._id_prefix = secrets.token_hex(ID_PREFIX_BYTES)
        self._calls: dict[str, _Call] = {}
        self._count = 0

    @contextlib.contextmanager
    def waiting(
        self, has_caller_left: Callable[[], bool], *, now_s: float
    ) -> Iterator[str]:
        """Track a call that was read now until the context ends.

        Yields the id of the call. ``has_caller_left`` returns whether the
        caller has closed its connection.
        """
        self._count += 1
        call_id = f'{self._id_prefix}-{self._count}'
        self._calls[call_id] = _Call(
            has_caller_left=has_caller_left, read_s=now_s
        )
        try:
            yield call_id
        finally:
            del self._calls[call_id]

    def is_waiting(self, call_id: str, *, now_s: float) -> bool:
        """Return whether the caller of a call still waits for its outcome.

        The close of a caller that was cut off does not arrive, so that it
        counts as gone after ``CALLER_PATIENCE_S`` anyway.
        """
        call = self._calls.get(call_id)
        if call is None or now_s - call.read_s > CALLER_PATIENCE_S:
            return False
        return not call.has_caller_left()
