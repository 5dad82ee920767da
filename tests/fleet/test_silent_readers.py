"""Sidecar nodes as separate processes, whose readers of the store fall silent in a quiet hour."""

import asyncio
import contextlib
import signal
import time

import pytest

from tests.sidecar_fleet import make_configuration, running_fleet

NODES = 9
# Time within which a published configuration must be in force at all nodes.
CONFIGURATION_SECONDS = 2.0
SETTLE_SECONDS = 3.0


def find_readers(fleet):
    """Return the nodes that never stopped reading the store, or read it again."""
    readers = []
    for node in fleet.nodes:
        changes = node.events('directory_source_changed')
        if not changes or changes[-1]['own_reads']:
            readers.append(node)
    return readers


@contextlib.contextmanager
def frozen(nodes):
    for node in nodes:
        node.process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for node in nodes:
            node.process.send_signal(signal.SIGCONT)


async def check_version(fleet, nodes, version):
    """Publish a version; check that nodes that get no request apply it in time."""
    fleet.store.configure(make_configuration(version))
    acknowledged_at = time.time()
    await asyncio.sleep(CONFIGURATION_SECONDS)
    for node in nodes:
        times = [
            event['at']
            for event in node.events('configuration_applied')
            if event['version'] == version
        ]
        assert times and times[0] - acknowledged_at <= CONFIGURATION_SECONDS, node.name


@pytest.mark.parametrize('rounds', [3])
async def test_a_version_is_in_force_in_time_although_both_readers_freeze(rounds):
    """Guards against nodes that hold an old key until the long poll of a substitute returns."""
    async with running_fleet(NODES) as fleet:
        for version in range(2, rounds + 2):
            await asyncio.sleep(SETTLE_SECONDS)
            readers = find_readers(fleet)
            assert len(readers) == 2
            with frozen(readers):
                await asyncio.sleep(0.1)
                others = [node for node in fleet.nodes if node not in readers]
                await check_version(fleet, others, version)


async def test_a_version_is_in_force_in_time_although_both_readers_are_killed():
    """Guards against nodes that follow lost readers, and against two changes behind them."""
    async with running_fleet(NODES) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        readers = find_readers(fleet)
        assert len(readers) == 2
        others = [node for node in fleet.nodes if node not in readers]
        for reader in readers:
            await reader.stop(signal.SIGKILL)
        await asyncio.sleep(0.3)
        await check_version(fleet, others, 2)
        await check_version(fleet, others, 3)


async def test_one_slow_reader_does_not_make_the_others_read_the_store_in_turn():
    """Guards against calls to the store by all nodes whenever a reader is slow for a second."""
    async with running_fleet(NODES) as fleet:
        await asyncio.sleep(SETTLE_SECONDS)
        readers = find_readers(fleet)
        began_at = time.time()
        with frozen(readers[:1]):
            await asyncio.sleep(1.0)
        await asyncio.sleep(SETTLE_SECONDS)
        assert find_readers(fleet) == readers
        substitutes = [
            node
            for node in fleet.nodes
            for event in node.events('directory_source_changed')
            if event['own_reads'] and event['at'] > began_at
        ]
        assert len(substitutes) <= 2
