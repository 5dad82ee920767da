"""Outgoing connections to other nodes, one task for each peer."""

import asyncio
import random

from loguru import logger
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from turmericwharf.coordination import MembershipView
from turmericwharf.protocol import Frame, is_valid_welcome, make_nonce, make_proof
from turmericwharf.state import (
    PEER_INSTANCE_MISMATCH,
    PEER_SECRET_INVALID,
    PEER_UNREACHABLE,
    Challenge,
    InstanceId,
    LinkFailure,
    DeliveryUnknown,
    Member,
    Message,
    NodeSettings,
    ProtocolFailure,
    SeedSettings,
    Reason,
    Welcome,
)
from turmericwharf.transport.connection import MAX_WIRE_FRAME_BYTES, FrameChannel
from turmericwharf.transport.pending_requests import PendingRequests

_CONNECT_TIMEOUT_SECONDS = 2.0
_MIN_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 3.2
# Time without a frame from the peer after which a link with pending requests sends a ping. Also
# the timeout of that ping and of closing a connection.
_RESPONSE_TIMEOUT_SECONDS = 1.0
_IDLE_TIMEOUT_SECONDS = 60.0
_MAX_QUEUED_FRAMES = 256
_MAX_PENDING_NOTIFICATIONS = 1024


class PeerLink:
    """Connection to one peer; its task connects, reads answers and reconnects.

    The task ends after the idle timeout without a request; the link table then creates a new link.

    Parameters
    ----------
    local_member
        Membership entry of the local node.
    peer
        Peer to connect to.
    settings
        Settings of the node.
    members
        Membership view that is updated if a later incarnation answers at the peer's address.
    """

    def __init__(
        self,
        local_member: Member,
        peer: Member,
        settings: NodeSettings,
        members: MembershipView,
    ) -> None:
        self.peer = peer
        self._local_member = local_member
        self._settings = settings
        self._members = members
        self._requests = PendingRequests()
        self._loop = asyncio.get_running_loop()
        self._active_requests = 0
        self._last_used_at = self._loop.time()
        # Result of the connection attempt in progress, or of the last one.
        self._connection_attempt: asyncio.Future[FrameChannel | None] = self._loop.create_future()
        self._task = asyncio.create_task(self._run())

    @property
    def is_done(self) -> bool:
        """Whether the link's task has ended."""
        return self._task.done()

    async def request(
        self,
        message: Message,
        timeout_seconds: float,
    ) -> Message | LinkFailure | DeliveryUnknown:
        """Send a message and wait for its answer."""
        self._active_requests += 1
        try:
            return await self._request(message, self._loop.time() + timeout_seconds)
        finally:
            self._active_requests -= 1
            self._last_used_at = self._loop.time()

    def close(self) -> None:
        """Close the connection and end its task."""
        self._task.cancel()

    async def _request(
        self,
        message: Message,
        deadline: float,
    ) -> Message | LinkFailure | DeliveryUnknown:
        channel = await self._connected_channel(deadline)
        if channel is None:
            return PEER_UNREACHABLE
        return await self._requests.exchange(channel, message, deadline)

    async def _connected_channel(self, deadline: float) -> FrameChannel | None:
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(self._connection_attempt)
        except TimeoutError:
            return None

    async def _run(self) -> None:
        backoff_seconds = _MIN_BACKOFF_SECONDS
        while not self._is_idle():
            was_connected = await self._connect_once()
            self._handle_disconnect()
            if was_connected:
                backoff_seconds = _MIN_BACKOFF_SECONDS
                continue
            # Jitter keeps the nodes from reconnecting to a recovered node all at once.
            await asyncio.sleep(backoff_seconds * random.uniform(0.5, 1.0))
            backoff_seconds = min(2 * backoff_seconds, _MAX_BACKOFF_SECONDS)
            self._connection_attempt = self._loop.create_future()

    async def _connect_once(self) -> bool:
        try:
            await self._connect_and_read()
        except (OSError, TimeoutError, WebSocketException) as error:
            logger.bind(peer=self.peer.instance, error=str(error)).debug('peer_link_lost')
        finally:
            was_connected = self._connection_attempt.done()
            if not was_connected:
                self._members.record_unreachable(self.peer.instance)
                self._connection_attempt.set_result(None)
        return was_connected

    async def _connect_and_read(self) -> None:
        async with open_websocket(self._local_member, self.peer.host, self.peer.port) as socket:
            channel = FrameChannel(socket, self._settings.limits.frame_bytes)
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                authenticated = await perform_handshake(
                    channel, self._local_member, self.peer, self._settings.fleet_secret
                )
            if isinstance(authenticated, ProtocolFailure):
                logger.bind(peer=self.peer.instance, detail=authenticated.detail).warning(
                    'peer_rejected'
                )
                return
            if authenticated.incarnation != self.peer.incarnation:
                # A later incarnation runs at the same address; the link table connects to it.
                self._members.introduce(authenticated)
                return
            self._connection_attempt.set_result(channel)
            await self._read_answers(channel)

    async def _read_answers(self, channel: FrameChannel) -> None:
        while True:
            frame = await self._receive(channel)
            if isinstance(frame, ProtocolFailure):
                logger.bind(peer=self.peer.instance, detail=frame.detail).warning('frame_rejected')
                return
            if isinstance(frame, Frame):
                self._requests.resolve(frame)
            elif self._is_idle() or await self._is_unresponsive(channel):
                return

    async def _receive(self, channel: FrameChannel) -> Frame | ProtocolFailure | None:
        try:
            async with asyncio.timeout(_RESPONSE_TIMEOUT_SECONDS):
                return await channel.receive()
        except TimeoutError:
            return None

    async def _is_unresponsive(self, channel: FrameChannel) -> bool:
        # In a one-way network partition requests are still sent without an error, so a ping checks
        # whether answers arrive.
        if not self._requests:
            return False
        is_unresponsive = not await channel.is_responding(_RESPONSE_TIMEOUT_SECONDS)
        if is_unresponsive:
            logger.bind(peer=self.peer.instance).debug('peer_silent')
        return is_unresponsive

    def _is_idle(self) -> bool:
        return (
            not self._active_requests
            and self._loop.time() - self._last_used_at > _IDLE_TIMEOUT_SECONDS
        )

    def _handle_disconnect(self) -> None:
        if self._connection_attempt.result() is not None:
            self._connection_attempt = self._loop.create_future()
        self._requests.fail_all()


