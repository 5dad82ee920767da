"""Cost of the components of a sidecar node by number of nodes, organisations and routes.

Run as `python -m benchmarks.sidecar_slopes`; prints a table. Runs in one process without sockets.
"""

import json
import time
import tracemalloc
from types import SimpleNamespace

from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.quota import FixedShareBuckets
from turmericwharf.coordination.sidecar.share_holders import FixedShareHolders
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.platform.configuration import decode_configuration
from turmericwharf.protocol import encode_node_entry
from turmericwharf.state.sidecar import NodeEntry, ServerPhase, SidecarBounds, StoredEntry
from turmericwharf.transport.clock import BootClock

DATA_CENTRES = 4
SERVICES = 200
ROUNDS = 2000


def make_entry(number: int) -> NodeEntry:
    return NodeEntry(
        instance=f'node-{number}',
        process=f'{number:024x}',
        host=f'10.0.{number // 250}.{number % 250}',
        peer_port=7000,
        data_centre=f'place-{number % DATA_CENTRES}',
        server=f'server-{number}',
        service=f'service-{number % SERVICES}',
        slots=3,
        phase=ServerPhase.READY,
    )


def make_configuration(organisations: int, routes: int) -> bytes:
    return json.dumps(
        {
            'version': '00000001',
            'routes': {
                f'r{number}': {
                    'host': f'h{number % 50}.example',
                    'pathPrefix': f'/p{number}/',
                    'routeType': 'idempotent',
                    'service': f'service-{number % SERVICES}',
                }
                for number in range(routes)
            },
            'tenants': {
                f't{number}': {'apiKeys': [f'key-{number}'], 'ratePerS': 10, 'burst': 10}
                for number in range(organisations)
            },
        },
    ).encode()


def measure_milliseconds(operation, rounds: int = 1) -> float:
    started_at = time.perf_counter()
    for _ in range(rounds):
        operation()
    return (time.perf_counter() - started_at) / rounds * 1000


def measure_configuration(organisations: int, routes: int) -> str:
    encoded = make_configuration(organisations, routes)
    tracemalloc.start()
    holder = ActiveConfiguration(decode_configuration)
    milliseconds = measure_milliseconds(lambda: holder.apply_if_newer(encoded, source='benchmark'))
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    route_milliseconds = measure_milliseconds(
        lambda: holder.routes.find('h1.example', '/p1/a/b/c'), ROUNDS
    )
    return (
        f'{organisations} organisations, {routes} routes: {len(encoded) / 1e6:.2f} MB on the wire, '
        f'applied in {milliseconds:.0f} ms with tracing, {megabytes:.1f} MB, '
        f'route {route_milliseconds * 1000:.1f} us'
    )


def measure_nodes(count: int) -> str:
    clock = BootClock()
    tracemalloc.start()
    directory = NodeDirectory(make_entry(0), clock)
    for number in range(1, count):
        directory.apply(StoredEntry(make_entry(number), number), source='benchmark')
    kilobytes = tracemalloc.get_traced_memory()[0] / 1e3
    tracemalloc.stop()
    holder = ActiveConfiguration(decode_configuration)
    holder.apply_if_newer(make_configuration(45_000, 1), source='benchmark')
    knowledge = StartupKnowledge()
    knowledge.record_store_read()
    holders = FixedShareHolders(directory, holder, clock, knowledge)
    holders.refresh()
    directory.apply(StoredEntry(make_entry(count), count), source='benchmark')
    refresh_milliseconds = measure_milliseconds(holders.refresh)
    bounds = SidecarBounds(0.2, 64, 10, 6, 5, 0.1, 20)
    buckets = FixedShareBuckets(holders, holder, clock, SimpleNamespace(current=bounds))
    grant_milliseconds = measure_milliseconds(lambda: buckets.grant('t1'), ROUNDS)
    selector = ServerSelector(directory, clock)
    select_milliseconds = measure_milliseconds(
        lambda: selector.select('service-0', frozenset()), ROUNDS
    )
    return (
        f'{count} nodes: directory {kilobytes:.0f} kB, '
        f'holders of 45,000 rates {refresh_milliseconds:.0f} ms after a change, '
        f'token {grant_milliseconds * 1000:.1f} us, choice {select_milliseconds * 1000:.1f} us, '
        f'entry {len(encode_node_entry(make_entry(1)))} bytes'
    )


def main() -> None:
    for organisations, routes in ((8, 20), (80, 200), (4_500, 450), (45_000, 4_500)):
        print(measure_configuration(organisations, routes), flush=True)
    for count in (30, 100, 500, 5_300):
        print(measure_nodes(count), flush=True)


if __name__ == '__main__':
    main()
