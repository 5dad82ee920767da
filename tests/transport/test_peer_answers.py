"""Answers of peers: each reaches the request that it belongs to, and no other."""

import asyncio

from websockets.asyncio.server import serve

from tests.fleet_processes import FLEET_SECRET
from tests.transport.peers import FRAME_BYTES, linked, make_member, serving
from turmericwharf.protocol import make_nonce, make_welcome
from turmericwharf.state import (
    PEER_LINK_LOST,
    PEER_TIMEOUT,
    Answered,
    Challenge,
    KeptAnswerRequest,
)
from turmericwharf.transport import FrameChannel, peer_server

OWN = make_member(6)
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
    """Guards against a caller that receives the answer to another request."""

    async def serve_badly(socket):
        channel = await _accept(socket)
        frames = [await channel.receive() for _ in range(REQUESTS)]
        # The first request is answered only after its time has passed.
        for frame in reversed(frames):
            await asyncio.sleep(0.3 if frame is frames[0] else 0)
            answer = Answered(200, (), frame.message.claim.encode())
            for _copy in range(2):
                await channel.send(answer, frame.correlation, timeout_seconds=1)
        frame = await channel.receive()
        unasked = Answered(200, (), b'unasked')
        await channel.send(unasked, frame.correlation + 7, timeout_seconds=1)
        await socket.close()

    async with serve(serve_badly, PEER.host, PEER.port), linked(OWN, PEER) as links:

        async def ask(name: str, seconds: float):
            request = KeptAnswerRequest(name)
            return await links.request(PEER.instance, request, timeout_seconds=seconds)

        late = asyncio.create_task(ask('late', 0.2))
        await asyncio.sleep(0)
        names = [f'claim-{number}' for number in range(REQUESTS - 1)]
        answers = await asyncio.gather(*(ask(name, 5) for name in names))
        assert [one.body.decode() for one in answers] == names
        assert await late is PEER_TIMEOUT
        assert await ask('last', 5) is PEER_LINK_LOST


async def test_peer_hears_at_once_that_its_message_failed(monkeypatch):
    """Guards against a message that ends without an answer while its sender waits."""

    async def fail(message, node):
        raise RuntimeError('a fault in the handling of a message')

    monkeypatch.setattr(peer_server, 'handle_message', fail)
    async with serving(PEER), linked(OWN, PEER) as links:
        for _ in range(2):
            request = KeptAnswerRequest('claim')
            answer = await links.request(PEER.instance, request, timeout_seconds=5)
            assert answer is PEER_LINK_LOST
