import asyncio
import dataclasses
import math
from types import SimpleNamespace

import pytest

from tests.coordination.sidecar.samples import make_configuration, make_entry
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.configuration_sync import ConfigurationSync
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.evacuations import Evacuations
from turmericwharf.coordination.sidecar.operator_records import OperatorRecords
from turmericwharf.coordination.sidecar.silent_nodes import SilentNodes
from turmericwharf.coordination.sidecar.startup_inquiry import StartupInquiry
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.store_era import StoreEra
from turmericwharf.coordination.sidecar.store_freshness import StoreFreshness
from turmericwharf.coordination.sidecar.store_readers import StoreReaders
from turmericwharf.coordination.sidecar.store_source import StoreSource
from turmericwharf.state import PEER_UNREACHABLE
from turmericwharf.state.sidecar import (
    ConfigurationRequest,
    CurrentNodeFound,
    DirectoryReply,
    DirectoryRequest,
    Evacuation,
    KeyedPage,
    ServerPhase,
    StoredEntry,
)


EVACUATED = Evacuation('west', is_active=True, offset=7)


def decode(encoded):
    return make_configuration(version=int(encoded))


def make_readers(directory):
    silent_nodes = SilentNodes(directory, LoopClock())
    return StoreReaders(directory, DataCentreRanking(directory), silent_nodes)


class Fleet:
    """Configuration syncs of nodes connected in memory; nodes in `down` do not answer."""

    def __init__(self, count=12) -> None:
        self.down = set()
        self.requests = []
        self.entries = [make_entry(f'n{number}') for number in range(count)]
        self.nodes_by_id = {}
        self.tasks = []
        for entry in self.entries:
            self._start(entry).evacuations.record_known()

    def _make_node(self, local):
        directory = NodeDirectory(local, LoopClock())
        for position, other in enumerate(self.entries):
            directory.apply(StoredEntry(other, position), source='store')
        configuration = ActiveConfiguration(decode)
        configuration.apply_if_newer(b'1', source='store')
        readers = make_readers(directory)
        reads_store = asyncio.Event()
        source = StoreSource(reads_store, readers)
        candidates = readers.upstream_candidates()
        if candidates:
            source.apply(CurrentNodeFound(candidates[0]))
        follower = SimpleNamespace(
            is_enabled=not candidates, is_connected=True, fresh_seconds=math.inf, era=0
        )
        knowledge = StartupKnowledge()
        knowledge.record_fleet(source='test')
        evacuations = Evacuations()
        era = StoreEra(directory)
        records = OperatorRecords(configuration, evacuations)
        sync = ConfigurationSync(
            records=records,
            directory=directory,
            source=source,
            links=self,
            follower=follower,
            freshness=StoreFreshness(reads_store, (follower,), era),
            era=era,
        )
        inquiry = StartupInquiry(
            directory=directory,
            links=self,
            updates=SimpleNamespace(apply_reply=lambda reply, source: None),
            sync=sync,
            records=records,
            knowledge=knowledge,
            era=era,
        )
        return SimpleNamespace(
            inquiry=inquiry,
            directory=directory,
            configuration=configuration,
            follower=follower,
            sync=sync,
            evacuations=evacuations,
            silent_nodes=readers.silent_nodes,
        )

    async def request(self, peer, message, *, timeout_seconds):
        self.requests.append((peer.instance, message))
        if peer.instance in self.down:
            await asyncio.sleep(timeout_seconds)
            return PEER_UNREACHABLE
        if isinstance(message, DirectoryRequest):
            return DirectoryReply('p', 1, (), is_current=True, knows_fleet=True)
        return await self.nodes_by_id[peer.instance].sync.answer(message)

    def restart(self, name):
        """Replace a node by one that knows the other nodes, but nothing else yet."""
        entry = next(entry for entry in self.entries if entry.instance == name)
        return self._start(entry)

    def _start(self, entry):
        node = self._make_node(entry)
        self.nodes_by_id[entry.instance] = node
        self.tasks += [asyncio.create_task(part.run()) for part in (node.sync, node.inquiry)]
        return node

    @property
    def readers(self):
        return sorted(name for name, node in self.nodes_by_id.items() if node.follower.is_enabled)

    def publish(self, version, readers):
        """Apply a version at readers, as if they had read it from the store."""
        for name in readers:
            configuration = self.nodes_by_id[name].configuration
            configuration.apply_if_newer(str(version).encode(), source='store')

    def nodes_with_version(self, version):
        return {
            name for name, node in self.nodes_by_id.items() if node.configuration.version == version
        }


def run_scenario(scenario, *, count=12):
    async def main():
        fleet = Fleet(count)
        await asyncio.sleep(1.5)
        try:
            await scenario(fleet)
        finally:
            for task in fleet.tasks:
                task.cancel()

    run_in_virtual_time(main())


def test_a_version_is_in_force_at_once_at_all_nodes_of_the_data_centre():
    """Guards against a version that waits for the next poll of each node."""

    async def scenario(fleet):
        fleet.publish(2, fleet.readers)
        await asyncio.sleep(0.15)
        assert fleet.nodes_with_version(2) == set(fleet.nodes_by_id)

    run_scenario(scenario)


