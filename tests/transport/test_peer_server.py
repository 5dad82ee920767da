"""Tests of the peer server with unauthenticated clients, impostors and malformed frames."""

import asyncio
import contextlib
import dataclasses

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from websockets.exceptions import WebSocketException

from tests.fleet_processes import FLEET_SECRET, free_port
from tests.transport.peers import (
    FRAME_BYTES,
    authenticate,
    running_links,
    make_member,
    raw_connection,
    running_peer_server,
)
from turmericwharf.protocol import Frame, encode_frame
from turmericwharf.state import (
    Acknowledged,
    FramePart,
    Gossip,
    GossipRequest,
    LinkFailure,
    PeerIntroduction,
    Proof,
    SeedSettings,
    Welcome,
)
from turmericwharf.transport import FrameChannel

SERVER = make_member(1)
HEALTHY = make_member(2)
KNOWN = make_member(3, '5')


async def is_rejected(
    local_member, *, secret: str = FLEET_SECRET, source: str | None = None
) -> bool:
    async with raw_connection(SERVER, source or local_member.host) as socket:
        try:
            _proof, answer = await authenticate(socket, local_member, secret)
        except WebSocketException:
            return True
        return not isinstance(answer.message, Welcome)


async def test_only_nodes_of_the_fleet_are_accepted_under_their_own_names():
    """Guards against a backend server or a replaced incarnation that authenticates as a peer."""
    async with running_peer_server(SERVER) as node:
        node.members.introduce(KNOWN)
        assert not await is_rejected(KNOWN)
        assert await is_rejected(KNOWN, secret='x' * 32)
        # The fleet secret does not suffice to connect under the address of another node.
        assert await is_rejected(KNOWN, source='127.0.0.1')
        assert await is_rejected(dataclasses.replace(KNOWN, host=HEALTHY.host))
        assert await is_rejected(dataclasses.replace(KNOWN, incarnation='4'))
        assert not await is_rejected(dataclasses.replace(KNOWN, incarnation='6'))
        assert node.members.find_member(KNOWN.instance) == KNOWN


async def test_replayed_proof_is_rejected():
    """Guards against replay of a recorded handshake."""
    async with running_peer_server(SERVER):
        async with raw_connection(SERVER, KNOWN.host) as socket:
            proof, _answer = await authenticate(socket, KNOWN)
        async with raw_connection(SERVER, KNOWN.host) as socket:
            channel = FrameChannel(socket, FRAME_BYTES)
            await channel.receive()
            await channel.send(proof, timeout_seconds=1)
            with pytest.raises(WebSocketException):
                await channel.receive()


async def test_node_introduces_only_itself_and_a_replaced_one_is_disconnected():
    """Guards against unproven addresses, and against late frames of a replaced incarnation."""
    async with running_peer_server(SERVER) as node, raw_connection(SERVER, KNOWN.host) as socket:
        await authenticate(socket, KNOWN)
        channel = FrameChannel(socket, FRAME_BYTES)
        await channel.send(PeerIntroduction(KNOWN), 1, timeout_seconds=1)
        assert isinstance((await channel.receive()).message, Acknowledged)
        assert node.members.find_member(KNOWN.instance) == KNOWN
        await channel.send(PeerIntroduction(HEALTHY), 2, timeout_seconds=1)
        with pytest.raises(WebSocketException):
            await channel.receive()
        assert node.members.find_member(HEALTHY.instance) is None
    async with running_peer_server(SERVER) as node, raw_connection(SERVER, KNOWN.host) as socket:
        await authenticate(socket, KNOWN)
        node.members.introduce(dataclasses.replace(KNOWN, incarnation='6'))
        channel = FrameChannel(socket, FRAME_BYTES)
        await channel.send(GossipRequest(), 1, timeout_seconds=1)
        with pytest.raises(WebSocketException):
            await channel.receive()


async def test_handshakes_are_bounded():
    """Guards against unauthenticated clients that exhaust the connections of a node."""
    async with running_peer_server(SERVER), contextlib.AsyncExitStack() as stack:
        opening = (raw_connection(SERVER, '127.0.0.1') for _stranger in range(100))
        sockets = [await stack.enter_async_context(context) for context in opening]
        await asyncio.sleep(0.1)
        open_sockets = [socket for socket in sockets if socket.close_code is None]
        assert len(open_sockets) <= 64
        async with running_links(HEALTHY, SERVER) as links, asyncio.timeout(8):
            # Unauthenticated connections are closed after the handshake timeout.
            while not isinstance(await request_gossip(links), Gossip):
                await asyncio.sleep(0.1)


async def request_gossip(links):
    return await links.request(SERVER.instance, GossipRequest(), timeout_seconds=1)


FRAME_PART = FramePart(1, 0, last=False, content=bytes(65536))
FRAMES = st.one_of(
    st.binary(max_size=300),
    st.text(max_size=30),
    st.just(bytes(200_000)),
    st.builds(cbor2.dumps, st.recursive(st.integers() | st.text(), st.lists, max_leaves=8)),
    st.builds(
        lambda number, fields: cbor2.dumps([number, 1, fields]),
        st.integers(0, 70),
        st.lists(st.integers() | st.binary(max_size=9) | st.none(), max_size=9),
    ),
    st.just(encode_frame(Frame(7, GossipRequest()))),
    st.just(encode_frame(Frame(7, Proof(b'', KNOWN, b'')))),
    st.just(encode_frame(Frame(0, FRAME_PART))),
    st.builds(
        lambda place: encode_frame(Frame(0, dataclasses.replace(FRAME_PART, place=place))),
        st.integers(0, 3),
    ),
)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(FRAMES, min_size=1, max_size=20), st.booleans())
def test_malformed_frames_close_at_most_their_connection(frames, is_authenticated):
    """Guards against a malformed frame that stops the server or closes other connections."""
    asyncio.run(send_malformed(frames, is_authenticated=is_authenticated))


async def send_malformed(frames, *, is_authenticated: bool) -> None:
    async with running_peer_server(SERVER), running_links(HEALTHY, SERVER) as links:
        assert isinstance(await request_gossip(links), Gossip)
        with contextlib.suppress(WebSocketException):
            async with raw_connection(SERVER, KNOWN.host) as socket:
                if is_authenticated:
                    await authenticate(socket, KNOWN)
                for frame in frames:
                    await socket.send(frame)
        answer = await request_gossip(links)
        assert isinstance(answer, Gossip), answer
        # The connection of the healthy peer has survived: no second link was created.
        assert links.open_links == 1


async def test_wrong_node_at_an_address_receives_no_message():
    """Guards against a message that is delivered to another node than its recipient."""
    async with running_peer_server(SERVER):
        impostor = dataclasses.replace(KNOWN, host=SERVER.host, port=SERVER.port)
        async with running_links(HEALTHY, impostor) as links:
            answer = await links.request(KNOWN.instance, GossipRequest(), timeout_seconds=1)
            assert isinstance(answer, LinkFailure)
        async with running_links(HEALTHY) as links:
            assert (
                await links.connect_to_seed(SeedSettings(SERVER.instance, SERVER.host, SERVER.port))
                == SERVER
            )
            assert isinstance(
                await links.connect_to_seed(
                    SeedSettings(SERVER.instance, SERVER.host, free_port(SERVER.host))
                ),
                LinkFailure,
            )
