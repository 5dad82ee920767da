"""What nodes do when the store comes back from an older copy."""

import asyncio
import dataclasses
from types import SimpleNamespace

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from tests.virtual_time import run_in_virtual_time
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.local_node_publisher import LocalNodePublisher
from turmericwharf.coordination.sidecar.node_entry_updates import NodeEntryUpdates
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.store_era import StoreEra
from turmericwharf.coordination.sidecar.store_freshness import StoreFreshness
from turmericwharf.state.sidecar import (
    NOT_STORED,
    AnnouncedServer,
    DirectoryReply,
    KeyedPage,
    KeyedRecord,
    ServerPhase,
    StoredEntry,
    WriteResult,
)

LEAVING = AnnouncedServer('server-of-own', 'bookings', 3, ServerPhase.LEAVING, born=1)


class Node:
    """Publisher and directory of a node, with a store in memory that names its era."""

    def __init__(self) -> None:
        self.store_era = 0
        self.written = []
        self.directory = NodeDirectory(make_entry('own'), ManualClock())
        self.era = StoreEra(self.directory)
        self.publisher = LocalNodePublisher(self, self.directory, self.era)
        self.knowledge = StartupKnowledge()
        self.previous = []
        self.updates = NodeEntryUpdates(
            self.directory,
            SimpleNamespace(record_previous_entry=self.previous.append),
            self.publisher,
            lambda encoded: self.entries_by_encoding[encoded],
            SimpleNamespace(refresh=lambda: None),
            self.knowledge,
            self.era,
        )
        self.entries_by_encoding = {}

    async def publish(self, entry):
        await asyncio.sleep(0.1)
        self.written.append(entry)
        return WriteResult(self.store_era)

    def read(self, entry, offset, era):
        """Apply a page of the store with one entry."""
        encoded = str(len(self.entries_by_encoding)).encode()
        self.entries_by_encoding[encoded] = entry
        records = {entry.instance: KeyedRecord(encoded, offset)}
        self.updates.apply(KeyedPage(records, offset + 1, era))


def run_scenario(scenario):
    async def main():
        node = Node()
        task = asyncio.create_task(node.publisher.run())
        try:
            await scenario(node)
        finally:
            task.cancel()

    run_in_virtual_time(main())


def test_an_entry_is_written_again_in_each_era_that_becomes_known():
    """Guards against an entry that stays lost, also if the store comes back older twice.

    One era is learned from the store, the next from another node.
    """

    async def scenario(node):
        await asyncio.sleep(0.5)
        assert [entry.era for entry in node.written] == [0]
        node.read(make_entry('peer'), 3, 1)
        assert node.era.current == 1
        reply = DirectoryReply('process-of-peer', 1, (), is_current=True, era=2)
        node.updates.apply_reply(reply, source='peer')
        await asyncio.sleep(0.5)
        assert node.written[-1].era == 2
        count = len(node.written)
        node.updates.apply_reply(dataclasses.replace(reply, era=1), source='peer')
        await asyncio.sleep(5)
        assert node.era.current == 2 and len(node.written) == count

    run_scenario(scenario)


def test_a_leave_counts_as_written_only_in_the_era_of_the_store():
    """Guards against an acknowledged leave that is ordered before entries of earlier processes.

    The store comes back older while the leave is written, and the answer names its new era.
    """

    async def scenario(node):
        await asyncio.sleep(0.5)
        node.store_era = 1
        node.publisher.publish_server(LEAVING)
        assert await node.publisher.wait_until_written(0.5)
        assert (node.written[-1].era, node.written[-1].phase) == (1, ServerPhase.LEAVING)
        node.publisher.publish_server(dataclasses.replace(LEAVING, slots=4))
        await asyncio.sleep(0.05)
        node.era.record(2, source='peer')
        assert not await node.publisher.wait_until_written(0.1)
        assert await node.publisher.wait_until_written(0.1)
        assert node.written[-1].era == 2

    run_scenario(scenario)


def test_an_era_out_of_range_is_ignored():
    """Guards against an entry that no other node can decode."""

    async def scenario(node):
        for era in (-1, 2**63, 2**200):
            node.era.record(era, source='peer')
        assert node.era.current == 0

    run_scenario(scenario)


