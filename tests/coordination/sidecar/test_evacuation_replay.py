"""Replay of the evacuation of a data centre while the servers of the other one are cold."""

import asyncio
import dataclasses
import random

import pytest
from loguru import logger

from tests.coordination.sidecar.load_replay import DirectSender, RatioRetryBudget
from tests.coordination.sidecar.samples import (
    make_cold_start,
    make_entry,
    make_request,
    make_route,
)
from tests.coordination.sidecar.test_cold_permit import most_in_a_second
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.admission import AdmittedFleetRequest
from turmericwharf.coordination.sidecar.attempts import AttemptRunner
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.evacuations import Evacuations
from turmericwharf.coordination.sidecar.order_executor import OrderExecutor
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.state import DATA_CENTRE_EVACUATED, Answered, NotRun
from turmericwharf.state.sidecar import (
    AnnouncedServer,
    ColdLimit,
    Evacuation,
    ServerPhase,
    StoredEntry,
)

LIMIT = ColdLimit(start_seconds=60, requests_per_second=7.5)
BOUND = 1.5 * 7.5 + 8
RUN_SECONDS = 0.2
TARGET_SECONDS = 0.86
SERVERS = 8
# The two data centres take it while all servers are warm; the cold half takes 30 per second.
REQUESTS_PER_SECOND = 60
EVACUATED_AT = 10.0
ENDS_AT = 30.0
# Nodes hear of an evacuation at different times within this time.
SPREAD_SECONDS = 3.0


class Node:
    """A node and its server; the servers of `west` are cold, those of `east` are warm."""

    def __init__(self, number) -> None:
        self.clock = LoopClock()
        self.entry = make_entry(f'n{number}', data_centre=('east', 'west')[number % 2], slots=5)
        self.directory = NodeDirectory(self.entry, self.clock)
        self.evacuations = Evacuations(StartupKnowledge())
        self.run_at = []
        self.executor = OrderExecutor(
            server=self,
            order_validator=self,
            directory=self.directory,
            clock=self.clock,
            cold_start=make_cold_start(self.clock, LIMIT),
        )
        self.executor.queue.resize(self.entry.slots)

    def connect(self, nodes, sender, budget) -> None:
        for node in nodes:
            if node is not self:
                self.directory.apply(StoredEntry(node.entry, 0), source='test')
        self.runner = AttemptRunner(
            selector=ServerSelector(self.directory, self.clock, self.evacuations),
            sender=sender,
            retry_budget=budget,
            clock=self.clock,
        )

    def find_refusal(self, order, entry):
        return DATA_CENTRE_EVACUATED if self.is_evacuated(entry) else None

    def is_evacuated(self, entry):
        return self.evacuations.covers(entry.data_centre)

    async def run(self, order, *, remaining_seconds):
        self.run_at.append(self.clock.now())
        await asyncio.sleep(RUN_SECONDS)
        return Answered(status=200, headers=(), body=b'')

    async def announce(self):
        cold_seconds = 60 if self.entry.data_centre == 'west' else 0
        while True:
            self.executor.cold_start.record_announcement(
                AnnouncedServer(
                    self.entry.server,
                    'bookings',
                    5,
                    ServerPhase.READY,
                    born=1,
                    cold_seconds=cold_seconds,
                )
            )
            await asyncio.sleep(1.5)

    async def learn_of_evacuation(self, delay_seconds):
        await asyncio.sleep(EVACUATED_AT + delay_seconds)
        evacuated = Evacuation('east', is_active=True, offset=1)
        self.evacuations.merge((evacuated,), source='test')

    async def serve(self, request):
        now = self.clock.now()
        admitted = AdmittedFleetRequest(
            request=make_request(request=request),
            route=make_route(
                idempotent=True, attempts=3, timeout_seconds=2.7, target_seconds=TARGET_SECONDS
            ),
            service='bookings',
            organisation='cafe',
            queue_priority=0,
            admitted_at=now,
            deadline=now + 2.7,
            latency_target_at=now + TARGET_SECONDS,
            version=5,
        )
        return await self.runner.run(admitted), now, self.clock.now() - now


@dataclasses.dataclass(frozen=True)
class Result:
    """Times at which requests reached the servers, and outcomes with start and duration."""

    east_run_at: tuple[float, ...]
    west_run_at_by_server: tuple[tuple[float, ...], ...]
    ends: tuple


async def _replay(seed) -> Result:
    randomness = random.Random(seed)
    nodes = [Node(number) for number in range(SERVERS)]
    executors = {node.entry.instance: node.executor for node in nodes}
    sender, budget = DirectSender(executors), RatioRetryBudget()
    background = []
    for node in nodes:
        node.connect(nodes, sender, budget)
        background.append(asyncio.create_task(node.announce()))
        delay_seconds = randomness.uniform(0, SPREAD_SECONDS)
        background.append(asyncio.create_task(node.learn_of_evacuation(delay_seconds)))
    await asyncio.sleep(2)
    requests = []
    while nodes[0].clock.now() < ENDS_AT:
        await asyncio.sleep(randomness.expovariate(REQUESTS_PER_SECOND))
        serving = randomness.choice(nodes).serve(f'r{len(requests)}')
        requests.append(asyncio.create_task(serving))
    ends = tuple(await asyncio.gather(*requests))
    for task in background:
        task.cancel()
    return Result(
        east_run_at=tuple(at for node in nodes[::2] for at in node.run_at),
        west_run_at_by_server=tuple(tuple(node.run_at) for node in nodes[1::2]),
        ends=ends,
    )


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_what_exceeds_the_cold_servers_is_refused_at_once(seed):
    """Guards against requests to the evacuated data centre, against cold servers that get more than
    they take or stay idle, and against requests that are held although they cannot be served.
    """
    logger.disable('turmericwharf')
    random.seed(seed)
    try:
        result = run_in_virtual_time(_replay(seed))
    finally:
        logger.enable('turmericwharf')
    known_at = EVACUATED_AT + SPREAD_SECONDS
    assert EVACUATED_AT - 1 < max(result.east_run_at) < known_at
    for run_at in result.west_run_at_by_server:
        assert most_in_a_second(run_at) <= BOUND
        # At least nine tenths of what a cold server takes.
        runs = sum(at >= known_at for at in run_at)
        assert runs > 0.9 * LIMIT.requests_per_second * (ENDS_AT - known_at)
    refused_after = [
        seconds
        for outcome, started_at, seconds in result.ends
        if isinstance(outcome, NotRun) and started_at > known_at
    ]
    assert refused_after and max(refused_after) < TARGET_SECONDS
    assert sorted(refused_after)[len(refused_after) // 2] < TARGET_SECONDS / 4
    assert all(isinstance(outcome, Answered | NotRun) for outcome, *_ in result.ends)
