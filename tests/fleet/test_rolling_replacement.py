"""Rolling replacement of nodes under load."""

import asyncio
import json
import signal
import time

from tests.fleet.bookings import BookingClient, running_booking_fleet
from tests.fleet_processes import FleetNode

REPLACEMENTS = 20
# Pauses between the requests of the callers of a node. The longest leaves its connection idle for
# almost the keep-alive time of the nodes.
PAUSES_SECONDS = (0.02, 0.02, 1.6)
KEEP_ALIVE_SECONDS = 2


class KeepAliveCaller:
    """Sends bookings on one connection, and reconnects when the node closes it."""

    def __init__(self, client: BookingClient, node: FleetNode, pause: float, name: str) -> None:
        self.client = client
        self.node = node
        self.name = name
        self.pause_seconds = pause
        self.sent = 0
        self.counts_by_outcome: dict[str, int] = {}
        self.failures: list[str] = []
        self.stopping = False

    async def run(self) -> None:
        while not self.stopping:
            try:
                reader, writer = await asyncio.open_connection(
                    self.node.host, self.node.caller_port
                )
            except OSError:
                # The connection was refused before a request was sent, so none is lost.
                await asyncio.sleep(self.pause_seconds)
                continue
            await self._send_requests(reader, writer)
            writer.close()

    async def _send_requests(self, reader, writer) -> None:
        keep_alive = True
        while keep_alive and not self.stopping:
            self.sent += 1
            target = f'/bookings/{self.name}-{self.sent}'
            try:
                async with asyncio.timeout(10):
                    keep_alive = await self._book(reader, writer, target)
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
                self.failures.append(f'{time.time():.3f} {target}: {error!r}')
                return
            await asyncio.sleep(self.pause_seconds)

    async def _book(self, reader, writer, target: str) -> bool:
        """Send a booking; return whether the node keeps the connection open."""
        writer.write(
            f'POST {target} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {self.client.key}\r\n'
            'Content-Length: 2\r\n\r\n{}'.encode()
        )
        head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        headers = dict(line.split(': ', 1) for line in head.split('\r\n')[1:] if ': ' in line)
        body = await reader.readexactly(int(headers['content-length']))
        outcome = headers['turmericwharf-outcome']
        if outcome != 'answered':
            outcome = f'{outcome} {json.loads(body)["reason"]}'
        self.counts_by_outcome[outcome] = self.counts_by_outcome.get(outcome, 0) + 1
        return headers.get('connection') != 'close'


async def _replace(client: BookingClient, node: FleetNode) -> float:
    """Stop a node with SIGTERM and start its replacement; return the time of the signal."""
    signalled_at = time.time()
    node.signal(signal.SIGTERM)
    assert await asyncio.to_thread(node.node_process.wait, 20) == 0
    node.start_node()
    async with asyncio.timeout(20):
        while not await client.fleet._knows_all(
            node, {member.instance for member in client.fleet.nodes}
        ):
            await asyncio.sleep(0.05)
    return signalled_at


async def test_rolling_replacements_cut_no_request():
    """Guards against requests that are cut, run twice or end with an unknown outcome at a shutdown.

    Nodes are stopped and replaced one after another while callers use busy and idle keep-alive
    connections; a leaving server must get no new requests.
    """
    limits = {'keep_alive_seconds': KEEP_ALIVE_SECONDS}
    async with running_booking_fleet(['bookings'] * 3, limits=limits) as client:
        nodes = client.fleet.nodes
        callers = [
            KeepAliveCaller(client, node, pause, f'{node.instance}-{number}')
            for node in nodes
            for number, pause in enumerate(PAUSES_SECONDS)
        ]
        calling = [asyncio.create_task(caller.run()) for caller in callers]
        idle = [await asyncio.open_connection(node.host, node.caller_port) for node in nodes]
        for number in range(REPLACEMENTS):
            node = nodes[number % 3]
            signalled_at = await _replace(client, node)
            late = [
                run
                for run in await client.fleet.runs(node)
                if signalled_at + 3 < run['at'] < node.started_at
            ]
            assert not late, 'a server got new requests more than 3 s after its node began to stop'
        for caller in callers:
            caller.stopping = True
        await asyncio.gather(*calling)
        for _, writer in idle:
            writer.close()
        counts_by_outcome: dict[str, int] = {}
        for caller in callers:
            for outcome, count in caller.counts_by_outcome.items():
                counts_by_outcome[outcome] = counts_by_outcome.get(outcome, 0) + count
        targets = [run['target'] for run in await client.fleet.all_runs()]
        sent = sum(caller.sent for caller in callers)
        print(f'{REPLACEMENTS} replacements, {sent} requests, outcomes {counts_by_outcome}')
        assert [failure for caller in callers for failure in caller.failures] == []
        assert not [outcome for outcome in counts_by_outcome if outcome.startswith('unknown')]
        load_targets = [target for target in targets if target != '/bookings/start']
        assert len(load_targets) == len(set(load_targets)) == counts_by_outcome['answered']
