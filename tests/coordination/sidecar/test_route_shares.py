"""Guaranteed shares of the slot time of a server, among routes that compete for it."""

import asyncio
import random

from loguru import logger

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.load_replay import AcceptingValidator
from tests.coordination.sidecar.samples import make_cold_start, make_entry, make_order
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.admission import NO_ORGANISATION
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_executor import OrderExecutor
from turmericwharf.coordination.sidecar.route_shares import RouteShares
from turmericwharf.state import Answered

CALL_RANK = 1_000
CLIENT_RANK = -40
SLOTS = 5
CALL_SECONDS = 0.2
UPLOAD_SECONDS = 1.0
BURST_SECONDS = 30.0


def test_a_route_below_its_guarantee_precedes_all_others():
    """Guards against calls that always go first, and against a guarantee without an end."""
    shares = RouteShares(ManualClock())
    assert shares.queue_rank('upload', CLIENT_RANK) == CLIENT_RANK
    shares.charge('call', 10)
    assert shares.queue_rank('upload', CLIENT_RANK) > CALL_RANK
    shares.charge('upload', 2)
    assert shares.queue_rank('upload', CLIENT_RANK) == CLIENT_RANK
    assert shares.queue_rank('call', CALL_RANK) == CALL_RANK


def test_waiting_orders_count_before_they_run():
    """Guards against a guarantee that all waiting orders of a route claim at the same time."""
    shares = RouteShares(ManualClock())
    shares.charge('call', 10)
    with shares.reserved('upload', 2):
        assert shares.queue_rank('upload', CLIENT_RANK) == CLIENT_RANK
    assert shares.queue_rank('upload', CLIENT_RANK) > CALL_RANK


def test_old_slot_time_fades_out():
    """Guards against a route that is put behind for a burst of a minute ago."""
    clock = ManualClock()
    shares = RouteShares(clock)
    shares.charge('upload', 10)
    clock.at += 60
    shares.charge('call', 1)
    assert shares.queue_rank('upload', CLIENT_RANK) > CALL_RANK


class WorkingServer:
    """Connection to a server that runs each request for the time of its route."""

    async def run(self, order, *, remaining_seconds):
        await asyncio.sleep(CALL_SECONDS if order.route == 'call' else UPLOAD_SECONDS)
        return Answered(status=200, headers=(), body=b'')


async def replay_burst(randomness):
    """Return the answers to uploads while calls alone ask for more than all slots."""
    clock = LoopClock()
    executor = OrderExecutor(
        server=WorkingServer(),
        order_validator=AcceptingValidator(),
        directory=NodeDirectory(make_entry(slots=SLOTS), clock),
        clock=clock,
        cold_start=make_cold_start(clock),
    )
    executor.queue.resize(SLOTS)
    call = {'route': 'call', 'organisation': NO_ORGANISATION, 'rank': CALL_RANK}
    call |= {'remaining_seconds': 2.7, 'target_seconds': 2.7, 'max_wait_seconds': 2.7}
    upload = {'route': 'upload', 'organisation': 'cafe', 'rank': CLIENT_RANK}
    upload |= {'remaining_seconds': 25.0, 'target_seconds': 8.2, 'max_wait_seconds': 8.2}
    serving = {'call': [], 'upload': []}

    async def arrive(name, terms, per_second):
        while clock.now() < BURST_SECONDS:
            await asyncio.sleep(randomness.expovariate(per_second))
            order = make_order(request=f'{name}-{len(serving[name])}', **terms)
            serving[name].append(asyncio.create_task(executor.serve(order, version=5)))

    await asyncio.gather(
        arrive('call', call, 1.5 * SLOTS / CALL_SECONDS), arrive('upload', upload, 2.0)
    )
    return {name: await asyncio.gather(*tasks) for name, tasks in serving.items()}


def test_uploads_are_not_starved_by_the_calls_of_a_burst():
    """Guards against a small service whose slots all go to the calls of another service.

    Uploads get at least most of their guarantee of an eighth of the slots, calls the rest.
    """
    logger.disable('turmericwharf')
    try:
        answers = run_in_virtual_time(replay_burst(random.Random(1)))
    finally:
        logger.enable('turmericwharf')
    served = {
        name: sum(answer.answered is not None for answer in of_route)
        for name, of_route in answers.items()
    }
    guaranteed = BURST_SECONDS * SLOTS / 8 / UPLOAD_SECONDS
    assert served['upload'] >= 0.8 * guaranteed
    assert served['call'] * CALL_SECONDS >= 0.7 * BURST_SECONDS * SLOTS
