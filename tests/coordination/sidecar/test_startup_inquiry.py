import asyncio
import dataclasses
from types import SimpleNamespace

from tests.coordination.sidecar.samples import make_configuration, make_entry
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.evacuations import Evacuations
from turmericwharf.coordination.sidecar.operator_records import OperatorRecords
from turmericwharf.coordination.sidecar.startup_inquiry import StartupInquiry
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.store_era import StoreEra
from turmericwharf.state import PEER_UNREACHABLE
from turmericwharf.state.sidecar import DirectoryReply, KeyedPage, KeyedRecord, StoredEntry

REPLY = DirectoryReply('p', 1, (), is_current=True, knows_fleet=True, era=1)


class StartedNode:
    """A process that has just started, and the answers of the other nodes by instance."""

    def __init__(self, *, count: int = 8, peer_version: int = 6) -> None:
        self.asked = []
        self.peer_version = peer_version
        self.replies_by_instance = {f'n{number}': REPLY for number in range(count)}
        self.directory = directory = NodeDirectory(make_entry('own'), LoopClock())
        for number, name in enumerate(self.replies_by_instance):
            centre = 'west' if number % 2 else 'east'
            entry = make_entry(name, data_centre=centre)
            directory.apply(StoredEntry(entry, number), source='store')
        self.knowledge = StartupKnowledge()
        self.configuration = ActiveConfiguration(
            lambda encoded: make_configuration(version=int(encoded))
        )
        self.evacuations = Evacuations()
        self.inquiry = StartupInquiry(
            directory=directory,
            links=self,
            updates=SimpleNamespace(apply_reply=lambda reply, source: None),
            sync=self,
            records=OperatorRecords(self.configuration, self.evacuations),
            knowledge=self.knowledge,
            era=StoreEra(directory),
        )

    async def fetch(self, peer):
        if self.replies_by_instance[peer.instance] is not PEER_UNREACHABLE:
            self.configuration.apply_if_newer(str(self.peer_version).encode(), source='peer')

    async def request(self, peer, message, *, timeout_seconds):
        self.asked.append(peer)
        reply = self.replies_by_instance[peer.instance]
        await asyncio.sleep(timeout_seconds if reply is PEER_UNREACHABLE else 0.01)
        return reply

    def read_store(self, era, version):
        """Apply pages of both topics."""
        encoded = str(version).encode()
        records = {'config': KeyedRecord(encoded, 1)}
        self.inquiry.apply_page(KeyedPage(records, 2, era))
        self.knowledge.record_store_read(era)


def run_scenario(scenario, **options):
    async def main():
        node = StartedNode(**options)
        task = asyncio.create_task(node.inquiry.run())
        try:
            await scenario(node)
        finally:
            task.cancel()

    run_in_virtual_time(main())


def test_a_started_process_serves_no_older_version_than_its_peers_know():
    """Guards against a withdrawn key that works at a process which started after the loss."""

    async def scenario(node):
        node.read_store(era=1, version=5)
        assert not node.configuration.is_known and not node.knowledge.knows_fleet
        await asyncio.sleep(0.1)
        assert node.configuration.version == 6 and node.knowledge.knows_fleet
        # Each data centre is asked, and not each node.
        assert {peer.data_centre for peer in node.asked} == {'east', 'west'}
        assert len(node.asked) == 4
        node.read_store(era=1, version=5)
        node.read_store(era=2, version=7)
        await asyncio.sleep(0.1)
        assert node.configuration.version == 7 and len(node.asked) == 4

    run_scenario(scenario)


def test_nodes_that_know_no_more_do_not_hold_up_a_start():
    """Guards against a fleet that never starts again after all of its processes were killed."""

    async def scenario(node):
        for name in node.replies_by_instance:
            node.replies_by_instance[name] = PEER_UNREACHABLE
        node.read_store(era=1, version=5)
        await asyncio.sleep(1.0)
        assert not node.configuration.is_known
        await asyncio.sleep(1.0)
        assert node.configuration.version == 5 and node.knowledge.knows_fleet
        assert len(node.asked) <= 12

    run_scenario(scenario, count=60)


