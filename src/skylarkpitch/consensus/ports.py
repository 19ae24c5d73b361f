"""Define the interfaces of the replicated log.

The log replicates opaque commands in one order and applies each committed
command to a state machine. The state machine must be deterministic, so a
command contains every time and random value that it needs.
"""

import dataclasses
from typing import Protocol

from skylarkpitch import sentinels

__all__ = ['ControlLog', 'LogStatus', 'StateMachine']


class StateMachine(Protocol):
    """State machine that the committed commands are applied to."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the complete state, encoded."""

    def restore(self, data: bytes) -> None:
        """Replace the state with the state of a snapshot."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogStatus:
    """State of the log as one member knows it.

    ``member``, ``voters`` and ``learners`` are identities. ``leader`` is a
    host name, None while unknown. ``leader_commit_index`` is the highest
    commit index that this member knows of; its own is lower while it lacks
    entries.
    """

    member: str
    role: str
    term: int
    leader: str | None
    commit_index: int
    leader_commit_index: int
    applied_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]


class ControlLog(Protocol):
    """Interface of the replicated log for the control role."""

    async def submit(self, command: bytes, *, timeout_s: float) -> object:
        """Commit a command and return the state machine's result.

        Raises ``NotLeaderError`` when the command was not and will not be
        committed, and ``UncertainError`` when it may be committed.
        """

    async def confirm(self, *, timeout_s: float) -> float | sentinels.Absent:
        """Confirm with a quorum that the applied state is current.

        Returns a monotonic time, in seconds: the applied state includes
        every command that was committed before it. It is the time at which
        the request to the quorum was sent. Returns ``Absent`` when no
        quorum responded within ``timeout_s``.
        """

    def status(self) -> LogStatus:
        """Return the state of the log as this member knows it."""
