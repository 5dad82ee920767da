"""Runs of orders at the backend server beside the node."""

import asyncio

from tests.coordination.sidecar.samples import make_cold_start, make_entry, make_order
from tests.virtual_time import run_in_virtual_time
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_executor import OrderExecutor
from turmericwharf.state import Answered, OutcomeUnknown, Reason
from turmericwharf.state.sidecar import SlotRequest


class EventLoopClock:
    """Clock of the event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()


class AcceptingValidator:
    """Validator that refuses no order."""

    def find_refusal(self, order, entry):
        return None

    def is_evacuated(self, entry):
        return False


class ScriptedServer:
    """Connection to a server that returns, or raises, the scripted results in turn."""

    def __init__(self, *results) -> None:
        self.results = list(results)

    async def run(self, order, *, remaining_seconds):
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


def make_executor(server) -> OrderExecutor:
    clock = EventLoopClock()
    return OrderExecutor(
        server=server,
        order_validator=AcceptingValidator(),
        directory=NodeDirectory(make_entry(), clock),
        clock=clock,
        cold_start=make_cold_start(clock),
    )


async def test_an_unexpected_error_is_an_unknown_outcome_of_its_order_only():
    """Guards against an error of one order that ends the connection, and other orders with it."""
    answered = Answered(status=200, headers=(), body=b'')
    executor = make_executor(ScriptedServer(RuntimeError('unexpected'), answered))
    failed = await executor.serve(make_order(), version=5)
    assert failed.unknown is not None
    assert failed.reached_server
    other = await executor.serve(make_order(request='r2'), version=5)
    assert other.answered == answered


BROKEN = OutcomeUnknown(Reason.ANSWER_INCOMPLETE)


async def test_an_open_breaker_tells_when_the_next_trial_starts():
    """Guards against entry nodes that send request after request to a server that is not tried."""
    executor = make_executor(ScriptedServer(BROKEN))
    await executor.serve(make_order(), version=5)
    refused = await executor.serve(make_order(request='r2'), version=5)
    assert refused.refused.reason is Reason.BREAKER_OPEN
    assert 0 < refused.refused.retry_seconds < 1


class HangingServer:
    """Connection to a server that answers fast until it hangs."""

    def __init__(self) -> None:
        self.hangs = False

    async def run(self, order, *, remaining_seconds):
        if not self.hangs:
            await asyncio.sleep(0.1)
            return Answered(status=200, headers=(), body=b'')
        await asyncio.sleep(remaining_seconds)
        return OutcomeUnknown(Reason.ANSWER_TIMEOUT)


def test_orders_go_elsewhere_while_overdue_runs_hold_the_slots():
    """Guards against work that is placed at a hanging server until its first timeouts.

    An order that may wait as long as its target allows is accepted, as no other server is left.
    """

    async def scenario():
        server = HangingServer()
        executor = make_executor(server)
        executor.queue.resize(4)
        terms = {'remaining_seconds': 5.0, 'target_seconds': 2.0, 'max_wait_seconds': 0.0}
        for number in range(4):
            await executor.serve(make_order(request=f'fast-{number}', **terms), version=5)
        server.hangs = True
        hanging = [
            asyncio.create_task(executor.serve(make_order(request=f'slow-{n}', **terms), version=5))
            for n in range(2)
        ]
        await asyncio.sleep(0.2)
        server.hangs = False
        accepted = await executor.serve(make_order(request='early', **terms), version=5)
        assert accepted.answered is not None
        await asyncio.sleep(0.2)
        refused = await executor.serve(make_order(request='other', **terms), version=5)
        assert refused.refused.reason is Reason.SERVER_BUSY
        last = terms | {'max_wait_seconds': 2.0}
        accepted = await executor.serve(make_order(request='last', **last), version=5)
        assert accepted.answered is not None
        for task in hanging:
            task.cancel()

    run_in_virtual_time(scenario())


async def test_a_slot_is_free_only_for_an_order_that_would_run_at_once():
    """Guards against requests that are sent to another data centre and refused there."""
    server = HangingServer()
    executor = make_executor(server)
    entry = make_entry()
    asked = SlotRequest(entry.process, entry.server)
    assert executor.find_slot(asked, version=5).refused is None
    replaced = SlotRequest('process-before', entry.server)
    assert executor.find_slot(replaced, version=5).refused.reason is Reason.PROCESS_REPLACED
    other = SlotRequest(entry.process, 'server-before')
    assert executor.find_slot(other, version=5).refused.reason is Reason.SERVER_UNKNOWN
    server.hangs = True
    running = asyncio.create_task(executor.serve(make_order(), version=5))
    await asyncio.sleep(0.01)
    reply = executor.find_slot(asked, version=5)
    assert (reply.refused.reason, reply.running) == (Reason.SERVER_BUSY, 1)
    running.cancel()


async def test_an_open_breaker_has_no_free_slot():
    """Guards against requests from another data centre that meet a broken server."""
    executor = make_executor(ScriptedServer(BROKEN))
    await executor.serve(make_order(), version=5)
    entry = make_entry()
    reply = executor.find_slot(SlotRequest(entry.process, entry.server), version=5)
    assert reply.refused.reason is Reason.BREAKER_OPEN
