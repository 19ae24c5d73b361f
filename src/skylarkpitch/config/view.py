"""View of the parts of the state as documents, keys and sets of names."""

import json
from typing import Any

import msgspec

from skylarkpitch.config import keys as caller_keys
from skylarkpitch.config import parts
from skylarkpitch.settings import deployment

__all__ = ['StateView', 'encode_key']

_encode = msgspec.json.encode
_decode_key = msgspec.json.Decoder(caller_keys.KeyRecord).decode


class StateView:
    """Base, overlays, keys, drains and leaving hosts, updated by part.

    Parts of an unknown kind are ignored.
    """

    def __init__(self) -> None:
        self.base: dict[str, Any] = {}
        self.overlays: dict[str, dict[str, Any]] = {}
        self.keys = caller_keys.KeyRing()
        self.drains: set[str] = set()
        self.leaving_hosts: set[str] = set()

    def put(self, key: parts.PartKey, value: bytes | None) -> None:
        """Set a part, or remove it when ``value`` is None."""
        kind, *path = key
        if kind == 'base':
            _put(self.base, path, value)
        elif kind == 'overlay':
            self._put_overlay(path, value)
        elif kind == 'key':
            self._put_key(path[0], value)
        elif kind == 'drain':
            _set_present(self.drains, path[0], value is not None)
        elif kind == 'leaving':
            _set_present(self.leaving_hosts, path[0], value is not None)

    def site_config(self, site: str) -> deployment.SiteConfig:
        """Return the merged configuration of a site.

        Raises ``ValidationError`` if it is not valid.
        """
        overlay = self.overlays.get(site, {})
        return deployment.validate_site(self.base, overlay, site=site)

    def _put_overlay(self, path: list[str], value: bytes | None) -> None:
        site, *rest = path
        if value is None and (not rest or site not in self.overlays):
            self.overlays.pop(site, None)
            return
        overlay = self.overlays.setdefault(site, {})
        _put(overlay, rest, value)

    def _put_key(self, key_id: str, value: bytes | None) -> None:
        if value is None:
            self.keys.remove(key_id)
        else:
            self.keys.put(key_id, _decode_key(value))


def _set_present(names: set[str], name: str, present: bool) -> None:
    if present:
        names.add(name)
    else:
        names.discard(name)


def _put(
    document: dict[str, Any], path: list[str], value: bytes | None
) -> None:
    if len(path) == 1:
        _put_entry(document, path[0], value)
    elif len(path) == 2:
        _put_in_section(document, *path, value)


def _put_entry(
    entries: dict[str, Any], name: str, value: bytes | None
) -> None:
    if value is None:
        entries.pop(name, None)
    else:
        entries[name] = json.loads(value)


def _put_in_section(
    document: dict[str, Any], section: str, name: str, value: bytes | None
) -> None:
    entries = document.get(section)
    if not isinstance(entries, dict):
        if value is None:
            return
        entries = document[section] = {}
    _put_entry(entries, name, value)
    if not entries:
        del document[section]


def encode_key(record: caller_keys.KeyRecord) -> bytes:
    """Return the encoded value of the part of a key."""
    return _encode(record)
