"""No organisation gets more than its rate and burst from all nodes together."""

import asyncio

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.simulated_rates import SimulatedFleet, find_excess, run_virtual

RATE = 16.0
BURST = 8.0
# Holders measure the rate on clocks that drift, in the simulation by up to 0.8 %.
MEASURED_RATE = RATE * 1.01
INSTANCES = ('a', 'b', 'c', 'd')
SETTLED_SECONDS = 12.0
EVENTS = (
    'start',
    'remove',
    'pause',
    'resume',
    'kill',
    'cut',
    'cut log',
    'isolate',
    'heal',
    'lose messages',
    'slow links',
)


@pytest.fixture(autouse=True)
def one_partition(monkeypatch):
    """The simulated organisation is in partition 0; loans of the others only cost time."""
    monkeypatch.setattr('turmericwharf.coordination.rates.share_holders.PARTITION_COUNT', 1)


async def _run(fleet, events):
    """Let events happen, each after some seconds, under a load of several times the rate."""
    fleet.start(*INSTANCES)
    await asyncio.sleep(SETTLED_SECONDS)
    load = asyncio.create_task(fleet.send_load(factor=3, seconds=3600))
    watch = asyncio.create_task(fleet.watch_shares())
    for event, one, other, seconds in events:
        fleet.apply(event, one, other)
        await asyncio.sleep(seconds)
    load.cancel()
    watch.cancel()
    fleet.close()


def _check(events, seed=1):
    fleet = SimulatedFleet(rate=RATE, burst=BURST, seed=seed)
    run_virtual(lambda: _run(fleet, events))
    assert find_excess(fleet.admissions, rate=MEASURED_RATE, burst=BURST) is None
    assert fleet.max_total_share <= 1 + 1e-6


@settings(
    max_examples=12,
    # Shrinking takes minutes, and the events of a failure are printed as they are.
    phases=(Phase.explicit, Phase.generate),
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(EVENTS),
            st.sampled_from((*INSTANCES, 'e')),
            st.sampled_from(INSTANCES),
            st.sampled_from((0.3, 1.0, 4.0, 9.0)),
        ),
        min_size=3,
        max_size=10,
    ),
    st.integers(0, 1000),
)
def test_rate_holds_through_any_events(events, seed):
    """Guards against two nodes that use the same part of a rate at the same time."""
    _check(events, seed)


MINORITY_REMOVES_MAJORITY = [
    ('cut log', 'a', '', 0),
    ('cut log', 'b', '', 0),
    ('cut log', 'c', '', 0),
    ('isolate', 'd', '', 4),
    ('remove', 'a', '', 0),
    ('remove', 'b', '', 0),
    ('remove', 'c', '', 20),
]
JOIN_UNKNOWN_TO_MAJORITY = [
    ('cut log', 'a', '', 0),
    ('cut log', 'b', '', 0),
    ('cut log', 'c', '', 0),
    ('isolate', 'd', '', 4),
    ('start', 'e', '', 0),
    ('start', 'f', '', 20),
]
PAUSED_THEN_REPLACED = [
    ('pause', 'a', '', 2),
    ('remove', 'a', '', 20),
    ('resume', 'a', '', 5),
    ('pause', 'b', '', 1),
    ('resume', 'b', '', 3),
    ('start', 'b', '', 12),
]
# Each node loses the others while its loans run, so that borrowers and lenders must stop in order.
OWNER_LOST = [
    ('slow links', 'a', '', 4),
    *[event for node in INSTANCES for event in (('isolate', node, '', 6), ('heal', node, '', 4))],
]
REMOVED_WITHOUT_STANDING = [
    ('cut log', 'a', '', 0),
    ('isolate', 'a', '', 0),
    ('remove', 'a', '', 20),
]
REMOVED_BUT_HEARS_LATE = [
    ('cut log', 'a', '', 0),
    ('hear late', 'a', '', 4),
    ('remove', 'a', '', 20),
]


@pytest.mark.parametrize(
    'events',
    [
        pytest.param(MINORITY_REMOVES_MAJORITY, id='minority removes majority'),
        pytest.param(JOIN_UNKNOWN_TO_MAJORITY, id='join unknown to majority'),
        pytest.param(PAUSED_THEN_REPLACED, id='paused'),
        pytest.param(OWNER_LOST, id='owner lost'),
        pytest.param(REMOVED_WITHOUT_STANDING, id='removed without standing'),
        pytest.param(REMOVED_BUT_HEARS_LATE, id='removed but hears late'),
    ],
)
def test_rate_holds_when_views_differ(events):
    """Guards against shares that follow what others with standing do not know."""
    _check(events)


@pytest.mark.parametrize(
    ('rate', 'burst', 'factor', 'least_without_question'),
    [(200.0, 100.0, 0.9, 0.95), (16.0, 8.0, 0.9, 0.9), (10.0, 1.0, 0.5, 0.0)],
    ids=['busy', 'small', 'burst of one'],
)
def test_whole_fleet_gets_the_whole_rate(rate, burst, factor, least_without_question):
    """Guards against shares that are not lent, tokens that are lost and a hop for each request."""

    async def scenario():
        fleet = SimulatedFleet(rate=rate, burst=burst)
        fleet.start(*INSTANCES)
        await asyncio.sleep(SETTLED_SECONDS + burst / rate)
        load = {'factor': factor, 'seconds': 6}
        refused = [await fleet.send_load(**load, at=[one]) for one in INSTANCES]
        counters = [node.node.limiter.counters() for node in fleet.nodes_by_id.values()]
        refused.append(await fleet.send_load(**load))
        fleet.close()
        return refused, counters

    refused, counters = run_virtual(scenario)
    assert refused == [0] * 5
    for counts in counters:
        assert counts.admitted_without_question >= counts.admitted * least_without_question
        assert counts.questions <= counts.admitted
