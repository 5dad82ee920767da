"""Replays a store that comes back older again and again, with whole nodes in virtual time."""

import asyncio
import dataclasses
import random

from loguru import logger

from tests.coordination.sidecar.samples import make_configuration, make_entry
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar import SidecarPorts, answer_peer, build_sidecar_node
from turmericwharf.state import PEER_UNREACHABLE
from turmericwharf.state.sidecar import (
    HISTORY_GONE,
    Address,
    AnnouncedServer,
    Greeting,
    KeyedPage,
    KeyedRecord,
    ServerHealth,
    ServerPhase,
    SidecarBounds,
    SidecarListen,
    SidecarSettings,
    StoreSettings,
    StoreTopic,
    WriteResult,
)

ADDRESS = Address('127.0.0.1', 1)
BOUNDS = SidecarBounds(0.2, 10, 10, 10, 5, 0.1, 10)
NODES = 8
EVACUATION = 'evacuate/'
ROUNDS = 6
STORE_SECONDS = 0.02
MESSAGE_SECONDS = 0.03
CHECK_SECONDS = 0.01
# Time after which everything has to be known everywhere again.
SETTLED_SECONDS = 4.0


class Store:
    """Two topics in memory; a restore loses the records of the last seconds."""

    def __init__(self) -> None:
        self.era = 0
        self.records_by_topic = {topic: [] for topic in StoreTopic}

    def append(self, topic, key, content):
        self.records_by_topic[topic].append((LoopClock().now(), key, content))

    def restore(self, seconds):
        since = LoopClock().now() - seconds
        for topic, records in self.records_by_topic.items():
            self.records_by_topic[topic] = [record for record in records if record[0] < since]
        self.era += 1

    def page(self, topic, offset):
        records = list(enumerate(self.records_by_topic[topic]))
        newest = {key: KeyedRecord(content, at) for at, (_, key, content) in records[offset:]}
        evacuations = {
            key.removeprefix(EVACUATION): newest.pop(key)
            for key in list(newest)
            if key.startswith(EVACUATION)
        }
        return KeyedPage(newest, len(records), self.era, evacuations, is_complete=offset == 0)

    async def read_newest(self, topic):
        await asyncio.sleep(STORE_SECONDS)
        return self.page(topic, 0)

    async def read_changes(self, topic, *, offset, wait_seconds):
        era, ends_at = self.era, LoopClock().now() + wait_seconds
        while len(self.records_by_topic[topic]) == offset and LoopClock().now() < ends_at:
            await asyncio.sleep(STORE_SECONDS)
            if self.era != era:
                break
        is_gone = len(self.records_by_topic[topic]) < offset
        return HISTORY_GONE if is_gone else self.page(topic, offset)

    async def publish(self, entry):
        await asyncio.sleep(STORE_SECONDS)
        self.append(StoreTopic.NODES, entry.instance, entry)
        return WriteResult(self.era)


class Machine:
    """A server and the processes that run beside it, one after the other."""

    def __init__(self, fleet, number) -> None:
        self.fleet = fleet
        self.name = f'n{number}'
        self.data_centre = ('east', 'west')[number % 2]
        self.server = AnnouncedServer(f's{number}', 'bookings', 3, ServerPhase.READY, born=1)
        self.has_left = False
        self.starts = 0
        self.start()

    def start(self):
        self.starts += 1
        local = make_entry(
            self.name,
            process=f'{self.name}-{self.starts}',
            data_centre=self.data_centre,
            server='',
            slots=0,
            phase=ServerPhase.ABSENT,
        )
        settings = SidecarSettings(
            self.name,
            self.data_centre,
            'bookings',
            ADDRESS,
            SidecarListen(*[ADDRESS] * 5),
            StoreSettings(ADDRESS),
            BOUNDS,
        )
        store = self.fleet.store
        ports = SidecarPorts(
            LoopClock(),
            store,
            store,
            self,
            self,
            lambda encoded: make_configuration(
                version=int(encoded), health_paths_by_service={'bookings': '/healthz'}
            ),
            lambda entry: entry,
        )
        self.node = node = build_sidecar_node(settings, local, ports)
        parts = (
            *(node.configuration_follower, node.membership_follower, node.publisher),
            *(node.spread, node.relay, node.recovery, node.inquiry),
        )
        self.tasks = [asyncio.create_task(part.run()) for part in parts]

    def kill(self):
        for task in self.tasks:
            task.cancel()
        self.node = None
        for machine in self.fleet.machines:
            if machine.node is not None:
                machine.node.directory.record_disconnection(self.name)

    async def identify(self, path, *, timeout_seconds):
        return None if self.has_left else ServerHealth(self.server.server, None)

    async def request(self, peer, message, *, timeout_seconds):
        await asyncio.sleep(MESSAGE_SECONDS)
        own, other = self.node, self.fleet.machines_by_name[peer.instance].node
        if own is None or other is None:
            return PEER_UNREACHABLE
        greeting = await answer_peer(
            Greeting(own.directory.local, own.holder.version), other, own.directory.local
        )
        other.directory.record_connection(own.directory.local)
        own.directory.record_connection(greeting.node)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await answer_peer(message, other, own.directory.local)
        except TimeoutError:
            return PEER_UNREACHABLE


