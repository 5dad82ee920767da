"""What restarted sidecar nodes do before they know the fleet, with nodes as separate processes."""

import asyncio
import signal

from tornado.httpclient import HTTPError

from tests.sidecar_fleet import KEY, make_configuration, running_fleet
from turmericwharf.protocol import decode_node_entry
from turmericwharf.state.sidecar import ServerPhase

NOT_CONNECTED = 599
NODES_TOPIC = 'keyed.nodes'


async def restart(node) -> None:
    await node.stop(signal.SIGKILL)
    await node.start()


async def wait_until_restarted(node) -> None:
    async with asyncio.timeout(10):
        while not node.events('node_started')[1:]:
            await asyncio.sleep(0.05)


async def check_that_others_serve(fleet, server) -> None:
    """Read at all nodes for 2 s, and check that one server gets none of the requests."""
    runs_before = sum(server.runs_by_request.values())
    for _ in range(4):
        statuses = [(await node.send_request('/read/1')).code for node in fleet.nodes * 3]
        assert set(statuses) == {200}
        await asyncio.sleep(0.5)
    assert sum(server.runs_by_request.values()) == runs_before


async def test_a_late_heartbeat_does_not_revive_a_server_whose_leave_was_not_written():
    """Guards against a restarted node that uses a server although its leave was acknowledged.

    The leave is acknowledged while the store is away, so that the store does not have it, and a
    heartbeat that was sent before it arrives at the next process.
    """
    async with running_fleet() as fleet:
        node = fleet.nodes[0]
        fleet.store.fault = 'busy'
        node.server.stop_heartbeats()
        late_heartbeat = node.server.make_heartbeat()
        assert await node.server.deregister() == 200
        await restart(node)
        await wait_until_restarted(node)
        await asyncio.sleep(1.0)
        await node.server.send_heartbeat(late_heartbeat)
        fleet.store.fault = ''
        await fleet.wait_until_converged()
        await check_that_others_serve(fleet, node.server)


async def test_a_late_heartbeat_is_not_published_before_the_entry_of_the_last_process_is_read():
    """Guards against a restarted node that overwrites the written leave of its server.

    A late heartbeat arrives before the node has read the store, which has the leave.
    """
    async with running_fleet() as fleet:
        node = fleet.nodes[0]
        node.server.stop_heartbeats()
        late_heartbeat = node.server.make_heartbeat()
        assert await node.server.deregister() == 200
        await node.stop(signal.SIGKILL)
        fleet.store.fault = 'unreadable'
        await node.start()
        await wait_until_restarted(node)
        await node.server.send_heartbeat(late_heartbeat)
        await asyncio.sleep(0.5)
        fleet.store.fault = ''
        await fleet.wait_until_converged()
        await check_that_others_serve(fleet, node.server)


async def test_a_leave_during_the_stop_of_a_node_is_known_to_the_next_process():
    """Guards against a leave that a stopping node acknowledges, but writes nowhere.

    The next process took a late heartbeat for that of a ready server.
    """
    async with running_fleet() as fleet:
        node = fleet.nodes[0]
        node.server.stop_heartbeats()
        late_heartbeat = node.server.make_heartbeat()
        node.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        assert await node.server.deregister() == 200
        _, encoded = fleet.store.newest_by_topic[NODES_TOPIC][node.name]
        assert decode_node_entry(encoded).phase is ServerPhase.LEAVING
        await node.process.wait()
        await node.start()
        await fleet.wait_until_converged()
        await node.server.send_heartbeat(late_heartbeat)
        await check_that_others_serve(fleet, node.server)


async def restart_all_without_their_entries(fleet) -> None:
    """Kill and start all nodes while the store does not answer for the entries of the nodes."""
    fleet.store.away_topics.add(NODES_TOPIC)
    await asyncio.gather(*(restart(node) for node in fleet.nodes))


async def test_nodes_that_know_only_themselves_do_not_each_grant_the_whole_rate():
    """Guards against a rate that is granted as many times as there are nodes.

    All nodes were killed, and the store has the configuration, but not the entries of the nodes.
    """
    rate, seconds = 10, 4.0
    async with running_fleet(4) as fleet:
        tenants = {'cafe': {'apiKeys': [KEY], 'ratePerS': rate, 'burst': rate}}
        fleet.store.configure(make_configuration(2, tenants=tenants))
        await asyncio.sleep(1.0)
        await restart_all_without_their_entries(fleet)
        statuses = []

        async def send(node):
            statuses.append(await send_if_running(node))

        async with asyncio.TaskGroup() as group:
            for _ in range(int(seconds * rate)):
                for node in fleet.nodes:
                    group.create_task(send(node))
                await asyncio.sleep(1 / rate)
        assert statuses.count(200) <= rate * seconds + rate
        # A refusal names a time to come back, and is no claim that the organisation is too fast.
        assert set(statuses) <= {200, 429, 503, NOT_CONNECTED}
        fleet.store.away_topics.clear()
        await fleet.wait_until_converged()
        await asyncio.sleep(1.0)
        assert (await fleet.nodes[0].send_request('/read/1')).code == 200


async def send_if_running(node) -> int:
    """Send a read; a node that is still starting does not listen yet."""
    try:
        return (await node.send_request('/read/1')).code
    except (OSError, HTTPError):
        return NOT_CONNECTED
