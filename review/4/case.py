"""Two machines are partitioned from the store; another of their zone keeps an old configuration.

This happens a few times, at different moments. Each time a key is withdrawn and a route is added.
"""

import asyncio
import random
from pathlib import Path

from review.stand_ins.fleet import (
    BOUNDS,
    KEY,
    CaseNotRun,
    Fleet,
    make_configuration,
    make_route,
    run_case,
)
from review.stand_ins.record import Record

# Two of ten machines are cut off; the share of `srv_cut` in the site file is 0.22.
ZONES = ['lj-a'] * 3 + ['lj-b'] * 7
ZONE = 'lj-a'
CUT_COUNT = 2
ROUNDS = 4
PROBE_INTERVAL_SECONDS = 0.25
# Time between the partition and the change.
DELAY_SECONDS = 0.1
CUT_SECONDS = 6.0
# All machines are in touch again before the next round.
CALM_SECONDS = 6.0


def withdrawn_key(number: int) -> str:
    return f'key-of-round-{number}'


def make_version(number: int) -> dict:
    """Return the configuration in which the keys of the first rounds are withdrawn."""
    keys = [withdrawn_key(each) for each in range(number + 1, ROUNDS + 1)]
    configuration = make_configuration(
        1 + 2 * number,
        tenants={
            'cafe': {'apiKeys': [KEY], 'ratePerS': 200, 'burst': 200},
            'inn': {'apiKeys': ['key-that-stays', *keys], 'ratePerS': 200, 'burst': 200},
        },
    )
    for each in range(1, number + 1):
        configuration['routes'][f'new-{each}'] = make_route(f'/new-{each}/', 'idempotent')
    return configuration


async def probe(node, number: int, stopping: asyncio.Event) -> None:
    """Use the withdrawn key and the new route of a round on a node."""
    async with asyncio.TaskGroup() as group:
        while not stopping.is_set():
            group.create_task(
                node.request(f'/read/withdrawn-{number}', key=withdrawn_key(number))
            )
            group.create_task(node.request(f'/new-{number}/'))
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)


def find_readers(fleet: Fleet) -> list[str]:
    """Return the machines of the zone that have read the store lately."""
    now = asyncio.get_running_loop().time()
    readers = [
        node.name
        for node in fleet.nodes
        if node.zone == ZONE and now - fleet.store.reading_nodes.get(node.name, 0) < 3
    ]
    if len(readers) != CUT_COUNT:
        raise CaseNotRun(f'expected {CUT_COUNT} machines of {ZONE} to read the store: {readers}')
    return readers


async def play_round(fleet: Fleet, number: int, *, is_disrupted: bool) -> list[str]:
    record = fleet.record
    readers = find_readers(fleet)
    await asyncio.sleep(random.uniform(0, 2))
    if is_disrupted:
        record.add('partitioned from the store', names=readers)
        fleet.store.cut_nodes.update(readers)
    stopping = asyncio.Event()
    in_touch = [node for node in fleet.nodes if node.name not in readers]
    probes = [asyncio.create_task(probe(node, number, stopping)) for node in in_touch]
    await asyncio.sleep(DELAY_SECONDS)
    fleet.store.configure(make_version(number))
    acknowledged_at = record.add('configuration acknowledged', version=1 + 2 * number).at
    await asyncio.sleep(CUT_SECONDS)
    if is_disrupted:
        record.add('partition healed', names=readers)
        fleet.store.cut_nodes.clear()
    stopping.set()
    await asyncio.gather(*probes)
    await asyncio.sleep(CALM_SECONDS)
    return find_violations(record, number, acknowledged_at)


def find_violations(record: Record, number: int, acknowledged_at: float) -> list[str]:
    from_seconds = acknowledged_at + BOUNDS['configApplyS']
    violations = []
    for event in record.select('answered'):
        fields = event.fields
        if fields['sent_at'] <= from_seconds:
            continue
        late = f'{fields["sent_at"] - acknowledged_at:.2f} s after the acknowledgement'
        if (fields['target'], fields['status']) == (f'/read/withdrawn-{number}', 200):
            violations.append(f'CONFIG: withdrawn key served by {fields["node"]}, sent {late}')
        if (fields['target'], fields['status']) == (f'/new-{number}/', 404):
            violations.append(f'CONFIG: new route refused by {fields["node"]}, sent {late}')
    record.add('round', number=number, violations=len(violations))
    return violations


async def case(record: Record, is_disrupted: bool) -> list[str]:
    fleet = Fleet(record, ZONES, ['bookings'] * len(ZONES))
    violations = []
    try:
        await fleet.start(make_version(0), extra_seconds=6.0)
        for number in range(1, ROUNDS + 1):
            violations += await play_round(fleet, number, is_disrupted=is_disrupted)
    finally:
        await fleet.close()
    return violations


if __name__ == '__main__':
    run_case(case, Path(__file__).parent)
