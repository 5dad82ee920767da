"""Replays a load on the decisions of many nodes, in virtual time and without sockets."""

import asyncio
import dataclasses
import random

from loguru import logger

from tests.coordination.sidecar.samples import (
    make_cold_start,
    make_entry,
    make_order,
    make_request,
    make_route,
)
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.admission import AdmittedFleetRequest
from turmericwharf.coordination.sidecar.attempts import AttemptRunner
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_executor import OrderExecutor
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.state import Answered, NotRun, OutcomeUnknown, Reason
from turmericwharf.state.sidecar import StoredEntry

SUCCESS = Answered(status=200, headers=(), body=b'')
MESSAGE_SECONDS = 0.0005
DATA_CENTRES = ('east', 'west')


@dataclasses.dataclass(frozen=True)
class Load:
    """A load pattern.

    Parameters
    ----------
    servers, entry_nodes
        Numbers of servers, each with one slot, and of nodes that requests arrive at.
    used
        Arriving work as a fraction of the capacity of all servers.
    run_seconds
        Mean run time; run times are exponential.
    cut_servers
        Number of servers that reset each request.
    """

    servers: int = 16
    entry_nodes: int = 47
    used: float = 0.33
    run_seconds: float = 0.25
    requests: int = 2000
    target_seconds: float = 1.0
    timeout_seconds: float = 4.0
    data_centres: int = 1
    cut_servers: int = 0
    seed: int = 1


@dataclasses.dataclass(frozen=True)
class Result:
    """What became of the requests.

    Parameters
    ----------
    waits
        Seconds that each served request spent outside its run.
    run_seconds
        Sum of the run times of the served requests.
    """

    waits: tuple[float, ...]
    refused: int
    failed: int
    latest_refusal_seconds: float
    run_seconds: float
    elapsed_seconds: float

    @property
    def served(self) -> int:
        return len(self.waits)

    @property
    def mean_wait(self) -> float:
        return sum(self.waits) / max(len(self.waits), 1)

    def wait_at(self, fraction: float) -> float:
        return sorted(self.waits)[int(fraction * len(self.waits))]


class AcceptingValidator:
    """Validator that refuses no order."""

    def find_refusal(self, order, entry):
        return None

    def is_evacuated(self, entry):
        return False


class TimedServer:
    """Connection to a server that runs each request for its time, or resets it."""

    def __init__(self, seconds_by_request, *, is_cut) -> None:
        self.seconds_by_request = seconds_by_request
        self.is_cut = is_cut

    async def run(self, order, *, remaining_seconds):
        if self.is_cut:
            return OutcomeUnknown(Reason.ANSWER_INCOMPLETE, 'reset')
        await asyncio.sleep(self.seconds_by_request[order.request])
        return SUCCESS


class DirectSender:
    """Sends orders to the executors of other nodes without a connection."""

    def __init__(self, executors_by_instance) -> None:
        self.executors_by_instance = executors_by_instance

    async def send(self, admitted, entry, terms):
        await asyncio.sleep(MESSAGE_SECONDS)
        order = make_order(
            entry,
            request=admitted.request.request,
            attempt=terms.attempt_number,
            idempotent=admitted.route.idempotent,
            may_try=terms.may_be_trial,
            max_wait_seconds=terms.max_wait_seconds,
            remaining_seconds=terms.allowed_seconds,
            target_seconds=terms.target_seconds,
        )
        answer = await self.executors_by_instance[entry.instance].serve(order, version=5)
        await asyncio.sleep(MESSAGE_SECONDS)
        return answer


class RatioRetryBudget:
    """Grants retries up to a fifth of the requests."""

    def __init__(self) -> None:
        self.tokens = 0.0

    def record_request(self, service, *, has_no_organisation) -> None:
        self.tokens += 0.2

    async def acquire(self, service):
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def replay(load: Load) -> Result:
    """Return what became of the requests of a load."""
    logger.disable('turmericwharf')
    random.seed(load.seed)
    try:
        return run_in_virtual_time(_replay(load))
    finally:
        logger.enable('turmericwharf')


async def _replay(load: Load) -> Result:
    randomness = random.Random(load.seed)
    clock = LoopClock()
    entries = [
        make_entry(f's{number}', data_centre=DATA_CENTRES[number % load.data_centres], slots=1)
        for number in range(load.servers)
    ]
    seconds_by_request: dict[str, float] = {}
    executors_by_instance = {
        entry.instance: _make_executor(
            entry, seconds_by_request, clock, is_cut=number < load.cut_servers
        )
        for number, entry in enumerate(entries)
    }
    sender, budget = DirectSender(executors_by_instance), RatioRetryBudget()
    runners = [
        _make_runner(f'e{number}', number % load.data_centres, entries, sender, budget, clock)
        for number in range(load.entry_nodes)
    ]
    rate = load.used * load.servers / load.run_seconds
    tasks = []
    for number in range(load.requests):
        await asyncio.sleep(randomness.expovariate(rate))
        request = f'r{number}'
        seconds_by_request[request] = randomness.expovariate(1 / load.run_seconds)
        runner = randomness.choice(runners)
        tasks.append(asyncio.create_task(_serve(runner, request, load, clock)))
    ends = [await task for task in tasks]
    waits, refusals = [], [0.0]
    run_seconds = 0.0
    for outcome, request, seconds in ends:
        if isinstance(outcome, Answered):
            waits.append(seconds - seconds_by_request[request])
            run_seconds += seconds_by_request[request]
        elif isinstance(outcome, NotRun):
            refusals.append(seconds)
    return Result(
        waits=tuple(waits),
        refused=len(refusals) - 1,
        failed=len(ends) - len(waits) - len(refusals) + 1,
        latest_refusal_seconds=max(refusals),
        run_seconds=run_seconds,
        elapsed_seconds=clock.now(),
    )


async def _serve(runner, request, load, clock):
    started_at = clock.now()
    route = make_route(
        timeout_seconds=load.timeout_seconds, target_seconds=load.target_seconds, attempts=3
    )
    admitted = AdmittedFleetRequest(
        request=make_request(request=request),
        route=route,
        service='bookings',
        organisation='cafe',
        queue_priority=0,
        admitted_at=started_at,
        deadline=started_at + load.timeout_seconds,
        latency_target_at=started_at + load.target_seconds,
        version=5,
    )
    return await runner.run(admitted), request, clock.now() - started_at


def _make_executor(entry, seconds_by_request, clock, *, is_cut) -> OrderExecutor:
    executor = OrderExecutor(
        server=TimedServer(seconds_by_request, is_cut=is_cut),
        order_validator=AcceptingValidator(),
        directory=NodeDirectory(entry, clock),
        clock=clock,
        cold_start=make_cold_start(clock),
    )
    executor.queue.resize(entry.slots)
    return executor


def _make_runner(instance, data_centre, entries, sender, budget, clock) -> AttemptRunner:
    local = make_entry(instance, data_centre=DATA_CENTRES[data_centre], service='catalogue')
    directory = NodeDirectory(local, clock)
    for entry in entries:
        directory.apply(StoredEntry(entry, 0), source='test')
    return AttemptRunner(
        selector=ServerSelector(directory, clock),
        sender=sender,
        retry_budget=budget,
        clock=clock,
    )
