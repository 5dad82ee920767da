"""Replays routes of different sizes on servers of several data centres, in virtual time.

Unlike `load_replay`, orders pass through the sender, so that slot requests and the bytes between
data centres are counted.
"""

import asyncio
import collections
import dataclasses
import math
import random

from loguru import logger

from tests.coordination.sidecar.load_replay import SUCCESS, AcceptingValidator, RatioRetryBudget
from tests.coordination.sidecar.samples import make_cold_start, make_entry, make_request, make_route
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.admission import NO_ORGANISATION, AdmittedFleetRequest
from turmericwharf.coordination.sidecar.attempts import AttemptRunner
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_executor import OrderExecutor
from turmericwharf.coordination.sidecar.order_sender import OrderSender
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.state import Answered
from turmericwharf.state.sidecar import SlotRequest, StoredEntry, WorkOrder

SERVICE = 'bookings'
MESSAGE_BYTES = 300


@dataclasses.dataclass(frozen=True)
class RouteLoad:
    """Requests of one route; rates and run times are means."""

    route: str
    rate: float
    run_seconds: float
    target_seconds: float
    timeout_seconds: float
    request_bytes: int = 300
    response_bytes: int = 300
    idempotent: bool = True
    is_call: bool = False
    priority: int = 1


@dataclasses.dataclass(frozen=True)
class Region:
    """Servers and demand of one data centre.

    Parameters
    ----------
    speeds
        Speed of each server; run times are divided by it.
    demand_share
        Share of the requests that enter here.
    """

    speeds: tuple[float, ...]
    demand_share: float


@dataclasses.dataclass(frozen=True)
class PlacementLoad:
    """A load pattern on one service.

    Parameters
    ----------
    one_way_seconds
        Delay of a message between data centres.
    swing, period_seconds
        Demand of the data centres varies by the fraction `swing`, out of phase.
    tail_share, tail_factor
        Share of the runs that take `tail_factor` times as long.
    remote_allowed
        Whether nodes know the servers of other data centres.
    """

    routes: tuple[RouteLoad, ...]
    regions: tuple[Region, ...]
    slots: int
    seconds: float = 30.0
    entry_nodes: int = 20
    one_way_seconds: float = 0.0005
    swing: float = 0.0
    period_seconds: float = 13.0
    tail_share: float = 0.0
    tail_factor: float = 7.0
    remote_allowed: bool = True
    seed: int = 1


@dataclasses.dataclass
class Ledger:
    """What became of the requests, by route, and the bytes between data centres."""

    requests: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    on_time: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    late: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    waits: list = dataclasses.field(default_factory=list)
    remote_bytes: int = 0
    remote_bytes_by_kind: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    refused_offers: int = 0
    runs_by_instance: collections.Counter = dataclasses.field(default_factory=collections.Counter)

    def served_share(self, route):
        return (self.on_time[route] + self.late[route]) / max(self.requests[route], 1)

    @property
    def served(self):
        return (self.on_time.total() + self.late.total()) / max(self.requests.total(), 1)

    @property
    def mean_wait(self):
        return sum(self.waits) / max(len(self.waits), 1)

    def wait_at(self, fraction):
        return sorted(self.waits)[int(fraction * len(self.waits))]


class SizedServer:
    """Connection to a server that runs each request for its time, divided by its speed."""

    def __init__(self, instance, speed, plans, ledger) -> None:
        self.instance = instance
        self.speed = speed
        self.plans = plans
        self.ledger = ledger

    async def run(self, order, *, remaining_seconds):
        self.ledger.runs_by_instance[self.instance] += 1
        seconds, response_bytes = self.plans[order.request]
        await asyncio.sleep(seconds / self.speed)
        return dataclasses.replace(SUCCESS, body=bytes(response_bytes))


class CountingLinks:
    """Connections from one node, which count the bytes between data centres."""

    def __init__(self, data_centre, load, executors_by_instance, ledger) -> None:
        self.data_centre = data_centre
        self.load = load
        self.executors_by_instance = executors_by_instance
        self.ledger = ledger

    async def request(self, peer, message, *, timeout_seconds):
        is_remote = peer.data_centre != self.data_centre
        delay = self.load.one_way_seconds if is_remote else 0.0002
        executor = self.executors_by_instance[peer.instance]
        await asyncio.sleep(delay)
        if isinstance(message, SlotRequest):
            sent_bytes = MESSAGE_BYTES
            answer = executor.find_slot(message, 5)
        else:
            assert isinstance(message, WorkOrder)
            sent_bytes = 2 * MESSAGE_BYTES + len(message.body)
            answer = await executor.serve(message, 5)
            sent_bytes += len(answer.answered.body) if answer.answered else 0
        self.ledger.refused_offers += answer.refused is not None
        if is_remote:
            self.ledger.remote_bytes += sent_bytes
            self.ledger.remote_bytes_by_kind[
                type(message).__name__, answer.refused is not None
            ] += sent_bytes
        await asyncio.sleep(delay)
        return answer

    def notify(self, peer, message) -> None:
        """Ignore cancellations."""


