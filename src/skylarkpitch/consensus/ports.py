"""Define what the replicated log asks and offers.

The log replicates opaque commands in one order and hands each committed one
to a state machine. The state machine is deterministic: a command carries
every time and random value that it needs.
"""

import dataclasses
from typing import Protocol

from skylarkpitch import sentinels

__all__ = ['ControlLog', 'LogStatus', 'StateMachine']


class StateMachine(Protocol):
    """State that the committed commands build up."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LogStatus:
    """What one member knows of the log."""

    member: str
    role: str
    term: int
    leader: str | None
    commit_index: int
    applied_index: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]


class ControlLog(Protocol):
    """Replicated log as the rest of the control role sees it."""

    async def submit(self, command: bytes, *, timeout_s: float) -> object:
        """Commit a command and return the state machine's result.

        Raises ``NotLeaderError`` when it was certainly not taken, and
        ``UncertainError`` when it may have been.
        """

    async def confirm(self, *, timeout_s: float) -> float | sentinels.Absent:
        """Prove that the applied state is current.

        Returns the monotonic time, in seconds, at which the applied state
        held every committed command: the moment at which the question to
        the quorum was sent. ``Absent`` when no quorum answered in time.
        """

    def status(self) -> LogStatus:
        """Return what this member knows of the log."""
