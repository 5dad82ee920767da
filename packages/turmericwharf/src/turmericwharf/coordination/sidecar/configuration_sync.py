"""Fetches newer configurations, and evacuations of data centres, from other nodes.

The store readers of a data centre read the configuration, and the other nodes fetch it from them:
if every node read the store, each version would cost one call and one copy for each node.
"""

import asyncio
import random

from loguru import logger

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.operator_records import OperatorRecords
from turmericwharf.coordination.sidecar.ports import FleetLinks
from turmericwharf.coordination.sidecar.store_era import StoreEra
from turmericwharf.coordination.sidecar.store_freshness import StoreFreshness
from turmericwharf.coordination.sidecar.store_source import StoreSource
from turmericwharf.coordination.sidecar.topic_follower import TopicFollower
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import (
    ConfigurationReply,
    ConfigurationRequest,
    NodeEntry,
)

_LONG_POLL_SECONDS = 3.0
# Delay after a reply without a newer configuration; limits the requests to a node that does not
# wait before it replies.
_REPEAT_DELAY_SECONDS = 0.1
_REQUEST_TIMEOUT_SECONDS = 0.5
_POLL_INTERVAL_SECONDS = 1.0
_OFFLINE_POLL_INTERVAL_SECONDS = 0.4


class ConfigurationSync:
    """Follows one store reader, polls another, and fetches versions that other nodes report.

    The node that is followed is the one that gives this node the entries of the others, and that is
    current. Its connection to the store may have gone silent a moment ago, so a second reader is
    polled too. While no node of the data centre can read the store, random nodes of this
    and of other data centres are polled.

    Parameters
    ----------
    records
        Configuration and evacuations, which other nodes learn in the same way.
    directory
        Known nodes.
    source
        Names the node to follow, and the second reader.
    links
        Connections to other nodes.
    follower
        Reads configurations from the store while this node does so itself.
    freshness
        Whether this node may answer for the store.
    era
        Highest known era of the store.
    """

    def __init__(
        self,
        *,
        records: OperatorRecords,
        directory: NodeDirectory,
        source: StoreSource,
        links: FleetLinks,
        follower: TopicFollower,
        freshness: StoreFreshness,
        era: StoreEra,
    ) -> None:
        self._configuration = records.configuration
        self._directory = directory
        self._source = source
        self._silent_nodes = source.readers.silent_nodes
        self._links = links
        self._follower = follower
        self._freshness = freshness
        self._era = era
        self._evacuations = records.evacuations
        self._fetches: set[asyncio.Task[bool]] = set()

    def record_version(self, instance: InstanceId, version: int) -> None:
        """Record the version that another node has; fetch it if it is newer."""
        entry = self._directory.find(instance)
        if entry is None or version <= self._configuration.version or self._fetches:
            return
        task = asyncio.create_task(self.fetch(entry))
        self._fetches.add(task)
        task.add_done_callback(self._fetches.discard)

    async def run(self) -> None:
        """Keep the configuration up to date until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_reader())
            group.create_task(self._poll_nodes())

    async def answer(self, request: ConfigurationRequest) -> ConfigurationReply:
        """Answer the poll of another node once there is something new, or after the timeout."""
        self._evacuations.merge(request.evacuations or (), source='poll')
        await self._freshness.wait_while_current(
            lambda seconds: self._wait_for_news(request, seconds),
            min(request.wait_seconds, _LONG_POLL_SECONDS),
        )
        is_newer = self._configuration.version > request.above
        return ConfigurationReply(
            self._configuration.encoded if is_newer else b'',
            self._era.current,
            evacuations=self._evacuations.newer_than(request.evacuations),
            knows_evacuations=self._evacuations.is_known,
        )

    async def fetch(self, peer: NodeEntry, wait_seconds: float = 0) -> bool:
        """Fetch what is newer from a node; return whether a configuration was applied."""
        reply = await self._request(peer, wait_seconds)
        return reply is not None and self._apply(reply, source=peer.instance)

    async def _request(self, peer: NodeEntry, wait_seconds: float) -> ConfigurationReply | None:
        # The reply also says whether the node knows the evacuations, which must not wait for news.
        wait_seconds = wait_seconds if self._evacuations.is_known else 0
        reply = await self._links.request(
            peer,
            ConfigurationRequest(self._configuration.version, wait_seconds, self._evacuations.all),
            timeout_seconds=wait_seconds + _REQUEST_TIMEOUT_SECONDS,
        )
        if isinstance(reply, ConfigurationReply):
            return reply
        logger.bind(instance=peer.instance).debug('configuration_not_fetched')
        return None

    def _apply(self, reply: ConfigurationReply, *, source: InstanceId) -> bool:
        self._era.record(reply.era, source=source)
        self._evacuations.apply_reply(reply, source=source)
        # Both readers may send the same version.
        if reply.encoded in {b'', self._configuration.encoded}:
            return False
        return self._configuration.apply_if_newer(reply.encoded, source=source)

    async def _wait_for_news(self, request: ConfigurationRequest, seconds: float) -> bool:
        waiting = (
            asyncio.create_task(self._configuration.wait_for_newer(request.above, seconds)),
            asyncio.create_task(self._evacuations.wait_for_newer(request.evacuations)),
        )
        try:
            await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in waiting:
                task.cancel()
        has_newer_version = self._configuration.version > request.above
        return has_newer_version or bool(self._evacuations.newer_than(request.evacuations))

    async def _follow_reader(self) -> None:
        while True:
            followed = await self._source.wait_for_source()
            await self._source.run_while_followed(
                followed, self.fetch(followed, _LONG_POLL_SECONDS)
            )
            if self._source.followed is followed:
                await asyncio.sleep(_REPEAT_DELAY_SECONDS)

    async def _poll_nodes(self) -> None:
        while True:
            is_offline = self._follower.is_enabled and not self._follower.is_connected
            await _sleep_with_jitter(
                _OFFLINE_POLL_INTERVAL_SECONDS if is_offline else _POLL_INTERVAL_SECONDS
            )
            second_reader = self._source.second_reader
            if second_reader is not None and not is_offline:
                await self._poll_second_reader(second_reader)
            else:
                await asyncio.gather(*map(self.fetch, self._choose_peers()))

    async def _poll_second_reader(self, reader: NodeEntry) -> None:
        reply = await self._request(reader, 0)
        if reply is None:
            # Another node has to replace it, although this one does not follow it.
            self._silent_nodes.record_silence(reader)
        else:
            self._apply(reply, source=reader.instance)

    def _choose_peers(self) -> list[NodeEntry]:
        local = self._directory.local
        peers = [
            peer
            for peer in self._directory.peers
            if not self._directory.is_suspected(peer.instance)
        ]
        local_peers = [peer for peer in peers if peer.data_centre == local.data_centre]
        remote_peers = [peer for peer in peers if peer.data_centre != local.data_centre]
        return [random.choice(group) for group in (local_peers, remote_peers) if group]


async def _sleep_with_jitter(seconds: float) -> None:
    # Jitter keeps the nodes from polling at the same time.
    await asyncio.sleep(seconds * random.uniform(0.8, 1.2))
