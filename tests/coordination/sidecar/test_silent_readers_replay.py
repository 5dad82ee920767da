"""Replays readers of the store that fall silent, with whole nodes in virtual time."""

import asyncio
import dataclasses
import random

import pytest
from loguru import logger

from tests.coordination.sidecar.node_replay import EVACUATION, Machine, Store
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.state import PEER_LINK_LOST, PEER_TIMEOUT, PEER_UNREACHABLE
from turmericwharf.state.sidecar import ServerPhase, StoreTopic

NODES = 20
SEEDS = range(6)
# Time within which all running nodes know what was written, as the bounds of the replay say.
BOUND_SECONDS = 2.0
# Time after which a link with a pending request notices that its peer is silent.
MIN_NOTICE_SECONDS = 0.5
MAX_NOTICE_SECONDS = 1.1
# Time for which a request waits for a link that is connecting.
CONNECT_SECONDS = 0.15
STEP_SECONDS = 0.02
SETTLED_SECONDS = 6.0


class SilentMachine(Machine):
    """Machine that may stand still: it neither answers nor gets answers, but closes nothing."""

    def __init__(self, fleet, number) -> None:
        self.silent_since = None
        self.lost_links = set()
        super().__init__(fleet, number)

    @property
    def store(self):
        return self

    async def read_newest(self, topic):
        return await self._call(self.fleet.store.read_newest(topic))

    async def read_changes(self, topic, **options):
        return await self._call(self.fleet.store.read_changes(topic, **options))

    async def publish(self, entry):
        return await self._call(self.fleet.store.publish(entry))

    async def wait_until_silent(self, peer, *, interval_seconds, timeout_seconds):
        other = self.fleet.machines_by_name[peer.instance]
        has_answered = other.node is not None
        while has_answered:
            await asyncio.sleep(interval_seconds)
            ends_at = LoopClock().now() + timeout_seconds
            while self._silence_between(other) is not None and LoopClock().now() < ends_at:
                await asyncio.sleep(STEP_SECONDS)
            has_answered = self._silence_between(other) is None and other.node is not None

    async def request(self, peer, message, *, timeout_seconds):
        other = self.fleet.machines_by_name[peer.instance]
        began_at = LoopClock().now()
        exchange = asyncio.create_task(
            super().request(peer, message, timeout_seconds=timeout_seconds)
        )
        notice_seconds = self.fleet.random.uniform(MIN_NOTICE_SECONDS, MAX_NOTICE_SECONDS)
        try:
            while LoopClock().now() - began_at < timeout_seconds:
                silent_since = self._silence_between(other)
                if silent_since is None:
                    if exchange.done():
                        return exchange.result()
                elif other.name in self.lost_links:
                    await asyncio.sleep(CONNECT_SECONDS)
                    return PEER_UNREACHABLE
                elif LoopClock().now() - max(silent_since, began_at) > notice_seconds:
                    self.lost_links.add(other.name)
                    return PEER_LINK_LOST
                await asyncio.sleep(STEP_SECONDS)
        finally:
            exchange.cancel()
        return PEER_TIMEOUT

    def fall_silent(self):
        self.silent_since = LoopClock().now()

    def wake(self):
        self.silent_since = None
        self.lost_links.clear()
        for machine in self.fleet.machines:
            machine.lost_links.discard(self.name)

    def _silence_between(self, other):
        times = [one.silent_since for one in (self, other) if one.silent_since is not None]
        return max(times, default=None)

    async def _call(self, call):
        result = await call
        while self.silent_since is not None:
            await asyncio.sleep(STEP_SECONDS)
        return result


class Fleet:
    """Two data centres; operators and servers write while some machines stand still."""

    def __init__(self, seed) -> None:
        self.random = random.Random(seed)
        self.store = Store()
        self.version = 0
        self.machines_by_name = {}
        self.configure()
        for number in range(NODES):
            self.machines_by_name[f'n{number}'] = SilentMachine(self, number)

    @property
    def machines(self):
        return list(self.machines_by_name.values())

    @property
    def running(self):
        return [one for one in self.machines if one.node is not None and one.silent_since is None]

    def readers(self, data_centre='east'):
        """Return the running machines of a data centre that read the store."""
        return [
            machine
            for machine in self.running
            if machine.data_centre == data_centre and machine.node.configuration_follower.is_enabled
        ]

    def configure(self):
        self.version += 1
        self.store.append(StoreTopic.CONFIGURATION, f'{EVACUATION}former-{self.version}', b'{}')
        self.store.append(StoreTopic.CONFIGURATION, 'config', str(self.version).encode())

    async def start(self):
        await asyncio.sleep(2)
        for machine in self.machines:
            await machine.node.announcements.apply_announcement(machine.server)
        await asyncio.sleep(SETTLED_SECONDS + self.random.uniform(0, 3))
        assert len(self.readers('east')) == len(self.readers('west')) == 2

    async def check_changes(self):
        """Write a version, an evacuation and a leave; check that all running nodes know them."""
        await asyncio.sleep(self.random.uniform(0.01, 0.2))
        self.configure()
        left = self.random.choice(
            [machine for machine in self.running if not (machine.has_left or self.reads(machine))]
        )
        left.has_left = True
        leave = dataclasses.replace(left.server, phase=ServerPhase.LEAVING)
        assert await left.node.announcements.apply_leave_notice(leave)
        await asyncio.sleep(BOUND_SECONDS)
        for machine in self.running:
            node = machine.node
            assert node.holder.version == self.version, machine.name
            assert node.evacuations.covers(f'former-{self.version}'), machine.name
            known = node.directory.local if machine is left else node.directory.find(left.name)
            assert known.phase is ServerPhase.LEAVING, machine.name
            assert node.store_era.current == self.store.era, machine.name

    def reads(self, machine):
        return machine.node.configuration_follower.is_enabled

    def stop(self):
        for machine in self.machines:
            if machine.node is not None:
                machine.kill()


