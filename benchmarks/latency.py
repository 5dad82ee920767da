"""Latency that the fleet adds to a request, and requests per second for each core.

Direct calls to the backend server stand-in in the same run are the baseline. Requests alternate
between the paths, so that noise of the machine affects all paths equally.
"""

import asyncio
import dataclasses
import json
import time
from pathlib import Path
from typing import Any

from tests.fleet_processes import Fleet, FleetNode, example_change

TARGET_ADDED_P99_MILLISECONDS = 4.1
_MILLISECONDS = 1000
_SETTLE_SECONDS = 7.0
_TICKS_PER_SECOND = 100


@dataclasses.dataclass(frozen=True)
class Distribution:
    """Latency percentiles of one path in milliseconds."""

    p50: float
    p99: float
    requests: int
    failures: int


async def measure_latency(*, requests: int = 1500, callers: int = 1) -> dict[str, Any]:
    """Measure the latencies of the direct, the local and the one-hop path."""
    async with Fleet(['catalogue', 'bookings'], slots=64) as fleet:
        change = example_change()
        change['organisations'][0].update(rate_per_second=100000.0, burst=100000.0)
        await fleet.publish(change)
        issued = await fleet.issue_key('cafe-chain')
        await asyncio.sleep(_SETTLE_SECONDS)
        headers = {'Authorization': f'Bearer {issued["key"]}'}
        serving_node, other_node = fleet.nodes
        urls_by_path = {
            'direct': f'{serving_node.server_url}/catalogue/1',
            'local': f'{serving_node.url}/catalogue/1',
            'one_hop': f'{other_node.url}/catalogue/1',
        }
        samples_by_path = await _sample_paths(fleet, urls_by_path, headers, requests, callers)
        cost = await _measure_request_cost(fleet, serving_node, urls_by_path['local'], headers)
    by_path = {path: _distribution(samples) for path, samples in samples_by_path.items()}
    direct = by_path['direct']
    return {
        'callers': callers,
        'paths': {path: dataclasses.asdict(latencies) for path, latencies in by_path.items()},
        'added': {
            path: {'p50': latencies.p50 - direct.p50, 'p99': latencies.p99 - direct.p99}
            for path, latencies in by_path.items()
            if path != 'direct'
        },
        'bound_added_p99': TARGET_ADDED_P99_MILLISECONDS,
        'local_node': cost,
    }


async def _sample_paths(
    fleet: Fleet,
    urls_by_path: dict[str, str],
    headers: dict[str, str],
    requests: int,
    callers: int,
) -> dict[str, list[tuple[float, int]]]:
    samples_by_path: dict[str, list[tuple[float, int]]] = {path: [] for path in urls_by_path}

    async def call(count: int, *, keep: bool) -> None:
        for _ in range(count):
            for path, url in urls_by_path.items():
                started = time.perf_counter()
                response = await fleet.fetch(url, headers=headers)
                elapsed = (time.perf_counter() - started) * _MILLISECONDS
                if keep:
                    samples_by_path[path].append((elapsed, response.code))

    await call(50, keep=False)
    await asyncio.gather(*(call(requests // callers, keep=True) for _ in range(callers)))
    return samples_by_path


async def _measure_request_cost(
    fleet: Fleet, node: FleetNode, url: str, headers: dict[str, str]
) -> dict[str, float]:
    assert node.node_process is not None
    count = 2000
    before, started = processor_seconds(node.node_process.pid), time.perf_counter()

    async def call() -> None:
        for _ in range(count // 16):
            await fleet.fetch(url, headers=headers)

    await asyncio.gather(*(call() for _ in range(16)))
    used_seconds = processor_seconds(node.node_process.pid) - before
    return {
        'processor_milliseconds_per_request': used_seconds * _MILLISECONDS / count,
        'requests_per_core_second': count / used_seconds,
        'requests_per_second_offered': count / (time.perf_counter() - started),
    }


def processor_seconds(process_id: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f'/proc/{process_id}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def _distribution(samples: list[tuple[float, int]]) -> Distribution:
    ordered = sorted(elapsed for elapsed, _ in samples)
    return Distribution(
        p50=ordered[len(ordered) // 2],
        p99=ordered[int(len(ordered) * 0.99)],
        requests=len(ordered),
        failures=sum(code != 200 for _, code in samples),
    )


if __name__ == '__main__':
    print(json.dumps(asyncio.run(measure_latency()), indent=2))
