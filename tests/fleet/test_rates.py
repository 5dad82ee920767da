"""Rates across a fleet of real processes, by what the backend servers received."""

import asyncio
import signal
import time

import pytest

from tests.fleet_processes import Fleet, example_change
from tests.simulated_rates import find_excess

RATE = 60.0
BURST = 30.0
OVERLOAD = 3.0
# Runs are recorded at the servers, up to this long after their admission.
RECORDING_SECONDS = 0.1


def _change():
    change = example_change()
    change['organisations'] = [
        {'organisation': 'cafe-chain', 'rate_per_second': RATE, 'burst': BURST}
    ]
    return change


async def _wait_for_rates(fleet, nodes, partitions=256):
    """Wait until each partition is owned with the whole rate by one of the nodes."""
    deadline = time.monotonic() + 30
    owned = 0
    while time.monotonic() < deadline:
        owned = sum([(await fleet.dump(node))['rates']['partitions_owned'] for node in nodes])
        if owned >= partitions:
            return
        await asyncio.sleep(0.2)
    raise TimeoutError(f'{owned} of {partitions} partitions are owned with the whole rate')


async def _send(fleet, nodes, key, *, rate, seconds):
    """Send reads to the nodes in turn; return the status codes."""
    headers = {'Authorization': f'Bearer {key}'}
    requests = []
    starts_at = time.monotonic()
    for number in range(int(rate * seconds)):
        await asyncio.sleep(max(starts_at + number / rate - time.monotonic(), 0))
        node = nodes[number % len(nodes)]
        requests.append(asyncio.create_task(fleet.fetch(f'{node.url}/catalogue', headers=headers)))
    return [response.code for response in await asyncio.gather(*requests)]


async def _receipts(fleet):
    return [(run['at'], 'cafe-chain') for run in await fleet.all_runs()]


def _excess(receipts):
    return find_excess(receipts, rate=RATE * 1.02, burst=BURST + RATE * RECORDING_SECONDS)


def _refused(codes):
    return codes.count(429) / len(codes)


@pytest.mark.fault_cell('rate loan: in use', 'pause')
@pytest.mark.fault_cell('rate loan: in use', 'cut out')
@pytest.mark.fault_cell('rate loan: in use', 'cut back')
@pytest.mark.fault_cell('rate loan: ask', 'cut out')
@pytest.mark.fault_cell('rate loan: ask', 'cut back')
@pytest.mark.fault_cell('rate loan: slice', 'cut out')
@pytest.mark.fault_cell('rate loan: slice', 'cut back')
@pytest.mark.fault_cell('rate loan: slice', 'pause')
async def test_rate_over_several_entry_nodes():
    """Guards against nodes that each admit a rate of their own, and against refusals inside it.

    The fleet is whole, then its log is away, then it is split, without and with the log, and
    then a node is paused.
    """
    async with Fleet(['catalogue'] * 3) as fleet:
        await fleet.publish(_change())
        key = (await fleet.issue_key('cafe-chain'))['key']
        await _wait_for_rates(fleet, fleet.nodes)
        await asyncio.sleep(BURST / RATE)
        refused = {}
        inside = {'rate': RATE * 0.8, 'seconds': 3}
        overload = {'rate': RATE * OVERLOAD, 'seconds': 3}
        refused['whole'] = _refused(await _send(fleet, fleet.nodes, key, **inside))
        codes = await _send(fleet, fleet.nodes, key, **overload)
        assert codes.count(200) >= RATE * 3 * 0.9
        for node in fleet.nodes:
            fleet.cut_log(node)
        # Longer than standing by the log lasts, so that standing by majority carries the fleet.
        await asyncio.sleep(5)
        refused['log away'] = _refused(await _send(fleet, fleet.nodes, key, **inside))
        await _send(fleet, fleet.nodes, key, **overload)
        # One node loses the others: it has no standing, and the two others go on.
        alone, *rest = fleet.nodes
        for node in rest:
            fleet.cut_both_ways(alone, node)
        await _send(fleet, fleet.nodes, key, **overload)
        refused['split'] = _refused(await _send(fleet, rest, key, **inside))
        fleet.network.heal()
        for node in rest:
            fleet.cut_both_ways(alone, node)
        # Both sides have the log, so both have standing and divide the rate.
        await asyncio.sleep(4)
        await _send(fleet, fleet.nodes, key, **overload)
        # A node is paused longer than its loans and standing last, and goes on under load.
        fleet.network.heal()
        alone.signal(signal.SIGSTOP)
        await _send(fleet, rest, key, rate=RATE * OVERLOAD, seconds=4)
        alone.signal(signal.SIGCONT)
        await _send(fleet, fleet.nodes, key, **overload)
        print(f'refused of requests at 0.8 times the rate: {refused}')
        assert _excess(await _receipts(fleet)) is None
        assert refused['whole'] == 0
        assert refused['log away'] == 0
