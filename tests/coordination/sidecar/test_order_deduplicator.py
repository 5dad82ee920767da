import asyncio

import pytest

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_order
from turmericwharf.coordination.sidecar import order_deduplicator
from turmericwharf.coordination.sidecar.order_deduplicator import OrderDeduplicator
from turmericwharf.state import Answered, Reason
from turmericwharf.state.sidecar import WorkAnswer

ANSWER = WorkAnswer(Answered(200, (), b'x'), None, None, True, 0, 0, 5)


class ScriptedRun:
    def __init__(self) -> None:
        self.count = 0
        self.ended = asyncio.Event()
        self.was_cancelled = False

    async def run(self) -> WorkAnswer:
        self.count += 1
        try:
            await self.ended.wait()
        except asyncio.CancelledError:
            self.was_cancelled = True
            raise
        return ANSWER


async def test_order_that_is_sent_again_runs_once():
    """An order that is sent again after a lost connection must not run a second time."""
    deduplicator, scripted_run = OrderDeduplicator(ManualClock()), ScriptedRun()
    first = asyncio.create_task(deduplicator.join(make_order(), scripted_run.run))
    second = asyncio.create_task(deduplicator.join(make_order(), scripted_run.run))
    await asyncio.sleep(0.001)
    scripted_run.ended.set()
    assert await first == await second == ANSWER
    assert await deduplicator.join(make_order(), scripted_run.run) == ANSWER
    assert scripted_run.count == 1


async def test_run_continues_when_its_caller_is_disconnected():
    """A connection reset between two nodes must not cancel a running command."""
    deduplicator, scripted_run = OrderDeduplicator(ManualClock()), ScriptedRun()
    first = asyncio.create_task(deduplicator.join(make_order(), scripted_run.run))
    await asyncio.sleep(0.001)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    again = asyncio.create_task(deduplicator.join(make_order(), scripted_run.run))
    await asyncio.sleep(0.001)
    scripted_run.ended.set()
    assert await again == ANSWER
    assert scripted_run.count == 1


async def test_sent_non_idempotent_order_is_not_cancelled():
    """Cancelling a command that was sent to the server would interrupt it halfway."""
    deduplicator, scripted_run, order = (
        OrderDeduplicator(ManualClock()),
        ScriptedRun(),
        make_order(idempotent=False),
    )
    joined = asyncio.create_task(deduplicator.join(order, scripted_run.run))
    await asyncio.sleep(0.001)
    deduplicator.mark_sent(order)
    deduplicator.cancel((order.request, order.attempt))
    await asyncio.sleep(0.001)
    assert not scripted_run.was_cancelled
    scripted_run.ended.set()
    assert await joined == ANSWER


@pytest.mark.parametrize(('idempotent', 'at_server'), [(True, True), (False, False)])
async def test_idempotent_or_unsent_order_is_cancelled_when_its_caller_leaves(
    idempotent, at_server
):
    """Servers must not work for callers that have left."""
    deduplicator, scripted_run, order = (
        OrderDeduplicator(ManualClock()),
        ScriptedRun(),
        make_order(idempotent=idempotent),
    )
    joined = asyncio.create_task(deduplicator.join(order, scripted_run.run))
    await asyncio.sleep(0.001)
    if at_server:
        deduplicator.mark_sent(order)
    deduplicator.cancel((order.request, order.attempt))
    assert await joined is None
    assert scripted_run.was_cancelled


async def test_orphaned_order_is_cancelled_after_a_timeout(monkeypatch):
    """An order that its entry node never sends again must not keep its slot."""
    monkeypatch.setattr(order_deduplicator, '_ORPHAN_TIMEOUT_SECONDS', 0.01)
    deduplicator, scripted_run = OrderDeduplicator(ManualClock()), ScriptedRun()
    joined = asyncio.create_task(deduplicator.join(make_order(idempotent=True), scripted_run.run))
    await asyncio.sleep(0.001)
    joined.cancel()
    await asyncio.sleep(0.05)
    assert scripted_run.was_cancelled


async def test_answers_are_evicted_after_the_retention_time():
    """Retained answers must not fill the memory."""
    clock = ManualClock()
    deduplicator, scripted_run = OrderDeduplicator(clock), ScriptedRun()
    scripted_run.ended.set()
    await deduplicator.join(make_order(), scripted_run.run)
    clock.at += 60
    await deduplicator.join(make_order(request='r2'), scripted_run.run)
    await deduplicator.join(make_order(), scripted_run.run)
    assert scripted_run.count == 3


async def test_an_order_whose_large_answer_was_dropped_does_not_run_again():
    """Guards against a second run because the answers of other orders took the memory."""
    deduplicator = OrderDeduplicator(ManualClock(), retained_bytes=2)
    scripted_run = ScriptedRun()
    scripted_run.ended.set()
    for number in range(5):
        order = make_order(request=f'large-{number}')
        assert await deduplicator.join(order, scripted_run.run) == ANSWER
    await asyncio.sleep(0.001)
    again = await deduplicator.join(make_order(request='large-0'), scripted_run.run)
    assert again.unknown.reason is Reason.ALREADY_RUN
    assert await deduplicator.join(make_order(request='large-4'), scripted_run.run) == ANSWER
    assert scripted_run.count == 5


async def test_an_order_is_remembered_until_its_deadline():
    """Guards against a second run after a long cut of a request with a late deadline."""
    clock = ManualClock()
    deduplicator, scripted_run = OrderDeduplicator(clock), ScriptedRun()
    scripted_run.ended.set()
    order = make_order(remaining_seconds=60.0)
    await deduplicator.join(order, scripted_run.run)
    clock.at += 59
    for number in range(3):
        await deduplicator.join(make_order(request=f'other-{number}'), scripted_run.run)
    await deduplicator.join(order, scripted_run.run)
    assert scripted_run.count == 4
    clock.at += 10
    await deduplicator.join(make_order(request='last'), scripted_run.run)
    await asyncio.sleep(0.001)
    await deduplicator.join(order, scripted_run.run)
    assert scripted_run.count == 6
