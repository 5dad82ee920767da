"""Standing during outages, partitions and pauses, and the time limit for withdrawn keys."""

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.virtual_fleet import LoopClock, VirtualFleet, run_virtual
from turmericwharf.state import TimingSettings

NAMES = ('a', 'b', 'c', 'd', 'e')
TIMING = TimingSettings(removal_seconds=8.0)
STANDING_SECONDS = TIMING.standing_seconds


async def start_fleet(seed: int = 1, names: tuple[str, ...] = NAMES) -> VirtualFleet:
    fleet = VirtualFleet(seed, TIMING)
    for name in names:
        fleet.start(name)
    is_complete = await fleet.wait(
        lambda: all(
            len(node.members.live_members()) == len(names) and node.standing.has_majority
            for node in fleet.nodes.values()
        ),
        20,
    )
    assert is_complete
    return fleet


def log_unreachable_for_all(fleet: VirtualFleet) -> None:
    fleet.log_unreachable.update(NAMES)


def log_unreachable_for_minority(fleet: VirtualFleet) -> None:
    fleet.log_unreachable.update(NAMES[:2])


def minority_isolated(fleet: VirtualFleet) -> None:
    fleet.isolate('a', 'b')


def inbound_links_partitioned(fleet: VirtualFleet) -> None:
    fleet.log_unreachable.update(NAMES)
    fleet.partitioned_links.update((other, 'a') for other in NAMES[1:])


def outbound_links_partitioned(fleet: VirtualFleet) -> None:
    fleet.log_unreachable.update(NAMES)
    fleet.partitioned_links.update(('a', other) for other in NAMES[1:])


@pytest.mark.parametrize(
    ('fault', 'without_standing'),
    [
        (log_unreachable_for_all, set()),
        (log_unreachable_for_minority, set()),
        (minority_isolated, {'a', 'b'}),
        (inbound_links_partitioned, {'a'}),
        (outbound_links_partitioned, {'a'}),
    ],
)
def test_log_outage_keeps_standing_and_isolation_ends_it(fault, without_standing):
    """Guards against a fleet that stops in a log outage, and an isolated minority that serves."""

    async def run():
        fleet = await start_fleet()
        fault(fleet)
        await asyncio.sleep(STANDING_SECONDS + 0.01)
        for _step in range(300):
            standing = fleet.has_standing()
            assert {name for name in NAMES if not standing[name]} == without_standing
            await asyncio.sleep(0.05)
        fleet.close()

    run_virtual(run())


def test_steady_records_do_not_end_log_standing():
    """Guards against a node that counts the log as unreachable although it keeps reading it.

    Each record ends a read early, so the node has to reach the tail between two records.
    """

    async def run():
        fleet = await start_fleet(names=('a',))
        fleet.delay_seconds = 0.1
        fleet.slow.add('a')
        for step in range(1200):
            if step % 19 == 0:
                fleet.withdraw_key()
            assert fleet.nodes['a'].standing.has_log, step
            await asyncio.sleep(0.05)
        fleet.close()

    run_virtual(run())


def test_late_frames_do_not_refresh_ages():
    """Guards against delayed answers that make old ages look recent.

    Answers are held up by a one-way partition and delivered after the other direction failed.
    """

    async def run():
        fleet = await start_fleet()
        fleet.log_unreachable.update(NAMES)
        await asyncio.sleep(STANDING_SECONDS + 0.1)
        fleet.partitioned_links.update((other, 'a') for other in NAMES[1:])
        await asyncio.sleep(1.2)
        fleet.partitioned_links.update(('a', other) for other in NAMES[1:])
        last_request_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1.5)
        fleet.partitioned_links.difference_update({(other, 'a') for other in NAMES[1:]})
        await asyncio.sleep(last_request_at + STANDING_SECONDS + 0.1 - LoopClock().now())
        assert not fleet.nodes['a'].standing.has_standing
        fleet.close()

    run_virtual(run())


