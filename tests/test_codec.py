"""Tests of the message codec."""

import pytest

from skylarkpitch import errors
from skylarkpitch.messages import codec


@codec.message('test.sample')
class Sample:
    """Message with a field without default and one with a default."""

    name: str
    count: int = 0


def test_decode_returns_what_was_encoded():
    sample = Sample(name='a', count=3)
    assert codec.decode(*codec.encode(sample)) == sample


@pytest.mark.parametrize(
    'kind, body, expected',
    [
        (b'test.other', b'\x80', 'unknown'),
        (b'\xff', b'\x80', 'unknown'),
        (b'test.sample', b'', 'malformed'),
        (b'test.sample', b'\x80', 'malformed'),
        (b'test.sample', b'\x81\xa4name\x01', 'malformed'),
        (b'test.sample', b'\xc1' * 10, 'malformed'),
    ],
)
def test_decode_raises_message_error(kind, body, expected):
    with pytest.raises(errors.MessageError, match=expected):
        codec.decode(kind, body)
