"""Randomized fault soak of sidecar nodes: real processes, injected faults, checked guarantees.

Run as `python -m tests.soak SEED...`; a seed may be a range such as `1-50`. Each seed injects
sequential and overlapping faults while clients send requests, and then checks the records of
clients and backend servers for violated guarantees.
"""

import asyncio
import collections
import dataclasses
import json
import logging
import random
import sys
import tempfile
import time
from pathlib import Path

from tornado.httpclient import HTTPError

from tests.sidecar_fleet import KEY, SidecarFleet, make_configuration
from tests.soak_faults import FAULTS
from tests.soak_records import LeaveRecord, RequestRecord
from turmericwharf.protocol import decode_node_entry

NODES = 4
SOAK_SECONDS = 12.0
SETTLE_SECONDS = 8.0
CLIENTS_PER_NODE = 3
UNKNOWN_KEY = 'key-of-nobody'
# Withdrawn permanently by a fault. Once the faults have ended, no request with it may run.
WITHDRAWN_KEY = 'key-to-be-withdrawn'
WITHDRAWAL_SECONDS = 5.0
# Status codes which guarantee that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Rate (requests per second) and burst (requests) of the organisation used by the rate check.
SMALL_RATE = 20
SMALL_BURST = 20
SMALL_KEY = 'key-of-the-small-one'
WINDOW_SECONDS = 5.0
# Time after the acknowledgement of a leave from which no request may reach the server.
DRAIN_SECONDS = 2.0
# Overrun of rate and burst that the bounds in the settings allow in a window: a fraction of the
# limit, plus a number of requests.
OVERAGE_FRACTION = 0.1
SLACK_REQUESTS = 20


@dataclasses.dataclass
class Soak:
    """Run of one seed: the fleet, its faults and the records of the clients."""

    fleet: SidecarFleet
    random: random.Random
    records: list[RequestRecord] = dataclasses.field(default_factory=list)
    leaves: list[LeaveRecord] = dataclasses.field(default_factory=list)
    leaving_servers: set[str] = dataclasses.field(default_factory=set)
    timeline: list[str] = dataclasses.field(default_factory=list)
    version: int = 1
    withdrawn_at: float | None = None
    started_at: float = dataclasses.field(default_factory=time.monotonic)

    def log_event(self, text: str) -> None:
        self.timeline.append(f'{time.monotonic() - self.started_at:7.2f} s  {text}')

    async def run(self) -> list[str]:
        """Run the seed and return the violated guarantees."""
        self.configure()
        # The store never loses the first configuration.
        self.fleet.store.keep_history()
        stop_event = asyncio.Event()
        clients = [
            asyncio.create_task(self.call(node, stop_event))
            for node in self.fleet.nodes
            for _ in range(CLIENTS_PER_NODE)
        ]
        injection_ends_at = time.monotonic() + SOAK_SECONDS
        faults: set[asyncio.Task] = set()
        while time.monotonic() < injection_ends_at:
            fault = self.random.choice(FAULTS)
            faults.add(asyncio.create_task(fault(self)))
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await asyncio.gather(*faults)
        ended_at = time.monotonic()
        self.fleet.store.fault = ''
        self.log_event('faults ended')
        await asyncio.sleep(SETTLE_SECONDS)
        stop_event.set()
        await asyncio.gather(*clients)
        return [
            *self.find_violations(injection_ends_at + SETTLE_SECONDS / 2),
            *self.find_runs_after_withdrawal(ended_at),
            *self.find_runs_after_leave(),
            *self.find_lost_entries(),
        ]

    def configure(self) -> None:
        self.version += 1
        small = {'apiKeys': [SMALL_KEY], 'ratePerS': SMALL_RATE, 'burst': SMALL_BURST}
        keys = [KEY] if self.withdrawn_at else [KEY, WITHDRAWN_KEY]
        tenants = {'cafe': {'apiKeys': keys, 'ratePerS': 5000, 'burst': 5000}, 'small': small}
        self.fleet.store.configure(make_configuration(self.version, tenants=tenants))

    async def call(self, node, stop_event: asyncio.Event) -> None:
        """Send requests on one machine until the soak is stopped."""
        while not stop_event.is_set():
            keys = (KEY, SMALL_KEY, WITHDRAWN_KEY, UNKNOWN_KEY)
            key = self.random.choices(keys, (10, 10, 2, 1))[0]
            idempotent = self.random.random() < 0.5
            await self.call_once(node, key, idempotent=idempotent)
            await asyncio.sleep(self.random.uniform(0, 0.05))

    async def call_once(self, node, key: str, *, idempotent: bool) -> None:
        request = f's{next(self.fleet.request_numbers)}'
        sent_at = time.monotonic()
        target, method = ('/read/1', 'GET') if idempotent else ('/book/1', 'POST')
        try:
            response = await node.send_request(target, method=method, key=key, request=request)
        except (OSError, HTTPError):
            self.records.append(RequestRecord(request, key, idempotent, sent_at, None, b'', None))
            await asyncio.sleep(0.05)
            return
        answered_request = response.headers.get('Turmericwharf-Attempt-Id')
        status = None if response.code == 599 else response.code
        self.records.append(
            RequestRecord(
                request, key, idempotent, sent_at, status, response.body or b'', answered_request
            )
        )

    async def announce(self, call) -> int | None:
        """Return the status of an announcement, or None if the node is not running."""
        try:
            return await call
        except (OSError, HTTPError):
            return None

    def find_violations(self, healed_at: float):
        """Yield a message for each guarantee that the records of clients and servers violate."""
        for record in self.records:
            runs = self.fleet.runs(record.request)
            if not record.idempotent and runs > 1:
                yield f'{record.request} must run at most once, but ran {runs} times'
            if record.status in NOT_RUN_STATUSES and not record.idempotent and runs:
                yield f'{record.request} was answered {record.status}, but ran'
            if record.key == UNKNOWN_KEY and runs:
                yield f'{record.request} ran for an unknown key'
            if record.status == 200 and (record.answered_request != record.request or not runs):
                yield f'{record.request} received the answer of {record.answered_request}'
        yield from self.find_rate_violations()
        late = [
            record for record in self.records if record.sent_at > healed_at and record.key == KEY
        ]
        served = sum(record.status == 200 for record in late)
        if served < 0.9 * len(late) or not late:
            yield f'only {served} of {len(late)} requests succeeded after the faults'

    def find_runs_after_withdrawal(self, ended_at: float):
        """Yield a message for each request that ran after its key was withdrawn."""
        if self.withdrawn_at is None:
            return
        in_force_at = max(self.withdrawn_at, ended_at) + WITHDRAWAL_SECONDS
        for record in self.records:
            if (
                record.key == WITHDRAWN_KEY
                and record.sent_at > in_force_at
                and self.fleet.runs(record.request)
            ):
                yield f'{record.request} ran for a withdrawn key'

    def find_runs_after_leave(self):
        """Yield a message for each server that got requests after its leave was acknowledged."""
        servers_by_name = {node.server.name: node.server for node in self.fleet.nodes}
        for leave in self.leaves:
            from_seconds = leave.acknowledged_at + DRAIN_SECONDS
            runs = [
                at - leave.acknowledged_at
                for at in servers_by_name[leave.server].runs_at
                if from_seconds < at < leave.ended_at
            ]
            if runs:
                yield (
                    f'{leave.server} got {len(runs)} requests after its leave was acknowledged, '
                    f'the first {runs[0]:.2f} s after it'
                )

    def find_lost_entries(self):
        """Yield a message for each node that has not written its entry in the last era."""
        newest = self.fleet.store.newest_by_topic['keyed.nodes']
        for node in self.fleet.nodes:
            _, encoded = newest.get(node.name, (0, b''))
            entry = decode_node_entry(encoded) if encoded else None
            era = None if entry is None else entry.era
            if era != self.fleet.store.era:
                yield f'{node.name} has written its entry in era {era}, not {self.fleet.store.era}'

    def find_rate_violations(self):
        """Yield a message if the small organisation exceeded its rate in any window."""
        allowed = (SMALL_RATE * WINDOW_SECONDS + SMALL_BURST) * (
            1 + OVERAGE_FRACTION
        ) + SLACK_REQUESTS
        run_times = [
            record.sent_at
            for record in self.records
            if record.key == SMALL_KEY and self.fleet.runs(record.request)
        ]
        window: collections.deque[float] = collections.deque()
        for sent_at in sorted(run_times):
            window.append(sent_at)
            while window[0] < sent_at - WINDOW_SECONDS:
                window.popleft()
            if len(window) > allowed:
                yield f'{len(window)} requests ran in a window with a limit of {allowed:.0f}'
                return


