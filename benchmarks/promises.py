"""Guaranteed times on a small fleet, and requests refused below the rate limit.

Measures the time until a configuration and the withdrawal of a key are in force, and the time
until a killed node serves again. The share of refused requests is compared with a static split
of the rate.
"""

import asyncio
import json
import signal
import time
from typing import Any

from tests.fleet_processes import Fleet, FleetNode, example_change

_IN_FORCE_BOUND_SECONDS = 7.0
_RATE_PER_SECOND = 100.0
_LOAD_SECONDS = 6.0
_LOAD_FACTOR = 0.8


async def measure_promises() -> dict[str, Any]:
    """Measure and return the figures by name, with units and bounds."""
    async with Fleet(['catalogue'] * 3, slots=32) as fleet:
        change = example_change()
        change['organisations'][0].update(rate_per_second=_RATE_PER_SECOND, burst=20.0)
        started = time.monotonic()
        await fleet.publish(change)
        publish_seconds = time.monotonic() - started
        issued = await fleet.issue_key('cafe-chain')
        key = issued['key']
        await fleet.wait_until_served(f'{fleet.nodes[0].url}/catalogue/probe', key)
        await asyncio.sleep(4)
        refused_share = await _measure_refused_share(fleet, key)
        recovery_seconds = await _measure_recovery(fleet, key)
        withdrawal_seconds = await _measure_withdrawal(fleet, issued)
    return {
        'configuration in force everywhere': _row(publish_seconds, 's', _IN_FORCE_BOUND_SECONDS),
        'withdrawal in force everywhere': _row(withdrawal_seconds, 's', _IN_FORCE_BOUND_SECONDS),
        'service after kill and restart of a node': _row(recovery_seconds, 's'),
        'refused inside the rate, one entry node, whole fleet': _row(refused_share, '', 0.0),
        # In a static split, an organisation that uses one of three nodes has a third of its rate.
        'refused inside the rate, static split (calculated)': _row(1 - 1 / 3 / _LOAD_FACTOR, ''),
    }


def _row(figure: float, unit: str, bound: float | None = None) -> dict[str, Any]:
    return {'figure': figure, 'unit': unit, 'bound': bound}


async def _measure_refused_share(fleet: Fleet, key: str) -> float:
    count = int(_RATE_PER_SECOND * _LOAD_FACTOR * _LOAD_SECONDS)
    interval = 1 / (_RATE_PER_SECOND * _LOAD_FACTOR)
    headers = {'Authorization': f'Bearer {key}'}
    calls = []
    for _ in range(count):
        call = fleet.fetch(f'{fleet.nodes[0].url}/catalogue/1', headers=headers)
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(interval)
    codes = [response.code for response in await asyncio.gather(*calls)]
    return codes.count(429) / count


async def _measure_recovery(fleet: Fleet, key: str) -> float:
    node = fleet.nodes[2]
    node.signal(signal.SIGKILL)
    assert node.node_process is not None
    node.node_process.wait()
    started = time.monotonic()
    node.start_node()
    await fleet.wait_until_served(f'{node.url}/catalogue/probe', key)
    return time.monotonic() - started


async def _measure_withdrawal(fleet: Fleet, issued: dict[str, Any]) -> float:
    started = time.monotonic()
    withdrawal = asyncio.create_task(
        asyncio.to_thread(fleet.run_cli, fleet.nodes[1], 'withdraw-key', issued['key_id'])
    )
    headers = {'Authorization': f'Bearer {issued["key"]}'}
    while not all([await _is_refused(fleet, node, headers) for node in fleet.nodes]):
        await asyncio.sleep(0.02)
    elapsed = time.monotonic() - started
    await withdrawal
    return elapsed


async def _is_refused(fleet: Fleet, node: FleetNode, headers: dict[str, str]) -> bool:
    response = await fleet.fetch(f'{node.url}/catalogue/1', headers=headers)
    return response.code == 401


if __name__ == '__main__':
    print(json.dumps(asyncio.run(measure_promises()), indent=2))
