"""Sends malformed input to every way into a sidecar node, from outside its process.

Usage: `python -m tests.fuzz SECONDS [SEED]`. Each batch is followed by a good request, which has to
be answered, and by a look at the memory of the process.
"""

import asyncio
import contextlib
import dataclasses
import json
import math
import random
import re
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import MappingProxyType
from typing import Any

import cbor2
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from tests.coordination.sidecar.samples import make_entry, make_order
from tests.sidecar_fleet import KEY, SidecarFleet, SidecarNode
from turmericwharf.protocol import Frame, encode_frame
from turmericwharf.state.sidecar import (
    ConfigurationRequest,
    DirectoryRequest,
    Greeting,
    RetryRequest,
    TokenRequest,
    WorkCancel,
)

MAX_MEMORY_BYTES = 100_000_000
INPUTS_PER_BATCH = 20
MAX_DEPTH = 2000
READ_TIMEOUT_SECONDS = 0.05
# Log lines of the node that are printed if something went wrong.
LOG_LINES = 40
_MEMORY = re.compile(r'VmRSS:\s+(\d+) kB')


@dataclasses.dataclass
class FuzzReport:
    """Inputs that were sent, and what went wrong."""

    seed: int
    inputs: int = 0
    broken: list[str] = dataclasses.field(default_factory=list)
    memory_bytes: int = 0


def make_value(source: random.Random, depth: int = 3) -> Any:
    """Return a random value that JSON and CBOR can encode."""
    makers: list[Callable[[], Any]] = [
        lambda: None,
        lambda: source.choice((True, False)),
        lambda: source.randint(-(2**63), 2**63),
        lambda: source.choice((0.0, -1.5, 1e308)),
        lambda: ''.join(source.choices('aé\x00/"\u2028', k=source.randint(0, 40))),
    ]
    if depth:
        makers += [
            lambda: [make_value(source, depth - 1) for _ in range(source.randint(0, 4))],
            lambda: {
                str(make_value(source, 0)): make_value(source, depth - 1)
                for _ in range(source.randint(0, 4))
            },
        ]
    return source.choice(makers)()


def mutate(source: random.Random, encoded: bytes) -> bytes:
    """Return bytes with single ones replaced, a part cut out or a part repeated."""
    changed = bytearray(encoded)
    for _ in range(source.randint(1, 4)):
        start = source.randrange(len(changed) + 1)
        end = min(start + source.randint(1, 16), len(changed))
        edits = (
            source.randbytes(end - start),
            b'',
            bytes(changed[start:end]) * source.randint(2, 5),
        )
        changed[start:end] = source.choice(edits)
    return bytes(changed)


def make_http(source: random.Random) -> bytes:
    """Return a malformed HTTP request."""
    good = (
        f'POST /read/1 HTTP/1.1\r\nHost: a.example\r\nApi-Key: {KEY}\r\n'
        'Turmericwharf-Attempt-Id: fuzz\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n'
    ).encode()
    inputs = (
        source.randbytes(source.randint(1, 2000)),
        mutate(source, good),
        good.replace(b'3\r\nabc', b'fffffffffffffff\r\nabc'),
        b'GET /read/1 HTTP/1.1\r\n' + b'X-Header: ' + b'a' * 300_000,
        b'GET / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello',
        good[: source.randrange(len(good))],
    )
    return source.choice(inputs)


def make_announcement(source: random.Random) -> bytes:
    """Return an announcement of a server with fields of random types."""
    fields = {
        name: make_value(source)
        for name in ('address', 'info', 'status', 'born', 'service')
        if source.random() < 0.8
    }
    if source.random() < 0.3:
        fields['info'] = {'service': make_value(source), 'slots': make_value(source)}
        fields['status'] = {'state': make_value(source), 'sequence': make_value(source)}
    body = mutate(source, json.dumps(fields).encode())
    path = f'/Instances.{source.choice(("Heartbeat", "Deregister"))}/i-{source.randint(0, 3)}'
    head = f'POST {path} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


def make_frame(source: random.Random) -> bytes:
    """Return a frame of another node that is malformed, repeated, or well-formed but unexpected."""
    entry = make_entry('stranger')
    messages = (
        Greeting(entry, 1),
        ConfigurationRequest(source.randint(-9, 9), source.choice((0.0, -1.0, 1e9))),
        DirectoryRequest('process', source.randint(-9, 9), source.choice((0.0, -1.0, 1e9))),
        TokenRequest('cafe', 'stranger', 1),
        RetryRequest('bookings'),
        WorkCancel('r1', 1),
        make_order(entry, remaining_seconds=source.choice((-1.0, 0.1, 1e9))),
    )
    encoded = encode_frame(Frame(source.randint(-1, 5), source.choice(messages)))
    number, correlation, fields = cbor2.loads(encoded)
    fields[source.randrange(len(fields))] = make_value(source)
    inputs = (
        encoded,
        mutate(source, encoded),
        cbor2.dumps([number, correlation, fields]),
        cbor2.dumps([source.randint(0, 99), correlation, fields]),
        cbor2.dumps(make_value(source)),
        b'\x81' * source.randint(1, MAX_DEPTH),
        source.randbytes(source.randint(0, 500)),
    )
    return source.choice(inputs)