def test_an_entry_that_names_a_later_era_than_the_store_does_not_stay_the_newest():
    """Guards against a malformed entry that hides all later processes of an instance."""

    async def scenario(node):
        node.read(make_entry('peer', process='wrong', era=900), 5, 1)
        node.read(make_entry('peer', process='right', era=1), 6, 1)
        assert node.directory.find('peer').process == 'right'
        relayed = StoredEntry(make_entry('peer', process='wrong', era=900), 9, 900)
        reply = DirectoryReply('p', 1, (relayed,), is_current=True, era=1)
        node.updates.apply_reply(reply, source='peer')
        node.read(make_entry('peer', process='newest', era=1), 10, 1)
        assert node.directory.find('peer').process == 'newest'

    run_scenario(scenario)


def test_older_entries_of_a_store_that_came_back_do_not_replace_newer_ones():
    """Guards against orders to a process that has ended, and against a leave that is forgotten."""

    async def scenario(node):
        node.read(make_entry('peer', process='second', phase=ServerPhase.LEAVING), 60, 0)
        node.read(make_entry('peer', process='first'), 40, 1)
        assert node.directory.find('peer').process == 'second'
        # The new log assigns the offset again, and passes the one of the lost record only later.
        node.read(make_entry('peer', process='third', era=1), 56, 1)
        assert node.directory.find('peer').process == 'third'
        node.read(make_entry('peer', process='second'), 60, 1)
        assert node.directory.find('peer').process == 'third'

    run_scenario(scenario)


def test_an_offset_is_relayed_with_the_era_in_which_it_was_assigned():
    """Guards against an entry that is ordered by the offset of a lost record in a newer era.

    A new revision arrives over a connection and names the new era, but is not read from the store.
    """

    async def scenario(node):
        node.read(make_entry('peer'), 60, 0)
        node.directory.record_connection(make_entry('peer', era=1, revision=1))
        (relayed,) = [
            stored
            for stored in node.directory.entries_changed_after(0)
            if stored.entry.instance == 'peer'
        ]
        assert relayed.entry.era == 1
        assert relayed.log_position == (0, 60)

    run_scenario(scenario)


def test_a_reader_of_an_earlier_era_does_not_answer_for_the_store():
    """Guards against a node that follows a reader which has not noticed the new era."""

    async def scenario(node):
        reads_store = asyncio.Event()
        reads_store.set()
        followers = tuple(SimpleNamespace(era=era, fresh_seconds=5) for era in (1, 0))
        freshness = StoreFreshness(reads_store, followers, node.era)
        assert freshness.is_current
        node.era.record(1, source='peer')
        assert not freshness.is_current
        followers[1].era = 1
        assert freshness.is_current

    run_scenario(scenario)


def test_the_entries_of_a_store_that_came_back_do_not_show_that_there_was_no_predecessor():
    """Guards against the use of a server whose leave the store has lost with the whole entry."""

    async def scenario(node):
        node.read(make_entry('peer'), 3, 1)
        assert not node.knowledge.knows_predecessor and not node.knowledge.knows_fleet
        node.knowledge.record_peers_asked()
        node.read(make_entry('peer', revision=1), 4, 1)
        assert node.knowledge.knows_fleet and not node.knowledge.knows_predecessor

    run_scenario(scenario)


def test_other_nodes_pass_on_what_the_previous_process_published():
    """Guards against a leave that the store has lost and whose owner was killed.

    The entry of the new process has replaced that of the previous one by the time it asks.
    """

    async def scenario(node):
        left = make_entry('peer', process='first', phase=ServerPhase.LEAVING)
        started = make_entry('peer', process='second', phase=ServerPhase.ABSENT)
        restarted = dataclasses.replace(started, process='third')
        directory = node.directory
        directory.apply(StoredEntry(left, 7), source='store')
        for entry in (started, restarted):
            directory.record_connection(entry)
            assert directory.predecessors.find(entry, directory.find('peer')) == left
        reply = DirectoryReply(
            'p', 1, (), is_current=True, predecessor=make_entry('own', process='before')
        )
        node.updates.apply_reply(reply, source='peer')
        assert [entry.process for entry in node.previous] == ['before']
        stored = StoredEntry(make_entry('own'), NOT_STORED)
        node.updates.apply_reply(dataclasses.replace(reply, nodes=(stored,)), source='peer')
        assert {entry.process for entry in node.previous} == {'before'}

    run_scenario(scenario)
