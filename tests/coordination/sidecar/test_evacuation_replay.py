"""Replay of the evacuation of a data centre while the servers of the other one are cold."""

import asyncio
import random

import pytest
from loguru import logger

from tests.coordination.sidecar.load_replay import DirectSender, RatioRetryBudget
from tests.coordination.sidecar.samples import make_entry, make_request, make_route
from tests.coordination.sidecar.test_cold_permit import LIMIT, most_in_a_second
from tests.coordination.sidecar.test_cold_start import Server
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.admission import AdmittedFleetRequest
from turmericwharf.coordination.sidecar.attempts import AttemptRunner
from turmericwharf.coordination.sidecar.evacuations import Evacuations
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.state import DATA_CENTRE_EVACUATED, Answered, NotRun
from turmericwharf.state.sidecar import Evacuation, StoredEntry

TARGET_SECONDS = 0.86
SERVERS = 8
# The two data centres take it while all servers are warm; the cold half takes 30 per second.
REQUESTS_PER_SECOND = 60
EVACUATED_AT = 10.0
# Nodes hear of an evacuation at different times within this time.
SPREAD_SECONDS = 3.0
KNOWN_AT = EVACUATED_AT + SPREAD_SECONDS
ENDS_AT = 30.0


class Node(Server):
    """A node and its server; the servers of `west` are cold, those of `east` are warm."""

    run_seconds = 0.2

    def __init__(self, number, sender, budget) -> None:
        self.entry = make_entry(f'n{number}', data_centre=('east', 'west')[number % 2], slots=5)
        super().__init__(entry=self.entry)
        sender.executors_by_instance[self.entry.instance] = self.executor
        self.evacuations = Evacuations()
        self.clock = LoopClock()
        self.runner = AttemptRunner(
            selector=ServerSelector(self.directory, self.clock, evacuations=self.evacuations),
            sender=sender,
            retry_budget=budget,
            clock=self.clock,
        )

    def find_refusal(self, order, entry):
        return DATA_CENTRE_EVACUATED if self.is_evacuated(entry) else None

    def is_evacuated(self, entry):
        return self.evacuations.covers(entry.data_centre)

    async def announce_each(self, seconds):
        while True:
            self.announce(cold_seconds=60 if self.entry.data_centre == 'west' else 0)
            await asyncio.sleep(seconds)

    async def learn_of_evacuation(self, delay_seconds):
        await asyncio.sleep(EVACUATED_AT + delay_seconds)
        self.evacuations.merge((Evacuation('east', is_active=True, offset=1),), source='test')

    async def serve(self, request):
        now = self.clock.now()
        admitted = AdmittedFleetRequest(
            request=make_request(request=request),
            route=make_route(idempotent=True, attempts=3, timeout_seconds=2.7),
            service='bookings',
            organisation='cafe',
            queue_priority=0,
            admitted_at=now,
            deadline=now + 2.7,
            latency_target_at=now + TARGET_SECONDS,
            version=5,
        )
        return await self.runner.run(admitted), now, self.clock.now() - now


async def replay(randomness):
    """Return the nodes, and the outcome, the start and the duration of each request."""
    sender, budget = DirectSender({}), RatioRetryBudget()
    nodes = [Node(number, sender, budget) for number in range(SERVERS)]
    background = []
    for node in nodes:
        for other in nodes:
            if other is not node:
                node.directory.apply(StoredEntry(other.entry, 0), source='test')
        learning = node.learn_of_evacuation(randomness.uniform(0, SPREAD_SECONDS))
        background += map(asyncio.create_task, (node.announce_each(1.5), learning))
    requests = []
    while nodes[0].clock.now() < ENDS_AT:
        await asyncio.sleep(randomness.expovariate(REQUESTS_PER_SECOND))
        serving = randomness.choice(nodes).serve(f'r{len(requests)}')
        requests.append(asyncio.create_task(serving))
    ends = await asyncio.gather(*requests)
    for task in background:
        task.cancel()
    return nodes, ends


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_what_exceeds_the_cold_servers_is_refused_at_once(seed):
    """Guards against requests to the evacuated data centre, against cold servers that get more than
    they take or stay idle, and against requests that are held although they cannot be served.
    """
    logger.disable('turmericwharf')
    random.seed(seed)
    try:
        nodes, ends = run_in_virtual_time(replay(random.Random(seed)))
    finally:
        logger.enable('turmericwharf')
    last_in_east = max(at for node in nodes[::2] for at in node.run_at)
    assert EVACUATED_AT - 1 < last_in_east < KNOWN_AT
    for node in nodes[1::2]:
        assert most_in_a_second(node.run_at) <= 1.5 * 7.5 + 8
        # At least nine tenths of what a cold server takes.
        runs = sum(at >= KNOWN_AT for at in node.run_at)
        assert runs > 0.9 * LIMIT.requests_per_second * (ENDS_AT - KNOWN_AT)
    assert all(isinstance(outcome, Answered | NotRun) for outcome, *_ in ends)
    refused_after = sorted(
        seconds
        for outcome, started_at, seconds in ends
        if isinstance(outcome, NotRun) and started_at > KNOWN_AT
    )
    assert refused_after[-1] < TARGET_SECONDS
    assert refused_after[len(refused_after) // 2] < TARGET_SECONDS / 4
