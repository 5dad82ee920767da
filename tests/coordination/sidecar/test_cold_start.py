"""Orders at a server that is cold, or may be."""

import asyncio
import dataclasses
import itertools

import pytest

from tests.coordination.sidecar.samples import make_cold_start, make_entry, make_order
from tests.coordination.sidecar.test_cold_permit import most_in_a_second
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_executor import OrderExecutor
from turmericwharf.state import Answered, NotRun, OutcomeUnknown, Reason
from turmericwharf.state.sidecar import (
    AnnouncedServer,
    ColdLimit,
    ServerPhase,
    SlotRequest,
    WorkCancel,
)

LIMIT = ColdLimit(start_seconds=4, requests_per_second=7.5)
ENTRY = make_entry()
WARM = AnnouncedServer(
    ENTRY.server, 'bookings', 3, ServerPhase.READY, born=1, sequence=1, cold_seconds=0
)
SUCCESS = Answered(status=200, headers=(), body=b'')


class Server:
    """Executor of a server that records when requests reach it."""

    def __init__(self, limit=LIMIT) -> None:
        self.clock = LoopClock()
        self.outcome = SUCCESS
        self.run_at = []
        self.numbers = itertools.count()
        self.gate = make_cold_start(self.clock, limit)
        self.executor = OrderExecutor(
            server=self,
            order_validator=self,
            directory=NodeDirectory(ENTRY, self.clock),
            clock=self.clock,
            cold_start=self.gate,
        )
        self.executor.queue.resize(5)

    def find_refusal(self, order, entry):
        return None

    def is_evacuated(self, entry):
        return False

    async def run(self, order, *, remaining_seconds):
        self.run_at.append(self.clock.now())
        await asyncio.sleep(0.05)
        return self.outcome

    async def announce_each(self, seconds, server=WARM):
        while True:
            self.gate.record_announcement(server)
            await asyncio.sleep(seconds)

    async def send(self, count, **terms):
        terms = {'remaining_seconds': 10.0, 'target_seconds': 8.0, 'max_wait_seconds': 8.0, **terms}
        orders = (make_order(request=f'r{next(self.numbers)}', **terms) for _ in range(count))
        return await asyncio.gather(*(self.executor.serve(order, version=5) for order in orders))


def run_scenario(scenario, limit=LIMIT):
    async def main():
        await scenario(Server(limit))

    run_in_virtual_time(main())


def test_a_process_that_has_just_started_counts_what_its_predecessor_may_have_sent():
    """Guards against a second batch of requests within a second of the one before the restart."""

    async def scenario(server):
        await server.send(1)
        assert server.run_at[0] >= 1

    run_scenario(scenario)


def test_an_order_that_may_not_wait_is_refused_with_the_time_to_come_back():
    """Guards against orders that are queued at a cold server while others have room."""

    async def scenario(server):
        await asyncio.sleep(2)
        answers = await server.send(12, max_wait_seconds=0.5)
        refused = [answer.refused for answer in answers if answer.refused is not None]
        assert len(server.run_at) == 8 and len(refused) == 4
        assert {refusal.reason for refusal in refused} == {Reason.SERVER_COLD}
        assert all(0.9 < refusal.retry_seconds < 1.1 for refusal in refused)
        reply = server.executor.find_slot(SlotRequest(ENTRY.process, ENTRY.server), version=5)
        assert reply.refused.reason is Reason.SERVER_COLD
        assert 0.9 < reply.refused.retry_seconds < 1.1

    run_scenario(scenario)


def test_orders_wait_for_the_permit_as_long_as_they_may():
    """Guards against refusals of orders that a cold server can take in time."""

    async def scenario(server):
        await asyncio.sleep(2)
        answers = await server.send(40)
        assert all(answer.answered is not None for answer in answers)
        assert most_in_a_second(server.run_at) == 8

    run_scenario(scenario)


def test_an_urgent_order_is_not_refused_for_those_behind_it():
    """Guards against urgent orders that give way to a queue of less urgent ones."""

    async def scenario(server):
        await asyncio.sleep(2)
        sending = asyncio.create_task(server.send(40))
        await asyncio.sleep(0.1)
        (ordinary,) = await server.send(1, max_wait_seconds=2)
        assert ordinary.refused.reason is Reason.SERVER_COLD
        (urgent,) = await server.send(1, max_wait_seconds=2, rank=1)
        assert urgent.answered is not None
        await sending

    run_scenario(scenario)


