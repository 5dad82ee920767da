import asyncio

import pytest

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_order
from turmericwharf.coordination.sidecar import order_table
from turmericwharf.coordination.sidecar.order_table import OrderTable
from turmericwharf.state import Answered
from turmericwharf.state.sidecar import WorkAnswer

ANSWER = WorkAnswer(Answered(200, (), b'x'), None, None, True, 0, 0, 5)


class Runs:
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


async def test_order_that_comes_twice_runs_once():
    """A request that was sent again after a lost connection would run a second time."""
    table, runs = OrderTable(ManualClock()), Runs()
    first = asyncio.create_task(table.join(make_order(), runs.run))
    second = asyncio.create_task(table.join(make_order(), runs.run))
    await asyncio.sleep(0.001)
    runs.ended.set()
    assert await first == await second == ANSWER
    assert await table.join(make_order(), runs.run) == ANSWER
    assert runs.count == 1


async def test_run_goes_on_when_its_caller_is_cut_off():
    """A reset of the connection between two nodes would lose a command that runs."""
    table, runs = OrderTable(ManualClock()), Runs()
    first = asyncio.create_task(table.join(make_order(), runs.run))
    await asyncio.sleep(0.001)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    again = asyncio.create_task(table.join(make_order(), runs.run))
    await asyncio.sleep(0.001)
    runs.ended.set()
    assert await again == ANSWER
    assert runs.count == 1


async def test_running_work_that_must_not_repeat_is_not_cut():
    """A cancelled command would be broken off in the middle."""
    table, runs, order = OrderTable(ManualClock()), Runs(), make_order(idempotent=False)
    joined = asyncio.create_task(table.join(order, runs.run))
    await asyncio.sleep(0.001)
    table.mark_sent(order)
    table.cancel((order.request, order.attempt))
    await asyncio.sleep(0.001)
    assert not runs.was_cancelled
    runs.ended.set()
    assert await joined == ANSWER


@pytest.mark.parametrize(('idempotent', 'at_server'), [(True, True), (False, False)])
async def test_other_work_of_a_caller_that_left_is_stopped(idempotent, at_server):
    """Servers would work for callers that are gone."""
    table, runs, order = OrderTable(ManualClock()), Runs(), make_order(idempotent=idempotent)
    joined = asyncio.create_task(table.join(order, runs.run))
    await asyncio.sleep(0.001)
    if at_server:
        table.mark_sent(order)
    table.cancel((order.request, order.attempt))
    assert await joined is None
    assert runs.was_cancelled


async def test_orphan_is_stopped_after_a_while(monkeypatch):
    """Work whose node never asks again would keep its slot."""
    monkeypatch.setattr(order_table, '_ORPHAN_SECONDS', 0.01)
    table, runs = OrderTable(ManualClock()), Runs()
    joined = asyncio.create_task(table.join(make_order(idempotent=True), runs.run))
    await asyncio.sleep(0.001)
    joined.cancel()
    await asyncio.sleep(0.05)
    assert runs.was_cancelled


async def test_answers_are_dropped_after_their_time():
    """The kept answers would fill the memory."""
    clock = ManualClock()
    table, runs = OrderTable(clock), Runs()
    runs.ended.set()
    await table.join(make_order(), runs.run)
    clock.at += 60
    await table.join(make_order(request='r2'), runs.run)
    await table.join(make_order(), runs.run)
    assert runs.count == 3
