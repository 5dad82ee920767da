"""Measures detection time, false ejections and the worst-served organisation.

Run as `python -m benchmarks.policy`; all parts run the real decisions in virtual time before
fake servers, with fixed seeds. The findings are in docs/decisions/outlier-detection.md.
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
from turmericwharf.coordination import FairQueue, Router, harm, outliers
from turmericwharf.state import Answered, Importance

PROCESSES = 3
WARM_SECONDS = 15.0
FAULT_SECONDS = 45.0
TARGET_SECONDS = 1.0
SEEDS = (1, 2)


@dataclasses.dataclass(frozen=True)
class Layout:
    name: str
    servers: int
    slots: int


LAYOUTS = (
    Layout('3 data centres, 6 servers, 3 slots', 6, 3),
    Layout('3 data centres, 12 servers, 3 slots', 12, 3),
    Layout('4 data centres, 8 servers, 4 slots', 8, 4),
)
DAY_RATE = 80.0
NIGHT_RATE = 4.0
KINDS: dict[str, tuple[Faults, float]] = {
    'late first byte, 0.3 s': (Faults(first_byte_seconds=0.3), 0),
    'no first byte': (Faults(first_byte_seconds=5), 0),
    'trickled body, 0.5 s': (Faults(trickle_seconds=0.5), 0),
    'half answers': (Faults(truncated_share=1), 0),
    'a fifth errors': (Faults(error_share=0.2), 0),
    'flapping, 5 s': (Faults(error_share=1, flap_seconds=5), 0),
    'path slow from one side': (Faults(), 0.5),
}


class ConcurrencyRouter(Router):
    """Additive increase and multiplicative decrease of the concurrency, without ejection."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.limits: dict[str, float] = collections.defaultdict(lambda: 4.0)

    def record_outcome(self, admitted: Any, choice: Any, outcome: Any) -> None:
        seconds = self._clock.now() - choice.started_at
        good = isinstance(outcome, Answered) and outcome.status < 500
        good = good and seconds < admitted.target_seconds / 4
        limit = self.limits[choice.instance]
        self.limits[choice.instance] = min(limit + 0.1, 8) if good else max(limit / 2, 0.1)
        super().record_outcome(admitted, choice, outcome)

    def _cost(self, report: Any) -> tuple[float, float]:
        in_flight = self._in_flight.count(report.instance)
        return (in_flight + 1) / self.limits[report.instance], 0


def _first_byte_only(outcome: Any, attempt: Any) -> float:
    if outcome.status >= 500:
        return 1.0
    seconds = outcome.first_byte_milliseconds / 1000
    return harm.latency_harm(seconds, attempt.typical_seconds, attempt.target_seconds)


def _ratio_only(seconds: float, typical_seconds: float, target_seconds: float) -> float:
    return float(seconds > 4 * typical_seconds > 0)


def _never(*arguments: Any) -> None:
    return None


def _moving_average(self: Any, report: Any, subject: Any, evidence: Any, *rest: Any) -> Any:
    """Judge by a fixed limit on the recent harm."""
    others = rest[0]
    scores = (99.0,) if evidence.recent_harm > 0.3 + others else (0.0,)
    return JUDGE(self, report, subject, dataclasses.replace(evidence, scores=scores), *rest)


JUDGE = outliers.OutlierDetector._judge
VARIANTS: dict[str, dict[str, Any]] = {
    'chosen': {},
    'small odds only': {'_FAULTY_ODDS': (4.0,)},
    'large odds only': {'_FAULTY_ODDS': (30.0,)},
    'moving average over 0.3': {'judge': _moving_average},
    'ratio to the baseline only': {'latency_harm': _ratio_only},
    'first byte only': {'first_byte': True},
    'concurrency limits, no ejection': {'judge': _never, 'router': ConcurrencyRouter},
    'no detection': {'judge': _never},
}


@dataclasses.dataclass(frozen=True)
class Case:
    layout: Layout
    rate: float
    kind: str
    seed: int
    variant: str = 'chosen'
    gray: int = 1


@dataclasses.dataclass(frozen=True)
class Finding:
    seconds: float | None
    false_ejections: int
    requests: int
    missed: int


def measure(case: Case) -> Finding:
    logger.remove()
    variant = VARIANTS[case.variant]
    odds = variant.get('_FAULTY_ODDS', outliers._FAULTY_ODDS)
    first = dataclasses.replace(outliers._NO_EVIDENCE, scores=tuple(0 for _ in odds))
    handlers = harm.server_harm.registry
    answered = _first_byte_only if 'first_byte' in variant else handlers[Answered]
    original = handlers[Answered]
    harm.server_harm.register(Answered, answered)
    with (
        mock.patch.object(outliers, '_FAULTY_ODDS', odds),
        mock.patch.object(outliers, '_NO_EVIDENCE', first),
        mock.patch.object(outliers.OutlierDetector, '_judge', variant.get('judge', JUDGE)),
        mock.patch.object(harm, 'latency_harm', variant.get('latency_harm', harm.latency_harm)),
    ):
        finding = run_in_virtual_time(_measure(case, variant.get('router', Router)))
    harm.server_harm.register(Answered, original)
    return finding


