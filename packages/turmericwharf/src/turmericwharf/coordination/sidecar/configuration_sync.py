"""Fetches newer configurations from other nodes, in case the store cannot be read."""

import asyncio
import random

from loguru import logger

from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.ports import FleetLinks
from turmericwharf.coordination.sidecar.topic_follower import TopicFollower
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import (
    ConfigurationReply,
    ConfigurationRequest,
    NodeEntry,
)

_REQUEST_TIMEOUT_SECONDS = 0.5
_POLL_INTERVAL_SECONDS = 1.0
_OFFLINE_POLL_INTERVAL_SECONDS = 0.4


class ConfigurationSync:
    """Fetches the configuration from nodes that report a newer version, and polls random nodes.

    A read of the store may hang on a connection that went silent, so a node of the local data
    centre is polled even while the store answers. A whole data centre may lose the store, so a
    node of another data centre is polled too while the store is unreachable.

    Parameters
    ----------
    configuration
        Configuration in force.
    directory
        Known nodes.
    links
        Connections to other nodes.
    follower
        Reads configurations from the store.
    """

    def __init__(
        self,
        configuration: ActiveConfiguration,
        directory: NodeDirectory,
        links: FleetLinks,
        follower: TopicFollower,
    ) -> None:
        self._configuration = configuration
        self._directory = directory
        self._links = links
        self._follower = follower
        self._fetches: set[asyncio.Task[None]] = set()

    def record_version(self, instance: InstanceId, version: int) -> None:
        """Record the version that another node has; fetch it if it is newer."""
        entry = self._directory.find(instance)
        if entry is None or version <= self._configuration.version or self._fetches:
            return
        task = asyncio.create_task(self._fetch(entry))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    async def run(self) -> None:
        """Poll random nodes until cancelled, more often while the store is unreachable."""
        while True:
            is_offline = not self._follower.is_connected
            interval_seconds = (
                _OFFLINE_POLL_INTERVAL_SECONDS if is_offline else _POLL_INTERVAL_SECONDS
            )
            # Jitter keeps the nodes from polling at the same time.
            await asyncio.sleep(interval_seconds * random.uniform(0.8, 1.2))
            await asyncio.gather(
                *(self._fetch(peer) for peer in self._choose_peers(is_offline=is_offline))
            )

    def _choose_peers(self, *, is_offline: bool) -> list[NodeEntry]:
        local = self._directory.local
        peers = [
            peer
            for peer in self._directory.peers
            if not self._directory.is_suspected(peer.instance)
        ]
        local_peers = [peer for peer in peers if peer.data_centre == local.data_centre]
        remote_peers = [peer for peer in peers if peer.data_centre != local.data_centre]
        groups = (local_peers, remote_peers) if is_offline else (local_peers or remote_peers,)
        return [random.choice(group) for group in groups if group]

    async def _fetch(self, peer: NodeEntry) -> None:
        reply = await self._links.request(
            peer,
            ConfigurationRequest(self._configuration.version),
            timeout_seconds=_REQUEST_TIMEOUT_SECONDS,
        )
        if not isinstance(reply, ConfigurationReply):
            logger.bind(instance=peer.instance).debug('configuration_not_fetched')
        elif reply.encoded:
            self._configuration.apply_if_newer(reply.encoded, source=peer.instance)
