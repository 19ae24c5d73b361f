"""Tests that response headers can be encoded for ledger members.

aiohttp returns header names as a subclass of str, which the codec rejects.
"""

import msgspec
import multidict

from skylarkpitch.requests import headers


def test_forwarded_headers_are_plain_strings_that_the_codec_accepts():
    response_headers = multidict.CIMultiDictProxy(
        multidict.CIMultiDict([(multidict.istr('X-Number'), '7')])
    )
    pairs = headers.end_to_end(response_headers)
    assert type(pairs[0][0]) is str
    assert msgspec.msgpack.encode(pairs)