def test_majorities_of_successive_memberships_share_a_node():
    """Guards against two removals at once, which would allow two disjoint majorities."""

    async def run():
        fleet = await start_fleet()
        # 'd' ranks first for the removal of both 'a' and 'e', so no rank delay holds it back.
        fleet.isolate('a', 'e')
        fleet.log_unreachable.add('c')
        assert await fleet.wait(lambda: len(members_of(fleet, 'd')) < len(NAMES), 30)
        # At the first removal, 'c' moves to the side of the members that are being removed.
        fleet.partitioned_links.clear()
        fleet.isolate('a', 'c', 'e')
        await asyncio.sleep(10)
        version = fleet.withdraw_key()
        in_force_at: dict[int, float] = {}
        for _step in range(400):
            assert_versions_in_force(fleet, [version], in_force_at)
            await asyncio.sleep(0.05)
        fleet.close()

    run_virtual(run())


def members_of(fleet: VirtualFleet, name: str) -> set[str]:
    return set(fleet.nodes[name].members.membership.members_by_id)


def test_resumed_process_has_no_standing_until_it_is_fresh():
    """Guards against a resumed process that serves callers before it notices its pause."""

    async def run():
        fleet = await start_fleet()
        fleet.paused.add('a')
        await asyncio.sleep(STANDING_SECONDS + 0.5)
        fleet.paused.clear()
        assert not fleet.nodes['a'].standing.has_standing
        assert await fleet.wait(lambda: fleet.nodes['a'].standing.has_standing, STANDING_SECONDS)
        fleet.close()

    run_virtual(run())


@settings(max_examples=12, deadline=None, derandomize=True)
@given(st.integers(0, 2**32), st.floats(0, 0.3), st.floats(0, 2.5))
def test_withdrawn_key_is_refused_within_the_standing_time(seed, loss, delay_seconds):
    """Guards against a node that serves a withdrawn key after the standing time.

    The time starts when the withdrawal is in force at a majority. Meanwhile nodes lose the log, are
    isolated, paused and replaced at random, and messages are lost and delayed.
    """

    async def run():
        fleet = await start_fleet(seed)
        generator = random.Random(seed)
        fleet.loss, fleet.delay_seconds = loss, delay_seconds
        faulty_nodes = generator.sample(NAMES, generator.randint(1, 3))
        fleet.slow.update(faulty_nodes)
        if generator.random() < 0.5:
            fleet.log_unreachable.update(faulty_nodes)
        in_force_at: dict[int, float] = {}
        versions: list[int] = []
        for step in range(200):
            if step % 4 == 0:
                inject_random_fault(fleet, generator, faulty_nodes)
            if step % 40 == 20:
                versions.append(fleet.withdraw_key())
            assert_versions_in_force(fleet, versions, in_force_at)
            await asyncio.sleep(0.1)
        fleet.close()

    run_virtual(run())


def inject_random_fault(
    fleet: VirtualFleet, generator: random.Random, faulty_nodes: list[str]
) -> None:
    other_nodes = [name for name in NAMES if name not in faulty_nodes]
    inward = {(one, other) for one in other_nodes for other in faulty_nodes}
    outward = {(other, one) for one, other in inward}
    name, other = generator.sample(NAMES, 2)
    faults = (
        lambda: fleet.partitioned_links.update(inward),
        lambda: fleet.partitioned_links.update(outward),
        lambda: fleet.partitioned_links.difference_update(inward),
        lambda: fleet.partitioned_links.difference_update(outward),
        lambda: fleet.paused.update(faulty_nodes),
        fleet.paused.clear,
        lambda: fleet.log_unreachable.update(NAMES),
        lambda: fleet.log_unreachable.difference_update(other_nodes),
        lambda: fleet.start(name, seeds=(other,)),
    )
    generator.choice(faults)()


def assert_versions_in_force(
    fleet: VirtualFleet, versions: list[int], in_force_at: dict[int, float]
) -> None:
    now = asyncio.get_running_loop().time()
    applied = {name: node.control_log.state.version for name, node in fleet.nodes.items()}
    for version in versions:
        newest = max(fleet.nodes.values(), key=lambda node: node.control_log.state.version)
        members = newest.members.membership.members_by_id
        up_to_date = [name for name in members if applied.get(name, -1) >= version]
        if 2 * len(up_to_date) > len(members):
            in_force_at.setdefault(version, now)
    for name, node in fleet.nodes.items():
        if name in fleet.paused or not (node.standing.has_standing and node.control_log.is_ready):
            continue
        for version, in_force_since in in_force_at.items():
            late = now - in_force_since > STANDING_SECONDS + 0.01
            assert not late or applied[name] >= version, (name, version, now - in_force_since)