async def _measure(case: Case, router: Any) -> Finding:
    layout = case.layout
    fleet = SimulatedFleet(layout.servers, slots=layout.slots, seed=case.seed, router=router)
    traffic = {'rate': case.rate, 'target_seconds': TARGET_SECONDS, 'slow_share': 0.05}
    for node in fleet.nodes.values():
        node.server.faults = Faults(error_share=0.005)
    await fleet.load(WARM_SECONDS, **traffic)
    began = asyncio.get_running_loop().time()
    faults, delay = KINDS.get(case.kind, (Faults(error_share=0.005), 0))
    gray = [fleet.node(number) for number in range(case.gray)]
    for node in gray if case.kind in KINDS else ():
        node.server.faults = faults
    if delay:
        for number in range(1, layout.servers):
            entry = fleet.node(number).member.instance
            fleet.delays[entry, gray[0].member.instance] = delay if number == 1 else 0
    if case.kind == 'all servers slow':
        for node in fleet.nodes.values():
            node.server.faults = Faults(first_byte_seconds=0.3)
    await fleet.load(FAULT_SECONDS, **traffic)
    names = {node.member.instance for node in gray} if case.kind in KINDS else set()
    found = [one.since for (_, name), one in fleet.first_ejections.items() if name in names]
    results = [one for one in fleet.results if one.at >= began]
    missed = [one for one in results if not one.good or one.seconds > TARGET_SECONDS]
    return Finding(
        seconds=min(found) - began if found else None,
        false_ejections=sum(name not in names for _, name in fleet.first_ejections),
        requests=len(results),
        missed=len(missed),
    )


class FirstComeQueue(FairQueue):
    """First come, first served."""

    def _next_waiter(self) -> Any:
        waiting = [queue[0] for ring in self._rings.values() for queue in ring.values()]
        return min(waiting, key=lambda waiter: waiter.expires_at)

    def _displace(self, organisation: Any, importance: Any) -> bool:
        return False


class RequestCountQueue(FairQueue):
    """Charges each request the same, whatever slot time it takes."""

    def _charge(self, organisation: Any, seconds: float) -> None:
        super()._charge(organisation, seconds if seconds == self._mean_seconds else 0)


async def _serve_organisations(queue_type: Any, slots: int) -> dict[str, float]:
    queue = queue_type(slots, 256, LoopClock())
    generator = random.Random(4)
    asked: collections.Counter[str] = collections.Counter()
    served: collections.Counter[str] = collections.Counter()
    usual_seconds = 0.05
    capacity = slots / usual_seconds
    # Two organisations ask for more than there is; one small one has long requests.
    shares = {'large-1': 0.7, 'large-2': 0.5, 'long': 0.008}
    shares.update({f'small-{number}': 0.03 for number in range(5)})

    async def request(organisation: str) -> None:
        asked[organisation] += 1
        if await queue.acquire(organisation, Importance.NORMAL, TARGET_SECONDS) is None:
            factor = 10 if organisation == 'long' else 1
            await asyncio.sleep(generator.expovariate(1 / (usual_seconds * factor)))
            queue.release(organisation)
            served[organisation] += 1

    async def ask(organisation: str, share: float) -> None:
        while asyncio.get_running_loop().time() < 120:
            await asyncio.sleep(generator.expovariate(capacity * share))
            group.create_task(request(organisation))

    async with asyncio.TaskGroup() as group:
        for organisation, share in shares.items():
            group.create_task(ask(organisation, share))
    return {organisation: served[organisation] / asked[organisation] for organisation in shares}


def _summary(findings: list[Finding]) -> str:
    found = [one.seconds for one in findings if one.seconds is not None]
    seconds = f'{statistics.mean(found):6.1f}' if found else '     -'
    false = sum(one.false_ejections for one in findings)
    requests = sum(one.requests for one in findings)
    missed = sum(one.missed for one in findings) / requests
    return (
        f'{seconds} s  found {len(found)}/{len(findings)}  false {false:2d} '
        f'in {requests} requests  missed the target {missed:.4f}'
    )


def _print_table(title: str, cases: dict[str, list[Case]], pool: Any) -> None:
    print(f'\n{title}', flush=True)
    running = {
        name: [pool.submit(measure, case) for case in listed] for name, listed in cases.items()
    }
    for name, futures in running.items():
        print(f'  {name:34s}{_summary([one.result() for one in futures])}', flush=True)


def main() -> None:
    print('worst-served organisation: share of its requests that get a slot within 1 s')
    for slots in (3, 4):
        for queue_type in (FirstComeQueue, RequestCountQueue, FairQueue):
            shares = run_in_virtual_time(_serve_organisations(queue_type, slots))
            worst = min(shares, key=shares.__getitem__)
            small = statistics.mean(one for name, one in shares.items() if 'small' in name)
            print(
                f'  {slots} slots  {queue_type.__name__:20s} worst {worst} {shares[worst]:.3f}  '
                f'small {small:.3f}  long {shares["long"]:.3f}'
            )
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        for layout in LAYOUTS:
            for rate in (DAY_RATE, NIGHT_RATE):
                kinds = (*KINDS, 'none', 'all servers slow')
                cases = {kind: [Case(layout, rate, kind, seed) for seed in SEEDS] for kind in kinds}
                third = layout.servers // 3
                cases['a third: no first byte'] = [
                    Case(layout, rate, 'no first byte', seed, gray=third) for seed in SEEDS
                ]
                _print_table(f'{layout.name}, {rate:.0f} requests/s', cases, pool)
        layout = LAYOUTS[2]
        kinds = (*KINDS, 'none', 'all servers slow')
        cases = {
            variant: [Case(layout, DAY_RATE, kind, 1, variant) for kind in kinds]
            for variant in VARIANTS
        }
        _print_table(f'candidates over all kinds, {layout.name}, 80 requests/s', cases, pool)


if __name__ == '__main__':
    main()
