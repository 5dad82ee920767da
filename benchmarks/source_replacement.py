"""Time from the acknowledgement of a version until all nodes apply it, while readers are silent.

Real processes on loopback, without any request. `calm` disturbs no node, and measures the cost of
a quiet second besides. The machine must run nothing else for the figures of the cost.

    python -m benchmarks.source_replacement [calm|frozen|killed] [NODES] [ROUNDS]
"""

import asyncio
import signal
import statistics
import sys
import time
from pathlib import Path

from benchmarks.latency import processor_seconds
from tests.sidecar_fleet import SidecarFleet, SidecarNode, make_configuration, running_fleet

BOUND_SECONDS = 2.0
_SETTLE_SECONDS = 6.0
_SILENCE_SECONDS = 4.0
_CHANGE_AFTER_SECONDS = 0.1
_COST_SECONDS = 20.0
_NETWORK_COUNTERS = Path('/proc/net/dev')


async def measure_round(fleet: SidecarFleet, version: int, kind: str) -> list[float]:
    """Return the seconds from the acknowledgement until each undisturbed node applied a version."""
    disturbed = [] if kind == 'calm' else find_readers(fleet)
    running = [node for node in running_nodes(fleet) if node not in disturbed]
    for node in disturbed:
        node.process.send_signal(signal.SIGSTOP if kind == 'frozen' else signal.SIGKILL)
    await asyncio.sleep(_CHANGE_AFTER_SECONDS)
    fleet.store.configure(make_configuration(version))
    acknowledged_at = time.time()
    await asyncio.sleep(_SILENCE_SECONDS)
    if kind == 'frozen':
        for node in disturbed:
            node.process.send_signal(signal.SIGCONT)
    return [applied_at(node, version) - acknowledged_at for node in running]


def running_nodes(fleet: SidecarFleet) -> list[SidecarNode]:
    """Return the nodes whose process has not been killed."""
    return [node for node in fleet.nodes if node.process.returncode is None]


def find_readers(fleet: SidecarFleet) -> list[SidecarNode]:
    """Return the nodes that read the store themselves, by the logs of their last change."""
    readers = []
    for node in running_nodes(fleet):
        changes = node.events('directory_source_changed')
        if not changes or changes[-1]['own_reads']:
            readers.append(node)
    return readers


def applied_at(node: SidecarNode, version: int) -> float:
    """Return the time at which a node applied a version, or infinity."""
    times = [
        event['at'] for event in node.events('configuration_applied') if event['version'] == version
    ]
    return times[0] if times else float('inf')


async def measure_cost(fleet: SidecarFleet) -> dict[str, float]:
    """Return calls to the store, loopback bytes and processor time of the nodes a second."""
    pids = [node.process.pid for node in running_nodes(fleet)]
    before = fleet.store.calls, loopback_bytes(), sum(map(processor_seconds, pids))
    await asyncio.sleep(_COST_SECONDS)
    after = fleet.store.calls, loopback_bytes(), sum(map(processor_seconds, pids))
    names = ('store_calls', 'loopback_bytes', 'core_share')
    return {
        name: (end - begin) / _COST_SECONDS
        for name, begin, end in zip(names, before, after, strict=True)
    }


def loopback_bytes() -> int:
    """Return the bytes that the loopback interface has carried."""
    lines = _NETWORK_COUNTERS.read_text().splitlines()
    line = next(line for line in lines if line.strip().startswith('lo:'))
    return int(line.split(':')[1].split()[0])


async def main(kind: str, nodes: int, rounds: int) -> None:
    """Measure and print."""
    seconds: list[float] = []
    async with running_fleet(nodes) as fleet:
        await asyncio.sleep(_SETTLE_SECONDS)
        if kind == 'calm':
            print({name: round(value, 4) for name, value in (await measure_cost(fleet)).items()})
        for version in range(2, rounds + 2):
            seconds += await measure_round(fleet, version, kind)
            await asyncio.sleep(_SETTLE_SECONDS)
    late = sum(value > BOUND_SECONDS for value in seconds)
    print(
        f'{kind}, {nodes} nodes, {rounds} changes: median {statistics.median(seconds):.2f} s, '
        f'maximum {max(seconds):.2f} s, {late} of {len(seconds)} over {BOUND_SECONDS} s',
    )


if __name__ == '__main__':
    kind, nodes, rounds = [*sys.argv[1:], *('frozen', '20', '8')[len(sys.argv) - 1 :]]
    asyncio.run(main(kind, int(nodes), int(rounds)))
