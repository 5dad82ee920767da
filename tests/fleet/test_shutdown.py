"""A node that is told to stop while a request is stuck."""

import asyncio
import signal
import time

from tests.fleet.bookings import bookings_fleet

SHUTDOWN_SECONDS = 5


async def test_stuck_requests_get_an_honest_answer_at_the_bound():
    """Guards against a shutdown that hangs, or that cuts what it cannot wait for."""
    limits = {'shutdown_seconds': SHUTDOWN_SECONDS}
    services = ['bookings', 'bookings']
    async with bookings_fleet(services, answer_seconds=30, limits=limits) as bookings:
        leaving, other = bookings.fleet.nodes
        for node in (leaving, other):
            await bookings.fleet.set_server_faults(node, first_byte_seconds=60)
        # Some enter at the leaving node, some run there for callers of the other node.
        sending = [
            asyncio.create_task(bookings.book(node, f'{node.instance}-{one}', keyed=False))
            for node in (leaving, other)
            for one in range(4)
        ]
        await asyncio.gather(
            *(bookings.wait_for_run(f'{leaving.instance}-{one}') for one in range(2))
        )
        signalled_at = time.monotonic()
        leaving.signal(signal.SIGTERM)
        assert await asyncio.to_thread(leaving.node_process.wait, 20) == 0
        assert time.monotonic() - signalled_at < SHUTDOWN_SECONDS + 1
        told = await asyncio.gather(*sending[:4])
        assert {one.outcome for one in told} == {'unknown'}, told
        for task in sending[4:]:
            task.cancel()
