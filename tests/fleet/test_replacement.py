"""Killed and replaced nodes in a fleet of real processes under load."""

import asyncio
import random
import signal
import time

import pytest

from tests.fleet_processes import Fleet, FleetNode, example_change

REPLACEMENTS = 20
# Start of a process, one poll for the join, the next announcement of the server, two rounds of
# gossip and the time in which the load reaches the server.
BACK_SECONDS = 15.0
HONEST_REFUSALS = {429, 502, 503, 504}


class Load:
    """Idempotent requests to all nodes that are meant to be up."""

    def __init__(self, fleet: Fleet, key: str) -> None:
        self.fleet = fleet
        self.headers = {'Authorization': f'Bearer {key}'}
        self.down: set[str] = set()
        self.codes: dict[int, int] = {}
        self.broken: list[tuple[str, int, str]] = []

    async def run(self) -> None:
        while True:
            up = [node for node in self.fleet.nodes if node.instance not in self.down]
            async with asyncio.TaskGroup() as requests:
                for node in up:
                    requests.create_task(self.send(node))
            await asyncio.sleep(0.05)

    async def send(self, node: FleetNode) -> None:
        answer = await self.fleet.fetch(f'{node.url}/catalogue/x', headers=self.headers)
        if node.instance in self.down:
            return
        self.codes[answer.code] = self.codes.get(answer.code, 0) + 1
        is_honest = answer.code in HONEST_REFUSALS and b'reason' in (answer.body or b'')
        if answer.code != 200 and not is_honest:
            self.broken.append((node.instance, answer.code, str(answer.error or answer.body)))


async def replace(fleet: Fleet, load: Load, node: FleetNode) -> float:
    """Kill a node, start another in its slot; return when its server had work again."""
    load.down.add(node.instance)
    node.signal(signal.SIGKILL)
    node.node_process.wait()
    killed_at = time.monotonic()
    node.start_node()
    # Callers are let in once the node is ready, or after a few seconds.
    while (await fleet.fetch(f'{node.url}/catalogue/x')).code == 599:
        await asyncio.sleep(0.05)
    load.down.discard(node.instance)
    runs_before = len(await fleet.runs(node))
    while len(await fleet.runs(node)) == runs_before:
        assert time.monotonic() - killed_at < BACK_SECONDS, await beliefs(fleet, node)
        await asyncio.sleep(0.05)
    return time.monotonic() - killed_at


async def beliefs(fleet: Fleet, node: FleetNode) -> list:
    others = [one for one in fleet.nodes if one is not node]
    dumps = [await fleet.dump(one) for one in others]
    return [dump and dump['peers'].get(node.instance) for dump in dumps]


@pytest.mark.fault_cell('membership: join', 'kill')
@pytest.mark.fault_cell('membership: join', 'log away')
@pytest.mark.fault_cell('membership: liveness', 'kill')
async def test_replaced_nodes_get_work_again_and_callers_get_honest_answers():
    """Guards against a slot that is lost after a crash, and against callers left without answer.

    Every fourth replacement happens while the log is away.
    """
    chance = random.Random(20)
    services = ['catalogue', 'catalogue', 'catalogue', 'bookings', 'bookings']
    async with Fleet(services) as fleet:
        await fleet.publish(example_change())
        issued = await fleet.issue_key('cafe-chain')
        load = Load(fleet, issued['key'])
        sending = asyncio.create_task(load.run())
        seconds = []
        for number in range(REPLACEMENTS):
            is_log_away = number % 4 == 3
            await fleet.set_log_faults(away=is_log_away)
            await asyncio.sleep(chance.uniform(0, 0.3))
            seconds.append(await replace(fleet, load, fleet.nodes[chance.randrange(3)]))
        await fleet.set_log_faults(away=False)
        sending.cancel()
        print('seconds until work:', [round(one, 1) for one in seconds], 'codes:', load.codes)
        assert not load.broken, load.broken[:5]
        assert load.codes[200] > REPLACEMENTS
        await fleet.wait_until_converged()


@pytest.mark.fault_cell('membership: join', 'pause')
@pytest.mark.fault_cell('membership: liveness', 'pause')
async def test_old_process_in_a_taken_slot_stops():
    """Guards against a paused node that comes back beside its replacement and takes callers."""
    async with Fleet(['catalogue'] * 3) as fleet:
        old = fleet.nodes[0]
        process = old.node_process
        process.send_signal(signal.SIGSTOP)
        # The replacement has ports of its own, as on another machine; the slot's id is the same.
        new = FleetNode(fleet, 9, 'catalogue', 4)
        new.instance = old.instance
        new.relay_port = new.peer_port
        fleet.nodes.append(new)
        new.start()
        try:
            async with asyncio.timeout(20):
                while (await fleet.dump(new) or {}).get('has_standing') is not True:
                    await asyncio.sleep(0.1)
            process.send_signal(signal.SIGCONT)
            assert await asyncio.to_thread(process.wait, 45) == 0
        finally:
            process.send_signal(signal.SIGCONT)
