"""Benchmark of outlier detection and fair queueing in a simulated fleet.

Measures the detection time, the false ejections and the worst-served organisation. Run with
`python -m benchmarks.policy`. The production decision code runs in virtual time against fake
servers, with fixed seeds. The results are in docs/decisions/outlier-detection.md.
"""

import asyncio
import collections
import concurrent.futures
import dataclasses
import random
import statistics
from typing import Any
from unittest import mock

from loguru import logger

from tests.simulated_fleet import Faults, SimulatedFleet
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination import FairQueue, Router
from turmericwharf.coordination.routing import harm, outliers
from turmericwharf.state import Answered, Importance

PROCESSES = 3
WARM_SECONDS = 15.0
FAULT_SECONDS = 45.0
TARGET_SECONDS = 1.0
SEEDS = (1, 2)


@dataclasses.dataclass(frozen=True)
class FleetLayout:
    name: str
    servers: int
    slots: int


LAYOUTS = (
    FleetLayout('3 data centres, 6 servers, 3 slots', 6, 3),
    FleetLayout('3 data centres, 12 servers, 3 slots', 12, 3),
    FleetLayout('4 data centres, 8 servers, 4 slots', 8, 4),
)
DAY_RATE = 80.0
NIGHT_RATE = 4.0
FAULTS_BY_KIND: dict[str, tuple[Faults, float]] = {
    'late first byte, 0.3 s': (Faults(first_byte_seconds=0.3), 0),
    'no first byte': (Faults(first_byte_seconds=5), 0),
    'trickled body, 0.5 s': (Faults(trickle_seconds=0.5), 0),
    'half answers': (Faults(truncated_share=1), 0),
    'a fifth errors': (Faults(error_share=0.2), 0),
    'flapping, 5 s': (Faults(error_share=1, flap_seconds=5), 0),
    'path slow from one side': (Faults(), 0.5),
}


