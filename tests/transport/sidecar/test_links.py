"""Tests of the connections between sidecar nodes: silence, loss and cost of unused links."""

import asyncio
import contextlib
import dataclasses
import time
from types import SimpleNamespace

import pytest

from tests.coordination.sidecar.samples import make_entry, make_order
from tests.fleet_processes import free_port
from tests.stand_ins.relay import Network, Relay
from turmericwharf.coordination.memory import MemoryBudget
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.state import PEER_LINK_LOST, PEER_UNREACHABLE, NotRun, Reason, MemoryLimits
from turmericwharf.state.sidecar import (
    Address,
    ConfigurationReply,
    ConfigurationRequest,
    RetryRequest,
    WorkAnswer,
)
from turmericwharf.transport import BootClock
from turmericwharf.transport.connection import FrameChannel
from turmericwharf.transport.sidecar import links as links_module
from turmericwharf.transport.sidecar import peer_listener
from turmericwharf.transport.sidecar.links import FleetLinkTable
from turmericwharf.transport.sidecar.peer_listener import PeerListener

PEER_HOST = '127.0.0.5'


def make_node(entry, **parts):
    node = SimpleNamespace(
        directory=NodeDirectory(entry, BootClock()),
        holder=SimpleNamespace(version=1),
        memory=MemoryBudget(MemoryLimits(), BootClock()),
        spread=SimpleNamespace(record_version=lambda instance, version: None),
        store_era=SimpleNamespace(record=lambda era, *, source: None),
        settings=SimpleNamespace(
            listen=SimpleNamespace(peers=Address(entry.host, entry.peer_port))
        ),
    )
    vars(node).update(parts)
    return node


@contextlib.asynccontextmanager
async def running_pair(monkeypatch, network=None, **parts):
    """Yield the links of a node, and the entry of a listening peer behind a relay."""

    async def answer(message, node, peer):
        if isinstance(message, RetryRequest):
            await asyncio.sleep(60)
        return ConfigurationReply(b'')

    monkeypatch.setattr(peer_listener, 'answer_peer', answer)
    peer = make_entry('peer', host=PEER_HOST, peer_port=free_port(PEER_HOST))
    relay = Relay(network or Network(), PEER_HOST, PEER_HOST, 0, peer.peer_port)
    listener = PeerListener(make_node(peer, **parts))
    links = FleetLinkTable()
    links.attach_node(make_node(make_entry('local')))
    await listener.start()
    await relay.start()
    try:
        yield links, make_entry('peer', host=PEER_HOST, peer_port=relay.port)
    finally:
        links.close()
        await relay.stop()
        await listener.stop()


def request(links, peer, message=ConfigurationRequest(0), timeout_seconds=1.0):
    return links.request(peer, message, timeout_seconds=timeout_seconds)


@pytest.mark.parametrize('blocked', ['answers', 'requests'])
async def test_requests_at_a_silent_peer_end_soon(monkeypatch, blocked):
    """Guards against requests that wait until their deadline for a peer that is cut off one way."""
    network = Network()
    async with running_pair(monkeypatch, network) as (links, peer):
        assert await request(links, peer) == ConfigurationReply(b'')
        ends = (PEER_HOST, '127.0.0.1')
        network.cut(*(ends if blocked == 'answers' else reversed(ends)))
        started_at = time.monotonic()
        assert await request(links, peer, timeout_seconds=20) == PEER_LINK_LOST
        assert time.monotonic() - started_at < 3
        network.heal()
        async with asyncio.timeout(10):
            while await request(links, peer) != ConfigurationReply(b''):
                await asyncio.sleep(0.1)


async def test_a_long_poll_at_a_responding_peer_is_not_cut(monkeypatch):
    """Guards against links that are taken for silent while their peer has nothing to send."""
    async with running_pair(monkeypatch) as (links, peer):
        started_at = time.monotonic()
        await request(links, peer, RetryRequest('bookings'), timeout_seconds=2.5)
        assert time.monotonic() - started_at > 2.4
        assert await request(links, peer) == ConfigurationReply(b'')


@pytest.mark.parametrize('blocked', ['answers', 'requests'])
async def test_a_followed_peer_that_falls_silent_is_noticed_within_its_times(monkeypatch, blocked):
    """Guards against nodes that follow a silent reader until a link of requests notices it.

    The connection stays, since orders on it have longer limits.
    """
    network = Network()
    async with running_pair(monkeypatch, network) as (links, peer):
        assert await request(links, peer) == ConfigurationReply(b'')
        watching = asyncio.create_task(
            links.wait_until_silent(peer, interval_seconds=0.4, timeout_seconds=0.2)
        )
        await asyncio.sleep(1.5)
        assert not watching.done()
        ends = (PEER_HOST, '127.0.0.1')
        network.cut(*(ends if blocked == 'answers' else reversed(ends)))
        async with asyncio.timeout(0.4 + 0.2 + 0.2):
            await watching
        network.heal()
        assert await request(links, peer) == ConfigurationReply(b'')


