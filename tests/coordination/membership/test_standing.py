"""Standing against outages, cuts and pauses, and the bound on a withdrawn key."""

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
    whole = await fleet.wait(
        lambda: all(
            len(node.members.live_members()) == len(names) and node.standing.has_majority
            for node in fleet.nodes.values()
        ),
        20,
    )
    assert whole
    return fleet


def all_away(fleet: VirtualFleet) -> None:
    fleet.log_unreachable.update(NAMES)


def minority_away(fleet: VirtualFleet) -> None:
    fleet.log_unreachable.update(NAMES[:2])


def minority_cut_off(fleet: VirtualFleet) -> None:
    fleet.isolate('a', 'b')


def one_deaf(fleet: VirtualFleet) -> None:
    fleet.log_unreachable.update(NAMES)
    fleet.partitioned_links.update((other, 'a') for other in NAMES[1:])


def one_mute(fleet: VirtualFleet) -> None:
    fleet.log_unreachable.update(NAMES)
    fleet.partitioned_links.update(('a', other) for other in NAMES[1:])


@pytest.mark.parametrize(
    ('fault', 'without_standing'),
    [
        (all_away, set()),
        (minority_away, set()),
        (minority_cut_off, {'a', 'b'}),
        (one_deaf, {'a'}),
        (one_mute, {'a'}),
    ],
)
def test_outage_is_told_apart_from_isolation(fault, without_standing):
    """Guards against a fleet that stops in a log outage, or a minority that goes on alone."""

    async def run():
        fleet = await start_fleet()
        fault(fleet)
        await asyncio.sleep(STANDING_SECONDS + 0.01)
        for _moment in range(300):
            standing = fleet.has_standing()
            assert {name for name in NAMES if not standing[name]} == without_standing
            await asyncio.sleep(0.05)
        fleet.close()

    run_virtual(run())


def test_records_that_end_a_wait_for_the_log_do_not_cost_standing():
    """Guards against a log that is read all the time and counts as away between two records."""

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
    """Guards against answers that wait behind a one-way cut and then make old ages look new."""

    async def run():
        fleet = await start_fleet()
        fleet.log_unreachable.update(NAMES)
        await asyncio.sleep(STANDING_SECONDS + 0.1)
        fleet.partitioned_links.update((other, 'a') for other in NAMES[1:])
        await asyncio.sleep(1.2)
        fleet.partitioned_links.update(('a', other) for other in NAMES[1:])
        asked_last_at = asyncio.get_running_loop().time()
        await asyncio.sleep(1.5)
        fleet.partitioned_links.difference_update({(other, 'a') for other in NAMES[1:]})
        await asyncio.sleep(asked_last_at + STANDING_SECONDS + 0.1 - LoopClock().now())
        assert not fleet.nodes['a'].standing.has_standing
        fleet.close()

    run_virtual(run())


def test_majorities_of_successive_memberships_share_a_node():
    """Guards against two removals at once, after which two groups could each have a majority."""

    async def run():
        fleet = await start_fleet()
        # 'd' ranks first for the removal of both 'a' and 'e', so that nothing holds it back.
        fleet.isolate('a', 'e')
        fleet.log_unreachable.add('c')
        assert await fleet.wait(lambda: len(members_of(fleet, 'd')) < len(NAMES), 30)
        # At the first removal, 'c' changes over to the group that is being removed.
        fleet.partitioned_links.clear()
        fleet.isolate('a', 'c', 'e')
        await asyncio.sleep(10)
        version = fleet.withdraw_key()
        in_force_at: dict[int, float] = {}
        for _moment in range(400):
            check(fleet, [version], in_force_at)
            await asyncio.sleep(0.05)
        fleet.close()

    run_virtual(run())


def members_of(fleet: VirtualFleet, name: str) -> set[str]:
    return set(fleet.nodes[name].members.membership.members_by_id)


def test_resumed_process_knows_at_once_that_its_knowledge_is_old():
    """Guards against a paused process that serves callers from before it noticed the pause."""

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
    """Guards against a node that takes callers although a majority knows of a withdrawal.

    Nodes lose the log, are cut off, paused and replaced at random; messages are lost and late.
    """

    async def run():
        fleet = await start_fleet(seed)
        chance = random.Random(seed)
        fleet.loss, fleet.delay_seconds = loss, delay_seconds
        victims = chance.sample(NAMES, chance.randint(1, 3))
        fleet.slow.update(victims)
        if chance.random() < 0.5:
            fleet.log_unreachable.update(victims)
        in_force_at: dict[int, float] = {}
        versions: list[int] = []
        for step in range(200):
            if step % 4 == 0:
                disturb(fleet, chance, victims)
            if step % 40 == 20:
                versions.append(fleet.withdraw_key())
            check(fleet, versions, in_force_at)
            await asyncio.sleep(0.1)
        fleet.close()

    run_virtual(run())


def disturb(fleet: VirtualFleet, chance: random.Random, victims: list[str]) -> None:
    rest = [name for name in NAMES if name not in victims]
    inward = {(one, other) for one in rest for other in victims}
    outward = {(other, one) for one, other in inward}
    name, other = chance.sample(NAMES, 2)
    faults = (
        lambda: fleet.partitioned_links.update(inward),
        lambda: fleet.partitioned_links.update(outward),
        lambda: fleet.partitioned_links.difference_update(inward),
        lambda: fleet.partitioned_links.difference_update(outward),
        lambda: fleet.paused.update(victims),
        fleet.paused.clear,
        lambda: fleet.log_unreachable.update(NAMES),
        lambda: fleet.log_unreachable.difference_update(rest),
        lambda: fleet.start(name, seeds=(other,)),
    )
    chance.choice(faults)()


def check(fleet: VirtualFleet, versions: list[int], in_force_at: dict[int, float]) -> None:
    now = asyncio.get_running_loop().time()
    applied = {name: node.control_log.state.version for name, node in fleet.nodes.items()}
    for version in versions:
        newest = max(fleet.nodes.values(), key=lambda node: node.control_log.state.version)
        members = newest.members.membership.members_by_id
        knowing = [name for name in members if applied.get(name, -1) >= version]
        if 2 * len(knowing) > len(members):
            in_force_at.setdefault(version, now)
    for name, node in fleet.nodes.items():
        if name in fleet.paused or not (node.standing.has_standing and node.control_log.is_ready):
            continue
        for version, moment in in_force_at.items():
            late = now - moment > STANDING_SECONDS + 0.01
            assert not late or applied[name] >= version, (name, version, now - moment)