class PeerLinkTable:
    """Links to all peers, created when the first message is sent."""

    def __init__(self, local_member: Member, settings: NodeSettings) -> None:
        self._local_member = local_member
        self._settings = settings
        self._members: MembershipView | None = None
        self._links_by_id: dict[InstanceId, PeerLink] = {}
        self._notifications: set[asyncio.Task[None]] = set()

    def attach_members(self, members: MembershipView) -> None:
        """Set the membership view that provides the addresses of peers."""
        self._members = members

    @property
    def open_links(self) -> int:
        """Number of links whose task is running."""
        return sum(not link.is_done for link in self._links_by_id.values())

    async def request(
        self,
        instance: InstanceId,
        message: Message,
        *,
        timeout_seconds: float,
    ) -> Message | LinkFailure | DeliveryUnknown:
        """Send a message and wait for its answer."""
        link = self._get_link(instance)
        if link is None:
            return PEER_UNREACHABLE
        return await link.request(message, timeout_seconds)

    async def connect_to_seed(self, seed: SeedSettings) -> Member | LinkFailure:
        """Connect to a seed and return the authenticated node at its address."""
        try:
            authenticated = await self._authenticate_seed(seed.host, seed.port)
        except (OSError, TimeoutError, WebSocketException) as error:
            return LinkFailure(Reason.PEER_UNREACHABLE, f'{seed.instance}: {error}')
        if isinstance(authenticated, ProtocolFailure):
            return LinkFailure(authenticated.reason, f'{seed.instance}: {authenticated.detail}')
        return authenticated

    def notify(self, instance: InstanceId, message: Message) -> None:
        """Send a message without waiting for its answer."""
        if len(self._notifications) >= _MAX_PENDING_NOTIFICATIONS:
            logger.bind(peer=instance).warning('notification_dropped')
            return
        task = asyncio.create_task(self._notify(instance, message))
        self._notifications.add(task)
        task.add_done_callback(self._notifications.discard)

    def close(self) -> None:
        """Close all connections."""
        for link in self._links_by_id.values():
            link.close()

    async def _notify(self, instance: InstanceId, message: Message) -> None:
        await self.request(instance, message, timeout_seconds=_CONNECT_TIMEOUT_SECONDS)

    async def _authenticate_seed(self, host: str, port: int) -> Member | ProtocolFailure:
        async with (
            asyncio.timeout(_CONNECT_TIMEOUT_SECONDS),
            open_websocket(self._local_member, host, port) as socket,
        ):
            channel = FrameChannel(socket, self._settings.limits.frame_bytes)
            expected = (host, port)
            return await perform_handshake(
                channel, self._local_member, expected, self._settings.fleet_secret
            )

    def _get_link(self, instance: InstanceId) -> PeerLink | None:
        if self._members is None:
            return None
        member = self._members.find_member(instance)
        link = self._links_by_id.get(instance)
        if link is not None and (link.is_done or link.peer != member):
            link.close()
            self._links_by_id.pop(instance)
            link = None
        if member is not None and link is None:
            link = PeerLink(self._local_member, member, self._settings, self._members)
            self._links_by_id[instance] = link
        return link


