"""Waits that are cancelled in the steps in which they end."""

import asyncio

import pytest

from skylarkpitch.dissemination import waiters
from tests.stand_ins import virtual_time
from tests import test_limits

# Steps of the event loop from the end of a wait to the task that waited.
STEPS = range(4)


def cancel_after(task, steps, accepted):
    """Cancel a task after some steps of the event loop.

    Adds to ``accepted`` whether the task had not ended by then.
    """
    if steps == 0:
        accepted.append(task.cancel())
        return
    loop = asyncio.get_running_loop()
    loop.call_soon(cancel_after, task, steps - 1, accepted)


async def assert_cancelled(task, accepted):
    """Assert that a task ends by its cancellation, unless it came late."""
    done, _pending = await asyncio.wait([task], timeout=0.05)
    assert done
    assert [task.cancelled()] == accepted


# Guards against a request that goes on after its caller has left, since the
# token that it waited for came in the same step.
@pytest.mark.parametrize('steps', STEPS)
def test_cancelled_wait_for_a_token_ends(steps):
    async def scenario(fleet):
        name = test_limits.ALL[0]
        accepted = []
        while True:
            task = asyncio.ensure_future(fleet.spend(name))
            await asyncio.sleep(0)
            queue = fleet.limits[name]._queues.get('org')
            if queue is not None and queue.waiters:
                break
        queue.waiters[0].add_done_callback(
            lambda _done: cancel_after(task, steps, accepted)
        )
        await asyncio.wait([queue.waiters[0]])
        await assert_cancelled(task, accepted)

    test_limits.with_fleet(scenario)


# Guards against a follower that goes on after it was told to stop.
@pytest.mark.parametrize('steps', STEPS)
def test_cancelled_wait_for_a_condition_ends(steps):
    async def check():
        waiting, accepted = waiters.Waiters(), []
        task = asyncio.ensure_future(
            waiting.wait_for(lambda: False, timeout_s=10.0)
        )
        await asyncio.sleep(0.01)
        waiting.wake()
        cancel_after(task, steps, accepted)
        await assert_cancelled(task, accepted)

    virtual_time.run(check())