class ConcurrencyRouter(Router):
    """AIMD concurrency limits (additive increase, multiplicative decrease) without ejection."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.limits: dict[str, float] = collections.defaultdict(lambda: 4.0)

    def record_outcome(self, admitted: Any, attempt: Any, outcome: Any) -> None:
        seconds = self._clock.now() - attempt.started_at
        is_good = isinstance(outcome, Answered) and outcome.status < 500
        is_good = is_good and seconds < admitted.target_seconds / 4
        limit = self.limits[attempt.instance]
        self.limits[attempt.instance] = min(limit + 0.1, 8) if is_good else max(limit / 2, 0.1)
        super().record_outcome(admitted, attempt, outcome)

    def _cost(self, report: Any) -> tuple[float, float]:
        in_flight = self._in_flight.count(report.instance)
        return (in_flight + 1) / self.limits[report.instance], 0


def _first_byte_only(outcome: Any, attempt: Any) -> float:
    if outcome.status >= 500:
        return 1.0
    seconds = outcome.first_byte_milliseconds / 1000
    return harm.latency_harm(seconds, attempt.expected_seconds, attempt.target_seconds)


def _ratio_only(seconds: float, expected_seconds: float, target_seconds: float) -> float:
    return float(seconds > 4 * expected_seconds > 0)


def _never_eject(*arguments: Any) -> None:
    return None


def _moving_average(self: Any, report: Any, subject: Any, evidence: Any, *rest: Any) -> Any:
    """Eject by a fixed threshold on the recent harm."""
    others_harm = rest[0]
    scores = (99.0,) if evidence.recent_harm > 0.3 + others_harm else (0.0,)
    return DEFAULT_PROPOSE_EJECTION(
        self, report, subject, dataclasses.replace(evidence, scores=scores), *rest
    )


DEFAULT_PROPOSE_EJECTION = outliers.OutlierDetector._propose_ejection
VARIANTS: dict[str, dict[str, Any]] = {
    'chosen': {},
    'small odds only': {'_ODDS_RATIOS': (4.0,)},
    'large odds only': {'_ODDS_RATIOS': (30.0,)},
    'moving average over 0.3': {'propose_ejection': _moving_average},
    'ratio to the baseline only': {'latency_harm': _ratio_only},
    'first byte only': {'first_byte': True},
    'concurrency limits, no ejection': {
        'propose_ejection': _never_eject,
        'router': ConcurrencyRouter,
    },
    'no detection': {'propose_ejection': _never_eject},
}


@dataclasses.dataclass(frozen=True)
class Case:
    layout: FleetLayout
    rate: float
    kind: str
    seed: int
    variant: str = 'chosen'
    gray_servers: int = 1


@dataclasses.dataclass(frozen=True)
class Measurement:
    seconds: float | None
    false_ejections: int
    requests: int
    missed: int


def measure(case: Case) -> Measurement:
    logger.remove()
    variant = VARIANTS[case.variant]
    odds = variant.get('_ODDS_RATIOS', outliers._ODDS_RATIOS)
    initial_evidence = dataclasses.replace(outliers._NO_EVIDENCE, scores=tuple(0 for _ in odds))
    handlers = harm.server_harm.registry
    answered_handler = _first_byte_only if 'first_byte' in variant else handlers[Answered]
    original_handler = handlers[Answered]
    harm.server_harm.register(Answered, answered_handler)
    with (
        mock.patch.object(outliers, '_ODDS_RATIOS', odds),
        mock.patch.object(outliers, '_NO_EVIDENCE', initial_evidence),
        mock.patch.object(
            outliers.OutlierDetector,
            '_propose_ejection',
            variant.get('propose_ejection', DEFAULT_PROPOSE_EJECTION),
        ),
        mock.patch.object(harm, 'latency_harm', variant.get('latency_harm', harm.latency_harm)),
    ):
        measurement = run_in_virtual_time(_measure(case, variant.get('router', Router)))
    harm.server_harm.register(Answered, original_handler)
    return measurement


async def _measure(case: Case, router: Any) -> Measurement:
    layout = case.layout
    fleet = SimulatedFleet(layout.servers, slots=layout.slots, seed=case.seed, router=router)
    traffic = {'rate': case.rate, 'target_seconds': TARGET_SECONDS, 'slow_share': 0.05}
    for node in fleet.nodes.values():
        node.server.faults = Faults(error_share=0.005)
    await fleet.load(WARM_SECONDS, **traffic)
    fault_started_at = asyncio.get_running_loop().time()
    faults, delay = FAULTS_BY_KIND.get(case.kind, (Faults(error_share=0.005), 0))
    gray_servers = [fleet.node(number) for number in range(case.gray_servers)]
    for node in gray_servers if case.kind in FAULTS_BY_KIND else ():
        node.server.faults = faults
    if delay:
        for number in range(1, layout.servers):
            entry = fleet.node(number).member.instance
            fleet.delays[entry, gray_servers[0].member.instance] = delay if number == 1 else 0
    if case.kind == 'all servers slow':
        for node in fleet.nodes.values():
            node.server.faults = Faults(first_byte_seconds=0.3)
    await fleet.load(FAULT_SECONDS, **traffic)
    gray_instances = (
        {node.member.instance for node in gray_servers} if case.kind in FAULTS_BY_KIND else set()
    )
    detected_at = [
        ejection.since
        for (_, server), ejection in fleet.first_ejections.items()
        if server in gray_instances
    ]
    results = [result for result in fleet.results if result.at >= fault_started_at]
    missed = [result for result in results if not result.good or result.seconds > TARGET_SECONDS]
    return Measurement(
        seconds=min(detected_at) - fault_started_at if detected_at else None,
        false_ejections=sum(server not in gray_instances for _, server in fleet.first_ejections),
        requests=len(results),
        missed=len(missed),
    )


class FirstComeQueue(FairQueue):
    """Grants slots first come, first served, regardless of importance and organisation."""

    def _next_waiter(self) -> Any:
        waiting = [
            queue[0]
            for waiters_by_id in self._waiters_by_importance.values()
            for queue in waiters_by_id.values()
        ]
        return min(waiting, key=lambda waiter: waiter.expires_at)

    def _displace(self, organisation: Any, importance: Any) -> bool:
        return False


class RequestCountQueue(FairQueue):
    """Charges each request the same, regardless of the slot time that it takes."""

    def _charge(self, organisation: Any, seconds: float) -> None:
        super()._charge(organisation, seconds if seconds == self._mean_seconds else 0)


async def _serve_organisations(queue_class: Any, slots: int) -> dict[str, float]:
    queue = queue_class(slots, 256, LoopClock())
    generator = random.Random(4)
    requested: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    mean_seconds = 0.05
    capacity = slots / mean_seconds
    # The two large organisations together exceed the capacity; one small one sends long requests.
    shares = {'large-1': 0.7, 'large-2': 0.5, 'long': 0.008}
    shares.update({f'small-{number}': 0.03 for number in range(5)})

    async def request(organisation: str) -> None:
        requested[organisation] += 1
        if await queue.acquire(organisation, Importance.NORMAL, TARGET_SECONDS) is None:
            factor = 10 if organisation == 'long' else 1
            await asyncio.sleep(generator.expovariate(1 / (mean_seconds * factor)))
            queue.release(organisation)
            served[organisation] += 1

    async def send_requests(organisation: str, share: float) -> None:
        while asyncio.get_running_loop().time() < 120:
            await asyncio.sleep(generator.expovariate(capacity * share))
            group.create_task(request(organisation))

    async with asyncio.TaskGroup() as group:
        for organisation, share in shares.items():
            group.create_task(send_requests(organisation, share))
    return {organisation: served[organisation] / requested[organisation] for organisation in shares}


def _summary(measurements: list[Measurement]) -> str:
    detected = [
        measurement.seconds for measurement in measurements if measurement.seconds is not None
    ]
    seconds = f'{statistics.mean(detected):6.1f}' if detected else '     -'
    false_ejections = sum(measurement.false_ejections for measurement in measurements)
    requests = sum(measurement.requests for measurement in measurements)
    missed_share = sum(measurement.missed for measurement in measurements) / requests
    return (
        f'{seconds} s  found {len(detected)}/{len(measurements)}  false {false_ejections:2d} '
        f'in {requests} requests  missed the target {missed_share:.4f}'
    )


def _print_table(title: str, cases_by_name: dict[str, list[Case]], pool: Any) -> None:
    print(f'\n{title}', flush=True)
    running = {
        name: [pool.submit(measure, case) for case in cases]
        for name, cases in cases_by_name.items()
    }
    for name, futures in running.items():
        print(f'  {name:34s}{_summary([future.result() for future in futures])}', flush=True)


def main() -> None:
    print('worst-served organisation: share of its requests that get a slot within 1 s')
    for slots in (3, 4):
        for queue_class in (FirstComeQueue, RequestCountQueue, FairQueue):
            shares = run_in_virtual_time(_serve_organisations(queue_class, slots))
            worst = min(shares, key=shares.__getitem__)
            small = statistics.mean(share for name, share in shares.items() if 'small' in name)
            print(
                f'  {slots} slots  {queue_class.__name__:20s} worst {worst} {shares[worst]:.3f}  '
                f'small {small:.3f}  long {shares["long"]:.3f}'
            )
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for layout in LAYOUTS:
            for rate in (DAY_RATE, NIGHT_RATE):
                kinds = (*FAULTS_BY_KIND, 'none', 'all servers slow')
                cases_by_name = {
                    kind: [Case(layout, rate, kind, seed) for seed in SEEDS] for kind in kinds
                }
                third_of_servers = layout.servers // 3
                cases_by_name['a third: no first byte'] = [
                    Case(layout, rate, 'no first byte', seed, gray_servers=third_of_servers)
                    for seed in SEEDS
                ]
                _print_table(f'{layout.name}, {rate:.0f} requests/s', cases_by_name, pool)
        layout = LAYOUTS[2]
        kinds = (*FAULTS_BY_KIND, 'none', 'all servers slow')
        cases_by_name = {
            variant: [Case(layout, DAY_RATE, kind, 1, variant) for kind in kinds]
            for variant in VARIANTS
        }
        _print_table(
            f'candidates over all kinds, {layout.name}, 80 requests/s', cases_by_name, pool
        )


if __name__ == '__main__':
    main()
