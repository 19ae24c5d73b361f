"""Test the client of the tool against fake control hosts."""

import asyncio

from aiohttp import web
import pytest

from skylarkpitch import errors
from skylarkpitch.operators import client

ACCEPTED = (200, {'version': 7})
NOT_LEADER = (421, {'reason': 'not_leader', 'message': 'ask b'})
CONFLICT = (409, {'reason': 'version_conflict', 'message': 'now at 9'})
UNCERTAIN = (504, {'reason': 'uncertain', 'message': 'lost'})
ABORTED = None
# No status of a response; what it says is not to be trusted.
INVALID_STATUS = (700, {'version': 8})


def post(scripts, *, timeout_s=0.6):
    """Post once to control hosts; return the result and the ids received.

    Each host sends the responses of its script in order and repeats the last.
    """
    received_ids = []

    async def scenario():
        runners, urls = [], []
        for script in scripts:
            application = web.Application()
            application.router.add_post(
                '/x', scripted_handler(script, received_ids)
            )
            runner = web.AppRunner(application)
            await runner.setup()
            site = web.TCPSite(runner, '127.0.0.1', 0)
            await site.start()
            runners.append(runner)
            port = site._server.sockets[0].getsockname()[1]
            urls.append(f'http://127.0.0.1:{port}')
        tested = client.Client(
            urls=tuple(urls), token='t', timeout_s=timeout_s
        )
        try:
            return await tested._call('POST', '/x', {'operation_id': 'op-1'})
        finally:
            for runner in runners:
                await runner.cleanup()

    return asyncio.run(scenario()), received_ids


def scripted_handler(script, received_ids):
    responses = list(script)

    async def handler(request):
        received_ids.append((await request.json())['operation_id'])
        response = responses.pop(0) if len(responses) > 1 else responses[0]
        if response is ABORTED:
            request.transport.abort()
            return web.Response()
        return web.json_response(response[1], status=response[0])

    return handler


@pytest.mark.parametrize(
    'scripts',
    [
        [[ACCEPTED]],
        [[NOT_LEADER], [ACCEPTED]],
        [[NOT_LEADER], [NOT_LEADER, ACCEPTED]],
        [[ABORTED, ACCEPTED]],
        [[UNCERTAIN, ACCEPTED]],
        [[INVALID_STATUS, ACCEPTED]],
        [[INVALID_STATUS], [ACCEPTED]],
    ],
)
def test_change_is_sent_until_accepted_under_one_id(scripts):
    result, received_ids = post(scripts, timeout_s=3.0)
    assert result == {'version': 7}
    assert set(received_ids) == {'op-1'}


@pytest.mark.parametrize(
    'scripts, error, expected',
    [
        ([[CONFLICT]], client.ApiError, 'now at 9'),
        ([[NOT_LEADER]], client.ApiError, 'nothing was changed'),
        ([[ABORTED]], errors.UncertainError, '--operation-id op-1'),
        ([[UNCERTAIN]], errors.UncertainError, '--operation-id op-1'),
        ([[INVALID_STATUS]], errors.UncertainError, '--operation-id op-1'),
    ],
)
def test_error_states_whether_the_change_was_applied(scripts, error, expected):
    with pytest.raises(error, match=expected):
        post(scripts)
