"""Tests of API keys and of the key ring that checks them."""

import random

import pytest

from skylarkpitch.config import keys as caller_keys

NEW_KEY = caller_keys.new_key(random.Random(1).randbytes)
RECORD = caller_keys.KeyRecord(
    organisation='daegu-pans',
    salt=NEW_KEY.salt,
    secret_hash=NEW_KEY.secret_hash,
    issued_at_s=0.0,
)


@pytest.mark.parametrize(
    'text, expected',
    [
        (NEW_KEY.text, 'daegu-pans'),
        (NEW_KEY.text + '0', 'key_unknown'),
        (NEW_KEY.text[:-1], 'key_unknown'),
        (f'sk_{"0" * 16}_{NEW_KEY.text.split("_")[2]}', 'key_unknown'),
        (f'sk_{NEW_KEY.key_id}_', 'key_unknown'),
        ('', 'key_malformed'),
        ('sk', 'key_malformed'),
        (NEW_KEY.key_id, 'key_malformed'),
        (NEW_KEY.text + '_x', 'key_malformed'),
        ('SK' + NEW_KEY.text[2:], 'key_malformed'),
        ('sk_\ud800_x', 'key_malformed'),
        ('sk_a_' + 'x' * 10_000, 'key_malformed'),
    ],
)
def test_key_ring_returns_the_organisation_or_a_reason(text, expected):
    key_ring = caller_keys.KeyRing()
    key_ring.put(NEW_KEY.key_id, RECORD)
    result = key_ring.organisation_of(text)
    assert getattr(result, 'reason', result) == expected
    key_ring.remove(NEW_KEY.key_id)
    assert not key_ring.organisation_of(text)
