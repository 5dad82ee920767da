"""A server deregisters while the store is away, and the node beside it is killed and starts again."""

import asyncio
from pathlib import Path

from review.stand_ins.fleet import BOUNDS, RESTART_SECONDS, CaseNotRun, Fleet
from review.stand_ins.fleet import make_configuration, run_case
from review.stand_ins.record import Record

ZONES = ['lj-a', 'lj-a', 'lj-b', 'lj-b', 'lj-c', 'lj-c']
# The store is away for 4.5 s, as `platform_down` of the site files is at most.
AWAY_SECONDS = 4.5
# The last heartbeat of the server, sent before it deregistered, arrives so late.
LATE_SECONDS = 3.5
# The server serves on for this long after the acknowledgement.
SERVING_SECONDS = 15.0
KILL_AFTER_SECONDS = 0.3
REQUEST_INTERVAL_SECONDS = 0.1


async def keep_sending(node, stopping: asyncio.Event) -> None:
    async with asyncio.TaskGroup() as group:
        while not stopping.is_set():
            group.create_task(node.request('/read/x'))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)


async def restart(node) -> None:
    await node.kill()
    await asyncio.sleep(RESTART_SECONDS)
    await node.start_process()


async def case(record: Record, is_disrupted: bool) -> list[str]:
    fleet = Fleet(record, ZONES, ['bookings'] * len(ZONES))
    stopping = asyncio.Event()
    node = fleet.nodes[0]
    server = node.server
    clients = []
    try:
        await fleet.start(make_configuration(1))
        clients = [asyncio.create_task(keep_sending(each, stopping)) for each in fleet.nodes]
        await asyncio.sleep(2.0)
        if is_disrupted:
            record.add('store away')
            fleet.store.away_topics.update(fleet.store.topics)
            calm_at = record.now() + AWAY_SECONDS
        await asyncio.sleep(0.3)
        # This server never reports that it drains.
        server.stop_heartbeats()
        late_heartbeat = server.heartbeat()
        late_at = record.now() + LATE_SECONDS
        if not await server.deregister():
            raise CaseNotRun('the node did not acknowledge that the server leaves')
        acknowledged_at = record.now()
        server.state = 'leaving'
        await asyncio.sleep(KILL_AFTER_SECONDS)
        if is_disrupted:
            await restart(node)
        restarted_at = record.now()
        await asyncio.sleep(late_at - record.now())
        record.add('late heartbeat arrives', server=server.name)
        await server.announce(late_heartbeat)
        if is_disrupted:
            await asyncio.sleep(max(calm_at - record.now(), 0))
            record.add('store back')
            fleet.store.away_topics.clear()
        calm_at = max(record.now(), restarted_at) + BOUNDS['contactS']
        await asyncio.sleep(acknowledged_at + SERVING_SECONDS - record.now())
        stopping.set()
        await asyncio.gather(*clients)
    finally:
        await fleet.close()
    from_seconds = max(acknowledged_at + BOUNDS['drainS'], calm_at)
    sent_at = {event.fields['request']: event.at for event in record.select('sent')}
    late_runs = [
        event
        for event in record.select('run', server=server.name)
        if event.at > from_seconds and sent_at[event.fields['request']] > calm_at
    ]
    if not late_runs:
        return []
    return [
        f'DRAIN: {len(late_runs)} requests reached {server.name} more than {BOUNDS["drainS"]} s '
        f'after {node.name} acknowledged that it leaves, the first '
        f'{late_runs[0].at - acknowledged_at:.2f} s after; all machines had been in touch since '
        f'{calm_at - acknowledged_at:.2f} s after it'
    ]


if __name__ == '__main__':
    run_case(case, Path(__file__).parent)
