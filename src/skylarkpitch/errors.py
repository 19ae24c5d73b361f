"""Define the exceptions that the system raises.

Every message states the fault and the remedy. ``reason`` is a stable
identifier for programs: it appears in logs, in refusals and in the output of
the command-line tool.
"""

__all__ = [
    'CallerLeftError',
    'ConflictError',
    'InvariantError',
    'JournalError',
    'MessageError',
    'NotLeaderError',
    'SettingsError',
    'SkylarkError',
    'UncertainError',
    'ValidationError',
]


class SkylarkError(Exception):
    """Base class of every exception of this package."""

    reason = 'error'


class SettingsError(SkylarkError):
    """A settings file is missing, malformed or inconsistent."""

    reason = 'settings_invalid'


class ValidationError(SkylarkError):
    """A base file, an overlay or a command is invalid."""

    reason = 'invalid'


class CallerLeftError(SkylarkError):
    """An order was not executed since its caller may not wait any more."""

    reason = 'caller_left'


class ConflictError(SkylarkError):
    """A change is based on a version other than ``current_version``."""

    reason = 'version_conflict'

    def __init__(self, message: str, *, current_version: int) -> None:
        super().__init__(message)
        self.current_version = current_version


class NotLeaderError(SkylarkError):
    """This control host is not the leader.

    ``leader`` is the name of the leader, None if it is unknown.
    """

    reason = 'not_leader'

    def __init__(self, message: str, *, leader: str | None) -> None:
        super().__init__(message)
        self.leader = leader


class UncertainError(SkylarkError):
    """A response was lost, so that the change may or may not be committed."""

    reason = 'uncertain'


class JournalError(SkylarkError):
    """The journal or a snapshot in the data folder cannot be used."""

    reason = 'journal'


class MessageError(SkylarkError):
    """Bytes from a peer do not encode a message of a known kind."""

    reason = 'message_malformed'


class InvariantError(SkylarkError):
    """An operation would violate an invariant of the system."""

    reason = 'invariant'
