"""Gets the entries of nodes from a reader of the own data centre.

With each node reading the store, the calls grow with the square of the nodes: each change is read
by each node. Two readers a data centre read it, and the others wait for their answers.
"""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from loguru import logger

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.ports import FleetLinks
from turmericwharf.coordination.sidecar.store_readers import StoreReaders
from turmericwharf.coordination.sidecar.topic_follower import TopicFollower
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import DirectoryReply, DirectoryRequest, NodeEntry, ProcessId

_WAIT_SECONDS = 3.0
_ANSWER_SECONDS = 0.5
# Pause between two questions, so that changes that come together are told together.
_GATHER_SECONDS = 0.1
# Pause before readers are asked again, while this node reads the store itself.
_OWN_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Heard:
    """Up to where a process has told its changes."""

    process: ProcessId
    changes: int = 0


class DirectoryRelay:
    """Asks the readers; while none of them is current, the node reads the store itself.

    Parameters
    ----------
    directory
        Known nodes.
    readers
        Whom to ask.
    links
        Connections to them.
    store_needed
        Set while this node reads the store itself.
    follower
        Reads the entries from the store.
    taken
        Called after entries of another node were taken.
    """

    def __init__(
        self,
        *,
        directory: NodeDirectory,
        readers: StoreReaders,
        links: FleetLinks,
        store_needed: asyncio.Event,
        follower: TopicFollower,
        on_applied: Callable[[], None],
    ) -> None:
        self._directory = directory
        self._readers = readers
        self._links = links
        self._store_needed = store_needed
        self.follower = follower
        self._taken = on_applied
        self._heard_by_id: dict[InstanceId, _Heard] = {}

    async def run(self) -> None:
        """Ask until cancelled."""
        self._store_needed.set()
        while True:
            if await self._ask_readers():
                self._use(store=False)
                await asyncio.sleep(_GATHER_SECONDS)
            else:
                self._use(store=True)
                await self._ask_anyone()
                await asyncio.sleep(_OWN_SECONDS * random.uniform(0.7, 1.3))

    async def answer(self, request: DirectoryRequest) -> DirectoryReply:
        """Answer another node, as soon as there is news for it."""
        own = self._directory.local
        after = request.after if request.process == own.process else 0
        await self._directory.wait_for_change(after, min(request.wait_seconds, _WAIT_SECONDS))
        return DirectoryReply(
            process=own.process,
            changes=self._directory.changes,
            nodes=self._directory.entries_changed_after(after),
            is_current=self._store_needed.is_set() and self.follower.is_connected,
        )

    async def _ask_readers(self) -> bool:
        asked: set[InstanceId] = set()
        while True:
            # A reader that gives no answer is suspected, so that the next one comes in its place.
            readers = [one for one in self._readers.upstream_readers() if one.instance not in asked]
            if not readers:
                return False
            asked.add(readers[0].instance)
            if await self._ask(readers[0], _WAIT_SECONDS):
                return True

    async def _ask_anyone(self) -> None:
        """Learn from a random node while the store does not answer."""
        peers = [
            peer
            for peer in self._directory.peers
            if not self._directory.is_suspected(peer.instance)
        ]
        if peers and not self.follower.is_connected:
            await self._ask(random.choice(peers), 0)

    async def _ask(self, peer: NodeEntry, wait_seconds: float) -> bool:
        """Take the news of a node; return whether it reads the store now."""
        heard = self._heard_by_id.get(peer.instance, _Heard(peer.process))
        reply = await self._links.request(
            peer,
            DirectoryRequest(heard.process, heard.changes, wait_seconds),
            timeout_seconds=wait_seconds + _ANSWER_SECONDS,
        )
        if not isinstance(reply, DirectoryReply):
            self._directory.suspect(peer.instance)
            return False
        self._heard_by_id[peer.instance] = _Heard(reply.process, reply.changes)
        for stored in reply.nodes:
            self._directory.apply(stored, source=peer.instance)
        if reply.nodes:
            self._taken()
        return reply.is_current

    def _use(self, *, store: bool) -> None:
        if store == self._store_needed.is_set():
            return
        logger.bind(own_reads=store).info('directory_source_changed')
        if store:
            self._store_needed.set()
        else:
            self._store_needed.clear()
