"""Define the commands that change the state of the fleet.

Commands are replicated by the consensus log. Applying one is deterministic:
the result depends on the state and the command only.
"""

import msgspec

from skylarkpitch import errors
from skylarkpitch.fleet import model

__all__ = [
    'Command',
    'ForgetDeparture',
    'ForgetRemoved',
    'MarkDeparture',
    'PutConfiguration',
    'RecordControlHost',
    'RecordEntryHost',
    'RecordUpstream',
    'RemoveControlHost',
    'RemoveEntryHost',
    'RemoveUpstream',
    'SetDomainDrain',
    'decode',
    'encode',
]


class _Tagged(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of the commands; the tag on the wire is the class name."""


class PutConfiguration(_Tagged, frozen=True, kw_only=True):
    """Replace the configuration if its version is higher.

    ``document`` is the body that the operator sent. It is stored so that
    operators can read it back unchanged.
    """

    configuration: model.Configuration
    document: bytes


class SetDomainDrain(_Tagged, frozen=True, kw_only=True):
    """Start or end the drain of a failure domain.

    No requests are sent to the upstreams of a draining domain.
    """

    failure_domain: str
    draining: bool


class RecordUpstream(_Tagged, frozen=True, kw_only=True):
    """Record the state that an upstream reported about itself."""

    upstream: model.Upstream


class RemoveUpstream(_Tagged, frozen=True, kw_only=True):
    """Remove one incarnation of an upstream.

    ``left`` is true if the upstream announced its departure. Later reports
    of that incarnation are then ignored. It is false if the upstream is
    removed because its heartbeats stopped. ``sequence`` is then that of the
    last report that the leader received; it and earlier reports are ignored
    until :class:`ForgetRemoved`. It is None in logs of earlier releases.
    """

    upstream_id: str
    born_ms: int
    left: bool
    sequence: int | None = None


class MarkDeparture(_Tagged, frozen=True, kw_only=True):
    """Mark the departure of an upstream whose incarnation is unknown.

    Reports of incarnations that started at
    ``before_ms`` or earlier are ignored until :class:`ForgetDeparture`.
    """

    upstream_id: str
    before_ms: int


class ForgetDeparture(_Tagged, frozen=True, kw_only=True):
    """Delete the mark of an upstream, if its time is ``before_ms``."""

    upstream_id: str
    before_ms: int


class ForgetRemoved(_Tagged, frozen=True, kw_only=True):
    """Forget the last report of a removed upstream, if it is this one."""

    upstream_id: str
    born_ms: int
    sequence: int


class RecordEntryHost(_Tagged, frozen=True, kw_only=True):
    """Record an entry host, so that look-ups return it to callers."""

    entry_host: model.EntryHost


class RemoveEntryHost(_Tagged, frozen=True, kw_only=True):
    """Remove an entry host, so that look-ups no longer return it."""

    name: str


class RecordControlHost(_Tagged, frozen=True, kw_only=True):
    """Record where a control host is, so that hosts nearby watch it."""

    control_host: model.ControlHost


class RemoveControlHost(_Tagged, frozen=True, kw_only=True):
    """Remove the record of a control host that left the group."""

    name: str


Command = (
    PutConfiguration
    | SetDomainDrain
    | RecordUpstream
    | RemoveUpstream
    | MarkDeparture
    | ForgetDeparture
    | ForgetRemoved
    | RecordEntryHost
    | RemoveEntryHost
    | RecordControlHost
    | RemoveControlHost
)

_decoder = msgspec.msgpack.Decoder(Command)


def encode(command: Command) -> bytes:
    """Return a command encoded for the log."""
    return msgspec.msgpack.encode(command)


def decode(data: bytes) -> Command:
    """Return the command encoded in ``data``; raise ``MessageError``."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MessageError(
            f'command is malformed ({error}); run the same release on every '
            'control host'
        ) from error
