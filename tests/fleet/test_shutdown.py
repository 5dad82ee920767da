"""Shutdown of a node while requests are stuck."""

import asyncio
import signal
import time

from tests.fleet.bookings import running_booking_fleet

SHUTDOWN_SECONDS = 5


async def test_stuck_requests_get_an_honest_answer_at_the_bound():
    """Guards against a shutdown that hangs, or that drops requests without an answer.

    The backend servers do not answer before the shutdown timeout. Requests that are in flight then
    are answered with the outcome "unknown".
    """
    limits = {'shutdown_seconds': SHUTDOWN_SECONDS}
    services = ['bookings', 'bookings']
    async with running_booking_fleet(services, deadline_seconds=30, limits=limits) as client:
        stopping, other = client.fleet.nodes
        for node in (stopping, other):
            await client.fleet.set_server_faults(node, first_byte_seconds=60)
        # Some requests enter at the stopping node, others run there for callers of the other node.
        pending = [
            asyncio.create_task(client.book(node, f'{node.instance}-{number}', keyed=False))
            for node in (stopping, other)
            for number in range(4)
        ]
        await asyncio.gather(
            *(client.wait_for_run(f'{stopping.instance}-{number}') for number in range(2))
        )
        signalled_at = time.monotonic()
        stopping.signal(signal.SIGTERM)
        assert await asyncio.to_thread(stopping.node_process.wait, 20) == 0
        assert time.monotonic() - signalled_at < SHUTDOWN_SECONDS + 1
        results = await asyncio.gather(*pending[:4])
        assert {result.outcome for result in results} == {'unknown'}, results
        for task in pending[4:]:
            task.cancel()
