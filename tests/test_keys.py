"""Tests of keys and of the ring that checks them."""

import random

import pytest

from skylarkpitch.config import keys as caller_keys

MADE = caller_keys.new_key(random.Random(1).randbytes)
RECORD = caller_keys.KeyRecord(
    organisation='daegu-pans',
    salt=MADE.salt,
    secret_hash=MADE.secret_hash,
    issued_at_s=0.0,
)


@pytest.mark.parametrize(
    'text, answer',
    [
        (MADE.text, 'daegu-pans'),
        (MADE.text + '0', 'key_unknown'),
        (MADE.text[:-1], 'key_unknown'),
        (f'sk_{"0" * 16}_{MADE.text.split("_")[2]}', 'key_unknown'),
        (f'sk_{MADE.key_id}_', 'key_unknown'),
        ('', 'key_malformed'),
        ('sk', 'key_malformed'),
        (MADE.key_id, 'key_malformed'),
        (MADE.text + '_x', 'key_malformed'),
        ('SK' + MADE.text[2:], 'key_malformed'),
        ('sk_\ud800_x', 'key_malformed'),
        ('sk_a_' + 'x' * 10_000, 'key_malformed'),
    ],
)
def test_key_ring(text, answer):
    ring = caller_keys.KeyRing()
    ring.put(MADE.key_id, RECORD)
    found = ring.organisation_of(text)
    assert getattr(found, 'reason', found) == answer
    ring.remove(MADE.key_id)
    assert not ring.organisation_of(text)
