"""Control cost of an idle node: share of a core, memory and bytes per second.

Measured with real processes on loopback at several fleet sizes, which shows how the cost grows
with the number of nodes. Bytes are counted at the relays in front of the peer ports and of the
log: they include frames and HTTP messages, but not packet headers.
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
# All relays run in this process, which slows the start of a large fleet.
_START_TIMEOUT_SECONDS = 90.0
_SETTLE_SECONDS = 12.0
_MEASURE_SECONDS = 15.0
_FLEET_SIZES = (3, 10, 30)


@dataclasses.dataclass(frozen=True)
class ControlCost:
    """Mean cost over the nodes of one fleet."""

    nodes: int
    core_share: float
    memory_megabytes: float
    sent_bytes_per_second: float
    received_bytes_per_second: float


async def measure_cost(nodes: int) -> ControlCost:
    """Measure an idle fleet with a given number of nodes."""
    async with Fleet(['catalogue'] * nodes, start_timeout_seconds=_START_TIMEOUT_SECONDS) as fleet:
        await fleet.publish(example_change())
        await asyncio.sleep(_SETTLE_SECONDS)
        pids = [node.node_process.pid for node in fleet.nodes if node.node_process]
        processor_seconds_before = [processor_seconds(pid) for pid in pids]
        bytes_before = dict(fleet.network.bytes_by_link)
        started = time.monotonic()
        await asyncio.sleep(_MEASURE_SECONDS)
        elapsed = time.monotonic() - started
        used_seconds = [
            processor_seconds(pid) - before
            for pid, before in zip(pids, processor_seconds_before, strict=True)
        ]
        forwarded_bytes = {
            link: count - bytes_before.get(link, 0)
            for link, count in fleet.network.bytes_by_link.items()
        }
        hosts = {node.host for node in fleet.nodes}
        sent = sum(count for (source, _), count in forwarded_bytes.items() if source in hosts)
        received = sum(count for (_, target), count in forwarded_bytes.items() if target in hosts)
        return ControlCost(
            nodes=nodes,
            core_share=statistics.mean(used_seconds) / elapsed,
            memory_megabytes=statistics.mean(memory_megabytes(pid) for pid in pids),
            sent_bytes_per_second=sent / nodes / elapsed,
            received_bytes_per_second=received / nodes / elapsed,
        )


async def measure_costs() -> dict[str, Any]:
    """Measure all fleet sizes in sequence."""
    costs = [await measure_cost(nodes) for nodes in _FLEET_SIZES]
    return {
        'sizes': [dataclasses.asdict(cost) for cost in costs],
        'bound_core_share': TARGET_CORE_SHARE,
        'bound_memory_megabytes': TARGET_MEMORY_MEGABYTES,
        'bound_bytes_per_second': TARGET_BYTES_PER_SECOND,
    }


def memory_megabytes(process_id: int) -> float:
    """Return the resident memory of a process in megabytes."""
    for line in Path(f'/proc/{process_id}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1000
    return 0.0


if __name__ == '__main__':
    print(json.dumps(asyncio.run(measure_costs()), indent=2))
    sys.exit(0)
