"""The peer server against strangers, impostors and broken frames."""

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
    linked,
    make_member,
    raw_connection,
    serving,
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


async def is_refused(own, *, secret: str = FLEET_SECRET, source: str | None = None) -> bool:
    async with raw_connection(SERVER, source or own.host) as socket:
        try:
            _proof, answer = await authenticate(socket, own, secret)
        except WebSocketException:
            return True
        return not isinstance(answer.message, Welcome)


async def test_only_nodes_of_the_fleet_are_accepted_under_their_own_names():
    """Guards against a backend server or an old incarnation that poses as a peer."""
    async with serving(SERVER) as node:
        node.members.introduce(KNOWN)
        assert not await is_refused(KNOWN)
        assert await is_refused(KNOWN, secret='x' * 32)
        # The node's secret is not enough for another node's address.
        assert await is_refused(KNOWN, source='127.0.0.1')
        assert await is_refused(dataclasses.replace(KNOWN, host=HEALTHY.host))
        assert await is_refused(dataclasses.replace(KNOWN, incarnation='4'))
        assert not await is_refused(dataclasses.replace(KNOWN, incarnation='6'))
        assert node.members.find_member(KNOWN.instance) == KNOWN


async def test_replayed_proof_is_refused():
    """Guards against a recorded handshake that is sent again."""
    async with serving(SERVER):
        async with raw_connection(SERVER, KNOWN.host) as socket:
            proof, _answer = await authenticate(socket, KNOWN)
        async with raw_connection(SERVER, KNOWN.host) as socket:
            channel = FrameChannel(socket, FRAME_BYTES)
            await channel.receive()
            await channel.send(proof, timeout_seconds=1)
            with pytest.raises(WebSocketException):
                await channel.receive()


async def test_node_introduces_only_itself_and_a_replaced_one_is_cut():
    """Guards against addresses that are not proven, and late frames of an old incarnation."""
    async with serving(SERVER) as node, raw_connection(SERVER, KNOWN.host) as socket:
        await authenticate(socket, KNOWN)
        channel = FrameChannel(socket, FRAME_BYTES)
        await channel.send(PeerIntroduction(KNOWN), 1, timeout_seconds=1)
        assert isinstance((await channel.receive()).message, Acknowledged)
        assert node.members.find_member(KNOWN.instance) == KNOWN
        await channel.send(PeerIntroduction(HEALTHY), 2, timeout_seconds=1)
        with pytest.raises(WebSocketException):
            await channel.receive()
        assert node.members.find_member(HEALTHY.instance) is None
    async with serving(SERVER) as node, raw_connection(SERVER, KNOWN.host) as socket:
        await authenticate(socket, KNOWN)
        node.members.introduce(dataclasses.replace(KNOWN, incarnation='6'))
        channel = FrameChannel(socket, FRAME_BYTES)
        await channel.send(GossipRequest(), 1, timeout_seconds=1)
        with pytest.raises(WebSocketException):
            await channel.receive()


async def test_handshakes_are_bounded():
    """Guards against strangers that hold connections and use up the node."""
    async with serving(SERVER), contextlib.AsyncExitStack() as stack:
        opening = (raw_connection(SERVER, '127.0.0.1') for _stranger in range(100))
        sockets = [await stack.enter_async_context(one) for one in opening]
        await asyncio.sleep(0.1)
        held = [one for one in sockets if one.close_code is None]
        assert len(held) <= 64
        async with linked(HEALTHY, SERVER) as links, asyncio.timeout(8):
            # Strangers lose their places after the time of a handshake.
            while not isinstance(await ask(links), Gossip):
                await asyncio.sleep(0.1)


async def ask(links):
    return await links.request(SERVER.instance, GossipRequest(), timeout_seconds=1)


PIECE = FramePart(1, 0, last=False, content=bytes(65536))
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
    st.just(encode_frame(Frame(0, PIECE))),
    st.builds(
        lambda place: encode_frame(Frame(0, dataclasses.replace(PIECE, place=place))),
        st.integers(0, 3),
    ),
)


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.lists(FRAMES, min_size=1, max_size=20), st.booleans())
def test_broken_frames_close_at_most_their_connection(frames, is_authenticated):
    """Guards against a frame that ends the server or the connections of other peers."""
    asyncio.run(send_broken(frames, is_authenticated=is_authenticated))


async def send_broken(frames, *, is_authenticated: bool) -> None:
    async with serving(SERVER), linked(HEALTHY, SERVER) as links:
        assert isinstance(await ask(links), Gossip)
        with contextlib.suppress(WebSocketException):
            async with raw_connection(SERVER, KNOWN.host) as socket:
                if is_authenticated:
                    await authenticate(socket, KNOWN)
                for frame in frames:
                    await socket.send(frame)
        answer = await ask(links)
        assert isinstance(answer, Gossip), answer
        # The healthy connection is the one from before: nothing had to be made again.
        assert links.open_links == 1


async def test_wrong_node_at_an_address_gets_no_message():
    """Guards against a message for one node that another one receives."""
    async with serving(SERVER):
        impostor = dataclasses.replace(KNOWN, host=SERVER.host, port=SERVER.port)
        async with linked(HEALTHY, impostor) as links:
            answer = await links.request(KNOWN.instance, GossipRequest(), timeout_seconds=1)
            assert isinstance(answer, LinkFailure)
        async with linked(HEALTHY) as links:
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