def test_other_nodes_are_asked_if_the_first_ones_have_just_started_too():
    """Guards against an older configuration from the store after half of a fleet was restarted."""

    async def scenario(node):
        started = dataclasses.replace(REPLY, knows_fleet=False)
        for name in node.replies_by_instance.keys() - {'n6'}:
            node.replies_by_instance[name] = started
        node.read_store(era=1, version=5)
        await asyncio.sleep(0.3)
        assert 'n6' in {peer.instance for peer in node.asked}

    run_scenario(scenario)


def test_a_first_node_starts_without_others():
    """Guards against a start that waits for nodes that do not exist."""

    async def scenario(node):
        node.read_store(era=1, version=5)
        await asyncio.sleep(1.1)
        assert node.configuration.version == 5 and node.knowledge.knows_fleet

    run_scenario(scenario, count=0)


def test_nodes_whose_entries_the_store_has_lost_are_waited_for():
    """Guards against an older configuration in force because the store names no other node yet."""

    async def scenario(node):
        node.read_store(era=1, version=5)
        await asyncio.sleep(0.8)
        node.replies_by_instance['n0'] = REPLY
        node.directory.apply(StoredEntry(make_entry('n0'), 3, 1), source='store')
        await asyncio.sleep(0.1)
        assert node.configuration.version == 6 and node.knowledge.knows_fleet

    run_scenario(scenario, count=0)


def test_nothing_is_asked_while_the_store_has_no_eras():
    """Guards against slower starts and further messages on stores that lose nothing."""

    async def scenario(node):
        node.read_store(era=0, version=5)
        assert node.configuration.version == 5
        assert node.knowledge.knows_fleet and node.knowledge.knows_predecessor
        assert node.evacuations.is_known
        await asyncio.sleep(5)
        assert not node.asked

    run_scenario(scenario)


def test_the_configuration_alone_does_not_start_the_questions():
    """Guards against an older configuration in force because no other node was known yet."""

    async def scenario(node):
        records = {'config': KeyedRecord(b'5', 1)}
        node.inquiry.apply_page(KeyedPage(records, 2, 1))
        await asyncio.sleep(5)
        assert not node.asked and not node.configuration.is_known
        node.knowledge.record_fleet(source='n1')
        await asyncio.sleep(0.1)
        assert node.asked and node.configuration.version == 6

    run_scenario(scenario)


def test_the_evacuations_of_a_store_that_came_back_older_are_known_after_the_questions():
    """Guards against a process that is ready, or assures others that nothing is evacuated, while
    the store may have lost an evacuation; also if a node has given it a configuration before.
    """

    async def scenario(node):
        node.configuration.apply_if_newer(b'6', source='n1')
        node.knowledge.record_fleet(source='n1')
        node.read_store(era=1, version=5)
        assert not node.evacuations.is_known
        await asyncio.sleep(0.1)
        assert node.asked and node.evacuations.is_known

    run_scenario(scenario)


def test_a_later_page_does_not_replace_the_configuration_that_is_held_back():
    """Guards against a start without configuration because an evacuation was written meanwhile."""

    async def scenario(node):
        node.read_store(era=1, version=5)
        evacuated = {'east': KeyedRecord(b'{}', 2)}
        node.inquiry.apply_page(KeyedPage({}, 3, 1, evacuated))
        assert node.evacuations.covers('east') and not node.configuration.is_known
        await asyncio.sleep(1.1)
        assert node.configuration.version == 5

    run_scenario(scenario, count=0)


def test_a_late_page_of_an_earlier_era_is_not_relied_on():
    """Guards against an older configuration from an answer that the store sent before its loss."""

    async def scenario(node):
        node.inquiry.apply_page(KeyedPage({}, 2, 1))
        node.read_store(era=0, version=5)
        assert not node.configuration.is_known and not node.evacuations.is_known
        await asyncio.sleep(0.1)
        assert node.configuration.version == 6 and node.evacuations.is_known

    run_scenario(scenario)