def replay_placement(load: PlacementLoad) -> Ledger:
    """Return what became of the requests of a load."""
    logger.disable('turmericwharf')
    random.seed(load.seed)
    try:
        return run_in_virtual_time(_replay(load))
    finally:
        logger.enable('turmericwharf')


async def _replay(load: PlacementLoad) -> Ledger:
    clock, ledger, plans, randomness = LoopClock(), Ledger(), {}, random.Random(load.seed)
    entries, executors = [], {}
    for number, region in enumerate(load.regions):
        for position, speed in enumerate(region.speeds):
            entry = make_entry(f's{number}-{position}', data_centre=f'dc{number}', slots=load.slots)
            entries.append(entry)
            executors[entry.instance] = OrderExecutor(
                server=SizedServer(entry.instance, speed, plans, ledger),
                order_validator=AcceptingValidator(),
                directory=NodeDirectory(entry, clock),
                clock=clock,
                cold_start=make_cold_start(clock),
            )
            executors[entry.instance].queue.resize(load.slots)
    budget = RatioRetryBudget()
    tasks = [
        asyncio.create_task(
            _enter(
                load,
                number,
                _make_runners(load, number, entries, executors, budget, clock, ledger),
                plans,
                ledger,
                clock,
                randomness,
            )
        )
        for number in range(len(load.regions))
    ]
    for task in tasks:
        await task
    return ledger


async def _enter(load, number, runners, plans, ledger, clock, randomness):
    """Let the requests of one data centre arrive, and wait for their ends."""
    tasks = []
    rates = {route: route.rate * load.regions[number].demand_share for route in load.routes}
    peak = sum(rates.values()) * (1 + load.swing)
    while clock.now() < load.seconds:
        await asyncio.sleep(randomness.expovariate(peak))
        phase = clock.now() / load.period_seconds + number / len(load.regions)
        demand = 1 + load.swing * math.sin(2 * math.pi * phase)
        if randomness.random() > demand / (1 + load.swing):
            continue
        route = randomness.choices(tuple(rates), weights=tuple(rates.values()))[0]
        request = f'{number}-{len(tasks)}'
        seconds = route.run_seconds * randomness.uniform(0.6, 1.4)
        if randomness.random() < load.tail_share:
            seconds *= load.tail_factor
        plans[request] = (seconds, route.response_bytes)
        runner = randomness.choice(runners)
        tasks.append(asyncio.create_task(_serve(runner, request, route, ledger, plans, clock)))
    for task in tasks:
        await task


async def _serve(runner, request, load, ledger, plans, clock):
    started_at = clock.now()
    admitted = AdmittedFleetRequest(
        request=make_request(request=request, body=bytes(load.request_bytes)),
        route=make_route(
            route=load.route,
            timeout_seconds=load.timeout_seconds,
            target_seconds=load.target_seconds,
            idempotent=load.idempotent,
            attempts=2,
        ),
        service=SERVICE,
        organisation=NO_ORGANISATION if load.is_call else 'cafe',
        queue_priority=1000 if load.is_call else -load.priority,
        admitted_at=started_at,
        deadline=started_at + load.timeout_seconds,
        latency_target_at=started_at + load.target_seconds,
        version=5,
    )
    runner.record_request(admitted)
    outcome = await runner.run(admitted)
    seconds = clock.now() - started_at
    ledger.requests[load.route] += 1
    if isinstance(outcome, Answered):
        counts = ledger.on_time if seconds <= load.target_seconds else ledger.late
        counts[load.route] += 1
        ledger.waits.append(seconds - plans[request][0])


def _make_runners(load, number, entries, executors, budget, clock, ledger):
    runners = []
    for position in range(load.entry_nodes):
        local = make_entry(f'e{number}-{position}', data_centre=f'dc{number}', service='other')
        directory = NodeDirectory(local, clock)
        for entry in entries:
            if load.remote_allowed or entry.data_centre == local.data_centre:
                directory.apply(StoredEntry(entry, 0), source='test')
        sender = OrderSender(
            executor=None,
            links=CountingLinks(local.data_centre, load, executors, ledger),
            directory=directory,
            configuration=ActiveConfiguration(lambda encoded: None),
            clock=clock,
            caller_service='other',
        )
        runners.append(
            AttemptRunner(
                selector=ServerSelector(directory, clock),
                sender=sender,
                retry_budget=budget,
                clock=clock,
            )
        )
    return runners
