"""Tests that headers of an answer can be sent to ledger members."""

import msgspec
import multidict

from skylarkpitch.requests import headers


def test_passed_headers_are_plain_strings_that_the_codec_takes():
    answer = multidict.CIMultiDictProxy(
        multidict.CIMultiDict([(multidict.istr('X-Number'), '7')])
    )
    pairs = headers.end_to_end(answer)
    assert type(pairs[0][0]) is str
    assert msgspec.msgpack.encode(pairs)
