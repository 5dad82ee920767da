import asyncio
import dataclasses
import math
from types import SimpleNamespace

from tests.coordination.sidecar.samples import make_entry
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.directory_polls import DirectoryPolls
from turmericwharf.coordination.sidecar.directory_relay import DirectoryRelay
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.node_entry_updates import NodeEntryUpdates
from turmericwharf.coordination.sidecar.silent_nodes import SilentNodes
from turmericwharf.coordination.sidecar.source_follower import SourceFollower
from turmericwharf.coordination.sidecar.source_times import derive_source_times
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.store_era import StoreEra
from turmericwharf.coordination.sidecar.store_freshness import StoreFreshness
from turmericwharf.coordination.sidecar.store_readers import StoreReaders
from turmericwharf.coordination.sidecar.store_source import StoreSource
from turmericwharf.state import PEER_UNREACHABLE
from turmericwharf.state.sidecar import DirectoryRequest, ServerPhase, SidecarBounds, StoredEntry

BOUNDS = SidecarBounds(0.2, 10, 10, 10, 5, 0.1, 10)


class Follower:
    """Follower of a topic whose last answer of the store never becomes overdue."""

    def __init__(self) -> None:
        self.is_connected = True
        self.era = 0

    @property
    def fresh_seconds(self):
        return math.inf if self.is_connected else 0


class Fleet:
    """Relays of nodes connected in memory; nodes in `down` do not answer."""

    def __init__(self, count=6) -> None:
        self.down = set()
        self.notified = []
        self.entries = [make_entry(f'n{n}') for n in range(count)]
        self.nodes_by_id = {entry.instance: self._make_node(entry) for entry in self.entries}
        self.tasks = [
            asyncio.create_task(node.source_follower.run()) for node in self.nodes_by_id.values()
        ]

    def _make_node(self, local):
        directory = NodeDirectory(local, LoopClock())
        for position, other in enumerate(self.entries):
            directory.apply(StoredEntry(other, position), source='store')
        reads_store = asyncio.Event()
        follower = Follower()
        knowledge = StartupKnowledge()
        era = StoreEra(directory)
        holders = SimpleNamespace(refresh=lambda: self.notified.append(local.instance))
        freshness = StoreFreshness(reads_store, (follower,), era)
        updates = NodeEntryUpdates(directory, None, None, None, holders, knowledge, era)
        silent_nodes = SilentNodes(directory, LoopClock())
        readers = StoreReaders(directory, DataCentreRanking(directory), silent_nodes)
        source_follower = SourceFollower(
            directory,
            StoreSource(reads_store, readers),
            DirectoryPolls(directory, self, updates),
            freshness,
            derive_source_times(BOUNDS),
        )
        return SimpleNamespace(
            era=era,
            directory=directory,
            reads_store=reads_store,
            follower=follower,
            relay=DirectoryRelay(directory, freshness, knowledge),
            source_follower=source_follower,
            knowledge=knowledge,
        )

    async def wait_until_silent(self, peer, *, interval_seconds, timeout_seconds):
        while peer.instance not in self.down:
            await asyncio.sleep(interval_seconds)
        await asyncio.sleep(timeout_seconds)

    async def request(self, peer, message, *, timeout_seconds):
        if peer.instance in self.down:
            await asyncio.sleep(min(timeout_seconds, 0.5))
            return PEER_UNREACHABLE
        node = self.nodes_by_id[peer.instance]
        node.era.record(message.era, source='peer')
        return await node.relay.answer(message)

    @property
    def store_readers(self):
        return {name for name, node in self.nodes_by_id.items() if node.reads_store.is_set()}

    def make_change(self):
        """Return a changed entry for a node that does not read the store."""
        name = next(name for name in self.nodes_by_id if name not in self.store_readers)
        local = self.nodes_by_id[name].directory.local
        return dataclasses.replace(local, phase=ServerPhase.LEAVING, revision=1)

    async def apply_at_readers(self, entry, position):
        """Apply an entry at the nodes that read the store."""
        for name in self.store_readers:
            stored = StoredEntry(entry, position)
            self.nodes_by_id[name].directory.apply(stored, source='store')

    def nodes_with_revision(self, instance, revision):
        return {
            name
            for name, node in self.nodes_by_id.items()
            if name != instance and node.directory.find(instance).revision == revision
        }


def run_scenario(scenario):
    async def main():
        fleet = Fleet()
        await asyncio.sleep(0.5)
        try:
            await scenario(fleet)
        finally:
            for task in fleet.tasks:
                task.cancel()

    run_in_virtual_time(main())


def test_two_nodes_read_the_store_and_all_receive_a_change_at_once():
    """Guards against every node reading each change from the store, and against late changes."""

    async def scenario(fleet):
        assert len(fleet.store_readers) == 2
        changed = fleet.make_change()
        fleet.notified.clear()
        await fleet.apply_at_readers(changed, 100)
        await asyncio.sleep(0.2)
        assert len(fleet.nodes_with_revision(changed.instance, 1)) == 5
        # Rate shares must start at the change, not at the first request after it.
        assert set(fleet.notified) == set(fleet.nodes_by_id) - fleet.store_readers

    run_scenario(scenario)


