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

_CONNECT_SECONDS = 2.0
_FIRST_BACKOFF_SECONDS = 0.1
_LAST_BACKOFF_SECONDS = 3.2
# Answers that are pending for this long make the link ask whether the peer still answers.
_SILENCE_SECONDS = 1.0
_IDLE_SECONDS = 60.0
_RECEIVE_QUEUE_FRAMES = 256
_MAX_NOTIFICATIONS = 1024


class PeerLink:
    """Connection to one peer; its task connects, reads answers and connects again.

    The task ends when nothing was asked for the idle time; the table then makes a new link.

    Parameters
    ----------
    own
        The node itself.
    peer
        Where to connect.
    settings
        Settings of the node.
    members
        Gets to know a later incarnation that answers at the peer's address.
    """

    def __init__(
        self,
        own: Member,
        peer: Member,
        settings: NodeSettings,
        members: MembershipView,
    ) -> None:
        self.peer = peer
        self._own = own
        self._settings = settings
        self._members = members
        self._answers = PendingRequests()
        self._loop = asyncio.get_running_loop()
        self._in_use = 0
        self._used_at = self._loop.time()
        # Result of the attempt to connect that is in progress, or of the latest one.
        self._attempt: asyncio.Future[FrameChannel | None] = self._loop.create_future()
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
        self._in_use += 1
        try:
            return await self._request(message, self._loop.time() + timeout_seconds)
        finally:
            self._in_use -= 1
            self._used_at = self._loop.time()

    def close(self) -> None:
        """End the connection and its task."""
        self._task.cancel()

    async def _request(
        self,
        message: Message,
        deadline: float,
    ) -> Message | LinkFailure | DeliveryUnknown:
        channel = await self._connected_channel(deadline)
        if channel is None:
            return PEER_UNREACHABLE
        return await self._answers.exchange(channel, message, deadline)

    async def _connected_channel(self, deadline: float) -> FrameChannel | None:
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(self._attempt)
        except TimeoutError:
            return None

    async def _run(self) -> None:
        backoff_seconds = _FIRST_BACKOFF_SECONDS
        while not self._is_idle():
            was_connected = await self._connect_once()
            self._drop()
            if was_connected:
                backoff_seconds = _FIRST_BACKOFF_SECONDS
                continue
            # Jitter keeps the nodes from connecting all at once to a node that comes back.
            await asyncio.sleep(backoff_seconds * random.uniform(0.5, 1.0))
            backoff_seconds = min(2 * backoff_seconds, _LAST_BACKOFF_SECONDS)
            self._attempt = self._loop.create_future()

    async def _connect_once(self) -> bool:
        try:
            await self._connect_and_read()
        except (OSError, TimeoutError, WebSocketException) as error:
            logger.bind(peer=self.peer.instance, error=str(error)).debug('peer_link_lost')
        finally:
            was_connected = self._attempt.done()
            if not was_connected:
                self._members.record_unreachable(self.peer.instance)
                self._attempt.set_result(None)
        return was_connected

    async def _connect_and_read(self) -> None:
        async with open_websocket(self._own, self.peer.host, self.peer.port) as socket:
            channel = FrameChannel(socket, self._settings.limits.frame_bytes)
            async with asyncio.timeout(_CONNECT_SECONDS):
                met = await perform_handshake(
                    channel, self._own, self.peer, self._settings.fleet_secret
                )
            if isinstance(met, ProtocolFailure):
                logger.bind(peer=self.peer.instance, detail=met.detail).warning('peer_rejected')
                return
            if met.incarnation != self.peer.incarnation:
                # The slot has a later incarnation at the same address; the table links to it.
                self._members.introduce(met)
                return
            self._attempt.set_result(channel)
            await self._read_answers(channel)

    async def _read_answers(self, channel: FrameChannel) -> None:
        while True:
            frame = await self._receive(channel)
            if isinstance(frame, ProtocolFailure):
                logger.bind(peer=self.peer.instance, detail=frame.detail).warning('frame_rejected')
                return
            if isinstance(frame, Frame):
                self._answers.resolve(frame)
            elif self._is_idle() or await self._is_silent(channel):
                return

    async def _receive(self, channel: FrameChannel) -> Frame | ProtocolFailure | None:
        try:
            async with asyncio.timeout(_SILENCE_SECONDS):
                return await channel.receive()
        except TimeoutError:
            return None

    async def _is_silent(self, channel: FrameChannel) -> bool:
        # A one-way cut takes the bytes of requests and gives no sign of it, so the link asks.
        if not self._answers:
            return False
        is_silent = not await channel.is_responding(_SILENCE_SECONDS)
        if is_silent:
            logger.bind(peer=self.peer.instance).debug('peer_silent')
        return is_silent

    def _is_idle(self) -> bool:
        return not self._in_use and self._loop.time() - self._used_at > _IDLE_SECONDS

    def _drop(self) -> None:
        if self._attempt.result() is not None:
            self._attempt = self._loop.create_future()
        self._answers.fail_all()


