"""Define what control is asked to do, and how that ends.

Any control host takes an order and hands it to the leader. What operators
order is a command of the replicated log; what upstreams and entry hosts
report becomes one only when it changes the state.
"""

import msgspec

from skylarkpitch import errors
from skylarkpitch.fleet import commands
from skylarkpitch.fleet import model
from skylarkpitch.messages import fleet as messages

__all__ = [
    'ControlRequest',
    'EntryGrant',
    'EntryReport',
    'Heartbeat',
    'Leave',
    'Outcome',
    'ReadConfiguration',
    'accepted',
    'decode',
    'encode',
    'refused',
    'unavailable',
]

Outcome = messages.SubmitResponse


class _Tagged(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of the orders; the tag is the name of the class."""


class Heartbeat(_Tagged, frozen=True, kw_only=True):
    """An upstream says that it is there, and how it is."""

    upstream: model.Upstream


class Leave(_Tagged, frozen=True, kw_only=True):
    """An upstream says that it ends.

    Without ``born_ms`` it is the incarnation that is recorded.
    """

    upstream_id: str
    born_ms: int | None = None


class ReadConfiguration(_Tagged, frozen=True, kw_only=True):
    """Return the document of the newest configuration."""


class EntryReport(_Tagged, frozen=True, kw_only=True):
    """An entry host says that it is there, and what it is asked for.

    ``demand_per_s`` is the rate of requests by organisation,
    ``offered_slots`` the work that is asked for by service, and
    ``own_shares`` what part of it runs in the host's region.
    """

    entry_host: model.EntryHost
    leaving: bool = False
    demand_per_s: dict[str, float] = {}
    offered_slots: dict[str, float] = {}
    own_shares: dict[str, float] = {}


class EntryGrant(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry host is to keep to.

    ``rate_per_s`` are the rates that it may use, by organisation, and
    ``own_shares`` what part is to run in its region, by service.
    """

    rate_per_s: dict[str, float]
    own_shares: dict[str, float] = {}


ControlRequest = (
    commands.PutConfiguration
    | commands.SetDomainDrain
    | Heartbeat
    | Leave
    | ReadConfiguration
    | EntryReport
)
_decoder = msgspec.msgpack.Decoder(ControlRequest)


def encode(order: ControlRequest) -> bytes:
    """Return the bytes of an order."""
    return msgspec.msgpack.encode(order)


def decode(data: bytes) -> ControlRequest:
    """Return the order in ``data``; raises ``MessageError``."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MessageError(
            f'order is malformed ({error}); run the same release on every host'
        ) from error


def accepted(content: bytes = b'') -> Outcome:
    """Return the outcome of an order that was carried out."""
    return Outcome(outcome='accepted', content=content)


def refused(reason: str, detail: str) -> Outcome:
    """Return the outcome of an order that breaks a rule."""
    return Outcome(outcome='refused', reason=reason, detail=detail)


def unavailable(reason: str, detail: str = '') -> Outcome:
    """Return the outcome of an order that may be sent again."""
    return Outcome(outcome='unavailable', reason=reason, detail=detail)
