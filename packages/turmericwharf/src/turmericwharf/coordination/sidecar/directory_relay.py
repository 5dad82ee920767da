"""Fetches the entries of nodes from a store reader in the same data centre.

If every node read the store, the number of calls would grow with the square of the number of
nodes, because each change is read by each node. Therefore two nodes per data centre read the
store, and the others long-poll them. The same nodes read the configuration.
"""

import asyncio
import dataclasses
import random

from loguru import logger

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.node_entry_updates import NodeEntryUpdates
from turmericwharf.coordination.sidecar.ports import FleetLinks
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.store_freshness import StoreFreshness
from turmericwharf.coordination.sidecar.store_readers import CANDIDATE_COUNT, StoreReaders
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import DirectoryReply, DirectoryRequest, NodeEntry, ProcessId

_LONG_POLL_SECONDS = 3.0
_REPLY_MARGIN_SECONDS = 0.5
# Delay between two polls, so that changes close together arrive in one reply.
_BATCH_SECONDS = 0.1
# Time that the nodes ranked behind the readers have to take their place, before all other nodes of
# the data centre read the store.
_SUBSTITUTION_SECONDS = 0.3
# Delay before the readers are polled again while this node reads the store itself.
_READER_RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _ChangeCursor:
    """Number of the last change received from a process."""

    process: ProcessId
    change_number: int = 0


class DirectoryRelay:
    """Polls the readers; the node reads the store itself while no reader is up to date.

    Parameters
    ----------
    directory
        Known nodes.
    readers
        Selects the nodes to poll.
    links
        Connections to other nodes.
    reads_store
        Set while this node reads the store itself.
    freshness
        Whether this node may answer for the store.
    updates
        Applies the entries from another node.
    knowledge
        Whether this node knows the fleet, which it tells the nodes that poll it.
    """

    def __init__(
        self,
        *,
        directory: NodeDirectory,
        readers: StoreReaders,
        links: FleetLinks,
        reads_store: asyncio.Event,
        freshness: StoreFreshness,
        updates: NodeEntryUpdates,
        knowledge: StartupKnowledge,
    ) -> None:
        self._directory = directory
        self._readers = readers
        self._links = links
        self._reads_store = reads_store
        self._freshness = freshness
        self._updates = updates
        self._knowledge = knowledge
        self._cursors_by_instance: dict[InstanceId, _ChangeCursor] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        self._reads_store.set()
        while True:
            if await self._poll_readers() or await self._poll_readers_again():
                self._switch_source(to_store=False)
                await asyncio.sleep(_BATCH_SECONDS)
            else:
                self._switch_source(to_store=True)
                await self._poll_random_peer()
                await self._wait_for_reader()

    async def answer(
        self, request: DirectoryRequest, asker: NodeEntry | None = None
    ) -> DirectoryReply:
        """Answer the poll of another node once there are changes, or after the timeout.

        Parameters
        ----------
        asker
            Entry of the node that polls. The first reply to its process says what is known of the
            process before it.
        """
        process = self._directory.local.process
        after = request.after if request.process == process else 0
        await self._freshness.wait_while_current(
            lambda seconds: self._directory.wait_for_change(after, seconds),
            min(request.wait_seconds, _LONG_POLL_SECONDS),
        )
        return DirectoryReply(
            process=process,
            changes=self._directory.change_number,
            nodes=self._directory.entries_changed_after(after),
            is_current=self._freshness.is_current,
            knows_fleet=self._knowledge.knows_fleet,
            era=self._directory.local.era,
            predecessor=None if after else self._find_predecessor(asker),
        )

    def _find_predecessor(self, asker: NodeEntry | None) -> NodeEntry | None:
        # A store without eras still has the entry.
        if asker is None or not self._directory.local.era:
            return None
        return self._directory.predecessors.find(asker, self._directory.find(asker.instance))

    async def _poll_readers(self) -> bool:
        # A node that reads the store only finds out whether it still has to.
        wait_seconds = 0 if self._reads_store.is_set() else _LONG_POLL_SECONDS
        polled: set[InstanceId] = set()
        while True:
            # A reader that does not answer becomes suspected, so the node ranked next becomes a
            # reader and is polled instead.
            readers = [
                reader
                for reader in self._readers.upstream_candidates()
                if reader.instance not in polled
            ]
            if not readers:
                return False
            polled.add(readers[0].instance)
            if await self._poll(readers[0], wait_seconds):
                self._readers.use_source(readers[0])
                return True

    async def _poll_readers_again(self) -> bool:
        """Poll once more before this node reads the store.

        Another node may have become a source, or have become one again, while the last poll waited.
        """
        if self._reads_store.is_set():
            return False
        if len(self._readers.upstream_candidates()) == CANDIDATE_COUNT:
            await asyncio.sleep(_SUBSTITUTION_SECONDS)
        return await self._poll_readers()

    async def _wait_for_reader(self) -> None:
        """Wait before the readers are polled again; no longer than until the first is known.

        A node that has just started reads the store once, and then polls the readers instead.
        """
        # Jitter keeps the nodes from polling at the same time.
        wait_seconds = _READER_RETRY_SECONDS * random.uniform(0.7, 1.3)
        if self._directory.peers:
            await asyncio.sleep(wait_seconds)
        else:
            await self._directory.wait_for_change(self._directory.change_number, wait_seconds)

    async def _poll_random_peer(self) -> None:
        """Fetch entries from a random node while the store is unreachable."""
        peers = [
            peer
            for peer in self._directory.peers
            if not self._directory.is_suspected(peer.instance)
        ]
        if peers and not self._freshness.is_current:
            await self._poll(random.choice(peers), 0)

    async def _poll(self, peer: NodeEntry, wait_seconds: float) -> bool:
        """Apply the changes that a node reports.

        Returns
        -------
        bool
            Whether that node reads the store, is connected to it, and knows its era.
        """
        cursor = self._cursors_by_instance.get(peer.instance, _ChangeCursor(peer.process))
        reply = await self._links.request(
            peer,
            DirectoryRequest(
                cursor.process, cursor.change_number, wait_seconds, self._directory.local.era
            ),
            timeout_seconds=wait_seconds + _REPLY_MARGIN_SECONDS,
        )
        if not isinstance(reply, DirectoryReply):
            self._directory.suspect(peer.instance)
            return False
        self._cursors_by_instance[peer.instance] = _ChangeCursor(reply.process, reply.changes)
        self._updates.apply_reply(reply, source=peer.instance)
        return reply.is_current and reply.era >= self._directory.local.era

    def _switch_source(self, *, to_store: bool) -> None:
        if to_store == self._reads_store.is_set():
            return
        logger.bind(own_reads=to_store).info('directory_source_changed')
        if to_store:
            self._readers.use_source(None)
            self._reads_store.set()
        else:
            self._reads_store.clear()
