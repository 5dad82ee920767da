import asyncio
import dataclasses
from types import SimpleNamespace

from tests.coordination.sidecar.samples import make_entry
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.directory_relay import DirectoryRelay
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.store_readers import StoreReaders
from turmericwharf.state import PEER_UNREACHABLE
from turmericwharf.state.sidecar import ServerPhase, StoredEntry


class Fleet:
    """Relays of nodes that reach each other in memory; `down` nodes answer nobody."""

    def __init__(self, count=6) -> None:
        self.down = set()
        self.told = []
        self.entries = [make_entry(f'n{n}') for n in range(count)]
        self.nodes_by_id = {one.instance: self._make_node(one) for one in self.entries}
        self.tasks = [asyncio.create_task(one.relay.run()) for one in self.nodes_by_id.values()]

    def _make_node(self, own):
        directory = NodeDirectory(own, LoopClock())
        for place, other in enumerate(self.entries):
            directory.apply(StoredEntry(other, place), source='store')
        needed = asyncio.Event()
        follower = SimpleNamespace(is_connected=True)
        relay = DirectoryRelay(
            directory=directory,
            readers=StoreReaders(directory, DataCentreRanking(directory)),
            links=self,
            store_needed=needed,
            follower=follower,
            on_applied=lambda: self.told.append(own.instance),
        )
        return SimpleNamespace(directory=directory, needed=needed, follower=follower, relay=relay)

    async def request(self, peer, message, *, timeout_seconds):
        if peer.instance in self.down:
            await asyncio.sleep(min(timeout_seconds, 0.5))
            return PEER_UNREACHABLE
        return await self.nodes_by_id[peer.instance].relay.answer(message)

    @property
    def store_readers(self):
        return {name for name, node in self.nodes_by_id.items() if node.needed.is_set()}

    def change_one(self):
        """Return the changed entry of a node that does not read the store."""
        name = next(name for name in self.nodes_by_id if name not in self.store_readers)
        own = self.nodes_by_id[name].directory.local
        return dataclasses.replace(own, phase=ServerPhase.LEAVING, revision=1)

    async def tell_readers(self, entry, position):
        """Give an entry to the nodes that read the store."""
        for name in self.store_readers:
            stored = StoredEntry(entry, position)
            self.nodes_by_id[name].directory.apply(stored, source='store')

    def know(self, instance, revision):
        return {
            name
            for name, node in self.nodes_by_id.items()
            if name != instance and node.directory.find(instance).revision == revision
        }


def play(scenario):
    async def main():
        fleet = Fleet()
        await asyncio.sleep(0.5)
        try:
            await scenario(fleet)
        finally:
            for task in fleet.tasks:
                task.cancel()

    run_in_virtual_time(main())


def test_two_nodes_read_the_store_and_all_hear_of_a_change_at_once():
    """Each node would read each change from the store, or hear of it too late."""

    async def scenario(fleet):
        assert len(fleet.store_readers) == 2
        changed = fleet.change_one()
        fleet.told.clear()
        await fleet.tell_readers(changed, 100)
        await asyncio.sleep(0.2)
        assert len(fleet.know(changed.instance, 1)) == 5
        # Parts of rates begin with the change, not with the first request after it.
        assert set(fleet.told) == set(fleet.nodes_by_id) - fleet.store_readers

    play(scenario)


def test_dead_readers_are_replaced():
    """A data centre would hear nothing after both of its readers were killed."""

    async def scenario(fleet):
        fleet.down = fleet.store_readers
        await asyncio.sleep(5)
        assert fleet.store_readers - fleet.down
        changed = fleet.change_one()
        await fleet.tell_readers(changed, 100)
        await asyncio.sleep(3)
        others = set(fleet.nodes_by_id) - fleet.down - {changed.instance}
        assert fleet.know(changed.instance, 1) >= others

    play(scenario)


def test_nodes_read_the_store_while_readers_have_lost_it_and_stop_when_they_are_back():
    """A node would go on with old entries, or all would read the store for ever after."""

    async def scenario(fleet):
        readers = fleet.store_readers
        for name in readers:
            fleet.nodes_by_id[name].follower.is_connected = False
        await asyncio.sleep(5)
        assert fleet.store_readers == set(fleet.nodes_by_id)
        for name in readers:
            fleet.nodes_by_id[name].follower.is_connected = True
        await asyncio.sleep(3)
        assert fleet.store_readers == readers

    play(scenario)


def test_node_that_the_store_turns_away_learns_from_other_nodes():
    """A node without the store and without readers would know no new process."""

    async def scenario(fleet):
        for node in fleet.nodes_by_id.values():
            node.follower.is_connected = False
        source = fleet.nodes_by_id['n1'].directory
        source.apply(StoredEntry(make_entry('new'), 50), source='store')
        await asyncio.sleep(60)
        assert all(node.directory.find('new') is not None for node in fleet.nodes_by_id.values())

    play(scenario)


def test_answer_of_a_new_process_starts_from_the_beginning():
    """After the restart of a reader, its changes would be counted with those before."""

    async def scenario(fleet):
        name = next(iter(fleet.store_readers))
        relay = fleet.nodes_by_id[name].relay
        request = SimpleNamespace(process='before', after=10_000, wait_seconds=0)
        reply = await relay.answer(request)
        assert len(reply.nodes) == 5
        assert reply.process == f'process-of-{name}'

    play(scenario)
