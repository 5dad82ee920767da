"""Outgoing connections to other sidecar nodes, one task for each peer."""

import asyncio
import random

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
    Message,
    ProtocolFailure,
)
from turmericwharf.state.sidecar import FleetMessage, Greeting, NodeEntry, WorkAnswer
from turmericwharf.transport.connection import MAX_WIRE_FRAME_BYTES, FrameChannel
from turmericwharf.transport.pending_requests import PendingRequests

MAX_FRAME_BYTES = 80_000_000
_CONNECT_SECONDS = 0.5
_FIRST_BACKOFF_SECONDS = 0.05
_LAST_BACKOFF_SECONDS = 1.0
# Answers that are pending for this long make the link ask whether the peer still answers.
_SILENCE_SECONDS = 0.4
_PONG_SECONDS = 0.5
# A node that stops does not wait for peers that stand still.
CLOSE_TIMEOUT_SECONDS = 0.2
_IDLE_SECONDS = 60.0
_TELL_SECONDS = 1.0
_RECEIVE_QUEUE_FRAMES = 256


class FleetLink:
    """Connection to one peer; its task connects, reads answers and connects again.

    Parameters
    ----------
    node
        The node itself.
    peer
        Where to connect.
    """

    def __init__(self, node: SidecarNode, peer: NodeEntry) -> None:
        self.peer = peer
        self._node = node
        self._answers = PendingRequests()
        self._loop = asyncio.get_running_loop()
        self._used_at = self._loop.time()
        # Result of the attempt to connect that is in progress, or of the latest one.
        self._attempt: asyncio.Future[FrameChannel | None] = self._loop.create_future()
        self._task = asyncio.create_task(self._run())

    @property
    def is_done(self) -> bool:
        """Whether the link's task has ended."""
        return self._task.done()

    def close(self) -> None:
        """End the connection and its task."""
        self._task.cancel()

    async def request(
        self,
        message: FleetMessage,
        timeout_seconds: float,
    ) -> Message | LinkFailure | DeliveryUnknown:
        """Send a message and wait for its answer."""
        self._used_at = self._loop.time()
        deadline = self._used_at + timeout_seconds
        channel = await self._connected_channel(min(deadline, self._used_at + _CONNECT_SECONDS))
        if channel is None:
            return PEER_UNREACHABLE
        return await self._answers.exchange(channel, message, deadline)

    async def notify(self, message: FleetMessage) -> None:
        """Send a message that has no answer."""
        if not self._attempt.done() or self._attempt.result() is None:
            return
        channel = self._attempt.result()
        if channel is not None:
            await channel.send(message, timeout_seconds=_TELL_SECONDS)

    async def _connected_channel(self, deadline: float) -> FrameChannel | None:
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(self._attempt)
        except TimeoutError:
            return None

    async def _run(self) -> None:
        backoff_seconds = _FIRST_BACKOFF_SECONDS
        while self._loop.time() - self._used_at < _IDLE_SECONDS:
            was_connected = await self._connect_once()
            self._drop()
            backoff_seconds = _FIRST_BACKOFF_SECONDS if was_connected else 2 * backoff_seconds
            backoff_seconds = min(backoff_seconds, _LAST_BACKOFF_SECONDS)
            # Jitter keeps the nodes from connecting all at once to a node that comes back.
            await asyncio.sleep(backoff_seconds * random.uniform(0.5, 1.0))
            if self._attempt.done():
                self._attempt = self._loop.create_future()

    async def _connect_once(self) -> bool:
        try:
            await self._connect_and_read()
        except (OSError, TimeoutError, WebSocketException) as error:
            logger.bind(instance=self.peer.instance, error=str(error)).debug('peer_link_lost')
        finally:
            was_connected = self._attempt.done()
            if not was_connected:
                self._attempt.set_result(None)
        return was_connected

    async def _connect_and_read(self) -> None:
        async with _open_socket(self._node.directory.local.host, self.peer) as socket:
            channel = FrameChannel(socket, MAX_FRAME_BYTES)
            async with asyncio.timeout(_CONNECT_SECONDS):
                await channel.send(
                    Greeting(self._node.directory.local, self._node.holder.version),
                    timeout_seconds=_CONNECT_SECONDS,
                )
                frame = await channel.receive()
            if isinstance(frame, ProtocolFailure) or not isinstance(frame.message, Greeting):
                logger.bind(instance=self.peer.instance).warning('peer_greeting_unreadable')
                return
            self._meet(frame.message)
            self._attempt.set_result(channel)
            await self._read_answers(channel)

    def _meet(self, greeting: Greeting) -> None:
        self._node.directory.record_connection(greeting.node)
        self._node.directory.clear_suspicion(greeting.node.instance)
        self._node.spread.record_version(greeting.node.instance, greeting.version)

    async def _read_answers(self, channel: FrameChannel) -> None:
        while True:
            frame = await self._receive(channel)
            if isinstance(frame, ProtocolFailure):
                logger.bind(instance=self.peer.instance, detail=frame.detail).warning(
                    'frame_rejected',
                )
                return
            if isinstance(frame, Frame):
                self._give_answer(frame)
            elif self._answers and not await channel.is_responding(_PONG_SECONDS):
                # A one-way cut takes the bytes of requests and gives no sign of it.
                logger.bind(instance=self.peer.instance).info('peer_silent')
                return

    def _give_answer(self, frame: Frame) -> None:
        if isinstance(frame.message, WorkAnswer):
            self._node.spread.record_version(self.peer.instance, frame.message.version)
        self._answers.resolve(frame)

    async def _receive(self, channel: FrameChannel) -> Frame | ProtocolFailure | None:
        try:
            async with asyncio.timeout(_SILENCE_SECONDS):
                return await channel.receive()
        except TimeoutError:
            return None

    def _drop(self) -> None:
        self._node.directory.record_disconnection(self.peer.instance)
        if self._attempt.result() is not None:
            self._attempt = self._loop.create_future()
        self._answers.fail_all()


