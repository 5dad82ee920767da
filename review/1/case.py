"""All nodes are killed and start again while the store's partition with the nodes is away."""

import asyncio
from pathlib import Path

from review.stand_ins.fleet import BOUNDS, KEY, RESTART_SECONDS, Fleet, make_configuration, run_case
from review.stand_ins.record import Record
from review.stand_ins.store import NODES_TOPIC

RATE_PER_SECOND = 10
BURST = 10
ZONES = ['lj-a', 'lj-a', 'lj-b', 'lj-b', 'lj-c', 'lj-c']
# Each of the six nodes: six times the rate together.
REQUESTS_PER_NODE_AND_SECOND = 10
SECONDS_BEFORE = 6.0
# As long as `platform_down` for a share of the partitions lasts in the site file.
SECONDS_AWAY = 4.5
SECONDS_AFTER = 4.0


async def keep_sending(node, stopping: asyncio.Event) -> None:
    """Send requests of the tenant at a fixed rate, each by a client of its own."""
    async with asyncio.TaskGroup() as group:
        while not stopping.is_set():
            group.create_task(node.request('/read/x'))
            await asyncio.sleep(1 / REQUESTS_PER_NODE_AND_SECOND)


async def disrupt(fleet: Fleet) -> None:
    fleet.record.add('store: partition away', topic=NODES_TOPIC)
    fleet.store.away_topics.add(NODES_TOPIC)
    await asyncio.gather(*(node.kill() for node in fleet.nodes))
    await asyncio.sleep(RESTART_SECONDS)
    for node in fleet.nodes:
        await node.start_process()


def find_violations(record: Record) -> list[str]:
    window_seconds = BOUNDS['quotaWindowS']
    allowed = RATE_PER_SECOND * window_seconds + BURST
    allowed = allowed * (1 + BOUNDS['quotaOverage']) + BOUNDS['quotaSlack']
    sent_at = {event.fields['request']: event.at for event in record.select('sent')}
    runs = [(sent_at[event.fields['request']], event.at) for event in record.select('run')]
    worst_count, worst_from = 0, 0.0
    for start, _ in runs:
        end = start + window_seconds
        count = sum(start <= sent and ran <= end for sent, ran in runs)
        if count > worst_count:
            worst_count, worst_from = count, start
    record.add('worst window', runs=worst_count, allowed=allowed, starts_at=round(worst_from, 3))
    if worst_count <= allowed:
        return []
    return [
        f'QUOTA: {worst_count} requests of the tenant were sent and run in {window_seconds} s '
        f'from {worst_from:.3f} s; allowed are {allowed:.0f}'
    ]


async def case(record: Record, is_disrupted: bool) -> list[str]:
    fleet = Fleet(record, ZONES, ['bookings'] * len(ZONES))
    tenants = {'cafe': {'apiKeys': [KEY], 'ratePerS': RATE_PER_SECOND, 'burst': BURST}}
    stopping = asyncio.Event()
    try:
        await fleet.start(make_configuration(1, tenants=tenants))
        clients = [asyncio.create_task(keep_sending(node, stopping)) for node in fleet.nodes]
        await asyncio.sleep(SECONDS_BEFORE)
        if is_disrupted:
            await disrupt(fleet)
        await asyncio.sleep(SECONDS_AWAY)
        record.add('store: partition back', topic=NODES_TOPIC)
        fleet.store.away_topics.clear()
        await asyncio.sleep(SECONDS_AFTER)
        stopping.set()
        await asyncio.gather(*clients)
    finally:
        await fleet.close()
    return find_violations(record)


if __name__ == '__main__':
    run_case(case, Path(__file__).parent)
