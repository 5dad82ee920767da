"""Orders at a server that is cold, or may be."""

import asyncio
import dataclasses
import itertools

from tests.coordination.sidecar.samples import make_cold_start, make_entry, make_order
from tests.coordination.sidecar.test_cold_permit import LIMIT, most_in_a_second
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_executor import OrderExecutor
from turmericwharf.state import Answered, NotRun, OutcomeUnknown, Reason
from turmericwharf.state.sidecar import AnnouncedServer, ServerPhase, SlotRequest, WorkCancel

ENTRY = make_entry()
WARM = AnnouncedServer(ENTRY.server, 'bookings', 3, ServerPhase.READY, born=1, cold_seconds=0)
SUCCESS = Answered(status=200, headers=(), body=b'')


class Server:
    """A server, and the executor beside it, that records when requests reach it."""

    run_seconds = 0.05

    def __init__(self, limit=LIMIT, entry=ENTRY) -> None:
        self.outcome = SUCCESS
        self.run_at = []
        self.numbers = itertools.count()
        clock = LoopClock()
        self.gate = make_cold_start(clock, limit)
        self.directory = NodeDirectory(entry, clock)
        self.executor = OrderExecutor(
            server=self,
            order_validator=self,
            directory=self.directory,
            clock=clock,
            cold_start=self.gate,
        )
        self.executor.queue.resize(5)

    def find_refusal(self, order, entry):
        return None

    def is_evacuated(self, entry):
        return False

    async def run(self, order, *, remaining_seconds):
        self.run_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.run_seconds)
        return self.outcome

    def announce(self, **changes):
        return self.gate.record_announcement(dataclasses.replace(WARM, **changes))

    async def send(self, count, **terms):
        terms = {'remaining_seconds': 10.0, 'target_seconds': 8.0, 'max_wait_seconds': 8.0, **terms}
        orders = (make_order(request=f'r{next(self.numbers)}', **terms) for _ in range(count))
        return await asyncio.gather(*(self.executor.serve(order, version=5) for order in orders))


def in_virtual_time(test):
    return lambda: run_in_virtual_time(test())


@in_virtual_time
async def test_a_process_that_has_just_started_counts_what_its_predecessor_may_have_sent():
    """Guards against a second batch of requests within a second of the one before the restart."""
    server = Server()
    await server.send(1)
    assert server.run_at[0] >= 1


@in_virtual_time
async def test_an_order_that_may_not_wait_is_refused_with_the_time_to_come_back():
    """Guards against orders that are queued at a cold server while others have room."""
    server = Server()
    await asyncio.sleep(2)
    answers = await server.send(12, max_wait_seconds=0.5)
    refused = [answer.refused for answer in answers if answer.refused is not None]
    assert len(server.run_at) == 8 and len(refused) == 4
    reply = server.executor.find_slot(SlotRequest(ENTRY.process, ENTRY.server), version=5)
    for refusal in (*refused, reply.refused):
        assert refusal.reason is Reason.SERVER_COLD
        assert 0.9 < refusal.retry_seconds < 1.1


@in_virtual_time
async def test_an_urgent_order_is_not_refused_for_those_behind_it():
    """Guards against urgent orders that give way to others, and against refusals of orders that a
    cold server can take in time.
    """
    server = Server()
    await asyncio.sleep(2)
    sending = asyncio.create_task(server.send(40))
    await asyncio.sleep(0.1)
    (ordinary,) = await server.send(1, max_wait_seconds=2)
    assert ordinary.refused.reason is Reason.SERVER_COLD
    (urgent,) = await server.send(1, max_wait_seconds=2, rank=1)
    assert all(answer.answered is not None for answer in (urgent, *await sending))
    assert most_in_a_second(server.run_at) == 8


@in_virtual_time
async def test_an_order_whose_caller_left_gives_its_turn_to_the_next():
    """Guards against orders that wait behind one that was cancelled."""
    server = Server()
    await asyncio.sleep(2)
    await server.send(8)
    sending = [asyncio.create_task(server.send(1)) for _ in range(2)]
    await asyncio.sleep(0.1)
    server.executor.cancel(WorkCancel('r8', 1))
    (left,), (served,) = await asyncio.gather(*sending)
    assert left.refused.reason is Reason.CALLER_LEFT
    assert served.answered is not None and len(server.run_at) == 9


@in_virtual_time
async def test_waiting_orders_start_when_the_server_is_reported_warm():
    """Guards against orders that wait for the permit of a server that is cold no longer."""
    server = Server()
    await asyncio.sleep(2)
    sending = asyncio.create_task(server.send(14))
    await asyncio.sleep(0.2)
    assert len(server.run_at) == 8
    server.announce()
    await sending
    assert server.run_at[-1] < 2.5


@in_virtual_time
async def test_a_server_of_unknown_state_counts_as_cold_until_it_reports():
    """Guards against full load on a server that was restarted before its next announcement, or of
    which nothing is known any more.
    """
    server = Server()
    for reason in (Reason.ANSWER_INCOMPLETE, Reason.SERVER_UNREACHABLE):
        server.announce()
        assert not server.gate.is_cold
        is_refused = reason is Reason.SERVER_UNREACHABLE
        server.outcome = NotRun(reason) if is_refused else OutcomeUnknown(reason)
        await server.send(1)
        assert server.gate.is_cold
        server.executor.breaker.reset()
    server.announce()
    await asyncio.sleep(2.9)
    assert not server.gate.is_cold
    await asyncio.sleep(0.2)
    assert server.gate.is_cold


@in_virtual_time
async def test_the_bound_holds_for_a_server_that_becomes_cold_between_announcements():
    """Guards against the load of a warm server on one that is cold and could not say so yet."""
    server = Server()
    await asyncio.sleep(2)
    server.announce()
    await asyncio.gather(server.send(60), asyncio.sleep(1))
    server.announce(sequence=2, cold_seconds=4)
    await server.send(30)
    assert 8 < most_in_a_second(server.run_at) <= 1.5 * 7.5 + 8


@in_virtual_time
async def test_a_new_start_that_reports_nothing_is_cold_for_the_time_of_its_service():
    """Guards against full load on servers whose announcements do not say whether they are cold."""
    server = Server()
    assert server.announce(cold_seconds=None)
    assert not server.announce(cold_seconds=None, sequence=2)
    assert server.gate.cold_seconds == LIMIT.start_seconds
    await asyncio.sleep(4.1)
    assert server.announce(cold_seconds=None, born=2)


@in_virtual_time
async def test_services_without_a_limit_are_not_affected():
    """Guards against refusals and waits in deployments that name no limit."""
    server = Server(limit=None)
    server.announce(cold_seconds=9)
    answers = await server.send(60)
    assert all(answer.answered is not None for answer in answers)
    assert server.run_at[-1] < 0.7 and not server.gate.cold_seconds