def test_dead_readers_are_replaced():
    """Guards against a data centre without updates after both of its readers are killed."""

    async def scenario(fleet):
        fleet.down = fleet.store_readers
        await asyncio.sleep(5)
        assert fleet.store_readers - fleet.down
        changed = fleet.make_change()
        await fleet.apply_at_readers(changed, 100)
        await asyncio.sleep(3)
        others = set(fleet.nodes_by_id) - fleet.down - {changed.instance}
        assert fleet.nodes_with_revision(changed.instance, 1) >= others

    run_scenario(scenario)


def test_other_nodes_read_the_store_only_while_the_readers_are_disconnected_from_it():
    """Guards against stale entries, and against all nodes reading the store in place of two."""

    async def scenario(fleet):
        readers = fleet.store_readers
        for name in readers:
            fleet.nodes_by_id[name].follower.is_connected = False
        await asyncio.sleep(4)
        substitutes = fleet.store_readers - readers
        assert 1 <= len(substitutes) <= 2
        changed = fleet.make_change()
        for name in substitutes:
            fleet.nodes_by_id[name].directory.apply(StoredEntry(changed, 100), source='store')
        await asyncio.sleep(0.2)
        connected = set(fleet.nodes_by_id) - readers - {changed.instance}
        assert fleet.nodes_with_revision(changed.instance, 1) >= connected
        for name in readers:
            fleet.nodes_by_id[name].follower.is_connected = True
        await asyncio.sleep(3)
        assert fleet.store_readers == readers

    run_scenario(scenario)


def test_node_that_cannot_read_the_store_fetches_entries_from_other_nodes():
    """Guards against a node that misses new processes while the store and readers are lost."""

    async def scenario(fleet):
        for node in fleet.nodes_by_id.values():
            node.follower.is_connected = False
        source = fleet.nodes_by_id['n1'].directory
        source.apply(StoredEntry(make_entry('new'), 50), source='store')
        await asyncio.sleep(60)
        assert all(node.directory.find('new') is not None for node in fleet.nodes_by_id.values())

    run_scenario(scenario)


def test_reply_of_a_new_process_contains_all_entries():
    """Guards against missed changes after the restart of a reader.

    Change numbers start over with each process, so those of the previous one do not apply.
    """

    async def scenario(fleet):
        name = next(iter(fleet.store_readers))
        relay = fleet.nodes_by_id[name].relay
        request = SimpleNamespace(process='before', after=10_000, wait_seconds=0)
        reply = await relay.answer(request)
        assert len(reply.nodes) == 5
        assert reply.process == f'process-of-{name}'

    run_scenario(scenario)


def test_a_started_node_reads_the_store_once_and_then_polls_a_reader():
    """Guards against reads of the store by each node that starts, until its next poll."""

    async def scenario(fleet):
        started = fleet._make_node(make_entry('n9'))
        for entry in fleet.entries:
            started.directory.remove(entry.instance)
        started.directory.change_number = 0
        task = asyncio.create_task(started.source_follower.run())
        await asyncio.sleep(0.05)
        assert started.reads_store.is_set()
        for position, entry in enumerate(fleet.entries):
            started.directory.apply(StoredEntry(entry, position), source='store')
        await asyncio.sleep(0.05)
        assert not started.reads_store.is_set()
        task.cancel()

    run_scenario(scenario)


def test_a_node_knows_the_fleet_only_through_a_node_that_knows_it():
    """Guards against nodes that act for the fleet although all of them have just started.

    While the store is away, each of them knows only some of the others.
    """

    async def scenario(fleet):
        for node in fleet.nodes_by_id.values():
            node.follower.is_connected = False
        await asyncio.sleep(20)
        assert not any(node.knowledge.knows_fleet for node in fleet.nodes_by_id.values())
        fleet.nodes_by_id['n3'].knowledge.record_store_read()
        await asyncio.sleep(60)
        assert all(node.knowledge.knows_fleet for node in fleet.nodes_by_id.values())

    run_scenario(scenario)


def test_a_reader_of_an_earlier_era_is_not_followed():
    """Guards against a node that waits at a reader which has not noticed that the store came back.

    The node learned of the new era from the answer to a write.
    """

    async def scenario(fleet):
        name = next(name for name in fleet.nodes_by_id if name not in fleet.store_readers)
        fleet.nodes_by_id[name].era.record(1, source='store')
        await asyncio.sleep(5)
        assert fleet.nodes_by_id[name].reads_store.is_set()
        assert all(node.era.current == 1 for node in fleet.nodes_by_id.values())
        for node in fleet.nodes_by_id.values():
            node.follower.era = 1
        await asyncio.sleep(5)
        assert not fleet.nodes_by_id[name].reads_store.is_set()
        assert len(fleet.store_readers) == 2

    run_scenario(scenario)


def test_the_first_reply_to_a_process_names_what_its_predecessor_published():
    """Guards against a leave that only the other nodes know, since the store has lost it.

    A store without eras loses nothing, so nothing is sent there.
    """

    async def scenario(fleet):
        asker = make_entry('n1', process='next', phase=ServerPhase.ABSENT)
        node = fleet.nodes_by_id['n0']
        predecessor = node.directory.find('n1')
        node.directory.record_connection(asker)
        request = DirectoryRequest('', 0, 0)
        assert (await node.relay.answer(request, asker)).predecessor is None
        node.era.record(1, source='store')
        reply = await node.relay.answer(request, asker)
        assert reply.predecessor == predecessor
        request = DirectoryRequest(reply.process, reply.changes, 0)
        assert (await node.relay.answer(request, asker)).predecessor is None

    run_scenario(scenario)
