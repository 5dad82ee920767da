"""Nodes for tests of peer connections: real sockets, without a log or a backend server."""

import contextlib
import dataclasses

from websockets.asyncio.client import connect

from tests.fleet_processes import FLEET_SECRET, free_port
from turmericwharf.coordination import MembershipView, Ports, build_node
from turmericwharf.protocol import SnapshotEncoding, make_nonce, make_proof
from turmericwharf.state import (
    LOG_UNAVAILABLE,
    Challenge,
    IncarnationId,
    InstanceId,
    ListenSettings,
    LogSettings,
    Member,
    NodeSettings,
    TimingSettings,
)
from turmericwharf.transport import BootClock, FrameChannel, PeerLinkTable, PeerServer, UtcClock

FRAME_BYTES = 1_048_576


class UnavailableLog:
    async def append(self, stream, records):
        return LOG_UNAVAILABLE

    async def read(self, stream, *, offset, wait_seconds):
        return LOG_UNAVAILABLE


def make_member(number: int, incarnation: str = '1', port: int = 0) -> Member:
    host = f'127.0.0.{100 + number}'
    name = InstanceId(f'node-{number}')
    return Member(name, IncarnationId(incarnation), host, port or free_port(host), 'dc')


def make_settings(local_member: Member, secret: str = FLEET_SECRET) -> NodeSettings:
    settings = NodeSettings(
        local_member.instance,
        'dc',
        secret,
        ListenSettings(local_member.host, 1, local_member.port, 1, 1),
        LogSettings('-'),
    )
    limits = dataclasses.replace(settings.limits, frame_bytes=FRAME_BYTES)
    return dataclasses.replace(settings, limits=limits)


@contextlib.asynccontextmanager
async def running_peer_server(local_member: Member):
    """Run a peer server and yield its node."""
    node = build_node(
        settings=make_settings(local_member),
        own=local_member,
        ports=Ports(
            clock=BootClock(),
            wall_clock=UtcClock(),
            log=UnavailableLog(),
            codec=SnapshotEncoding(),
            links=PeerLinkTable(local_member, make_settings(local_member)),
            server=None,
        ),
    )
    server = PeerServer(node)
    await server.start()
    try:
        yield node
    finally:
        await server.stop()


@contextlib.asynccontextmanager
async def running_links(local_member: Member, *peers: Member, secret: str = FLEET_SECRET):
    """Yield the link table of a node whose membership view contains `peers`."""
    members = MembershipView(local_member, TimingSettings(), BootClock())
    for peer in peers:
        members.introduce(peer)
    table = PeerLinkTable(local_member, make_settings(local_member, secret))
    table.attach_members(members)
    try:
        yield table
    finally:
        table.close()


@contextlib.asynccontextmanager
async def raw_connection(peer: Member, source: str):
    """Yield an unauthenticated WebSocket connection from the address `source`."""
    url = f'ws://{peer.host}:{peer.port}'
    options = {'ping_interval': None, 'compression': None, 'proxy': None, 'max_size': None}
    async with connect(url, local_addr=(source, 0), **options) as socket:
        yield socket


async def authenticate(socket, local_member: Member, secret: str = FLEET_SECRET):
    """Send a proof; return it and the answer of the server."""
    channel = FrameChannel(socket, FRAME_BYTES)
    challenge = (await channel.receive()).message
    assert isinstance(challenge, Challenge)
    proof = make_proof(secret, challenge, member=local_member, nonce=make_nonce())
    await channel.send(proof, timeout_seconds=1)
    return proof, await channel.receive()
