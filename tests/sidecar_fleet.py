"""Fleet of sidecar nodes as separate processes, with stand-ins for the platform."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from tests.fleet_processes import free_port, is_free, log_folder
from tests.stand_ins.platform_server import PlatformServer
from tests.stand_ins.platform_store import PlatformStore
from tests.stand_ins.relay import Network, Relay

ROOT = Path(__file__).parents[1]
SOURCES = os.pathsep.join(
    str(ROOT / 'packages' / name / 'src') for name in ('turmericwharf', 'turmericwharf-node')
)
START_TIMEOUT_SECONDS = 20.0
GRACE_SECONDS = 6
KEY = 'key-of-the-cafe'
LOOPBACK = '127.0.0.1'
# Each node and server of a fleet has its own loopback address and the same port numbers.
ANY_ADDRESS = '0.0.0.0'


@dataclasses.dataclass(frozen=True)
class Ports:
    store: int
    server: int
    clients: int
    readiness: int
    announcements: int
    first_peer: int


def free_ports() -> Ports:
    """Return ports that are free on every address the fleet uses.

    A node listens on the first peer port and on the next number, so both are probed. The ports are
    in the block of this test worker, below the range from which the system assigns ports to other
    processes.
    """
    numbers = [free_port(ANY_ADDRESS) for _ in range(5)]
    first_peer = free_port(ANY_ADDRESS)
    while not is_free(ANY_ADDRESS, first_peer + 1):
        first_peer = free_port(ANY_ADDRESS)
    return Ports(*numbers, first_peer)


def make_configuration(version: int = 1, **changes) -> dict:
    configuration = {
        'version': f'{version:08x}',
        'routes': {
            'book': {
                'host': 'a.example',
                'pathPrefix': '/book/',
                'routeType': 'non_idempotent',
                'timeoutS': 3.0,
                'targetLatencyS': 1.0,
                'priority': 1,
                'service': 'bookings',
                'attempts': 2,
                'public': False,
            },
            'read': {
                'host': 'a.example',
                'pathPrefix': '/read/',
                'routeType': 'idempotent',
                'timeoutS': 3.0,
                'targetLatencyS': 1.0,
                'priority': 2,
                'service': 'bookings',
                'attempts': 3,
                'public': False,
            },
        },
        'services': {'bookings': {'healthCheckPath': '/healthz', 'maxConnections': 100}},
        'limits': {'headerTimeoutS': 3, 'idleTimeoutS': 15},
        'tenants': {'cafe': {'apiKeys': [KEY], 'ratePerS': 1000, 'burst': 1000}},
    }
    return {**configuration, **changes}


class SidecarNode:
    """One node process and its local backend server."""

    def __init__(self, fleet: 'SidecarFleet', number: int) -> None:
        self.fleet = fleet
        self.name = f'node-{number}'
        self.zone = 'a'
        self.host = f'127.0.0.{10 + number}'
        self.server = PlatformServer(self.host, fleet.ports, 'bookings', f'server-{number}')
        # Each node has its own relay to the store, so that it can be partitioned individually.
        self.store_relay = Relay(
            fleet.network,
            f'store-of-{self.name}',
            LOOPBACK,
            0,
            fleet.store_port,
        )
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = fleet.folder / f'{self.name}.log'

    def settings(self) -> dict:
        ports, host = self.fleet.ports, self.host
        return {
            'localNode': {
                'nodeName': self.name,
                'ip': host,
                'zone': self.zone,
                'appAddr': f'{host}:{ports.server}',
                'service': 'bookings',
                'limits': self.fleet.machine_limits,
            },
            'network': {
                'listen': {
                    'outbound': f'{host}:{ports.clients}',
                    'ready': f'{host}:{ports.readiness}',
                    'control': f'{host}:{ports.announcements}',
                },
                'portRange': [ports.first_peer, ports.first_peer + 1],
            },
            'platform': {'platform': {'address': f'{LOOPBACK}:{self.store_relay.port}'}},
            'terms': {
                'bounds': {
                    'budgetExtraRetries': 100,
                    'graceS': GRACE_SECONDS,
                    'coldOverage': 1.5,
                    'coldSlack': 8,
                    'evacuateS': 5,
                }
            },
        }

    async def start(self) -> None:
        path = self.fleet.folder / f'{self.name}.json'
        path.write_text(json.dumps(self.settings()))
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'turmericwharf_node.sidecar',
                'run',
                env={'TURMERICWHARF_NODE_FILE': str(path), 'PYTHONPATH': SOURCES},
                stdout=log,
                stderr=log,
            )

    async def stop(self, number: int = signal.SIGTERM) -> None:
        self.process.send_signal(number)
        await self.process.wait()

    def events(self, name: str) -> list[dict]:
        # The process may be writing the last line. A JSON string may contain other line separators.
        *complete, _ = self.log_path.read_text().split('\n')
        lines = [line for line in complete if line.startswith('{')]
        return [record for record in map(json.loads, lines) if record['event'] == name]

    async def is_ready(self) -> bool:
        # A process that exits during the check closes the connection, which counts as not ready.
        with contextlib.suppress(OSError, HTTPError):
            response = await self.fleet.fetch(
                f'http://{self.host}:{self.fleet.ports.readiness}/ready'
            )
            return response.code == 200
        return False

    async def send_request(self, target: str, *, method: str = 'GET', key: str = KEY, **options):
        """Send a request as a client on the machine of this node."""
        headers = {
            'Host': 'a.example',
            'Turmericwharf-Attempt-Id': options.get('request')
            or f'r{next(self.fleet.request_numbers)}',
            'Turmericwharf-Deadline-Ms': str(options.get('deadline_milliseconds', 3000)),
            'Api-Key': key,
        }
        return await self.fleet.fetch(
            f'http://{self.host}:{self.fleet.ports.clients}{target}',
            method=method,
            headers=headers,
            body=b'x' if method == 'POST' else None,
        )


class SidecarFleet:
    """Store, nodes and backend servers on loopback."""

    def __init__(
        self,
        count: int,
        folder: Path,
        *,
        zones: Sequence[str] = ('a',),
        machine_limits: dict | None = None,
    ) -> None:
        self.folder = folder
        self.machine_limits = machine_limits or {}
        self.ports = free_ports()
        self.store_port = self.ports.store
        self.store = PlatformStore()
        self.network = Network()
        self.request_numbers = itertools.count(1)
        self.nodes = [SidecarNode(self, number) for number in range(count)]
        for node, zone in zip(self.nodes, itertools.cycle(zones)):
            node.zone = zone

    async def start(self) -> None:
        self.store.start(LOOPBACK, self.store_port)
        self.store.configure(make_configuration())
        for node in self.nodes:
            await node.store_relay.start()
            node.server.start()
            await node.start()
        await self.wait_until_converged()

    async def wait_until_converged(self) -> None:
        """Wait until all nodes are ready and the store has an entry for every server."""
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while not all([await node.is_ready() for node in self.nodes]):
                await asyncio.sleep(0.05)
            while len(self.store.newest_by_topic.get('keyed.nodes', {})) < len(self.nodes):
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.6)

    async def close(self) -> None:
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                await node.stop(signal.SIGKILL)
            node.server.stop()
            await node.store_relay.stop()
        self.store.stop()

    def runs(self, request: str) -> int:
        return sum(node.server.runs_by_request[request] for node in self.nodes)

    async def fetch(self, url: str, **options):
        client = AsyncHTTPClient(force_instance=True)
        request = HTTPRequest(url, request_timeout=10, allow_nonstandard_methods=True, **options)
        try:
            return await client.fetch(request, raise_error=False)
        finally:
            client.close()


@contextlib.asynccontextmanager
async def running_fleet(count: int = 3, **options):
    """Yield a fleet that is ready to serve requests."""
    with log_folder() as folder:
        fleet = SidecarFleet(count, folder, **options)
        try:
            await fleet.start()
            yield fleet
        finally:
            await fleet.close()
