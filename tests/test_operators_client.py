"""Tests of the tool's client against a small fake control host."""

import asyncio

from aiohttp import web
import pytest

from skylarkpitch import errors
from skylarkpitch.operators import client

ACCEPTED = (200, {'version': 7})
NOT_LEADER = (421, {'reason': 'not_leader', 'message': 'ask b'})
CONFLICT = (409, {'reason': 'version_conflict', 'message': 'now at 9'})
UNCERTAIN = (504, {'reason': 'uncertain', 'message': 'lost'})
CUT = None


def post(scripts, *, timeout_s=0.6):
    """Post once to control hosts that answer by their scripts."""
    seen = []

    async def scenario():
        runners, urls = [], []
        for script in scripts:
            application = web.Application()
            application.router.add_post('/x', answering(script, seen))
            runner = web.AppRunner(application)
            await runner.setup()
            site = web.TCPSite(runner, '127.0.0.1', 0)
            await site.start()
            runners.append(runner)
            port = site._server.sockets[0].getsockname()[1]
            urls.append(f'http://127.0.0.1:{port}')
        made = client.Client(urls=tuple(urls), token='t', timeout_s=timeout_s)
        try:
            return await made._call('POST', '/x', {'operation_id': 'op-1'})
        finally:
            for runner in runners:
                await runner.cleanup()

    return asyncio.run(scenario()), seen


def answering(script, seen):
    answers = list(script)

    async def handler(request):
        seen.append((await request.json())['operation_id'])
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer is CUT:
            request.transport.abort()
            return web.Response()
        return web.json_response(answer[1], status=answer[0])

    return handler


@pytest.mark.parametrize(
    'scripts',
    [
        [[ACCEPTED]],
        [[NOT_LEADER], [ACCEPTED]],
        [[NOT_LEADER], [NOT_LEADER, ACCEPTED]],
        [[CUT, ACCEPTED]],
        [[UNCERTAIN, ACCEPTED]],
    ],
)
def test_change_is_sent_until_accepted_under_one_id(scripts):
    answer, seen = post(scripts, timeout_s=3.0)
    assert answer == {'version': 7}
    assert set(seen) == {'op-1'}


@pytest.mark.parametrize(
    'scripts, error, said',
    [
        ([[CONFLICT]], client.ApiError, 'now at 9'),
        ([[NOT_LEADER]], client.ApiError, 'nothing was changed'),
        ([[CUT]], errors.UncertainError, '--operation-id op-1'),
        ([[UNCERTAIN]], errors.UncertainError, '--operation-id op-1'),
    ],
)
def test_failure_says_whether_the_change_was_taken(scripts, error, said):
    with pytest.raises(error, match=said):
        post(scripts)
