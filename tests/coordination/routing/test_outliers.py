import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.simulated_fleet import Faults, SimulatedFleet
from tests.virtual_time import run_in_virtual_time
from turmericwharf.coordination import OutlierDetector, within_floor
from turmericwharf.state import (
    Ejection,
    OutlierHint,
    OutlierSettings,
    ReinstatementCause,
    ServerReport,
    ServerState,
    EvidenceSubject,
)


class ManualClock:
    def __init__(self) -> None:
        self.seconds = 0.0

    def now(self) -> float:
        return self.seconds


def make_report(number: int, slots: int = 3) -> ServerReport:
    return ServerReport(f'node-{number}', 'first', 1, 'service', slots, ServerState.READY)


def make_ejection(number: int, harm: float) -> Ejection:
    return Ejection(
        f'node-{number}', 'first', 'service', EvidenceSubject.SERVER, 0, 9, harm, 0, 50, 1
    )


@st.composite
def fleets(draw):
    """A fleet, the view that each node has of it, and the ejections that each node proposes."""
    slots = draw(st.lists(st.integers(1, 8), min_size=1, max_size=12))
    fleet = [make_report(number, count) for number, count in enumerate(slots)]
    floor = draw(st.floats(0, 1))
    view = st.lists(st.sampled_from(fleet), unique_by=lambda report: report.instance, min_size=1)
    views = draw(st.one_of(st.just([fleet] * 3), st.lists(view, min_size=1, max_size=4)))
    harms = st.dictionaries(st.integers(0, len(fleet) - 1), st.floats(0, 1))
    proposals = [
        [make_ejection(number, harm) for number, harm in draw(harms).items()] for _ in views
    ]
    return fleet, views, proposals, floor


def slots_of(reports) -> int:
    return sum(report.slots for report in reports)


@given(fleets())
@settings(max_examples=250, deadline=None, derandomize=True)
def test_floor_holds_for_each_node_and_for_all_together(case):
    """Guards against nodes that decide at the same time and together eject below the floor."""
    fleet, views, proposals, floor = case
    decisions = [
        within_floor(view, ejections, floor)
        for view, ejections in zip(views, proposals, strict=True)
    ]
    for view, ejected in zip(views, decisions, strict=True):
        left = [report for report in view if report.instance not in ejected]
        assert left
        assert slots_of(left) >= floor * slots_of(view) - 1e-9
    by_all = frozenset.intersection(*decisions)
    left = [report for report in fleet if report.instance not in by_all]
    assert slots_of(left) >= floor * slots_of(fleet) - 1e-9


def test_floor_reinstates_the_least_harmful_first():
    """Guards against ejecting a mildly slow server while a failed one stays in use."""
    ready = [make_report(number) for number in range(4)]
    ejections = [make_ejection(0, 0.2), make_ejection(1, 0.9), make_ejection(2, 0.5)]
    assert within_floor(ready, ejections, 0.5) == {'node-1', 'node-2'}
    assert within_floor(ready[:3], ejections, 0.5) == {'node-1'}


def test_load_on_all_servers_ejects_none():
    """Guards against treating overload of a whole service as a fault of single servers."""
    detector = OutlierDetector(OutlierSettings(), ManualClock())
    generator = random.Random(11)
    proposals = []
    for step in range(6000):
        mean_harm = 0.0 if step < 3000 else 0.6
        report = make_report(generator.randrange(6))
        harm = min(max(generator.gauss(mean_harm, 0.3), 0), 1) if mean_harm else 0.0
        proposals.append(
            detector.record_harm(report, EvidenceSubject.SERVER, harm, target_seconds=1.0)
        )
    assert not any(proposals)


def test_false_ejections_are_as_rare_as_the_setting_says():
    """Guards against a threshold at which rare errors eject healthy servers."""
    requests = 40_000
    bound = OutlierSettings().requests_between_false_ejections
    detector = OutlierDetector(OutlierSettings(), ManualClock())
    generator = random.Random(5)
    ejected = 0
    for _ in range(requests):
        report = make_report(generator.randrange(6))
        harm = float(generator.random() < 0.015)
        proposed = detector.record_harm(report, EvidenceSubject.SERVER, harm, target_seconds=1.0)
        if proposed is not None:
            ejected += 1
            detector.reinstate(proposed, ReinstatementCause.FLOOR)
    assert ejected <= requests / bound


