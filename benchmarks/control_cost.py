"""Control cost of a node without requests: share of a core, memory, bytes a second.

Real processes on loopback, at several fleet sizes, so that slopes over the number of nodes
can be read off. Bytes are those of the frames and HTTP messages at the relays in front of the
peer ports and of the log; packet headers are not counted.
"""

import asyncio
import dataclasses
import json
import statistics
import sys
import time
from pathlib import Path
from typing import Any

from benchmarks.latency import processor_seconds
from tests.fleet_processes import Fleet, example_change

TARGET_CORE_SHARE = 0.023
TARGET_MEMORY_MEGABYTES = 128
TARGET_BYTES_PER_SECOND = 4000
# All relays of a large fleet run in this one process, which slows its start.
_START_SECONDS = 90.0
_SETTLE_SECONDS = 12.0
_MEASURE_SECONDS = 15.0
_SIZES = (3, 10, 30)


@dataclasses.dataclass(frozen=True)
class ControlCost:
    """Means over the nodes of one fleet."""

    nodes: int
    core_share: float
    memory_megabytes: float
    sent_bytes_per_second: float
    received_bytes_per_second: float


async def measure_cost(nodes: int) -> ControlCost:
    """Measure an idle fleet of a size."""
    async with Fleet(['catalogue'] * nodes, start_timeout_seconds=_START_SECONDS) as fleet:
        await fleet.publish(example_change())
        await asyncio.sleep(_SETTLE_SECONDS)
        pids = [node.node_process.pid for node in fleet.nodes if node.node_process]
        processor_before = [processor_seconds(pid) for pid in pids]
        bytes_before = dict(fleet.network.bytes_by_link)
        started = time.monotonic()
        await asyncio.sleep(_MEASURE_SECONDS)
        elapsed = time.monotonic() - started
        spent = [
            processor_seconds(pid) - before
            for pid, before in zip(pids, processor_before, strict=True)
        ]
        grown = {
            link: count - bytes_before.get(link, 0)
            for link, count in fleet.network.bytes_by_link.items()
        }
        hosts = {node.host for node in fleet.nodes}
        sent = sum(count for (source, _), count in grown.items() if source in hosts)
        received = sum(count for (_, target), count in grown.items() if target in hosts)
        return ControlCost(
            nodes=nodes,
            core_share=statistics.mean(spent) / elapsed,
            memory_megabytes=statistics.mean(memory_megabytes(pid) for pid in pids),
            sent_bytes_per_second=sent / nodes / elapsed,
            received_bytes_per_second=received / nodes / elapsed,
        )


async def measure_costs() -> dict[str, Any]:
    """Measure all sizes, one after another."""
    costs = [await measure_cost(nodes) for nodes in _SIZES]
    return {
        'sizes': [dataclasses.asdict(cost) for cost in costs],
        'bound_core_share': TARGET_CORE_SHARE,
        'bound_memory_megabytes': TARGET_MEMORY_MEGABYTES,
        'bound_bytes_per_second': TARGET_BYTES_PER_SECOND,
    }


def memory_megabytes(process_id: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f'/proc/{process_id}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1000
    return 0.0


if __name__ == '__main__':
    print(json.dumps(asyncio.run(measure_costs()), indent=2))
    sys.exit(0)
