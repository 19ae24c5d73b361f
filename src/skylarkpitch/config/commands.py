"""Commands of the replicated log and their results.

A command contains every time and random value that is required to apply it,
so that each member computes the same state. ``at_s`` is the Unix time in
seconds at which a control host received the command from an operator.
"""

import dataclasses
from typing import Any

import msgspec

from skylarkpitch import errors

__all__ = [
    'Accepted',
    'Command',
    'Conflict',
    'IssueKey',
    'PushConfig',
    'PushOverlay',
    'Rejected',
    'Result',
    'SetDrain',
    'SetHostLeaving',
    'WithdrawKey',
    'decode',
    'decode_result',
    'encode',
    'encode_result',
    'fingerprint',
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PushConfig:
    """Replace the base and all overlays.

    The push conflicts unless ``against_version`` is the current
    configuration version.
    """

    operation_id: str
    operator: str
    at_s: float
    against_version: int
    base_json: str
    overlays_json: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PushOverlay:
    """Replace the overlay of one site; the JSON text ``null`` removes it.

    The push conflicts unless ``against_version`` is the current
    configuration version.
    """

    operation_id: str
    operator: str
    at_s: float
    against_version: int
    site: str
    overlay_json: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IssueKey:
    """Make a key valid; ``salt`` and ``secret_hash`` are hexadecimal."""

    operation_id: str
    operator: str
    at_s: float
    key_id: str
    organisation: str
    salt: str
    secret_hash: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawKey:
    """Make a key invalid."""

    operation_id: str
    operator: str
    at_s: float
    key_id: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetDrain:
    """Start or end the drain of an upstream."""

    operation_id: str
    operator: str
    at_s: float
    upstream: str
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SetHostLeaving:
    """Request an entry host to leave, or withdraw that request."""

    operation_id: str
    operator: str
    at_s: float
    host: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The command was applied and produced state ``version``."""

    version: int
    config_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Another push was applied first; redo the change against it."""

    current_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The command violates a rule and changed nothing.

    ``message`` is part of the replicated state, so all members must create
    the same text.
    """

    reason: str
    message: str


Command = (
    PushConfig
    | PushOverlay
    | IssueKey
    | WithdrawKey
    | SetDrain
    | SetHostLeaving
)
Result = Accepted | Conflict | Rejected

_COMMANDS: dict[str, type] = {
    'push_config': PushConfig,
    'push_overlay': PushOverlay,
    'issue_key': IssueKey,
    'withdraw_key': WithdrawKey,
    'set_drain': SetDrain,
    'set_host_leaving': SetHostLeaving,
}
_RESULTS: dict[str, type] = {
    'accepted': Accepted,
    'conflict': Conflict,
    'rejected': Rejected,
}
_TAGS = {cls: tag for tag, cls in (_COMMANDS | _RESULTS).items()}
_tagged = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])
_decoders = {
    tag: msgspec.msgpack.Decoder(cls)
    for tag, cls in (_COMMANDS | _RESULTS).items()
}


def _encode(message: Any) -> bytes:
    return msgspec.msgpack.encode((_TAGS[type(message)], message))


def _decode(data: bytes, types_by_tag: dict[str, type]) -> Any:
    try:
        tag, body = _tagged.decode(data)
        if tag not in types_by_tag:
            raise errors.MessageError(
                f'command kind {tag[:40]!r} is unknown; run the same release '
                'on every control host'
            )
        return _decoders[tag].decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise errors.MessageError(
            f'command is malformed: {error}; send it again'
        ) from error


def encode(command: Command) -> bytes:
    """Encode a command for the log."""
    return _encode(command)


def decode(data: bytes) -> Command:
    """Decode a command.

    Raises ``MessageError`` if ``data`` is malformed or of an unknown kind.
    """
    return _decode(data, _COMMANDS)


def encode_result(result: Result) -> bytes:
    """Encode a result."""
    return _encode(result)


def decode_result(data: bytes) -> Result:
    """Decode a result; raises ``MessageError`` if it is malformed."""
    return _decode(data, _RESULTS)


def fingerprint(command: Command) -> bytes:
    """Return bytes that are equal for a command and its resends.

    ``at_s`` is excluded, since each resend gets a new timestamp.
    """
    return _encode(dataclasses.replace(command, at_s=0.0))