async def test_a_peer_that_sends_is_not_pinged(monkeypatch):
    """Guards against the cost of a ping for each interval in which the peer answered anyway."""
    pings = []
    is_responding = FrameChannel.is_responding
    monkeypatch.setattr(
        FrameChannel,
        'is_responding',
        lambda *arguments: pings.append(1) or is_responding(*arguments),
    )
    async with running_pair(monkeypatch) as (links, peer):
        assert await request(links, peer) == ConfigurationReply(b'')
        watching = asyncio.create_task(
            links.wait_until_silent(peer, interval_seconds=0.4, timeout_seconds=0.2)
        )
        for _ in range(15):
            await request(links, peer)
            await asyncio.sleep(0.1)
        assert not pings
        await asyncio.sleep(1.0)
        assert 1 <= len(pings) <= 3
        watching.cancel()


async def test_an_unused_link_costs_no_wake_ups(monkeypatch):
    """Guards against a timer for each peer, whose cost grows with the size of the fleet."""
    async with running_pair(monkeypatch) as (links, peer):
        assert await request(links, peer) == ConfigurationReply(b'')
        await asyncio.sleep(0.5)
        loop = asyncio.get_running_loop()
        timers = []
        call_at = loop.call_at
        monkeypatch.setattr(
            loop,
            'call_at',
            lambda *arguments, **named: timers.append(1) or call_at(*arguments, **named),
        )
        await asyncio.sleep(1.5)
        # The sleep of this test, and the polls of the relay, which sets no timer while it waits.
        assert len(timers) <= 2


async def test_a_lost_link_that_nobody_uses_is_not_opened_again(monkeypatch):
    """Guards against connection attempts to a node that is gone, by every node, for a minute."""
    monkeypatch.setattr(links_module, '_RECONNECT_TIMEOUT_SECONDS', 0.3)
    opened = []
    open_websocket = links_module._open_websocket
    monkeypatch.setattr(
        links_module,
        '_open_websocket',
        lambda *arguments: opened.append(1) or open_websocket(*arguments),
    )
    links = FleetLinkTable()
    links.attach_node(make_node(make_entry('local')))
    peer = make_entry('peer', host=PEER_HOST, peer_port=free_port(PEER_HOST))
    assert await request(links, peer) == PEER_UNREACHABLE
    await asyncio.sleep(1)
    attempts = len(opened)
    await asyncio.sleep(2)
    assert len(opened) == attempts
    assert await request(links, peer) == PEER_UNREACHABLE
    assert len(opened) > attempts
    links.close()


async def test_a_request_does_not_wait_long_for_a_connection(monkeypatch):
    """Guards against requests that spend their target on a node that was lost without a reset.

    Each of the nodes that send requests finds out by itself, so one lost node costs many requests.
    """
    network = Network()
    async with running_pair(monkeypatch, network) as (links, peer):
        network.cut(PEER_HOST, '127.0.0.1')
        started_at = time.monotonic()
        assert await request(links, peer, timeout_seconds=5) == PEER_UNREACHABLE
        assert time.monotonic() - started_at < 0.3
        network.heal()
        async with asyncio.timeout(5):
            while await request(links, peer) != ConfigurationReply(b''):
                await asyncio.sleep(0.05)


async def test_a_large_order_without_memory_is_refused(monkeypatch):
    """Guards against an order in parts that a full node drops without an answer.

    The refusal is remembered, so that a later copy of the order does not run.
    """
    refused = []

    def refuse_unread(key, process, version):
        refused.append((key, process))
        return WorkAnswer(None, NotRun(Reason.QUEUE_FULL, ''), None, False, 0, 0, version)

    memory = MemoryBudget(MemoryLimits(capacity_bytes=500_000), BootClock())
    gate = SimpleNamespace(refuse_unread=refuse_unread)
    async with running_pair(monkeypatch, memory=memory, gate=gate) as (links, entry):
        order = dataclasses.replace(make_order(), body=bytes(1_000_000))
        answer = await links.request(entry, order, timeout_seconds=2)
        assert answer.refused.reason is Reason.QUEUE_FULL
        assert refused == [((order.request, order.attempt), order.process)]
        small = await links.request(entry, ConfigurationRequest(0), timeout_seconds=2)
        assert isinstance(small, ConfigurationReply)
        assert memory.held_bytes == 0
