"""Gets newer configurations from other nodes, for when the store cannot be read."""

import asyncio
import random

from loguru import logger

from turmericwharf.coordination.sidecar.configuration_holder import ConfigurationHolder
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.ports import FleetLinks
from turmericwharf.coordination.sidecar.topic_follower import TopicFollower
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import (
    ConfigurationReply,
    ConfigurationRequest,
    NodeEntry,
)

_ASK_SECONDS = 0.5
_PERIOD_SECONDS = 1.0
_LOST_PERIOD_SECONDS = 0.4


class ConfigurationSync:
    """Asks a node that named a newer version for it, and random nodes from time to time.

    A read of the store may wait on a connection that went silent, so a near node is asked also
    while the store answers. A whole data centre may lose the store, so a far one is asked too
    while it does not.

    Parameters
    ----------
    holder
        Configuration in force.
    directory
        Known nodes.
    links
        Connections to them.
    follower
        Reads configurations from the store.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        directory: NodeDirectory,
        links: FleetLinks,
        follower: TopicFollower,
    ) -> None:
        self._holder = holder
        self._directory = directory
        self._links = links
        self._follower = follower
        self._asked: set[asyncio.Task[None]] = set()

    def record_version(self, instance: InstanceId, version: int) -> None:
        """Note the version that another node knows."""
        entry = self._directory.find(instance)
        if entry is None or version <= self._holder.version or self._asked:
            return
        task = asyncio.create_task(self._fetch(entry))
        self._asked.add(task)
        task.add_done_callback(self._asked.discard)

    async def run(self) -> None:
        """Ask around until cancelled, more often while the store is lost."""
        while True:
            is_lost = not self._follower.is_connected
            pause_seconds = _LOST_PERIOD_SECONDS if is_lost else _PERIOD_SECONDS
            await asyncio.sleep(pause_seconds * random.uniform(0.8, 1.2))
            await asyncio.gather(*(self._fetch(peer) for peer in self._sample(is_lost=is_lost)))

    def _sample(self, *, is_lost: bool) -> list[NodeEntry]:
        own = self._directory.local
        peers = [
            peer
            for peer in self._directory.peers
            if not self._directory.is_suspected(peer.instance)
        ]
        near = [peer for peer in peers if peer.data_centre == own.data_centre]
        far = [peer for peer in peers if peer.data_centre != own.data_centre]
        groups = (near, far) if is_lost else (near or far,)
        return [random.choice(group) for group in groups if group]

    async def _fetch(self, peer: NodeEntry) -> None:
        reply = await self._links.request(
            peer,
            ConfigurationRequest(self._holder.version),
            timeout_seconds=_ASK_SECONDS,
        )
        if not isinstance(reply, ConfigurationReply):
            logger.bind(instance=peer.instance).debug('configuration_not_fetched')
        elif reply.encoded:
            self._holder.apply_if_newer(reply.encoded, source=peer.instance)
