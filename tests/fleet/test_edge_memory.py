"""Real node processes and crowds of clients that make a node hold more than its machine has."""

import asyncio
import concurrent.futures
import contextlib
import fcntl
import os
import socket
import tempfile
from pathlib import Path

import pytest

from tests.sidecar_fleet import KEY, make_configuration, running_fleet

BYTES_PER_MEGABYTE = 1_000_000
MAX_FDS = 400
# A small machine, and the smallest one that operators use.
CROWD_LIMITS = {'memoryMb': 120, 'maxFds': MAX_FDS}
SMALLEST_LIMITS = {'memoryMb': 200, 'maxFds': MAX_FDS}
# Descriptors that are kept for files.
RESERVED_FDS = 200
BODY_BYTES = 8_000_000
LARGEST_BODY_BYTES = 67_108_864
RESPONSE_BYTES = 1_000_000
CHUNK = bytes(65_536)
SEND_TIMEOUT_SECONDS = 3.0
pytestmark = pytest.mark.exclusive
LOCK_PATH = Path(tempfile.gettempdir()) / f'turmericwharf-edge-memory-{os.getuid()}.lock'


@pytest.fixture(autouse=True)
def one_at_a_time():
    """Let only one of these tests run at a time, across all workers."""
    with LOCK_PATH.open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def head(number: int, framing: str, method: str = 'POST', target: str = '/book/1') -> bytes:
    return (
        f'{method} {target} HTTP/1.1\r\nHost: a.example\r\nApi-Key: {KEY}\r\n'
        f'Turmericwharf-Attempt-Id: crowd-{number}\r\nTurmericwharf-Deadline-Ms: 30000\r\n'
        f'{framing}\r\n'
    ).encode()


def with_length(number: int) -> bytes:
    return head(number, f'Content-Length: {BODY_BYTES}\r\n') + bytes(BODY_BYTES - 1)


def in_large_chunks(number: int) -> bytes:
    chunk = b'%x\r\n%b\r\n' % (len(CHUNK), CHUNK)
    count = BODY_BYTES // len(CHUNK)
    return head(number, 'Transfer-Encoding: chunked\r\n') + chunk * count


def in_tiny_chunks(number: int) -> bytes:
    return head(number, 'Transfer-Encoding: chunked\r\n') + b'1\r\nx\r\n' * 170_000


def pipelined(number: int) -> bytes:
    return b''.join(head(number * 1000 + index, '', 'GET', '/read/1') for index in range(60))


class Crowd:
    """Clients in threads of their own, which send and then keep their connections open."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._sockets: list[socket.socket] = []

    async def send(self, encode, count: int) -> None:
        loop = asyncio.get_running_loop()
        with concurrent.futures.ThreadPoolExecutor(count) as threads:
            await asyncio.gather(
                *(
                    loop.run_in_executor(threads, self._send, encode, number)
                    for number in range(count)
                )
            )

    def close(self) -> None:
        for client in self._sockets:
            client.close()

    def _send(self, encode, number: int) -> None:
        # The node may refuse the connection, close it, or stop to read from it.
        with contextlib.suppress(OSError):
            client = socket.create_connection(self._address, timeout=SEND_TIMEOUT_SECONDS)
            self._sockets.append(client)
            client.sendall(encode(number))


def peak_memory_bytes(node) -> int:
    status = Path(f'/proc/{node.process.pid}/status').read_text()
    lines = dict(line.split(':', 1) for line in status.splitlines())
    return int(lines['VmHWM'].split()[0]) * 1024


def assert_within_limits(node, limits) -> None:
    assert node.process.returncode is None
    assert peak_memory_bytes(node) <= limits['memoryMb'] * BYTES_PER_MEGABYTE
    descriptors = len(os.listdir(f'/proc/{node.process.pid}/fd'))
    assert descriptors <= limits['maxFds'] - RESERVED_FDS


async def watch_limits(node) -> None:
    for _ in range(50):
        await asyncio.sleep(0.1)
        assert_within_limits(node, CROWD_LIMITS)


async def allow_long_requests(fleet) -> None:
    """Publish routes whose requests may wait, and an organisation without a rate."""
    routes = {
        name: {**route, 'timeoutS': 30.0, 'targetLatencyS': 20.0, 'routeType': 'idempotent'}
        for name, route in make_configuration()['routes'].items()
    }
    tenants = {'cafe': {'apiKeys': [KEY]}}
    fleet.store.configure(make_configuration(2, routes=routes, tenants=tenants))
    await asyncio.sleep(2)


async def check_crowd(encode, count: int, *, response_bytes: int | None = None) -> None:
    async with running_fleet(1, machine_limits=CROWD_LIMITS) as fleet:
        node = fleet.nodes[0]
        crowd = Crowd((node.host, fleet.ports.clients))
        node.server.response_bytes = response_bytes
        node.server.slots = 50
        await allow_long_requests(fleet)
        try:
            await crowd.send(encode, count)
            await watch_limits(node)
            node.server.response_bytes = None
            assert (await node.send_request('/read/1')).code == 200
            assert_within_limits(node, CROWD_LIMITS)
        finally:
            crowd.close()


async def test_many_bodies_with_a_length():
    """Guards against bodies that stop short of their end and together exceed the memory."""
    await check_crowd(with_length, 40)


async def test_many_bodies_in_large_chunks():
    """Guards against chunked bodies without an end that together exceed the memory."""
    await check_crowd(in_large_chunks, 40)


async def test_many_bodies_in_chunks_of_one_byte():
    """Guards against tiny chunks whose parsing keeps other connections from being served."""
    await check_crowd(in_tiny_chunks, 40)


async def test_many_pipelined_requests_with_unread_responses():
    """Guards against responses that wait for clients which never read."""
    await check_crowd(pipelined, 20, response_bytes=RESPONSE_BYTES)


async def test_many_idle_connections():
    """Guards against connections that use up the descriptors of the machine."""
    await check_crowd(lambda number: b'GET', 300)


@pytest.mark.parametrize('behaviour', ['answer', 'reject'])
async def test_the_largest_body_passes_the_smallest_machine(behaviour):
    """Guards against copies of a body, at the entry, between nodes and at the server.

    A server that rejects the request makes its node send it to the other machine.
    """
    async with running_fleet(2, machine_limits=SMALLEST_LIMITS) as fleet:
        await allow_long_requests(fleet)
        node, other = fleet.nodes
        node.server.behaviour = behaviour
        for server in (node.server, other.server):
            server.response_bytes = 1
        response = await asyncio.to_thread(exchange_largest_body, node.host, fleet.ports.clients)
        assert response.startswith(b'HTTP/1.1 200')
        assert_within_limits(node, SMALLEST_LIMITS)
        assert_within_limits(other, SMALLEST_LIMITS)


def exchange_largest_body(host: str, port: int) -> bytes:
    with socket.create_connection((host, port), timeout=30) as client:
        client.sendall(head(1, f'Content-Length: {LARGEST_BODY_BYTES}\r\n'))
        client.sendall(os.urandom(LARGEST_BODY_BYTES))
        return client.recv(1000)
