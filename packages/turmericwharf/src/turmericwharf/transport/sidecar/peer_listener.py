"""Server for connections of other sidecar nodes, with one task for each connection."""

import asyncio
import dataclasses

from loguru import logger
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from turmericwharf.coordination.sidecar import SidecarNode, answer_peer
from turmericwharf.protocol import Frame, FrameBeginning
from turmericwharf.state import ProtocolFailure
from turmericwharf.state.sidecar import FleetMessage, Greeting, NodeEntry, WorkOrder
from turmericwharf.transport.connection import (
    MAX_QUEUED_FRAMES,
    MAX_WIRE_FRAME_BYTES,
    FrameChannel,
)
from turmericwharf.transport.sidecar.links import CLOSE_TIMEOUT_SECONDS, MAX_FRAME_BYTES
from turmericwharf.transport.sidecar.peer_memory import PeerMemory

_OPEN_TIMEOUT_SECONDS = 2.0
_SEND_TIMEOUT_SECONDS = 10.0
# Longer than the idle timeout of a peer link, so that the connecting side closes first.
_IDLE_TIMEOUT_SECONDS = 120.0
# Only orders are large enough to arrive in parts.
_ORDER_FIELDS = tuple(field.name for field in dataclasses.fields(WorkOrder))
_IDENTIFYING_FIELDS = frozenset(('request', 'attempt', 'process'))


class PeerListener:
    """Serves messages of other nodes."""

    def __init__(self, node: SidecarNode) -> None:
        self._node = node
        self._server: Server | None = None

    async def start(self) -> None:
        """Start listening on the peer address."""
        address = self._node.settings.listen.peers
        self._server = await serve(
            self._serve,
            address.host,
            address.port,
            open_timeout=_OPEN_TIMEOUT_SECONDS,
            close_timeout=CLOSE_TIMEOUT_SECONDS,
            ping_interval=None,
            compression='deflate',
            max_size=MAX_WIRE_FRAME_BYTES,
            max_queue=MAX_QUEUED_FRAMES,
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, socket: ServerConnection) -> None:
        refused: asyncio.Queue[FrameBeginning] = asyncio.Queue()
        memory = PeerMemory(self._node.memory, refused.put_nowait)
        channel = memory.open_channel(socket, MAX_FRAME_BYTES)
        refusing = asyncio.create_task(self._answer_refused(channel, refused))
        try:
            peer = await self._exchange_greetings(channel)
            if peer is not None:
                await self._serve_frames(channel, peer, memory)
        except (TimeoutError, WebSocketException) as error:
            logger.bind(error=str(error)).debug('peer_connection_closed')
        finally:
            refusing.cancel()
            memory.close()

    async def _answer_refused(
        self, channel: FrameChannel, refused: asyncio.Queue[FrameBeginning]
    ) -> None:
        """Answer the orders that were dropped for want of memory."""
        while True:
            beginning = await refused.get()
            fields = dict(zip(_ORDER_FIELDS, beginning.fields, strict=False))
            answer = None
            if _IDENTIFYING_FIELDS <= fields.keys():
                answer = self._node.gate.refuse_unread(
                    (fields['request'], fields['attempt']),
                    fields['process'],
                    self._node.holder.version,
                )
            if answer is None:
                # Closing the connection signals to the peer that the outcome is unknown.
                await channel.close()
                return
            logger.bind(request=fields['request'], attempt=fields['attempt']).info(
                'order_dropped_for_memory'
            )
            await channel.send(answer, beginning.correlation, timeout_seconds=_SEND_TIMEOUT_SECONDS)

    async def _exchange_greetings(self, channel: FrameChannel) -> NodeEntry | None:
        async with asyncio.timeout(_OPEN_TIMEOUT_SECONDS):
            frame = await channel.receive()
        if isinstance(frame, ProtocolFailure) or not isinstance(frame.message, Greeting):
            logger.warning('peer_greeting_unreadable')
            return None
        node = self._node
        peer = frame.message.node
        node.directory.record_connection(peer)
        node.spread.record_version(peer.instance, frame.message.version)
        node.store_era.record(peer.era, source=peer.instance)
        reply = Greeting(node.directory.local, node.holder.version)
        await channel.send(reply, frame.correlation, timeout_seconds=_OPEN_TIMEOUT_SECONDS)
        return peer

    async def _serve_frames(
        self, channel: FrameChannel, peer: NodeEntry, memory: PeerMemory
    ) -> None:
        # Requests of one connection run concurrently, as child tasks of the connection's task.
        tasks: set[asyncio.Task[None]] = set()
        try:
            while True:
                async with asyncio.timeout(_IDLE_TIMEOUT_SECONDS):
                    frame = await channel.receive()
                if isinstance(frame, ProtocolFailure):
                    logger.bind(instance=peer.instance, detail=frame.detail).warning(
                        'frame_rejected',
                    )
                    break
                task = asyncio.create_task(self._answer_and_release(channel, frame, peer, memory))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            for unanswered_task in tuple(tasks):
                unanswered_task.cancel()
            self._node.directory.record_disconnection(peer.instance)

    async def _answer_and_release(
        self, channel: FrameChannel, frame: Frame, peer: NodeEntry, memory: PeerMemory
    ) -> None:
        with memory.running(frame.message):
            answer = await self._answer(channel, frame, peer)
        if answer is not None:
            with memory.running(answer):
                await channel.send(answer, frame.correlation, timeout_seconds=_SEND_TIMEOUT_SECONDS)

    async def _answer(
        self, channel: FrameChannel, frame: Frame, peer: NodeEntry
    ) -> FleetMessage | None:
        try:
            return await answer_peer(frame.message, self._node, peer)
        except Exception:
            # Closing the connection signals to the peer that the outcome is unknown.
            logger.bind(instance=peer.instance).exception('message_failed')
            await channel.close()
            return None
