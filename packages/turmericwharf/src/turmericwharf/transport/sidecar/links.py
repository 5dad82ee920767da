"""Outgoing connections to other sidecar nodes, one task for each peer."""

import asyncio
import random
from typing import TYPE_CHECKING

from loguru import logger
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from turmericwharf.coordination.sidecar import SidecarNode
from turmericwharf.protocol import Frame
from turmericwharf.state import (
    PEER_UNREACHABLE,
    InstanceId,
    LinkFailure,
    DeliveryUnknown,
    ProtocolFailure,
)
from turmericwharf.state.sidecar import FleetMessage, Greeting, NodeEntry, SlotReply, WorkAnswer
from turmericwharf.transport.connection import (
    MAX_QUEUED_FRAMES,
    MAX_WIRE_FRAME_BYTES,
    FrameChannel,
)
from turmericwharf.transport.pending_requests import PendingRequests
from turmericwharf.transport.sidecar.peer_memory import PeerMemory

if TYPE_CHECKING:
    from turmericwharf.state import Message

MAX_FRAME_BYTES = 80_000_000
_CONNECT_TIMEOUT_SECONDS = 0.5
# A request waits for a connection no longer than this, since another node can run it meanwhile. The
# link goes on connecting.
_CONNECT_WAIT_SECONDS = 0.15
_MIN_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 1.0
# Time without a frame from the peer after which a link with pending requests sends a ping. A link
# without pending requests needs none, and its timer would cost time at every node for every peer.
_PING_AFTER_SECONDS = 0.4
# Each answered ping delays the next one, up to this time, since long polls wait for seconds.
_MAX_PING_INTERVAL_SECONDS = 1.2
_PONG_TIMEOUT_SECONDS = 0.5
# Short, so that a stopping node does not wait for unresponsive peers.
CLOSE_TIMEOUT_SECONDS = 0.2
# A lost connection of a link that has not been used for longer is not opened again, since the peer
# may be gone for good. The next request opens a new one.
_RECONNECT_TIMEOUT_SECONDS = 2.0
_NOTIFY_TIMEOUT_SECONDS = 1.0


class FleetLink:
    """Connection to one peer; its task connects, reads answers and reconnects.

    Parameters
    ----------
    node
        Local node.
    peer
        Peer to connect to.
    """

    def __init__(self, node: SidecarNode, peer: NodeEntry) -> None:
        self.peer = peer
        self._node = node
        self._requests = PendingRequests()
        # An answer that is dropped for want of memory can be asked for again.
        self._memory = PeerMemory(
            node.memory, lambda beginning: self._requests.fail(beginning.correlation)
        )
        self._loop = asyncio.get_running_loop()
        self._last_used_at = self._loop.time()
        self._received_at = self._last_used_at
        self._watch_task: asyncio.Task[None] | None = None
        # Result of the connection attempt in progress, or of the last one.
        self._connection_attempt: asyncio.Future[FrameChannel | None] = self._loop.create_future()
        self._task = asyncio.create_task(self._run())

    @property
    def is_done(self) -> bool:
        """Whether the link's task has ended."""
        return self._task.done()

    def close(self) -> None:
        """Close the connection and end its task."""
        self._task.cancel()
        self._memory.close()

    async def request(
        self,
        message: FleetMessage,
        timeout_seconds: float,
    ) -> 'Message | LinkFailure | DeliveryUnknown':
        """Send a message and wait for its answer."""
        self._last_used_at = self._loop.time()
        deadline = self._last_used_at + timeout_seconds
        channel = await self._connected_channel(
            min(deadline, self._last_used_at + _CONNECT_WAIT_SECONDS)
        )
        if channel is None:
            return PEER_UNREACHABLE
        if self._watch_task is None or self._watch_task.done():
            self._watch_task = asyncio.create_task(self._close_if_silent(channel))
        return await self._requests.exchange(channel, message, deadline)

    async def wait_until_silent(self, interval_seconds: float, timeout_seconds: float) -> None:
        """Ping the peer whenever it has sent nothing for a time; return if it does not answer."""
        is_silent = False
        while not is_silent:
            quiet_seconds = self._loop.time() - self._received_at
            if quiet_seconds < interval_seconds:
                await asyncio.sleep(interval_seconds - quiet_seconds)
            else:
                is_silent = not await self._is_responding(timeout_seconds)

    async def _is_responding(self, timeout_seconds: float) -> bool:
        self._last_used_at = self._loop.time()
        deadline = self._last_used_at + timeout_seconds
        channel = await self._connected_channel(deadline)
        if channel is None or not await channel.is_responding(deadline - self._loop.time()):
            return False
        self._received_at = self._loop.time()
        return True

    async def notify(self, message: FleetMessage) -> None:
        """Send a message without an answer; it is dropped if the link is not connected."""
        if not self._connection_attempt.done() or self._connection_attempt.result() is None:
            return
        channel = self._connection_attempt.result()
        if channel is not None:
            await channel.send(message, timeout_seconds=_NOTIFY_TIMEOUT_SECONDS)

    async def _connected_channel(self, deadline: float) -> FrameChannel | None:
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(self._connection_attempt)
        except TimeoutError:
            return None

    async def _run(self) -> None:
        backoff_seconds = _MIN_BACKOFF_SECONDS
        while self._loop.time() - self._last_used_at < _RECONNECT_TIMEOUT_SECONDS:
            was_connected = await self._connect_once()
            self._handle_disconnect()
            backoff_seconds = _MIN_BACKOFF_SECONDS if was_connected else 2 * backoff_seconds
            backoff_seconds = min(backoff_seconds, _MAX_BACKOFF_SECONDS)
            # Jitter keeps the nodes from reconnecting to a recovered node all at once.
            await asyncio.sleep(backoff_seconds * random.uniform(0.5, 1.0))
            if self._connection_attempt.done():
                self._connection_attempt = self._loop.create_future()

    async def _connect_once(self) -> bool:
        try:
            await self._connect_and_read()
        except (OSError, TimeoutError, WebSocketException) as error:
            logger.bind(instance=self.peer.instance, error=str(error)).debug('peer_link_lost')
        finally:
            was_connected = self._connection_attempt.done()
            if not was_connected:
                self._connection_attempt.set_result(None)
        return was_connected

    async def _connect_and_read(self) -> None:
        async with _open_websocket(self._node.directory.local.host, self.peer) as socket:
            channel = self._memory.open_channel(socket, MAX_FRAME_BYTES)
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                await channel.send(
                    Greeting(self._node.directory.local, self._node.holder.version),
                    timeout_seconds=_CONNECT_TIMEOUT_SECONDS,
                )
                frame = await channel.receive()
            if isinstance(frame, ProtocolFailure) or not isinstance(frame.message, Greeting):
                logger.bind(instance=self.peer.instance).warning('peer_greeting_unreadable')
                return
            self._record_greeting(frame.message)
            self._connection_attempt.set_result(channel)
            await self._read_answers(channel)

    def _record_greeting(self, greeting: Greeting) -> None:
        self._node.directory.record_connection(greeting.node)
        self._node.directory.clear_suspicion(greeting.node.instance)
        self._node.spread.record_version(greeting.node.instance, greeting.version)
        self._node.store_era.record(greeting.node.era, source=greeting.node.instance)

    async def _read_answers(self, channel: FrameChannel) -> None:
        while True:
            frame = await channel.receive()
            self._received_at = self._loop.time()
            if isinstance(frame, ProtocolFailure):
                logger.bind(instance=self.peer.instance, detail=frame.detail).warning(
                    'frame_rejected',
                )
                return
            self._resolve_request(frame)

    async def _close_if_silent(self, channel: FrameChannel) -> None:
        """Close the connection if the peer is silent while requests are pending.

        In a one-way network partition requests are still sent without an error.
        """
        interval_seconds = _PING_AFTER_SECONDS
        while self._requests:
            checked_at = self._loop.time()
            await asyncio.sleep(interval_seconds)
            if self._received_at >= checked_at:
                interval_seconds = _PING_AFTER_SECONDS
            elif not self._requests or await channel.is_responding(_PONG_TIMEOUT_SECONDS):
                interval_seconds = min(2 * interval_seconds, _MAX_PING_INTERVAL_SECONDS)
            else:
                logger.bind(instance=self.peer.instance).info('peer_silent')
                await channel.close()
                return

    def _resolve_request(self, frame: Frame) -> None:
        if isinstance(frame.message, WorkAnswer | SlotReply):
            self._node.spread.record_version(self.peer.instance, frame.message.version)
        self._requests.resolve(frame)

    def _handle_disconnect(self) -> None:
        self._node.directory.record_disconnection(self.peer.instance)
        if self._watch_task is not None:
            self._watch_task.cancel()
        if self._connection_attempt.result() is not None:
            self._connection_attempt = self._loop.create_future()
        self._requests.fail_all()
        self._memory.end_channel()


