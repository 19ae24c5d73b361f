"""Remember the first result of each operation for its resends."""

import dataclasses

from skylarkpitch.config import commands

__all__ = ['MAX_RESULTS', 'RESULT_AGE_S', 'FirstResults']

MAX_RESULTS = 15_000
RESULT_AGE_S = 86_400.0

Row = tuple[str, float, bytes, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class _RecordedResult:
    at_s: float
    fingerprint: bytes
    result: commands.Result


class FirstResults:
    """Hold first results by operation id, bounded by count and age.

    Age is counted by the times that the commands carry, so that each member
    forgets the same ones. An operation that was forgotten is judged anew.
    """

    def __init__(self) -> None:
        self._first: dict[str, _RecordedResult] = {}

    def __len__(self) -> int:
        return len(self._first)

    def find(
        self, operation_id: str, fingerprint: bytes, *, at_s: float
    ) -> commands.Result | None:
        """Return the first result, or None for an operation not known.

        The same id with different content gives ``Rejected``.
        """
        first = self._first.get(operation_id)
        if first is None or at_s - first.at_s > RESULT_AGE_S:
            return None
        if first.fingerprint != fingerprint:
            return commands.Rejected(
                reason='operation_id_reused',
                message=f'operation id {operation_id!r} was used for another '
                'change; use a new one for each change',
            )
        return first.result

    def put(
        self,
        operation_id: str,
        fingerprint: bytes,
        result: commands.Result,
        *,
        at_s: float,
    ) -> None:
        """Remember a result and forget those past the bounds."""
        self._first.pop(operation_id, None)
        self._first[operation_id] = _RecordedResult(at_s, fingerprint, result)
        while self._oldest_is_over(at_s):
            del self._first[next(iter(self._first))]

    def rows(self) -> list[Row]:
        """Return all entries, oldest first."""
        return [
            (name, f.at_s, f.fingerprint, commands.encode_result(f.result))
            for name, f in self._first.items()
        ]

    def restore(self, rows: list[Row]) -> None:
        """Replace all entries by those of :meth:`rows`."""
        self._first = {
            name: _RecordedResult(
                at_s, fingerprint, commands.decode_result(result)
            )
            for name, at_s, fingerprint, result in rows
        }

    def _oldest_is_over(self, at_s: float) -> bool:
        if len(self._first) > MAX_RESULTS:
            return True
        oldest = next(iter(self._first.values()))
        return at_s - oldest.at_s > RESULT_AGE_S