class Fleet:
    def __init__(self, seed) -> None:
        self.random = random.Random(seed)
        self.store = Store()
        self.version = 0
        self.evacuated = set()
        self.machines_by_name = {}
        self.configure()
        for number in range(NODES):
            self.machines_by_name[f'n{number}'] = Machine(self, number)

    @property
    def machines(self):
        return list(self.machines_by_name.values())

    def configure(self):
        self.version += 1
        self.evacuated.add(f'former-{self.version}')
        self.write_configuration()

    def write_configuration(self):
        for data_centre in self.evacuated:
            self.store.append(StoreTopic.CONFIGURATION, f'{EVACUATION}{data_centre}', b'{}')
        self.store.append(StoreTopic.CONFIGURATION, 'config', str(self.version).encode())

    async def announce(self):
        for machine in self.machines:
            if not machine.has_left:
                await machine.node.announcements.apply_announcement(machine.server)

    async def play_round(self):
        """Lose what operators wrote and a leave, whose owner and one other node are killed."""
        left, other = self.random.sample([m for m in self.machines if not m.has_left], 2)
        written_at = LoopClock().now()
        self.configure()
        left.has_left = True
        leave = dataclasses.replace(left.server, phase=ServerPhase.LEAVING)
        assert await left.node.announcements.apply_leave_notice(leave)
        await asyncio.sleep(self.random.uniform(0.8, 2))
        for machine in (left, other):
            machine.kill()
        # Either only the latest records are lost, or all entries of the killed nodes, too.
        before_seconds = self.random.choice((self.random.uniform(0.01, 2), 60))
        self.store.restore(LoopClock().now() - written_at + before_seconds)
        if self.random.random() < 0.5:
            await asyncio.sleep(self.random.uniform(0, 0.5))
            self.store.restore(self.random.uniform(0, 0.5))
        for machine in (left, other):
            machine.start()
        # Sent before the server left.
        await left.node.announcements.apply_announcement(left.server)
        for _ in range(int(SETTLED_SECONDS / CHECK_SECONDS)):
            await asyncio.sleep(CHECK_SECONDS)
            for machine in self.machines:
                assert machine.node.holder.version in {-1, self.version}
                assert not machine.node.is_ready or self.knows_evacuations(machine.node)
                assert not (machine.has_left and machine.node.record.current.phase.value == 'ready')

    def knows_evacuations(self, node):
        return all(node.evacuations.covers(data_centre) for data_centre in self.evacuated)

    def check(self):
        newest = self.store.page(StoreTopic.NODES, 0).records_by_key
        for machine in self.machines:
            node = machine.node
            assert node.is_ready and node.holder.version == self.version
            assert self.knows_evacuations(node)
            assert node.store_era.current == self.store.era
            assert newest[machine.name].encoded.era == self.store.era
            serving = {entry.instance for entry in node.directory.nodes_serving('bookings')}
            assert serving == {other.name for other in self.machines if not other.has_left}


def test_nothing_is_forgotten_while_the_store_comes_back_older_again_and_again():
    """Guards against a leave, an entry, a version or an evacuation that is lost with the store's
    records.

    The operators write what was lost again only when the nodes have been checked.
    """

    async def main(seed):
        fleet = Fleet(seed)
        await asyncio.sleep(3)
        await fleet.announce()
        await asyncio.sleep(3)
        for _ in range(ROUNDS):
            await fleet.play_round()
            fleet.check()
            fleet.write_configuration()
        for machine in fleet.machines:
            machine.kill()

    logger.disable('turmericwharf')
    try:
        for seed in range(6):
            run_in_virtual_time(main(seed))
    finally:
        logger.enable('turmericwharf')
