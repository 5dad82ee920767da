"""Replays a store that comes back older again and again, with whole nodes in virtual time."""

import asyncio
import dataclasses
import random

from loguru import logger

from tests.coordination.sidecar.node_replay import EVACUATION, Machine, Store
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.state.sidecar import ServerPhase, StoreTopic

NODES = 8
ROUNDS = 6
CHECK_SECONDS = 0.01
# Time after which everything has to be known everywhere again.
SETTLED_SECONDS = 4.0


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
