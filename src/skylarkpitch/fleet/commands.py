"""Define what changes the state of the fleet.

A command goes through the replicated log. Applying it depends on nothing
but the state and the command.
"""

import msgspec

from skylarkpitch import errors
from skylarkpitch.fleet import model

__all__ = [
    'Command',
    'PutConfiguration',
    'RecordEntryHost',
    'RecordUpstream',
    'RemoveEntryHost',
    'RemoveUpstream',
    'SetDomainDrain',
    'decode',
    'encode',
]


class _Tagged(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of the commands; the tag is the name of the class."""


class PutConfiguration(_Tagged, frozen=True, kw_only=True):
    """Replace the configuration if its version is higher.

    ``document`` is what the operator sent, kept to be read back.
    """

    configuration: model.Configuration
    document: bytes


class SetDomainDrain(_Tagged, frozen=True, kw_only=True):
    """Send nothing to the upstreams of a failure domain, or do again."""

    failure_domain: str
    draining: bool


class RecordUpstream(_Tagged, frozen=True, kw_only=True):
    """Record what an upstream says of itself."""

    upstream: model.Upstream


class RemoveUpstream(_Tagged, frozen=True, kw_only=True):
    """Remove one incarnation of an upstream.

    ``left`` tells that it said so itself and will not come back.
    """

    upstream_id: str
    born_ms: int
    left: bool


class RecordEntryHost(_Tagged, frozen=True, kw_only=True):
    """Let callers use an entry host."""

    entry_host: model.EntryHost


class RemoveEntryHost(_Tagged, frozen=True, kw_only=True):
    """Name an entry host to callers no longer."""

    name: str


Command = (
    PutConfiguration
    | SetDomainDrain
    | RecordUpstream
    | RemoveUpstream
    | RecordEntryHost
    | RemoveEntryHost
)

_decoder = msgspec.msgpack.Decoder(Command)


def encode(command: Command) -> bytes:
    """Return the bytes of a command for the log."""
    return msgspec.msgpack.encode(command)


def decode(data: bytes) -> Command:
    """Return the command in ``data``; raises ``MessageError``."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MessageError(
            f'command is malformed ({error}); run the same release on every '
            'control host'
        ) from error