def test_an_evacuation_is_known_at_once_at_all_nodes_of_the_data_centre():
    """Guards against an evacuation that waits for the next poll of each node."""

    async def scenario(fleet):
        for name in fleet.readers:
            fleet.nodes_by_id[name].evacuations.merge((EVACUATED,), source='store')
        await asyncio.sleep(0.15)
        assert all(node.evacuations.covers('west') for node in fleet.nodes_by_id.values())

    run_scenario(scenario)


@pytest.mark.parametrize('is_store_away', [False, True])
def test_an_evacuation_that_only_another_node_knows_reaches_a_new_process_before_it_is_ready(
    is_store_away,
):
    """Guards against a process that starts while the store has lost an evacuation, and is ready."""
    older = KeyedPage({}, 4, era=1, is_complete=True)

    async def scenario(fleet):
        for node in fleet.nodes_by_id.values():
            node.evacuations.merge((EVACUATED,), source='store')
            node.inquiry.apply_page(older)
        started = fleet.restart('n5')
        if not is_store_away:
            started.inquiry.apply_page(older)
        assert not started.evacuations.is_known
        while not started.evacuations.is_known:
            await asyncio.sleep(0.01)
        assert started.evacuations.covers('west')

    run_scenario(scenario)


def test_a_version_arrives_in_time_if_only_one_reader_sees_it():
    """Guards against old keys and routes behind a reader whose connection to the store is silent.

    That reader does not notice for seconds, and has no error to report.
    """

    async def scenario(fleet):
        for version, reader in enumerate(fleet.readers, start=2):
            fleet.publish(version, [reader])
            await asyncio.sleep(1.3)
            assert fleet.nodes_with_version(version) == set(fleet.nodes_by_id)

    run_scenario(scenario)


def test_a_version_arrives_in_time_although_one_reader_is_silent():
    """Guards against nodes that wait for a reader that was killed or cut off."""

    async def scenario(fleet):
        first, second = fleet.readers
        fleet.down = {first}
        await asyncio.sleep(0.2)
        fleet.publish(2, [second])
        await asyncio.sleep(1.3)
        assert fleet.nodes_with_version(2) >= set(fleet.nodes_by_id) - {first}

    run_scenario(scenario)


def test_a_second_reader_that_does_not_answer_counts_as_silent():
    """Guards against a reader that nobody replaces since only those that follow it notice."""

    async def scenario(fleet):
        first, second = fleet.readers
        fleet.down = {second}
        await asyncio.sleep(2)
        for name, node in fleet.nodes_by_id.items():
            followed = node.sync._source.followed
            if followed is not None and followed.instance == first:
                assert node.silent_nodes.contains(second), name

    run_scenario(scenario)


def test_nodes_without_the_store_get_a_version_from_any_node():
    """Guards against withdrawn keys in use while no reader of the data centre has the store."""

    async def scenario(fleet):
        for node in fleet.nodes_by_id.values():
            node.follower.is_enabled = True
            node.follower.is_connected = False
        fleet.publish(2, [name for name in fleet.nodes_by_id if name not in fleet.readers[:2]][:1])
        await asyncio.sleep(6)
        assert fleet.nodes_with_version(2) == set(fleet.nodes_by_id)

    run_scenario(scenario)


def test_the_cost_of_a_quiet_second_does_not_grow_with_the_fleet():
    """Guards against links between all nodes and against repeated transfers of a version."""

    async def scenario(fleet):
        fleet.requests.clear()
        await asyncio.sleep(10)
        asked = {instance for instance, _ in fleet.requests}
        assert asked == set(fleet.readers)
        assert len(fleet.requests) / 10 / len(fleet.nodes_by_id) < 2

    run_scenario(scenario, count=40)


def test_a_node_that_replies_at_once_is_not_polled_in_a_loop():
    """Guards against a loop of requests to a node of an older build, which ignores the wait."""

    async def scenario(fleet):
        for node in fleet.nodes_by_id.values():
            answer = node.sync.answer
            node.sync.answer = lambda message, answer=answer: answer(
                ConfigurationRequest(message.above)
            )
        await asyncio.sleep(4)
        fleet.requests.clear()
        await asyncio.sleep(10)
        assert len(fleet.requests) / 10 / len(fleet.nodes_by_id) < 12

    run_scenario(scenario)


def test_nodes_with_a_fast_link_read_the_store():
    """Guards against readers that need seconds to send a version to all nodes."""
    entries = [
        make_entry(f'n{number}', link_megabits=100 if number in {3, 7} else 5)
        for number in range(10)
    ]
    fast = {'n3', 'n7'}
    for local in entries:
        directory = NodeDirectory(local, SimpleNamespace(now=lambda: 0.0))
        for position, entry in enumerate(entries):
            directory.apply(StoredEntry(entry, position), source='store')
        readers = make_readers(directory)
        polled = {entry.instance for entry in readers.upstream_candidates()[:2]}
        assert polled == (set() if local.instance in fast else fast)
        stopped = dataclasses.replace(entries[3], phase=ServerPhase.STOPPING, revision=1)
        if local.instance != 'n3':
            directory.apply(StoredEntry(stopped, 100), source='store')
            assert 'n3' not in {entry.instance for entry in readers.upstream_candidates()}
