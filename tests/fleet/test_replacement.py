"""Replacement of killed and paused nodes under load."""

import asyncio
import random
import signal
import time

import pytest

from tests.fleet_processes import Fleet, FleetNode, example_change

REPLACEMENTS = 20
# Covers the start of a process, one poll for the join, the next announcement of the server, two
# rounds of gossip and the time until the load reaches the server.
RECOVERY_SECONDS = 15.0
REJECTION_STATUSES = {429, 502, 503, 504}


class LoadGenerator:
    """Sends idempotent requests to all nodes that are expected to be running."""

    def __init__(self, fleet: Fleet, key: str) -> None:
        self.fleet = fleet
        self.headers = {'Authorization': f'Bearer {key}'}
        self.stopped_instances: set[str] = set()
        self.statuses: dict[int, int] = {}
        self.unexpected_answers: list[tuple[str, int, str]] = []

    async def run(self) -> None:
        while True:
            running = [
                node for node in self.fleet.nodes if node.instance not in self.stopped_instances
            ]
            async with asyncio.TaskGroup() as requests:
                for node in running:
                    requests.create_task(self.send(node))
            await asyncio.sleep(0.05)

    async def send(self, node: FleetNode) -> None:
        answer = await self.fleet.fetch(f'{node.url}/catalogue/x', headers=self.headers)
        if node.instance in self.stopped_instances:
            return
        self.statuses[answer.code] = self.statuses.get(answer.code, 0) + 1
        is_rejection = answer.code in REJECTION_STATUSES and b'reason' in (answer.body or b'')
        if answer.code != 200 and not is_rejection:
            self.unexpected_answers.append(
                (node.instance, answer.code, str(answer.error or answer.body))
            )


async def replace(fleet: Fleet, load: LoadGenerator, node: FleetNode) -> float:
    """Kill a node and start its replacement; return the seconds until its server gets requests."""
    load.stopped_instances.add(node.instance)
    node.signal(signal.SIGKILL)
    node.node_process.wait()
    killed_at = time.monotonic()
    node.start_node()
    # The node accepts callers once it is ready, or after a few seconds.
    while (await fleet.fetch(f'{node.url}/catalogue/x')).code == 599:
        await asyncio.sleep(0.05)
    load.stopped_instances.discard(node.instance)
    runs_before = len(await fleet.runs(node))
    while len(await fleet.runs(node)) == runs_before:
        assert time.monotonic() - killed_at < RECOVERY_SECONDS, await peer_dumps(fleet, node)
        await asyncio.sleep(0.05)
    return time.monotonic() - killed_at


async def peer_dumps(fleet: Fleet, node: FleetNode) -> list:
    others = [other for other in fleet.nodes if other is not node]
    dumps = [await fleet.dump(other) for other in others]
    return [dump and dump['peers'].get(node.instance) for dump in dumps]


@pytest.mark.fault_cell('membership: join', 'kill')
@pytest.mark.fault_cell('membership: join', 'log away')
@pytest.mark.fault_cell('membership: liveness', 'kill')
async def test_replaced_nodes_get_work_again_and_callers_get_honest_answers():
    """Guards against an instance id that cannot be reused after a crash, and unanswered callers.

    Nodes are killed and replaced under load, every fourth time while the log is unavailable. The
    server of the replacement has to get requests again, and running nodes have to answer or reject
    each request.
    """
    rng = random.Random(20)
    services = ['catalogue', 'catalogue', 'catalogue', 'bookings', 'bookings']
    async with Fleet(services) as fleet:
        await fleet.publish(example_change())
        issued = await fleet.issue_key('cafe-chain')
        load = LoadGenerator(fleet, issued['key'])
        sending = asyncio.create_task(load.run())
        seconds = []
        for number in range(REPLACEMENTS):
            is_log_unavailable = number % 4 == 3
            await fleet.set_log_faults(away=is_log_unavailable)
            await asyncio.sleep(rng.uniform(0, 0.3))
            seconds.append(await replace(fleet, load, fleet.nodes[rng.randrange(3)]))
        await fleet.set_log_faults(away=False)
        sending.cancel()
        print('seconds until requests:', [round(s, 1) for s in seconds], 'statuses:', load.statuses)
        assert not load.unexpected_answers, load.unexpected_answers[:5]
        assert load.statuses[200] > REPLACEMENTS
        await fleet.wait_until_converged()


@pytest.mark.fault_cell('membership: join', 'pause')
@pytest.mark.fault_cell('membership: liveness', 'pause')
async def test_old_process_in_a_taken_slot_stops():
    """Guards against a paused node that resumes beside its replacement and serves callers.

    Both processes then have the same instance id; the older one has to stop.
    """
    async with Fleet(['catalogue'] * 3) as fleet:
        old = fleet.nodes[0]
        process = old.node_process
        process.send_signal(signal.SIGSTOP)
        # The replacement has other ports, as on another machine, and the same instance id.
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
