"""Tests of peer links: failures, frame interleaving, timeouts and idle connections."""

import asyncio
import random
import time

import pytest
from websockets.asyncio.server import serve
from websockets.protocol import State

from tests.fleet_processes import FLEET_SECRET, free_port
from tests.stand_ins.relay import Network, Relay
from tests.transport.peers import FRAME_BYTES, running_links, make_member, running_peer_server
from turmericwharf.protocol import make_nonce, make_welcome
from turmericwharf.state import (
    PEER_LINK_LOST,
    PEER_TIMEOUT,
    Challenge,
    FramePart,
    Gossip,
    GossipRequest,
    KeptAnswerRequest,
    LinkFailure,
    DeliveryUnknown,
)
from turmericwharf.transport import BootClock, FrameChannel, peer_link

LOCAL_NODE = make_member(4)
PEER = make_member(5)
BODY = 'x' * 40_000


class SlowPeer:
    """Peer that reads nothing until its event is set, and may then abort the connection."""

    def __init__(self, abort_after: int | None = None) -> None:
        self.received: set[str] = set()
        self.may_read = asyncio.Event()
        self.abort_after = abort_after

    async def handle(self, socket) -> None:
        channel = FrameChannel(socket, FRAME_BYTES)
        challenge = Challenge(make_nonce(), PEER.instance)
        await channel.send(challenge, timeout_seconds=1)
        proof = (await channel.receive()).message
        await channel.send(
            make_welcome(FLEET_SECRET, challenge, proof, local_member=PEER), timeout_seconds=1
        )
        await self.may_read.wait()
        while True:
            frame = await channel.receive()
            self.received.add(frame.message.claim.partition('/')[0])
            if len(self.received) == self.abort_after:
                socket.transport.abort()
                return


@pytest.mark.parametrize('abort_after', [None, 1, 7, 40])
async def test_link_failure_means_that_no_byte_was_written(abort_after):
    """Guards against a request that is repeated although its first copy arrived.

    Sends time out on a full write buffer, are cancelled, or lose their connection.
    """
    peer = SlowPeer(abort_after)
    random_source = random.Random(abort_after or 0)
    server = await serve(
        peer.handle, PEER.host, PEER.port, ping_interval=None, compression=None, max_queue=1
    )
    async with server, running_links(LOCAL_NODE, PEER) as links:

        async def send(number: int):
            message = KeptAnswerRequest(f'{number}/{BODY}')
            seconds = random_source.uniform(0.2, 0.9)
            return await links.request(PEER.instance, message, timeout_seconds=seconds)

        tasks = [asyncio.create_task(send(number)) for number in range(300)]
        await asyncio.sleep(0.1)
        for task in tasks[::7]:
            task.cancel()
        await asyncio.sleep(0.5)
        peer.may_read.set()
        outcomes = await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.3)
    not_sent = {
        str(number) for number, outcome in enumerate(outcomes) if isinstance(outcome, LinkFailure)
    }
    uncertain = [outcome for outcome in outcomes if isinstance(outcome, DeliveryUnknown)]
    assert not_sent and uncertain and peer.received
    assert not not_sent & peer.received


class RecordingSocket:
    """WebSocket that records sent messages and yields to other tasks on each send."""

    state = State.OPEN

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.close_after = 10**6

    async def send(self, message: bytes) -> None:
        self.sent.append(message)
        if len(self.sent) >= self.close_after:
            self.state = State.CLOSED
        await asyncio.sleep(0)

    async def recv(self) -> bytes:
        return self.sent.pop(0)


async def test_large_frame_is_interleaved_with_small_ones():
    """Guards against a large frame that delays small ones, such as gossip and cancellations."""
    socket = RecordingSocket()
    channel = FrameChannel(socket, FRAME_BYTES)
    large = KeptAnswerRequest('y' * 900_000)
    sending = asyncio.create_task(channel.send(large, 1, timeout_seconds=1))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    before = len(socket.sent)
    await channel.send(GossipRequest(), 2, timeout_seconds=1)
    assert 0 < len(socket.sent) - before <= 3
    assert await sending is None
    assert (await channel.receive()).message == GossipRequest()
    assert (await channel.receive()).message == large


