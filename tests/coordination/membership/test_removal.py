"""Removal of unreachable members, and nodes that must not remove others."""

import asyncio

from tests.coordination.membership.test_standing import NAMES, STANDING_SECONDS, TIMING, start_fleet
from tests.virtual_fleet import run_virtual
from turmericwharf.state import Removed

REMOVAL_SECONDS = TIMING.removal_seconds


def test_silent_member_is_removed_once_and_joins_again():
    """Guards against members that are never removed, removed twice or unable to rejoin."""

    async def run():
        fleet = await start_fleet()
        fleet.isolate('e')
        view = fleet.nodes['a'].members
        assert await fleet.wait(
            lambda: 'e' not in view.membership.members_by_id, REMOVAL_SECONDS + 4
        )
        await asyncio.sleep(2 * STANDING_SECONDS)
        removals = [record for record in fleet.records if isinstance(record, Removed)]
        assert [one.instance for one in removals] == ['e']
        assert set(view.membership.members_by_id) == set(NAMES) - {'e'}
        assert not fleet.nodes['e'].standing.has_standing
        fleet.partitioned_links.clear()
        fleet.log_unreachable.clear()
        assert await fleet.wait(lambda: fleet.nodes['e'].members.is_joined, 5)
        assert await fleet.wait(lambda: view.is_alive('e'), 5)
        fleet.close()

    run_virtual(run())


def test_isolated_or_paused_node_removes_nobody():
    """Guards against a node that removes others because it was itself isolated or paused."""

    async def run():
        fleet = await start_fleet()
        # 'a' reads the log but receives nothing from peers; 'b' resumes after a long pause.
        fleet.partitioned_links.update((other, 'a') for other in NAMES[1:])
        fleet.paused.add('b')
        await asyncio.sleep(REMOVAL_SECONDS - 1)
        before = len(fleet.records)
        fleet.partitioned_links.clear()
        fleet.paused.clear()
        await asyncio.sleep(2 * REMOVAL_SECONDS)
        assert not [one for one in fleet.records[before:] if isinstance(one, Removed)]
        fleet.paused.update(NAMES[1:])
        await asyncio.sleep(4 * REMOVAL_SECONDS)
        fleet.paused.clear()
        await asyncio.sleep(REMOVAL_SECONDS / 2)
        assert not [one for one in fleet.records[before:] if isinstance(one, Removed)]
        fleet.close()

    run_virtual(run())
