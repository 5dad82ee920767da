"""Evacuation of a data centre, and cold servers, with nodes as separate processes."""

import asyncio
import collections
import signal
import time

from tornado.httpclient import HTTPError

from tests.coordination.sidecar.test_cold_permit import most_in_a_second
from tests.sidecar_fleet import START_TIMEOUT_SECONDS, make_configuration, running_fleet

EVACUATION_SECONDS = 5.0
# Most requests that may reach a cold server in any second.
BOUND = 1.5 * 7.5 + 8
COLD_SERVICES = {'bookings': {'healthCheckPath': '/healthz', 'coldStartS': 60, 'coldPerS': 7.5}}


async def send_steadily(fleet, per_second, statuses):
    """Send requests at all nodes in turn until cancelled, and count the statuses."""

    async def send(node):
        try:
            statuses[(await node.send_request('/read/1')).code] += 1
        except (OSError, HTTPError):
            # The node was killed.
            statuses['lost'] += 1

    async with asyncio.TaskGroup() as group:
        while True:
            for node in fleet.nodes:
                if node.process.returncode is None:
                    group.create_task(send(node))
                await asyncio.sleep(1 / per_second)


def runs_since(nodes, at):
    return [ran_at for node in nodes for ran_at in node.server.runs_at if ran_at >= at]


async def wait_until_ready(node):
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while not await node.is_ready():
            await asyncio.sleep(0.05)


async def test_an_evacuated_data_centre_gets_no_requests_while_the_other_servers_are_cold():
    """Guards against requests to servers that the operators are about to take away, also of nodes
    that restart while the store is away, and against more requests than the cold servers of the
    other data centre take.
    """
    async with running_fleet(4, zones=('a', 'b')) as fleet:
        evacuated, others = fleet.nodes[::2], fleet.nodes[1::2]
        for node in others:
            node.server.cold_until = time.monotonic() + 60
        fleet.store.configure(make_configuration(2, services=COLD_SERVICES))
        await asyncio.sleep(2.5)
        statuses = collections.Counter()
        cold_since = time.monotonic()
        sending = asyncio.create_task(send_steadily(fleet, 40, statuses))
        await asyncio.sleep(2)
        assert runs_since(evacuated, cold_since) and runs_since(others, cold_since)
        fleet.store.evacuate('a')
        await asyncio.sleep(EVACUATION_SECONDS)
        empty_since = time.monotonic()
        # What the cold servers could not take was refused, not failed.
        assert set(statuses) == {200, 503}
        # The store fails, and a node of each data centre is killed and starts again.
        fleet.store.fault = 'busy'
        for node in fleet.nodes[:2]:
            await node.stop(signal.SIGKILL)
            await node.start()
            await wait_until_ready(node)
        await asyncio.sleep(2)
        assert not sending.done()
        sending.cancel()
        await asyncio.wait([sending])
        assert not runs_since(evacuated, empty_since)
        assert runs_since(others, empty_since)
        for node in others:
            assert most_in_a_second(node.server.runs_at) <= BOUND
        fleet.store.fault = ''
        fleet.store.revoke_evacuation('a')
        await asyncio.sleep(EVACUATION_SECONDS)
        revoked_since = time.monotonic()
        for node in evacuated:
            await node.send_request('/read/1')
        assert runs_since(evacuated, revoked_since)
