"""Encode and decode the typed messages between processes.

A message is a frozen dataclass registered with :func:`message`. On the wire
it consists of two frames: the kind, which is the registered name, and the
body in MessagePack. Unknown fields are ignored and missing fields get their
default, so that hosts of neighbouring releases can exchange messages.
"""

from collections.abc import Callable
import dataclasses
from typing import TypeVar

import msgspec

from skylarkpitch import errors

__all__ = ['decode', 'encode', 'kind_of', 'message', 'registered_kinds']

MAX_BODY_BYTES = 64 * 1024 * 1024

_T = TypeVar('_T')

_types: dict[str, type] = {}
_kinds: dict[type, str] = {}
_decoders: dict[str, msgspec.msgpack.Decoder] = {}
_encoder = msgspec.msgpack.Encoder()


def message(kind: str) -> Callable[[type[_T]], type[_T]]:
    """Turn a class into a frozen dataclass and register it as ``kind``.

    Raises ``ValueError`` if the kind is already registered.
    """

    def register(cls: type[_T]) -> type[_T]:
        if kind in _types:
            raise ValueError(f'message kind {kind!r} is already registered')
        message_type = dataclasses.dataclass(
            frozen=True, slots=True, kw_only=True
        )(cls)
        _types[kind] = message_type
        _kinds[message_type] = kind
        return message_type

    return register


def kind_of(item: object) -> str:
    """Return the kind of a message.

    Raises ``KeyError`` if the object is not of a registered class.
    """
    return _kinds[type(item)]


def registered_kinds() -> tuple[str, ...]:
    """Return all registered message kinds, sorted."""
    return tuple(sorted(_types))


def encode(item: object) -> tuple[bytes, bytes]:
    """Return the kind frame and the body frame of a message."""
    return kind_of(item).encode(), _encoder.encode(item)


def decode(kind: bytes, body: bytes) -> object:
    """Return the message that a kind frame and a body frame encode.

    Raises ``MessageError`` if the kind is unknown, the body is not valid for
    the kind, or the body is larger than ``MAX_BODY_BYTES``.
    """
    if len(body) > MAX_BODY_BYTES:
        raise errors.MessageError(
            f'message body of {len(body)} bytes exceeds the limit of '
            f'{MAX_BODY_BYTES}; split it into smaller messages'
        )
    try:
        decoder = _decoder(kind.decode('ascii'))
        return decoder.decode(body)
    except (UnicodeDecodeError, KeyError) as error:
        raise errors.MessageError(
            f'message kind {kind[:40]!r} is unknown; run the same release '
            'on every host'
        ) from error
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.MessageError(
            f'message of kind {kind[:40]!r} is malformed: {error}; run the '
            'same release on every host'
        ) from error


def _decoder(kind: str) -> msgspec.msgpack.Decoder:
    if kind not in _decoders:
        _decoders[kind] = msgspec.msgpack.Decoder(_types[kind])
    return _decoders[kind]
