"""Start-up time and memory of the control state at the size planned for two years ahead.

Run as `python -m benchmarks.control_memory [SNAPSHOTS]`. A child process reads a stream with
SNAPSHOTS snapshots (default 3, the number that the log retains) and prints its usage.
"""

import asyncio
import gc
import json
import resource
import secrets
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec

from turmericwharf.coordination import RouteIndex, fold_record, read_newest_snapshot
from turmericwharf.protocol import SnapshotEncoding, decode_log_page, digest_key, encode_record
from turmericwharf.state import (
    Configuration,
    ControlState,
    Key,
    Organisation,
    Publish,
    Route,
    Service,
    StoredRecord,
    WorkClass,
)

ORGANISATIONS = 45_000
ROUTES = 4_500
SERVICES = 200
LIMIT_MIB = 128


def full_size_change() -> Publish:
    """Return one change with all objects of the planned configuration."""
    return Publish(
        publish_id='size',
        base_version=-1,
        operator='benchmark',
        organisations=tuple(
            Organisation(f'organisation-{number}', 3.1, 20.0) for number in range(ORGANISATIONS)
        ),
        classes=(WorkClass('read', 1000),),
        services=tuple(Service(f'service-{number}') for number in range(SERVICES)),
        routes=tuple(
            Route(
                f'route-{number}',
                ('GET',),
                f'/area-{number % 90}/{number}',
                f'service-{number % 200}',
                'read',
            )
            for number in range(ROUTES)
        ),
        keys=tuple(
            Key(digest_key(str(number)), secrets.token_hex(12), f'organisation-{number}')
            for number in range(ORGANISATIONS)
        ),
    )


def make_state() -> ControlState:
    record = full_size_change()
    started = time.perf_counter()
    state = fold_record(ControlState(), StoredRecord(0, record))
    assert state.configuration.receipts_by_publish_id['size'].accepted
    print(f'fold of one change with everything: {time.perf_counter() - started:.2f} s')
    return state


def make_page(state: ControlState, snapshots: int) -> bytes:
    started = time.perf_counter()
    parts = [
        part
        for number in range(snapshots)
        for part in SnapshotEncoding().encode(state, f'snapshot-{number}')
    ]
    seconds = (time.perf_counter() - started) / snapshots
    size = sum(len(part.encoded) for part in parts) / snapshots / 2**20
    print(f'one snapshot: {size:.1f} MiB in {len(parts) // snapshots} parts, {seconds:.2f} s')
    records = [
        {'offset': offset, 'record': encode_record(part)} for offset, part in enumerate(parts)
    ]
    return msgspec.json.encode(
        {'records': records, 'earliest_offset': 0, 'next_offset': len(records)}
    )


class FileLog:
    """Log that returns the page in a file for the first read, and empty pages afterwards."""

    def __init__(self, path: Path) -> None:
        self.path = path

    async def append(self, stream, records):
        raise NotImplementedError

    async def read(self, stream, *, offset, wait_seconds):
        if offset:
            return decode_log_page(
                json.dumps({'records': [], 'earliest_offset': 0, 'next_offset': offset}).encode()
            )
        return decode_log_page(self.path.read_bytes())


def resident_mib() -> float:
    pages = int(Path('/proc/self/statm').read_text().split()[1])
    return pages * resource.getpagesize() / 2**20


def peak_mib() -> float:
    # Unlike ru_maxrss, VmHWM excludes the memory of the parent at the time of the fork.
    lines = Path('/proc/self/status').read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith('VmHWM')) / 1024


async def measure(path: Path) -> None:
    initial_mib = resident_mib()
    started = time.perf_counter()
    # Awaited directly, because asyncio would build the repr of a state that a task returns.
    state = await read_newest_snapshot(FileLog(path), SnapshotEncoding())
    index = RouteIndex(state.configuration.routes_by_id.values())
    seconds = time.perf_counter() - started
    gc.collect()
    assert isinstance(state.configuration, Configuration)
    assert len(state.configuration.keys_by_digest) == ORGANISATIONS
    peak = peak_mib()
    started = time.perf_counter()
    for number in range(ROUTES):
        assert index.find('GET', f'/area-{number % 90}/{number}/more').route == f'route-{number}'
    lookup_microseconds = (time.perf_counter() - started) / ROUTES * 1e6
    print(
        f'start from the snapshot: {seconds:.2f} s; resident {initial_mib:.0f} MiB before, '
        f'{resident_mib():.0f} MiB after, {peak:.0f} MiB at the peak (bound {LIMIT_MIB}); '
        f'a route lookup {lookup_microseconds:.1f} us'
    )


def main() -> None:
    if len(sys.argv) > 2:
        asyncio.run(measure(Path(sys.argv[2])))
        return
    snapshots = int(sys.argv[1]) if len(sys.argv) > 1 else 3
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'page.json'
        path.write_bytes(make_page(make_state(), snapshots))
        subprocess.run(
            [sys.executable, '-m', 'benchmarks.control_memory', 'child', str(path)], check=True
        )


if __name__ == '__main__':
    main()