async def send_bytes(host: str, port: int, encoded: bytes) -> None:
    """Send bytes on a new connection, and read what comes back for a short time."""
    with contextlib.suppress(OSError, TimeoutError):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(encoded)
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                await reader.read(65536)
        finally:
            writer.transport.abort()


async def send_frames(node: SidecarNode, source: random.Random) -> None:
    """Send frames as another node would, mostly after a proper greeting."""
    uri = f'ws://{node.host}:{node.fleet.ports.first_peer}'
    with contextlib.suppress(OSError, TimeoutError, WebSocketException):
        async with connect(uri, close_timeout=READ_TIMEOUT_SECONDS, proxy=None) as socket:
            if source.random() < 0.9:
                await socket.send(encode_frame(Frame(1, Greeting(make_entry('stranger'), 1))))
            for _ in range(source.randint(1, 4)):
                await socket.send(make_frame(source))
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                await socket.recv()


async def send_http(node: SidecarNode, source: random.Random) -> None:
    ports = node.fleet.ports
    port = source.choice((ports.clients, ports.readiness, ports.first_peer, ports.first_peer + 1))
    await send_bytes(node.host, port, make_http(source))


async def send_announcement(node: SidecarNode, source: random.Random) -> None:
    await send_bytes(node.host, node.fleet.ports.announcements, make_announcement(source))


async def write_record(node: SidecarNode, source: random.Random) -> None:
    """Write a record to the store that the node reads, under the key of another node."""
    records = (
        cbor2.dumps(make_value(source)),
        mutate(source, cbor2.dumps(dataclasses.asdict(make_entry()) | {'phase': 'ready'})),
        source.randbytes(source.randint(0, 200)),
    )
    key = f'stranger-{source.randint(0, 3)}'
    node.fleet.store.put('keyed.nodes', key, source.choice(records))
    await asyncio.sleep(0)


SENDERS = MappingProxyType(
    {
        'http': send_http,
        'announcement': send_announcement,
        'frames': send_frames,
        'record': write_record,
    }
)


def read_memory(node: SidecarNode) -> int:
    """Return the resident memory of a node's process, in bytes."""
    match = _MEMORY.search(Path(f'/proc/{node.process.pid}/status').read_text())
    return 0 if match is None else int(match[1]) * 1024


async def fuzz(
    fleet: SidecarFleet, seed: int, *, seconds: float = math.inf, batches: float = math.inf
) -> FuzzReport:
    """Send batches of malformed input to the first node, for a time or up to a number of them."""
    source = random.Random(seed)
    report = FuzzReport(seed)
    node = fleet.nodes[0]
    ends_at = time.monotonic() + seconds
    while (
        time.monotonic() < ends_at
        and report.inputs < batches * INPUTS_PER_BATCH
        and not report.broken
    ):
        name = source.choice(sorted(SENDERS))
        await asyncio.gather(*(SENDERS[name](node, source) for _ in range(INPUTS_PER_BATCH)))
        report.inputs += INPUTS_PER_BATCH
        response = await node.send_request('/read/1')
        report.memory_bytes = max(report.memory_bytes, read_memory(node))
        if response.code != 200:
            report.broken.append(f'{name}: a good request got {response.code} {response.body!r}')
        if node.process.returncode is not None:
            report.broken.append(f'{name}: the process ended')
        if report.memory_bytes > MAX_MEMORY_BYTES:
            report.broken.append(f'{name}: {report.memory_bytes} bytes of memory')
    if report.broken:
        report.broken += node.log_path.read_text().splitlines()[-LOG_LINES:]
    failures = [record for event in ERROR_EVENTS for record in node.events(event)]
    report.broken += [json.dumps(record)[:500] for record in failures[:5]]
    return report


# Errors that no input may cause; a malformed input is refused by a check that expects it.
ERROR_EVENTS = ('task_failed', 'message_failed', 'order_failed', 'request_failed')


async def main(arguments: list[str]) -> int:
    seconds = float(arguments[0])
    seed = int(arguments[1]) if len(arguments) > 1 else random.randrange(10**6)
    print(f'seed {seed}', flush=True)
    with tempfile.TemporaryDirectory() as folder:
        fleet = SidecarFleet(2, Path(folder))
        try:
            await fleet.start()
            report = await fuzz(fleet, seed, seconds=seconds)
        finally:
            await fleet.close()
    print(f'{report.inputs} inputs, seed {seed}, {report.memory_bytes / 1e6:.1f} MB at the peak')
    print('\n'.join(report.broken))
    return min(len(report.broken), 1)


if __name__ == '__main__':
    sys.exit(asyncio.run(main(sys.argv[1:] or ['10'])))