def test_hold_doubles_while_a_server_flaps_and_shrinks_when_it_is_stable():
    """Guards against a flapping server that keeps harming the same share of requests.

    Each ejection in short succession doubles the ejection time, up to the maximum; stable time
    reduces it.
    """
    clock = ManualClock()
    detector = OutlierDetector(OutlierSettings(), clock)
    report = make_report(0)

    def eject_and_reinstate() -> float:
        proposals = (
            detector.record_harm(report, EvidenceSubject.SERVER, 1, target_seconds=1.0)
            for _ in itertools.count()
        )
        ejection = next(proposed for proposed in proposals if proposed)
        detector.eject(ejection)
        clock.seconds = ejection.until
        while (held := detector.find_ejection('service', 'node-0')) is not None:
            detector.record_probe(held, 0)
        return ejection.until - ejection.since

    holds = [eject_and_reinstate() for _ in range(6)]
    assert holds == [5, 10, 20, 40, 60, 60]
    clock.seconds += 4 * 60
    assert eject_and_reinstate() < 60


@pytest.mark.parametrize(
    ('faults', 'delayed'),
    [
        (Faults(first_byte_seconds=5), False),
        (Faults(trickle_seconds=0.5), False),
        (Faults(truncated_share=1), False),
        (Faults(error_share=0.3), False),
        (Faults(), True),
    ],
    ids=['hangs', 'trickles', 'half answers', 'errors', 'bad path'],
)
def test_gray_server_is_ejected_and_no_healthy_one(faults, delayed):
    """Guards against missing a kind of gray failure, or ejecting a server for a slow path to it."""

    async def scenario() -> None:
        fleet = SimulatedFleet(6, slots=3, seed=3)
        await fleet.load(4, rate=60, slow_share=0.05)
        assert not fleet.first_ejections
        entry, gray = fleet.node(0).member.instance, fleet.node(1).member.instance
        fleet.node(1).server.faults = faults
        if delayed:
            fleet.delays[entry, gray] = 0.5
        await fleet.load(25, rate=60, slow_share=0.05)
        ejections = fleet.first_ejections
        assert {server for _, server in ejections} == {gray}
        nodes = {node for node, _ in ejections}
        if delayed:
            assert nodes == {entry}
            assert {ejection.subject for ejection in ejections.values()} <= {
                EvidenceSubject.PATH,
                EvidenceSubject.UNANSWERED,
            }
        else:
            assert nodes == set(fleet.nodes)

    run_in_virtual_time(scenario())


def test_hint_of_a_peer_needs_own_evidence_and_speeds_up_detection():
    """Guards against ejections based on hints alone, and against hints that have no effect.

    A hint must not eject a server without local evidence, but must reduce the number of requests
    that reach a gray server.
    """
    detector = OutlierDetector(OutlierSettings(), ManualClock())
    report = make_report(0)
    detector.record_hint(OutlierHint('service', 'node-0', 'first'))
    assert detector.record_harm(report, EvidenceSubject.SERVER, 0, target_seconds=1.0) is None
    assert detector.record_harm(report, EvidenceSubject.SERVER, 1, target_seconds=1.0) is not None

    async def count_harmed_requests(outliers: OutlierSettings) -> int:
        fleet = SimulatedFleet(8, slots=3, seed=3, outliers=outliers)
        await fleet.load(10, rate=100)
        fleet.node(0).server.faults = Faults(truncated_share=1)
        attempts_before = fleet.node(0).server.attempts
        await fleet.load(10, rate=100)
        return fleet.node(0).server.attempts - attempts_before

    no_hints = OutlierSettings(hinted_peers=0)
    with_hints = run_in_virtual_time(count_harmed_requests(OutlierSettings()))
    without = run_in_virtual_time(count_harmed_requests(no_hints))
    assert with_hints < without, (with_hints, without)
    print(f'requests that the gray server harmed: {without} without hints, {with_hints} with hints')
