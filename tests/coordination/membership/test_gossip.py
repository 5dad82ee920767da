"""Replacement of nodes while the log is unreachable, and propagation of server reports."""

import asyncio

from tests.coordination.membership.test_standing import NAMES, STANDING_SECONDS, TIMING, start_fleet
from tests.virtual_fleet import VirtualFleet, run_virtual
from turmericwharf.state import ServerState, ServiceId

SERVICE = ServiceId('catalogue')
SPREAD_SECONDS = 8.0


def all_nodes_route_to(fleet: VirtualFleet, name: str) -> bool:
    """Whether every node would route work to the server of the named node."""
    own = fleet.nodes[name].members.own
    return all(
        (own.instance, own.incarnation)
        in {(one.instance, one.incarnation) for one in node.members.live_servers_for(SERVICE)}
        for node in fleet.nodes.values()
    )


def test_replacement_serves_while_the_log_is_away():
    """Guards against a replacement node that cannot serve until the log is reachable again.

    It has to get the control state and its introduction through peers alone.
    """

    async def run():
        fleet = await start_fleet()
        fleet.log_unreachable.update(NAMES)
        await asyncio.sleep(STANDING_SECONDS + 1)
        for name in ('a', 'd'):
            replacement = fleet.start(name, seeds=('b',))
            assert not replacement.control_log.is_ready
            ready = await fleet.wait(lambda node=replacement: node.standing.has_standing, 5)
            assert ready and replacement.control_log.is_ready
            replacement.executor.record_announcement(SERVICE, 1, ServerState.READY)
            assert await fleet.wait(
                lambda name=name: all_nodes_route_to(fleet, name), SPREAD_SECONDS
            )
        fleet.log_unreachable.clear()
        joined = await fleet.wait(
            lambda: all(node.members.is_joined for node in fleet.nodes.values()), 5
        )
        assert joined
        fleet.close()

    run_virtual(run())


def test_start_without_log_and_peers_is_not_ready():
    """Guards against a node that serves an empty configuration after a start in isolation."""

    async def run():
        fleet = VirtualFleet(1, TIMING)
        fleet.log_unreachable.add('a')
        node = fleet.start('a', seeds=('b', 'nobody'))
        await asyncio.sleep(10)
        assert not node.control_log.is_ready
        assert not node.standing.has_standing
        fleet.close()

    run_virtual(run())


def test_replacements_that_missed_a_withdrawal_have_no_standing():
    """Guards against a withdrawal that is undone when the nodes that applied it are replaced.

    The replacements get their state from a node that missed the withdrawal. They must not count
    towards a majority with that state.
    """

    async def run():
        fleet = await start_fleet()
        fleet.isolate('d', 'e')
        version = fleet.withdraw_key()
        up_to_date = [fleet.nodes[name].control_log for name in 'abc']
        assert await fleet.wait(lambda: all(one.state.version >= version for one in up_to_date), 3)
        fleet.log_unreachable.update(NAMES)
        fleet.kill('c')
        for name in 'ab':
            fleet.start(name, seeds=('d',))
        # By then, answers of the killed nodes that are held up by the partition have timed out.
        await asyncio.sleep(STANDING_SECONDS)
        fleet.partitioned_links.clear()
        for _step in range(100):
            assert not any(fleet.has_standing().values())
            await asyncio.sleep(0.1)
        fleet.close()

    run_virtual(run())


def test_replaced_node_stops_and_its_late_messages_are_dropped():
    """Guards against two incarnations that serve in the same slot.

    The old one must stop, and its delayed gossip and reports must not count for the new one.
    """

    async def run():
        fleet = await start_fleet()
        old = fleet.nodes['a']
        old.executor.record_announcement(SERVICE, 1, ServerState.READY)
        report, answer = old.executor.report, old.gossiper.make_gossip()
        new = fleet.start('a')
        assert await fleet.wait(
            lambda: all_nodes_know_incarnation(fleet, new.members.own.incarnation), 5
        )
        old.gossiper.introduce(new.members.own)
        assert not old.standing.has_standing
        peer = fleet.nodes['b']
        last_contact_at = peer.members.last_contact_at('a')
        await peer.gossiper.receive(answer, asyncio.get_running_loop().time())
        assert peer.members.last_contact_at('a') == last_contact_at
        assert not peer.members.record_report(report)
        fleet.close()

    run_virtual(run())


def all_nodes_know_incarnation(fleet: VirtualFleet, incarnation: str) -> bool:
    return all(
        node.members.find_member('a').incarnation == incarnation for node in fleet.nodes.values()
    )


def test_lost_reports_are_found_by_digests():
    """Guards against a server that stays unknown after its report was lost in a partition."""

    async def run():
        fleet = await start_fleet()
        fleet.partitioned_links.update((one, 'e') for one in NAMES[:4])
        fleet.nodes['a'].executor.record_announcement(SERVICE, 1, ServerState.READY)
        await asyncio.sleep(10)
        fleet.partitioned_links.clear()
        assert await fleet.wait(lambda: all_nodes_route_to(fleet, 'a'), SPREAD_SECONDS)
        fleet.close()

    run_virtual(run())
