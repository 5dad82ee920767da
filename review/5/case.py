"""All nodes are killed while the nodes' partition is away and the servers reject requests."""

import asyncio
import random
from pathlib import Path

from review.stand_ins import http
from review.stand_ins.fleet import BOUNDS, RESTART_SECONDS, Fleet, make_configuration, run_case
from review.stand_ins.record import Record
from review.stand_ins.server import Server
from review.stand_ins.store import NODES_TOPIC

ZONES = ['lj-a'] * 3 + ['lj-b'] * 3 + ['lj-c'] * 3
REQUESTS_PER_SECOND = 30
# All servers of the service reject this share of their requests (`srv_grey`, shed all).
SHED_SHARE = 0.55
SHED_SECONDS = 8.5
SECONDS_BEFORE = BOUNDS['budgetWindowS'] + 2.0
KILL_AFTER_SECONDS = 3.0
# As long as `platform_down` for a share of the partitions lasts in the site file.
AWAY_SECONDS = 4.5
SECONDS_AFTER = 3.0


class SheddingServer(Server):
    """Rejects requests with a probability, and says that they have not run."""

    shed_share = 0.0

    async def handle(self, request: http.Request) -> http.Response:
        if request.path == '/healthz':
            return await super().handle(request)
        attempt = request.headers.get('turmericwharf-attempt-id', '')
        self.record.add('arrival', request=attempt, server=self.name)
        if random.random() >= self.shed_share:
            return await super().handle(request)
        headers = {'Turmericwharf-Attempt-Id': attempt, 'Turmericwharf-Not-Executed': '1'}
        return http.Response(503, headers)


async def keep_sending(fleet: Fleet, stopping: asyncio.Event) -> None:
    async with asyncio.TaskGroup() as group:
        while not stopping.is_set():
            group.create_task(random.choice(fleet.nodes).request('/read/x'))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def disrupt(fleet: Fleet) -> None:
    fleet.record.add('store: partition away', topic=NODES_TOPIC)
    fleet.store.away_topics.add(NODES_TOPIC)
    await asyncio.gather(*(node.kill() for node in fleet.nodes))
    await asyncio.sleep(RESTART_SECONDS)
    for node in fleet.nodes:
        await node.start_process()


def set_shed_share(fleet: Fleet, share: float) -> None:
    fleet.record.add('servers reject', share=share)
    for node in fleet.nodes:
        node.server.shed_share = share


def find_violations(record: Record) -> list[str]:
    window = BOUNDS['budgetWindowS']
    seen: set[str] = set()
    repeats = []
    for event in record.select('arrival'):
        if event.fields['request'] in seen:
            repeats.append(event.at)
        seen.add(event.fields['request'])
    sent = [event.at for event in record.select('sent')]
    worst = (0, float(BOUNDS['budgetExtraRetries']), 0.0)
    for start in repeats:
        count = sum(start <= at < start + window for at in repeats)
        # The requests of this window, of the one before, or of the one half a window before.
        requests = max(
            sum(start - shift <= at < start - shift + window for at in sent)
            for shift in (0, window / 2, window)
        )
        allowed = BOUNDS['retryBudgetRatio'] * requests + BOUNDS['budgetExtraRetries']
        worst = max(worst, (count, allowed, start), key=lambda each: each[0] - each[1])
    count, allowed, start = worst
    record.add('worst window', repeats=count, allowed=allowed, starts_at=round(start, 3))
    if count <= allowed:
        return []
    return [
        f'BUDGET: {count} arrivals beyond the first of each request in {window} s from '
        f'{start:.3f} s; allowed are {allowed:.1f}'
    ]


async def case(record: Record, is_disrupted: bool) -> list[str]:
    fleet = Fleet(record, ZONES, ['bookings'] * len(ZONES))
    for node in fleet.nodes:
        node.server = SheddingServer(
            record, node.server.name, node.host, fleet.ports['app'], fleet.ports['control'],
            node.service,
        )
    stopping = asyncio.Event()
    try:
        await fleet.start(make_configuration(1))
        client = asyncio.create_task(keep_sending(fleet, stopping))
        await asyncio.sleep(SECONDS_BEFORE)
        set_shed_share(fleet, SHED_SHARE)
        shed_until = record.now() + SHED_SECONDS
        await asyncio.sleep(KILL_AFTER_SECONDS)
        back_at = record.now() + AWAY_SECONDS
        if is_disrupted:
            await disrupt(fleet)
        await asyncio.sleep(back_at - record.now())
        record.add('store: partition back', topic=NODES_TOPIC)
        fleet.store.away_topics.clear()
        await asyncio.sleep(shed_until - record.now())
        set_shed_share(fleet, 0.0)
        await asyncio.sleep(SECONDS_AFTER)
        stopping.set()
        await client
    finally:
        await fleet.close()
    return find_violations(record)


if __name__ == '__main__':
    run_case(case, Path(__file__).parent)
