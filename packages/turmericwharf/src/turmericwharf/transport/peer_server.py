"""Server for connections of other nodes, with one task for each connection."""

import asyncio

from loguru import logger
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from turmericwharf.coordination import Node
from turmericwharf.protocol import (
    Frame,
    check_proof,
    handle_message,
    make_nonce,
    make_welcome,
)
from turmericwharf.state import (
    PEER_INSTANCE_MISMATCH,
    PEER_SUPERSEDED,
    PEER_SECRET_INVALID,
    Challenge,
    Member,
    PeerIntroduction,
    Proof,
    ProtocolFailure,
)
from turmericwharf.transport.connection import MAX_WIRE_FRAME_BYTES, FrameChannel

_HANDSHAKE_TIMEOUT_SECONDS = 2.0
_MAX_CONCURRENT_HANDSHAKES = 64
_SEND_TIMEOUT_SECONDS = 10.0
# Longer than the idle timeout of a peer link, so that the connecting side closes first.
_IDLE_TIMEOUT_SECONDS = 120.0
_MAX_CONCURRENT_REQUESTS = 1024


class PeerServer:
    """Serves the messages of authenticated peers."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._server: Server | None = None
        self._handshakes_in_progress = 0

    async def start(self) -> None:
        """Start listening on the peer port."""
        listen = self._node.settings.listen
        self._server = await serve(
            self._serve_connection,
            listen.host,
            listen.peer_port,
            open_timeout=_HANDSHAKE_TIMEOUT_SECONDS,
            close_timeout=_HANDSHAKE_TIMEOUT_SECONDS,
            ping_interval=None,
            compression=None,
            max_size=MAX_WIRE_FRAME_BYTES,
        )

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _serve_connection(self, socket: ServerConnection) -> None:
        channel = FrameChannel(socket, self._node.settings.limits.frame_bytes)
        remote_host = str(socket.remote_address[0])
        try:
            peer = await self._authenticate(channel, remote_host)
            if isinstance(peer, ProtocolFailure):
                logger.bind(remote=remote_host, detail=peer.detail).warning('peer_rejected')
                return
            await self._serve_frames(socket, channel, peer)
        except (TimeoutError, WebSocketException) as error:
            logger.bind(error=str(error)).debug('peer_connection_closed')

    async def _authenticate(
        self,
        channel: FrameChannel,
        remote_host: str,
    ) -> Member | ProtocolFailure:
        # The number of unauthenticated connections is limited, so that they cannot exhaust the
        # node's memory.
        if self._handshakes_in_progress >= _MAX_CONCURRENT_HANDSHAKES:
            return ProtocolFailure(PEER_SECRET_INVALID.reason, 'too many concurrent handshakes')
        self._handshakes_in_progress += 1
        try:
            async with asyncio.timeout(_HANDSHAKE_TIMEOUT_SECONDS):
                return await self._perform_handshake(channel, remote_host)
        finally:
            self._handshakes_in_progress -= 1

    async def _perform_handshake(
        self,
        channel: FrameChannel,
        remote_host: str,
    ) -> Member | ProtocolFailure:
        local_member = self._node.members.own
        challenge = Challenge(make_nonce(), local_member.instance)
        await channel.send(challenge, timeout_seconds=_HANDSHAKE_TIMEOUT_SECONDS)
        frame = await channel.receive()
        if isinstance(frame, ProtocolFailure):
            return frame
        proof = frame.message
        if not isinstance(proof, Proof):
            return PEER_SECRET_INVALID
        secret = self._node.settings.fleet_secret
        failure = check_proof(secret, challenge, proof, remote_host=remote_host)
        failure = failure or self._check_member(proof.member)
        if failure is not None:
            return failure
        welcome = make_welcome(secret, challenge, proof, local_member=local_member)
        await channel.send(welcome, timeout_seconds=_HANDSHAKE_TIMEOUT_SECONDS)
        return proof.member

    def _check_member(self, peer: Member) -> ProtocolFailure | None:
        members = self._node.members
        if members.is_outdated(peer.instance, peer.incarnation):
            return PEER_SUPERSEDED
        known = members.find_member(peer.instance)
        if known is not None and known.incarnation == peer.incarnation and known != peer:
            return PEER_INSTANCE_MISMATCH
        return None

    async def _serve_frames(
        self,
        socket: ServerConnection,
        channel: FrameChannel,
        peer: Member,
    ) -> None:
        # Requests of one connection run concurrently, as child tasks of the connection's task. At
        # the limit no further frame is read, which applies backpressure to this peer only.
        request_slots = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)
        tasks: set[asyncio.Task[None]] = set()
        async with asyncio.TaskGroup() as group:
            while True:
                await request_slots.acquire()
                frame = await self._receive(channel, peer)
                if isinstance(frame, ProtocolFailure):
                    logger.bind(peer=peer.instance, detail=frame.detail).warning('frame_rejected')
                    break
                if frame is None:
                    break
                task = group.create_task(self._answer_in_slot(request_slots, channel, frame, peer))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            # Answers can no longer be delivered, so the requests are cancelled as if their callers
            # had disconnected.
            for unanswered_task in tuple(tasks):
                unanswered_task.cancel()
            await socket.close()

    async def _receive(self, channel: FrameChannel, peer: Member) -> Frame | ProtocolFailure | None:
        try:
            async with asyncio.timeout(_IDLE_TIMEOUT_SECONDS):
                frame = await channel.receive()
        except (TimeoutError, WebSocketException):
            return None
        # Late messages of a replaced incarnation are rejected.
        if self._node.members.is_outdated(peer.instance, peer.incarnation):
            return PEER_SUPERSEDED
        if isinstance(frame, ProtocolFailure):
            return frame
        return _check_message(frame, peer)

    async def _answer_in_slot(
        self,
        request_slots: asyncio.Semaphore,
        channel: FrameChannel,
        frame: Frame,
        peer: Member,
    ) -> None:
        try:
            await self._answer(channel, frame, peer)
        finally:
            request_slots.release()

    async def _answer(self, channel: FrameChannel, frame: Frame, peer: Member) -> None:
        try:
            answer = await handle_message(frame.message, self._node)
        except Exception:
            # Closing the connection signals to the peer that the outcome is unknown.
            logger.bind(peer=peer.instance).exception('message_failed')
            await channel.close()
            return
        if isinstance(answer, ProtocolFailure):
            logger.bind(peer=peer.instance, detail=answer.detail).warning('message_rejected')
            return
        failure = await channel.send(
            answer, frame.correlation, timeout_seconds=_SEND_TIMEOUT_SECONDS
        )
        if failure is not None:
            logger.bind(peer=peer.instance, reason=failure.reason.value).debug(
                'answer_undeliverable',
            )


def _check_message(frame: Frame, peer: Member) -> Frame | ProtocolFailure:
    message = frame.message
    # A node may introduce only itself, since the handshake proved its own name and address only.
    if isinstance(message, PeerIntroduction) and message.member != peer:
        return PEER_INSTANCE_MISMATCH
    return frame