class PeerLinkTable:
    """Links to all peers, made when a message is first sent."""

    def __init__(self, own: Member, settings: NodeSettings) -> None:
        self._own = own
        self._settings = settings
        self._members: MembershipView | None = None
        self._links_by_id: dict[InstanceId, PeerLink] = {}
        self._notifications: set[asyncio.Task[None]] = set()

    def attach_members(self, members: MembershipView) -> None:
        """Look up addresses in this view."""
        self._members = members

    @property
    def open_links(self) -> int:
        """Number of links whose task runs."""
        return sum(not link.is_done for link in self._links_by_id.values())

    async def request(
        self,
        instance: InstanceId,
        message: Message,
        *,
        timeout_seconds: float,
    ) -> Message | LinkFailure | DeliveryUnknown:
        """Send a message and wait for its answer."""
        link = self._find_link(instance)
        if link is None:
            return PEER_UNREACHABLE
        return await link.request(message, timeout_seconds)

    async def connect_to_seed(self, seed: SeedSettings) -> Member | LinkFailure:
        """Connect to a seed and return the authenticated node that listens there."""
        try:
            met = await self._meet(seed.host, seed.port)
        except (OSError, TimeoutError, WebSocketException) as error:
            return LinkFailure(Reason.PEER_UNREACHABLE, f'{seed.instance}: {error}')
        if isinstance(met, ProtocolFailure):
            return LinkFailure(met.reason, f'{seed.instance}: {met.detail}')
        return met

    def notify(self, instance: InstanceId, message: Message) -> None:
        """Send a message without waiting for the answer."""
        if len(self._notifications) >= _MAX_NOTIFICATIONS:
            logger.bind(peer=instance).warning('notification_dropped')
            return
        task = asyncio.create_task(self._notify(instance, message))
        self._notifications.add(task)
        task.add_done_callback(self._notifications.discard)

    def close(self) -> None:
        """End all connections."""
        for link in self._links_by_id.values():
            link.close()

    async def _notify(self, instance: InstanceId, message: Message) -> None:
        await self.request(instance, message, timeout_seconds=_CONNECT_SECONDS)

    async def _meet(self, host: str, port: int) -> Member | ProtocolFailure:
        async with (
            asyncio.timeout(_CONNECT_SECONDS),
            open_websocket(self._own, host, port) as socket,
        ):
            channel = FrameChannel(socket, self._settings.limits.frame_bytes)
            expected = (host, port)
            return await perform_handshake(
                channel, self._own, expected, self._settings.fleet_secret
            )

    def _find_link(self, instance: InstanceId) -> PeerLink | None:
        if self._members is None:
            return None
        member = self._members.find_member(instance)
        link = self._links_by_id.get(instance)
        if link is not None and (link.is_done or link.peer != member):
            link.close()
            self._links_by_id.pop(instance)
            link = None
        if member is not None and link is None:
            link = PeerLink(self._own, member, self._settings, self._members)
            self._links_by_id[instance] = link
        return link


def open_websocket(own: Member, host: str, port: int) -> connect:
    """Return the context of a connection from the node's own address."""
    return connect(
        f'ws://{host}:{port}',
        open_timeout=_CONNECT_SECONDS,
        close_timeout=_SILENCE_SECONDS,
        ping_interval=None,
        compression=None,
        max_size=MAX_WIRE_FRAME_BYTES,
        max_queue=_RECEIVE_QUEUE_FRAMES,
        proxy=None,
        local_addr=(own.host, 0),
    )


async def perform_handshake(
    channel: FrameChannel,
    own: Member,
    expected: Member | tuple[str, int],
    secret: str,
) -> Member | ProtocolFailure:
    """Authenticate both sides of a new connection.

    Parameters
    ----------
    expected
        The node that should answer, or the host and port of a seed whose name is not known.

    Returns
    -------
    Member or ProtocolFailure
        The node that answers, which may be a later incarnation than the expected one.
    """
    challenge = await _receive_message(channel)
    if not isinstance(challenge, Challenge):
        return PEER_SECRET_INVALID
    if isinstance(expected, Member) and challenge.instance != expected.instance:
        return PEER_INSTANCE_MISMATCH
    proof = make_proof(secret, challenge, member=own, nonce=make_nonce())
    await channel.send(proof, timeout_seconds=_CONNECT_SECONDS)
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