def open_websocket(local_member: Member, host: str, port: int) -> connect:
    """Return a context manager for a WebSocket connection from the local node's address."""
    return connect(
        f'ws://{host}:{port}',
        open_timeout=_CONNECT_TIMEOUT_SECONDS,
        close_timeout=_RESPONSE_TIMEOUT_SECONDS,
        ping_interval=None,
        compression=None,
        max_size=MAX_WIRE_FRAME_BYTES,
        max_queue=_MAX_QUEUED_FRAMES,
        proxy=None,
        local_addr=(local_member.host, 0),
    )


async def perform_handshake(
    channel: FrameChannel,
    local_member: Member,
    expected: Member | tuple[str, int],
    secret: str,
) -> Member | ProtocolFailure:
    """Authenticate both sides of a new connection, as the connecting side.

    Parameters
    ----------
    expected
        The expected node, or the host and port of a seed whose instance is unknown.

    Returns
    -------
    Member or ProtocolFailure
        The authenticated node, which may be a later incarnation than the expected one.
    """
    challenge = await _receive_message(channel)
    if not isinstance(challenge, Challenge):
        return PEER_SECRET_INVALID
    if isinstance(expected, Member) and challenge.instance != expected.instance:
        return PEER_INSTANCE_MISMATCH
    proof = make_proof(secret, challenge, member=local_member, nonce=make_nonce())
    await channel.send(proof, timeout_seconds=_CONNECT_TIMEOUT_SECONDS)
    welcome = await _receive_message(channel)
    if not isinstance(welcome, Welcome):
        return PEER_SECRET_INVALID
    if not is_valid_welcome(secret, challenge, proof, welcome):
        return PEER_SECRET_INVALID
    host, port = (expected.host, expected.port) if isinstance(expected, Member) else expected
    return Member(challenge.instance, welcome.incarnation, host, port, welcome.data_centre)


async def _receive_message(channel: FrameChannel) -> Message | None:
    frame = await channel.receive()
    return None if isinstance(frame, ProtocolFailure) else frame.message