async def test_unfinished_and_oversized_frames_are_bounded():
    """Guards against frame parts that fill the memory, and half a frame decoded as a whole."""
    socket = RecordingSocket()
    channel = FrameChannel(socket, FRAME_BYTES)
    too_large = KeptAnswerRequest('y' * FRAME_BYTES)
    assert isinstance(await channel.send(too_large, timeout_seconds=1), LinkFailure)
    assert not socket.sent
    socket.close_after = 3
    half_sent = KeptAnswerRequest('y' * 900_000)
    assert await channel.send(half_sent, timeout_seconds=1) == PEER_LINK_LOST
    for number in range(40):
        piece = FramePart(number + 2, 0, last=False, content=bytes(65536))
        socket.state = State.OPEN
        await channel.send(piece, timeout_seconds=1)
    socket.state = State.OPEN
    await channel.send(GossipRequest(), timeout_seconds=1)
    assert (await channel.receive()).message == GossipRequest()


async def test_one_way_partition_is_detected_by_ping_timeout():
    """Guards against requests that wait until their deadline in a one-way network partition."""
    network = Network()
    relay_port = free_port(PEER.host)
    relay = Relay(network, PEER.host, PEER.host, relay_port, PEER.port)
    relayed_peer = make_member(5, port=relay_port)
    await relay.start()
    async with running_peer_server(PEER), running_links(LOCAL_NODE, relayed_peer) as links:
        first = await links.request(PEER.instance, GossipRequest(), timeout_seconds=2)
        assert isinstance(first, Gossip)
        network.cut(PEER.host, LOCAL_NODE.host)
        started_at = time.monotonic()
        answer = await links.request(PEER.instance, GossipRequest(), timeout_seconds=20)
        assert answer == PEER_LINK_LOST
        assert time.monotonic() - started_at < 5
        network.heal()
        async with asyncio.timeout(10):
            while not isinstance(
                await links.request(PEER.instance, GossipRequest(), timeout_seconds=1), Gossip
            ):
                await asyncio.sleep(0.1)
    await relay.stop()


async def test_unresponsive_peer_does_not_delay_others():
    """Guards against a slow reader that blocks the messages to all peers."""
    peer = SlowPeer()
    other = make_member(6)
    server = await serve(peer.handle, PEER.host, PEER.port, ping_interval=None, compression=None)
    async with server, running_peer_server(other), running_links(LOCAL_NODE, PEER, other) as links:
        stalled = [
            asyncio.create_task(
                links.request(PEER.instance, KeptAnswerRequest(BODY), timeout_seconds=1)
            )
            for _number in range(200)
        ]
        await asyncio.sleep(0.2)
        answer = await links.request(other.instance, GossipRequest(), timeout_seconds=1)
        assert isinstance(answer, Gossip)
        outcomes = await asyncio.gather(*stalled)
        assert PEER_TIMEOUT in outcomes
        peer.may_read.set()


async def test_idle_link_ends_and_is_recreated(monkeypatch):
    """Guards against unused connections to all 500 nodes that stay open."""
    monkeypatch.setattr(peer_link, '_IDLE_TIMEOUT_SECONDS', 0.2)
    monkeypatch.setattr(peer_link, '_RESPONSE_TIMEOUT_SECONDS', 0.1)
    async with running_peer_server(PEER), running_links(LOCAL_NODE, PEER) as links:
        for _time in range(2):
            answer = await links.request(PEER.instance, GossipRequest(), timeout_seconds=2)
            assert isinstance(answer, Gossip)
            assert links.open_links == 1
            async with asyncio.timeout(5):
                while links.open_links:
                    await asyncio.sleep(0.05)


async def test_refused_connection_removes_a_peer_from_routing():
    """Guards against requests to a killed node until its last contact is stale."""
    async with running_links(LOCAL_NODE, PEER) as links:
        members = links._members
        members.record_contact(PEER.instance, BootClock().now())
        assert members.is_alive(PEER.instance)
        answer = await links.request(PEER.instance, GossipRequest(), timeout_seconds=2)
        assert isinstance(answer, LinkFailure)
        assert not members.is_alive(PEER.instance)
        members.record_contact(PEER.instance, BootClock().now())
        assert members.is_alive(PEER.instance)
