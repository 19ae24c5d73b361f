"""Define the kinds of error that the system raises.

Every message names what is wrong and the remedy. ``reason`` is the stable
word for programs: it appears in logs, in refusals and in the output of the
command-line tool.
"""

__all__ = [
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
    """Base of every error of this package."""

    reason = 'error'


class SettingsError(SkylarkError):
    """A settings file is missing, malformed or contradicts itself."""

    reason = 'settings_invalid'


class ValidationError(SkylarkError):
    """A base file, an overlay or a command breaks a rule."""

    reason = 'invalid'


class ConflictError(SkylarkError):
    """A change was made against a version that is no longer current."""

    reason = 'version_conflict'

    def __init__(self, message: str, *, current_version: int) -> None:
        super().__init__(message)
        self.current_version = current_version


class NotLeaderError(SkylarkError):
    """This control host does not lead; ask ``leader`` when it is known."""

    reason = 'not_leader'

    def __init__(self, message: str, *, leader: str | None) -> None:
        super().__init__(message)
        self.leader = leader


class UncertainError(SkylarkError):
    """An answer was lost, so a change may or may not have been taken."""

    reason = 'uncertain'


class JournalError(SkylarkError):
    """The journal or a snapshot under the data folder cannot be used."""

    reason = 'journal'


class MessageError(SkylarkError):
    """Bytes from a peer are not a known, well-formed message."""

    reason = 'message_malformed'


class InvariantError(SkylarkError):
    """A deciding component would break a promise of the system."""

    reason = 'invariant'
