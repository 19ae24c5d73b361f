"""First result of each operation, returned again for its resends."""

import dataclasses

from skylarkpitch.config import commands

__all__ = ['MAX_RESULTS', 'RESULT_AGE_S', 'FirstResults']

MAX_RESULTS = 15_000
RESULT_AGE_S = 86_400.0

Row = tuple[str, float, bytes, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class _RecordedResult:
    """Result of a command with its fingerprint and Unix time."""

    at_s: float
    fingerprint: bytes
    result: commands.Result


class FirstResults:
    """First results by operation id, limited in number and age.

    The age is computed from the timestamps of the commands, so that each
    member deletes the same results. A resend whose result was deleted is
    processed as a new command.
    """

    def __init__(self) -> None:
        self._recorded: dict[str, _RecordedResult] = {}

    def __len__(self) -> int:
        return len(self._recorded)

    def find(
        self, operation_id: str, fingerprint: bytes, *, at_s: float
    ) -> commands.Result | None:
        """Return the first result, or None for an unknown operation.

        Returns ``Rejected`` if the operation id was used with another
        fingerprint.
        """
        first = self._recorded.get(operation_id)
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
        """Store a result and delete those beyond the limits."""
        self._recorded.pop(operation_id, None)
        self._recorded[operation_id] = _RecordedResult(
            at_s, fingerprint, result
        )
        while self._is_oldest_expired(at_s):
            del self._recorded[next(iter(self._recorded))]

    def rows(self) -> list[Row]:
        """Return all entries, oldest first."""
        return [
            (
                name,
                recorded.at_s,
                recorded.fingerprint,
                commands.encode_result(recorded.result),
            )
            for name, recorded in self._recorded.items()
        ]

    def restore(self, rows: list[Row]) -> None:
        """Replace all entries by the output of :meth:`rows`."""
        self._recorded = {
            name: _RecordedResult(
                at_s, fingerprint, commands.decode_result(result)
            )
            for name, at_s, fingerprint, result in rows
        }

    def _is_oldest_expired(self, at_s: float) -> bool:
        if len(self._recorded) > MAX_RESULTS:
            return True
        oldest = next(iter(self._recorded.values()))
        return at_s - oldest.at_s > RESULT_AGE_S