async def play(seed: int) -> dict:
    """Run one seed and return its report."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = SidecarFleet(NODES, Path(folder))
        try:
            await fleet.start()
            soak = Soak(fleet, random.Random(seed))
            violations = await soak.run()
        finally:
            await fleet.close()
        statuses = collections.Counter(str(record.status) for record in soak.records)
        return {
            'seed': seed,
            'broken': violations,
            'requests': len(soak.records),
            'statuses': dict(statuses),
            'timeline': soak.timeline,
        }


def parse_seeds(arguments: list[str]) -> list[int]:
    """Parse seeds from arguments such as `7` and `1-50`."""
    seeds = []
    for text in arguments:
        first, _, last = text.partition('-')
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def main(arguments: list[str]) -> int:
    """Run the seeds; print one line for each, and the timeline of those that failed."""
    failed = 0
    for seed in parse_seeds(arguments):
        report = asyncio.run(play(seed))
        failed += bool(report['broken'])
        verdict = 'broken' if report['broken'] else 'kept'
        print(
            f'seed {seed}: {verdict}, {report["requests"]} requests {report["statuses"]}',
            flush=True,
        )
        if report['broken']:
            print('\n'.join(report['timeline'] + report['broken'][:10]), flush=True)
            Path(f'build/soak-{seed}.json').write_text(json.dumps(report, indent=1))
    print(f'{failed} of {len(parse_seeds(arguments))} seeds failed')
    return min(failed, 1)


if __name__ == '__main__':
    Path('build').mkdir(exist_ok=True)
    logging.getLogger('tornado').setLevel(logging.CRITICAL)
    sys.exit(main(sys.argv[1:] or ['1']))
