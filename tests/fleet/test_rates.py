"""Rates across a fleet of real processes, checked by the runs that the servers recorded."""

import asyncio
import signal
import time

import pytest

from tests.fleet_processes import Fleet, example_change
from tests.simulated_rates import find_excess

RATE = 60.0
BURST = 30.0
OVERLOAD_FACTOR = 3.0
# The servers record a run up to this long after its admission.
RECORDING_SECONDS = 0.1


def _make_change():
    change = example_change()
    change['organisations'] = [
        {'organisation': 'cafe-chain', 'rate_per_second': RATE, 'burst': BURST}
    ]
    return change


async def _wait_for_rates(fleet, nodes, partitions=256):
    """Wait until every partition has an owner among the nodes that holds its whole rate."""
    deadline = time.monotonic() + 30
    owned = 0
    while time.monotonic() < deadline:
        owned = sum([(await fleet.dump(node))['rates']['partitions_owned'] for node in nodes])
        if owned >= partitions:
            return
        await asyncio.sleep(0.2)
    raise TimeoutError(f'only {owned} of {partitions} partitions have an owner with the whole rate')


async def _send(fleet, nodes, key, *, rate, seconds):
    """Send reads to the nodes in turn at a steady rate; return the status codes."""
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


def _find_rate_excess(receipts):
    return find_excess(receipts, rate=RATE * 1.02, burst=BURST + RATE * RECORDING_SECONDS)


def _rejected_share(codes):
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
    """Guards against a fleet that admits more than the rate, and against rejections within it.

    Nodes that cannot coordinate could each admit the whole rate, or reject requests within it. The
    phases are: a healthy fleet, no log, one node cut off without and with the log, a paused node.
    """
    async with Fleet(['catalogue'] * 3) as fleet:
        await fleet.publish(_make_change())
        key = (await fleet.issue_key('cafe-chain'))['key']
        await _wait_for_rates(fleet, fleet.nodes)
        await asyncio.sleep(BURST / RATE)
        rejected_shares = {}
        within_rate = {'rate': RATE * 0.8, 'seconds': 3}
        overload = {'rate': RATE * OVERLOAD_FACTOR, 'seconds': 3}
        rejected_shares['healthy'] = _rejected_share(
            await _send(fleet, fleet.nodes, key, **within_rate)
        )
        codes = await _send(fleet, fleet.nodes, key, **overload)
        assert codes.count(200) >= RATE * 3 * 0.9
        for node in fleet.nodes:
            fleet.cut_log(node)
        # Longer than standing by the log lasts, so that the nodes keep their standing by majority.
        await asyncio.sleep(5)
        rejected_shares['log unavailable'] = _rejected_share(
            await _send(fleet, fleet.nodes, key, **within_rate)
        )
        await _send(fleet, fleet.nodes, key, **overload)
        # One node is cut off from the others: it loses its standing, and the other two keep theirs.
        isolated, *others = fleet.nodes
        for node in others:
            fleet.cut_both_ways(isolated, node)
        await _send(fleet, fleet.nodes, key, **overload)
        rejected_shares['split'] = _rejected_share(await _send(fleet, others, key, **within_rate))
        fleet.network.heal()
        for node in others:
            fleet.cut_both_ways(isolated, node)
        # Both sides reach the log, so both have standing and share the rate.
        await asyncio.sleep(4)
        await _send(fleet, fleet.nodes, key, **overload)
        # A node is paused for longer than its loans and its standing last, and resumes under load.
        fleet.network.heal()
        isolated.signal(signal.SIGSTOP)
        await _send(fleet, others, key, rate=RATE * OVERLOAD_FACTOR, seconds=4)
        isolated.signal(signal.SIGCONT)
        await _send(fleet, fleet.nodes, key, **overload)
        print(f'rejected share of requests at 0.8 times the rate: {rejected_shares}')
        assert _find_rate_excess(await _receipts(fleet)) is None
        assert rejected_shares['healthy'] == 0
        assert rejected_shares['log unavailable'] == 0
