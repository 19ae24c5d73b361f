"""Tests that the pages for callers and operators agree with the code."""

import asyncio
import pathlib
import re

import aiohttp
from aiohttp import web
import pytest

from skylarkpitch.requests import refusals
from tests.stand_ins import request_ports
from tests import test_requests_path

DOCS = pathlib.Path(__file__).parent.parent / 'docs'


def test_example_sends_one_booking_after_a_look_up():
    page = (DOCS / 'callers.md').read_text()
    example = {}
    exec(re.search(r'```python\n(.*?)```', page, re.DOTALL)[1], example)
    bookings = []

    async def book(request):
        bookings.append(request.headers['Idempotency-Key'])
        return web.Response(status=201, text='booked')

    async def go():
        async with (
            request_ports.serving(book) as upstream,
            test_requests_path.serve_bench(upstream) as bench,
        ):

            async def look_up(request):
                assert request.query['service'] == 'desk'
                return web.json_response(
                    {
                        'service': 'desk',
                        'hosts': [{'url': bench.url, 'weight': 1}],
                        'lifetime_s': 5.0,
                        'operation_id_prefix': 'r1.abc.',
                    }
                )

            async with (
                request_ports.serving(look_up) as entry,
                aiohttp.ClientSession() as session,
            ):
                return await example['book'](session, entry, 'key-a', 'pan=1')

    assert asyncio.run(asyncio.wait_for(go(), 20)) == (201, 'booked')
    assert len(bookings) == 1 and bookings[0].startswith('r1.abc.')


@pytest.mark.parametrize('reason', sorted(refusals.REFUSALS))
def test_page_of_refusals_lists_each_with_status_and_outcome(reason):
    page = (DOCS / 'operators' / 'refusals.md').read_text()
    status, outcome, _ = refusals.REFUSALS[reason]
    [row] = [
        line
        for line in page.splitlines()
        if line.startswith('|') and f'`{reason}`' in line.split('|')[2]
    ]
    assert row.startswith(f'| {status} |')
    assert f'| {outcome.value} |' in row
