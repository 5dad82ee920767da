"""Start-up time and memory of a node with the planned 45,000 organisations and 4,500 routes.

A real node process reads the configuration from the log stand-in. Run as
`python -m benchmarks.planned_size`.
"""

import asyncio
import json
import time
from typing import Any

from benchmarks.control_cost import memory_megabytes
from benchmarks.control_memory import full_size_change
from tests.fleet_processes import Fleet
from turmericwharf.protocol import encode_record

_TIMEOUT_SECONDS = 60.0


async def measure_planned_size() -> dict[str, Any]:
    """Measure the seconds from a restart until the configuration is in force, and the memory."""
    async with Fleet(['catalogue']) as fleet:
        node = fleet.nodes[0]
        body = json.dumps({'records': [encode_record(full_size_change())]})
        url = f'{fleet.log_url}/streams/control/records'
        await fleet.fetch(url, method='POST', body=body, seconds=60)
        await _wait_for_routes(fleet)
        assert node.node_process is not None
        node.node_process.kill()
        node.node_process.wait()
        started = time.monotonic()
        node.start_node()
        await _wait_for_routes(fleet)
        return {
            'start_seconds': time.monotonic() - started,
            'memory_megabytes': memory_megabytes(node.node_process.pid),
            'bound_memory_megabytes': 128,
        }


async def _wait_for_routes(fleet: Fleet) -> None:
    deadline = time.monotonic() + _TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        state = await fleet.dump(fleet.nodes[0])
        if state and state['parts']['control_log']['routes']:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError('the configuration did not come into force in time')


if __name__ == '__main__':
    print(json.dumps(asyncio.run(measure_planned_size()), indent=2))
