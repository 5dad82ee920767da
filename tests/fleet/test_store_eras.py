"""A store that comes back from an older copy, with nodes as separate processes."""

import asyncio
import signal

from tests.fleet.test_sidecar_restart import check_that_others_serve, wait_until_restarted
from tests.sidecar_fleet import KEY, make_configuration, running_fleet
from turmericwharf.protocol import decode_node_entry
from turmericwharf.state.sidecar import ServerPhase

NODES_TOPIC = 'keyed.nodes'
WITHDRAWN_KEY = 'key-to-be-withdrawn'


def stored_entries(fleet):
    newest = fleet.store.newest_by_topic.get(NODES_TOPIC, {})
    return {name: decode_node_entry(encoded) for name, (_, encoded) in newest.items()}


async def wait_until_written(fleet, era, phases):
    """Wait until the store has the entry of each node, written in an era and with a phase."""
    async with asyncio.timeout(10):
        while {name: (entry.era, entry.phase) for name, entry in stored_entries(fleet).items()} != {
            name: (era, phase) for name, phase in phases.items()
        }:
            await asyncio.sleep(0.05)


async def test_what_was_acknowledged_holds_when_the_store_comes_back_older_twice():
    """Guards against a leave and a withdrawn key that are forgotten with the store's records.

    The store loses all entries of the nodes and the latest configuration, and again while they are
    being written. The owner of the leave is killed before it has written the leave again, and so is
    another node. A heartbeat from before the leave arrives at the next process of the owner.
    """
    async with running_fleet() as fleet:
        left, killed, other = fleet.nodes
        tenants = {'cafe': {'apiKeys': [KEY, WITHDRAWN_KEY], 'ratePerS': 1000, 'burst': 1000}}
        fleet.store.configure(make_configuration(2, tenants=tenants))
        await asyncio.sleep(1.5)
        assert (await killed.send_request('/read/1', key=WITHDRAWN_KEY)).code == 200
        # What was written up to now is in the copy, except for the entries of the nodes.
        fleet.store.history = [record for record in fleet.store.history if record[1] != NODES_TOPIC]
        copied_at = asyncio.get_running_loop().time()
        left.server.stop_heartbeats()
        late_heartbeat = left.server.make_heartbeat()
        fleet.store.configure(make_configuration(3))
        assert await left.server.deregister() == 200
        await asyncio.sleep(1.5)
        for node in (left, killed):
            node.process.send_signal(signal.SIGKILL)
        lost = fleet.store.restore(asyncio.get_running_loop().time() - copied_at)
        assert lost
        await asyncio.sleep(0.3)
        fleet.store.restore(asyncio.get_running_loop().time() - copied_at)
        assert not stored_entries(fleet)
        for node in (left, killed):
            await node.process.wait()
            await node.start()
            await wait_until_restarted(node)
        await left.server.send_heartbeat(late_heartbeat)
        async with asyncio.timeout(20):
            while not all([await node.is_ready() for node in fleet.nodes]):
                await asyncio.sleep(0.05)
        for node in fleet.nodes:
            assert (await node.send_request('/read/1', key=WITHDRAWN_KEY)).code == 401
        await check_that_others_serve(fleet, left.server)
        phases = dict.fromkeys((killed.name, other.name), ServerPhase.READY)
        await wait_until_written(fleet, 2, {left.name: ServerPhase.LEAVING, **phases})