def test_an_order_whose_caller_left_gives_its_turn_to_the_next():
    """Guards against orders that wait behind one that was cancelled."""

    async def scenario(server):
        await asyncio.sleep(2)
        await server.send(8)
        sending = asyncio.create_task(server.send(1))
        await asyncio.sleep(0.1)
        other = asyncio.create_task(server.send(1, rank=1))
        await asyncio.sleep(0.1)
        server.executor.cancel(WorkCancel('r8', 1))
        (left,), (served,) = await asyncio.gather(sending, other)
        assert left.refused.reason is Reason.CALLER_LEFT
        assert served.answered is not None and len(server.run_at) == 9
        assert server.gate.waiting == 0
        assert server.executor.queue.in_progress == 0

    run_scenario(scenario)


def test_waiting_orders_start_when_the_server_is_reported_warm():
    """Guards against orders that wait for the permit of a server that is cold no longer."""

    async def scenario(server):
        await asyncio.sleep(2)
        sending = asyncio.create_task(server.send(14))
        await asyncio.sleep(0.2)
        assert len(server.run_at) == 8
        server.gate.record_announcement(WARM)
        await sending
        assert server.run_at[-1] < 2.5

    run_scenario(scenario)


@pytest.mark.parametrize(
    'outcome',
    [OutcomeUnknown(Reason.ANSWER_INCOMPLETE), NotRun(Reason.SERVER_UNREACHABLE)],
)
def test_a_server_whose_connection_failed_counts_as_cold_until_it_reports(outcome):
    """Guards against full load on a server that was restarted before its next announcement."""

    async def scenario(server):
        server.gate.record_announcement(WARM)
        assert not server.gate.is_cold
        server.outcome = outcome
        await asyncio.sleep(2)
        await server.send(1)
        assert server.gate.is_cold
        server.gate.record_announcement(dataclasses.replace(WARM, sequence=2))
        assert not server.gate.is_cold

    run_scenario(scenario)


def test_a_server_whose_announcement_is_overdue_counts_as_cold():
    """Guards against full load on a server of which nothing is known any more."""

    async def scenario(server):
        server.gate.record_announcement(WARM)
        await asyncio.sleep(2.9)
        assert not server.gate.is_cold
        await asyncio.sleep(0.2)
        assert server.gate.is_cold

    run_scenario(scenario)


def test_the_bound_holds_for_a_server_that_becomes_cold_between_announcements():
    """Guards against the load of a warm server on one that is cold and could not say so yet."""

    async def scenario(server):
        announcing = asyncio.create_task(server.announce_each(1.5))
        await asyncio.sleep(2)
        await asyncio.gather(server.send(60), asyncio.sleep(1))
        announcing.cancel()
        server.gate.record_announcement(dataclasses.replace(WARM, sequence=2, cold_seconds=4))
        await server.send(30)
        assert most_in_a_second(server.run_at) <= 1.5 * 7.5 + 8

    run_scenario(scenario)


def test_a_new_start_that_reports_nothing_is_cold_for_the_time_of_its_service():
    """Guards against full load on servers whose announcements do not say whether they are cold."""

    async def scenario(server):
        silent = dataclasses.replace(WARM, cold_seconds=None)
        assert server.gate.record_announcement(silent)
        assert not server.gate.record_announcement(dataclasses.replace(silent, sequence=2))
        assert server.gate.cold_seconds == LIMIT.start_seconds
        assert server.gate.record_announcement(dataclasses.replace(silent, born=2)) is False
        await asyncio.sleep(4.1)
        assert server.gate.record_announcement(dataclasses.replace(silent, born=3))

    run_scenario(scenario)


def test_services_without_a_limit_are_not_affected():
    """Guards against refusals and waits in deployments that name no limit."""

    async def scenario(server):
        server.gate.record_announcement(dataclasses.replace(WARM, cold_seconds=9))
        answers = await server.send(60, max_wait_seconds=9)
        assert all(answer.answered is not None for answer in answers)
        assert server.run_at[-1] < 0.7
        assert not server.gate.cold_seconds

    run_scenario(scenario, limit=None)