class FleetLinkTable:
    """Links to all peers, made when a message is first sent."""

    def __init__(self) -> None:
        self._node: SidecarNode | None = None
        self._links_by_id: dict[InstanceId, FleetLink] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def attach_node(self, node: SidecarNode) -> None:
        """Speak for this node."""
        self._node = node

    async def request(
        self,
        peer: NodeEntry,
        message: FleetMessage,
        *,
        timeout_seconds: float,
    ) -> Message | LinkFailure | DeliveryUnknown:
        """Send a message and wait for its answer."""
        link = self._find_link(peer)
        if link is None:
            return PEER_UNREACHABLE
        return await link.request(message, timeout_seconds)

    def notify(self, peer: NodeEntry, message: FleetMessage) -> None:
        """Send a message without waiting for an answer."""
        link = self._links_by_id.get(peer.instance)
        if link is not None:
            task = asyncio.create_task(link.notify(message))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """End all connections."""
        for link in self._links_by_id.values():
            link.close()

    def _find_link(self, peer: NodeEntry) -> FleetLink | None:
        if self._node is None:
            return None
        link = self._links_by_id.get(peer.instance)
        if link is not None and (link.is_done or _place(link.peer) != _place(peer)):
            link.close()
            link = None
        if link is None:
            link = FleetLink(self._node, peer)
            self._links_by_id[peer.instance] = link
        return link


def _place(entry: NodeEntry) -> tuple[str, int]:
    return entry.host, entry.peer_port


def _open_socket(own_host: str, peer: NodeEntry) -> connect:
    return connect(
        f'ws://{peer.host}:{peer.peer_port}',
        open_timeout=_CONNECT_SECONDS,
        close_timeout=CLOSE_TIMEOUT_SECONDS,
        ping_interval=None,
        compression='deflate',
        max_size=MAX_WIRE_FRAME_BYTES,
        max_queue=_RECEIVE_QUEUE_FRAMES,
        proxy=None,
        local_addr=(own_host, 0),
    )
