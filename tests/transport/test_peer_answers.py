"""Tests that each answer of a peer is matched to its request."""

import asyncio

from websockets.asyncio.server import serve

from tests.fleet_processes import FLEET_SECRET
from tests.transport.peers import FRAME_BYTES, running_links, make_member, running_peer_server
from turmericwharf.protocol import make_nonce, make_welcome
from turmericwharf.state import (
    PEER_LINK_LOST,
    PEER_TIMEOUT,
    Answered,
    Challenge,
    KeptAnswerRequest,
)
from turmericwharf.transport import FrameChannel, peer_server

LOCAL_NODE = make_member(6)
PEER = make_member(7)
REQUESTS = 20


async def _accept(socket) -> FrameChannel:
    channel = FrameChannel(socket, FRAME_BYTES)
    challenge = Challenge(make_nonce(), PEER.instance)
    await channel.send(challenge, timeout_seconds=1)
    proof = (await channel.receive()).message
    welcome = make_welcome(FLEET_SECRET, challenge, proof, local_member=PEER)
    await channel.send(welcome, timeout_seconds=1)
    return channel


async def test_answers_out_of_order_twice_and_late():
    """Guards against a request that receives the answer to another request.

    The peer answers in reverse order, twice, after the timeout, and with an unknown correlation id.
    """

    async def serve_out_of_order(socket):
        channel = await _accept(socket)
        frames = [await channel.receive() for _ in range(REQUESTS)]
        # The first request is answered only after its timeout.
        for frame in reversed(frames):
            await asyncio.sleep(0.3 if frame is frames[0] else 0)
            answer = Answered(200, (), frame.message.claim.encode())
            for _copy in range(2):
                await channel.send(answer, frame.correlation, timeout_seconds=1)
        frame = await channel.receive()
        unsolicited = Answered(200, (), b'unasked')
        await channel.send(unsolicited, frame.correlation + 7, timeout_seconds=1)
        await socket.close()

    async with (
        serve(serve_out_of_order, PEER.host, PEER.port),
        running_links(LOCAL_NODE, PEER) as links,
    ):

        async def send_request(name: str, seconds: float):
            request = KeptAnswerRequest(name)
            return await links.request(PEER.instance, request, timeout_seconds=seconds)

        late_request = asyncio.create_task(send_request('late', 0.2))
        await asyncio.sleep(0)
        names = [f'claim-{number}' for number in range(REQUESTS - 1)]
        answers = await asyncio.gather(*(send_request(name, 5) for name in names))
        assert [answer.body.decode() for answer in answers] == names
        assert await late_request is PEER_TIMEOUT
        assert await send_request('last', 5) is PEER_LINK_LOST


async def test_failed_message_closes_the_connection_at_once(monkeypatch):
    """Guards against a sender that waits for its timeout after its message failed at the peer."""

    async def fail(message, node):
        raise RuntimeError('injected failure of message handling')

    monkeypatch.setattr(peer_server, 'handle_message', fail)
    async with running_peer_server(PEER), running_links(LOCAL_NODE, PEER) as links:
        for _ in range(2):
            request = KeptAnswerRequest('claim')
            answer = await links.request(PEER.instance, request, timeout_seconds=5)
            assert answer is PEER_LINK_LOST