def run_scenario(scenario, seed):
    async def main():
        fleet = Fleet(seed)
        try:
            await fleet.start()
            await scenario(fleet)
        finally:
            fleet.stop()

    logger.disable('turmericwharf')
    try:
        run_in_virtual_time(main())
    finally:
        logger.enable('turmericwharf')


@pytest.mark.parametrize('seed', SEEDS)
def test_changes_arrive_in_time_although_both_readers_fall_silent(seed):
    """Guards against nodes that wait for silent readers while others could read the store."""

    async def scenario(fleet):
        for reader in fleet.readers():
            reader.fall_silent()
        await fleet.check_changes()

    run_scenario(scenario, seed)


@pytest.mark.parametrize('seed', SEEDS)
def test_changes_arrive_in_time_although_both_readers_are_lost_for_good(seed):
    """Guards against a substitute that is asked for entries, but not for the configuration."""

    async def scenario(fleet):
        for reader in fleet.readers():
            reader.kill()
        await fleet.check_changes()
        await fleet.check_changes()

    run_scenario(scenario, seed)


@pytest.mark.parametrize('seed', SEEDS)
def test_changes_arrive_in_time_although_the_second_reader_falls_silent_after_the_first(seed):
    """Guards against a second search that begins only once the first one is over."""

    async def scenario(fleet):
        first, second = fleet.readers()
        first.fall_silent()
        await asyncio.sleep(fleet.random.uniform(0.1, 3))
        second.fall_silent()
        await fleet.check_changes()

    run_scenario(scenario, seed)


@pytest.mark.parametrize('seed', SEEDS)
def test_changes_arrive_in_time_although_the_next_in_rank_are_silent_too(seed):
    """Guards against nodes that ask one silent node after the other."""

    async def scenario(fleet):
        readers = fleet.readers()
        for reader in readers:
            reader.fall_silent()
        await asyncio.sleep(SETTLED_SECONDS)
        substitutes = fleet.readers()
        assert 1 <= len(substitutes) <= 2
        for machine in readers:
            machine.wake()
        await asyncio.sleep(SETTLED_SECONDS)
        for machine in (*readers, *substitutes):
            machine.fall_silent()
        await fleet.check_changes()

    run_scenario(scenario, seed)


@pytest.mark.parametrize('seed', SEEDS)
def test_changes_arrive_in_time_although_a_reader_wakes_and_falls_silent_again(seed):
    """Guards against a node that goes back to a reader and then notices its silence late."""

    async def scenario(fleet):
        readers = fleet.readers()
        for _ in range(3):
            for reader in readers:
                reader.fall_silent()
            await fleet.check_changes()
            await asyncio.sleep(fleet.random.uniform(0, 2))
            for reader in readers:
                reader.wake()
            await asyncio.sleep(fleet.random.uniform(0.1, 4))

    run_scenario(scenario, seed)


@pytest.mark.parametrize('seed', SEEDS)
def test_changes_arrive_in_time_at_a_node_that_has_just_started(seed):
    """Guards against a started node that follows a silent reader and reads nothing itself."""

    async def scenario(fleet):
        readers = fleet.readers()
        started = next(one for one in fleet.machines if one not in readers)
        started.kill()
        started.start()
        await started.node.announcements.apply_announcement(started.server)
        await asyncio.sleep(fleet.random.uniform(0.2, 1.5))
        for reader in readers:
            reader.fall_silent()
        await fleet.check_changes()

    run_scenario(scenario, seed)


@pytest.mark.parametrize('seed', SEEDS)
def test_an_era_is_known_in_time_although_both_readers_are_silent(seed):
    """Guards against nodes that act on an earlier era of the store until the readers wake."""

    async def scenario(fleet):
        fleet.store.restore(0)
        await asyncio.sleep(SETTLED_SECONDS)
        for reader in fleet.readers():
            reader.fall_silent()
        fleet.store.restore(0.1)
        await fleet.check_changes()

    run_scenario(scenario, seed)


@pytest.mark.parametrize('seed', SEEDS)
def test_other_data_centres_read_the_store_as_before_while_readers_are_silent(seed):
    """Guards against silence in one data centre that costs calls to the store in another one."""

    async def scenario(fleet):
        before = fleet.readers('west')
        for reader in fleet.readers('east'):
            reader.fall_silent()
        await fleet.check_changes()
        assert fleet.readers('west') == before
        await asyncio.sleep(SETTLED_SECONDS)
        assert len(fleet.readers('east')) <= 2

    run_scenario(scenario, seed)