class FleetLinkTable:
    """Links to all peers, created when the first request is sent."""

    def __init__(self) -> None:
        self._node: SidecarNode | None = None
        self._links_by_id: dict[InstanceId, FleetLink] = {}
        self._notifications: set[asyncio.Task[None]] = set()

    def attach_node(self, node: SidecarNode) -> None:
        """Set the local node."""
        self._node = node

    async def request(
        self,
        peer: NodeEntry,
        message: FleetMessage,
        *,
        timeout_seconds: float,
    ) -> 'Message | LinkFailure | DeliveryUnknown':
        """Send a message and wait for its answer."""
        link = self._get_link(peer)
        if link is None:
            return PEER_UNREACHABLE
        return await link.request(message, timeout_seconds)

    async def wait_until_silent(
        self,
        peer: NodeEntry,
        *,
        interval_seconds: float,
        timeout_seconds: float,
    ) -> None:
        """Wait until a node does not answer a ping."""
        link = self._get_link(peer)
        if link is not None:
            await link.wait_until_silent(interval_seconds, timeout_seconds)

    def notify(self, peer: NodeEntry, message: FleetMessage) -> None:
        """Send a message without an answer; it is dropped if there is no link to the peer."""
        link = self._links_by_id.get(peer.instance)
        if link is not None:
            task = asyncio.create_task(link.notify(message))
            self._notifications.add(task)
            task.add_done_callback(self._notifications.discard)

    def close(self) -> None:
        """Close all connections."""
        for link in self._links_by_id.values():
            link.close()

    def _get_link(self, peer: NodeEntry) -> FleetLink | None:
        if self._node is None:
            return None
        link = self._links_by_id.get(peer.instance)
        if link is not None and (link.is_done or _address(link.peer) != _address(peer)):
            link.close()
            link = None
        if link is None:
            link = FleetLink(self._node, peer)
            self._links_by_id[peer.instance] = link
        return link


def _address(entry: NodeEntry) -> tuple[str, int]:
    return entry.host, entry.peer_port


def _open_websocket(local_host: str, peer: NodeEntry) -> connect:
    return connect(
        f'ws://{peer.host}:{peer.peer_port}',
        open_timeout=_CONNECT_TIMEOUT_SECONDS,
        close_timeout=CLOSE_TIMEOUT_SECONDS,
        ping_interval=None,
        compression='deflate',
        max_size=MAX_WIRE_FRAME_BYTES,
        max_queue=MAX_QUEUED_FRAMES,
        proxy=None,
        local_addr=(local_host, 0),
    )
