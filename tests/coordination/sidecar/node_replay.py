"""Whole nodes in virtual time, with a store in memory, for the replays of faults."""

import asyncio

from tests.coordination.sidecar.samples import make_configuration, make_entry
from tests.virtual_time import LoopClock
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
EVACUATION = 'evacuate/'
STORE_SECONDS = 0.02
MESSAGE_SECONDS = 0.03


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
    """A server and the processes that run beside it, one after the other.

    Parameters
    ----------
    fleet
        Has the store, and the machines by name.
    """

    bounds = BOUNDS

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
            self.bounds,
        )
        store = self.store
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
            *(node.spread, node.source_follower, node.recovery, node.inquiry),
        )
        self.tasks = [asyncio.create_task(part.run()) for part in parts]

    @property
    def store(self):
        """The store, as this machine reaches it."""
        return self.fleet.store

    def kill(self):
        for task in self.tasks:
            task.cancel()
        self.node = None
        for machine in self.fleet.machines:
            if machine.node is not None:
                machine.node.directory.record_disconnection(self.name)

    async def wait_until_silent(self, peer, *, interval_seconds, timeout_seconds):
        while self.fleet.machines_by_name[peer.instance].node is not None:
            await asyncio.sleep(interval_seconds)

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
