"""Create and verify the keys of callers.

A key has the form ``sk_<key id>_<secret>``. Only a salted SHA-256 hash of the
secret is stored. Since the secret has 256 random bits, a slow hash would not
improve security.
"""

from collections.abc import Callable
import dataclasses
import hashlib
import hmac
import secrets
from typing import NamedTuple

from skylarkpitch import sentinels

__all__ = ['KeyRecord', 'KeyRing', 'NewKey', 'hash_secret', 'new_key']

PREFIX = 'sk'
KEY_ID_BYTES = 8
SALT_BYTES = 16
SECRET_BYTES = 32
MAX_KEY_CHARACTERS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyRecord:
    """Stored data of a key; ``salt`` and ``secret_hash`` are hexadecimal."""

    organisation: str
    salt: str
    secret_hash: str
    issued_at_s: float


class NewKey(NamedTuple):
    """New key; ``text`` is secret and must reach only the organisation."""

    text: str
    key_id: str
    salt: str
    secret_hash: str


def hash_secret(*, salt: str, secret: str) -> str:
    """Return the salted SHA-256 hash of a secret in hexadecimal."""
    return hashlib.sha256(f'{salt}:{secret}'.encode()).hexdigest()


def new_key(
    rng_bytes: Callable[[int], bytes] = secrets.token_bytes,
) -> NewKey:
    """Return a new key; ``rng_bytes(n)`` returns ``n`` random bytes."""
    key_id = rng_bytes(KEY_ID_BYTES).hex()
    salt = rng_bytes(SALT_BYTES).hex()
    secret = rng_bytes(SECRET_BYTES).hex()
    return NewKey(
        text=f'{PREFIX}_{key_id}_{secret}',
        key_id=key_id,
        salt=salt,
        secret_hash=hash_secret(salt=salt, secret=secret),
    )


class KeyRing:
    """Valid keys, with a lookup of the organisation of a key text."""

    def __init__(self) -> None:
        self._records: dict[str, KeyRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, key_id: str) -> bool:
        return key_id in self._records

    def put(self, key_id: str, record: KeyRecord) -> None:
        """Make a key valid."""
        self._records[key_id] = record

    def remove(self, key_id: str) -> None:
        """Make a key invalid at once; an unknown id is ignored."""
        self._records.pop(key_id, None)

    def records(self) -> dict[str, KeyRecord]:
        """Return the records of all valid keys by key id."""
        return dict(self._records)

    def organisations(self) -> set[str]:
        """Return the organisations that have a valid key."""
        return {record.organisation for record in self._records.values()}

    def organisation_of(self, key_text: str) -> str | sentinels.Absent:
        """Return the organisation of a key.

        Returns ``Absent`` with reason ``key_malformed`` for a text that does
        not have the form of a key, and with ``key_unknown`` for a key that
        was withdrawn or never issued or whose secret is wrong.
        """
        fields = (
            key_text.split('_') if len(key_text) <= MAX_KEY_CHARACTERS else []
        )
        if len(fields) != 3 or fields[0] != PREFIX or not key_text.isascii():
            return sentinels.Absent('key_malformed')
        record = self._records.get(fields[1])
        if record is None:
            return sentinels.Absent('key_unknown')
        secret_hash = hash_secret(salt=record.salt, secret=fields[2])
        if not hmac.compare_digest(secret_hash, record.secret_hash):
            return sentinels.Absent('key_unknown')
        return record.organisation
