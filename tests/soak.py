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
import signal
import sys
import tempfile
import time
from pathlib import Path

from tornado.httpclient import HTTPError

from tests.sidecar_fleet import KEY, LOOPBACK, SidecarFleet, make_configuration

NODES = 4
SOAK_SECONDS = 12.0
SETTLE_SECONDS = 8.0
CLIENTS_PER_NODE = 3
PAUSE_SECONDS = (0.2, 3.0)
DOWNTIME_SECONDS = (0.1, 1.5)
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
# Time for which a server that left continues to serve.
SERVING_SECONDS = (3.0, 7.0)
# Delay of an announcement that was sent before the server began to leave.
LATE_ANNOUNCEMENT_SECONDS = (0.1, 3.5)
# Share of the leaving servers whose node is restarted, and the time between the signal to the node
# and the announcement of the leave.
RESTART_SHARE = 0.5
STOP_LEAD_SECONDS = (0.0, 2.0)
OK = 200
# Overrun of rate and burst that the bounds in the settings allow in a window: a fraction of the
# limit, plus a number of requests.
OVERAGE_FRACTION = 0.1
SLACK_REQUESTS = 20


@dataclasses.dataclass(frozen=True)
class RequestRecord:
    """One request as recorded by its client; the status is None without an answer."""

    request: str
    key: str
    idempotent: bool
    sent_at: float
    status: int | None
    body: bytes
    answered_request: str | None


@dataclasses.dataclass(frozen=True)
class LeaveRecord:
    """A server that left, when that was acknowledged, and when its process ended."""

    server: str
    acknowledged_at: float
    ended_at: float


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


async def kill(soak: Soak) -> None:
    """Kill a node process and restart it."""
    await _restart(soak, signal.SIGKILL)


async def terminate(soak: Soak) -> None:
    """Stop a node process gracefully and restart it."""
    await _restart(soak, signal.SIGTERM)


async def _restart(soak: Soak, stop_signal: signal.Signals, node=None) -> None:
    node = node or soak.random.choice(soak.fleet.nodes)
    if node.process.returncode is not None:
        return
    soak.log_event(f'{node.name} receives {stop_signal.name}')
    await node.stop(stop_signal)
    await asyncio.sleep(soak.random.uniform(*DOWNTIME_SECONDS))
    # Overlapping faults may have stopped the same node, and another one may have restarted it.
    if node.process.returncode is not None:
        await node.start()
        soak.log_event(f'{node.name} is restarted')


async def pause(soak: Soak) -> None:
    """Suspend a node process and resume it."""
    node = soak.random.choice(soak.fleet.nodes)
    if node.process.returncode is not None:
        return
    soak.log_event(f'{node.name} is paused')
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.random.uniform(*PAUSE_SECONDS))
    if node.process.returncode is None:
        node.process.send_signal(signal.SIGCONT)
        soak.log_event(f'{node.name} is resumed')


async def fail_server(soak: Soak) -> None:
    """Inject a fault into a backend server for a limited time."""
    server = soak.random.choice(soak.fleet.nodes).server
    server.behaviour = soak.random.choice(('reset', 'hang', 'error', 'reject'))
    soak.log_event(f'{server.name}: {server.behaviour}')
    await asyncio.sleep(soak.random.uniform(0.5, 3))
    server.behaviour = 'answer'
    soak.log_event(f'{server.name}: recovered')


async def fail_store(soak: Soak) -> None:
    """Inject a fault into the store for a limited time."""
    soak.fleet.store.fault = soak.random.choice(('busy', 'silent', 'lost'))
    soak.log_event(f'store: {soak.fleet.store.fault}')
    await asyncio.sleep(soak.random.uniform(0.5, 4))
    soak.fleet.store.fault = ''
    soak.log_event('store: recovered')


async def truncate_store(soak: Soak) -> None:
    """Drop the history of the store."""
    soak.fleet.store.truncate()
    soak.log_event('store: history dropped')


async def disturb_store_link(soak: Soak) -> None:
    """Reset, delay or block (one way or both ways) the connections of a node to the store."""
    relay = soak.random.choice(soak.fleet.nodes).store_relay
    disturbance = soak.random.choice(('reset', 'delay', 'cut answers', 'silence'))
    soak.log_event(f'{relay.name}: {disturbance}')
    if disturbance == 'reset':
        relay.reset()
    elif disturbance == 'delay':
        soak.fleet.network.delay(relay.name, LOOPBACK, 0.4)
    else:
        soak.fleet.network.cut(relay.name, LOOPBACK)
        if disturbance == 'silence':
            soak.fleet.network.cut(LOOPBACK, relay.name)
    await asyncio.sleep(soak.random.uniform(1, 5))
    soak.fleet.network.heal()
    soak.log_event(f'{relay.name}: healed')


async def withdraw_key(soak: Soak) -> None:
    """Withdraw a key permanently."""
    if soak.withdrawn_at is None:
        soak.withdrawn_at = time.monotonic()
        soak.configure()
        soak.log_event(f'configuration version {soak.version} withdraws the key')


async def configure(soak: Soak) -> None:
    """Write a new version of the configuration."""
    soak.configure()
    soak.log_event(f'configuration version {soak.version} is written')


async def leave_server(soak: Soak) -> None:
    """Let a server leave, with a late announcement, and start again when its process has ended."""
    node = soak.random.choice(soak.fleet.nodes)
    server = node.server
    if server.name in soak.leaving_servers:
        return
    soak.leaving_servers.add(server.name)
    late_announcement = server.make_heartbeat()
    # A node may be restarted together with its server, or after it.
    restart = None
    if soak.random.random() < RESTART_SHARE:
        stop_signal = soak.random.choice((signal.SIGTERM, signal.SIGKILL))
        restart = asyncio.create_task(_restart(soak, stop_signal, node))
        await asyncio.sleep(soak.random.uniform(*STOP_LEAD_SECONDS))
    announces_drain = soak.random.random() < 0.5
    if announces_drain:
        status = await soak.announce(server.announce_state('draining'))
    else:
        server.stop_heartbeats()
        status = await soak.announce(server.deregister())
    acknowledged_at = time.monotonic()
    soak.log_event(f'{server.name} leaves, draining: {announces_drain}, answered {status}')
    if restart is not None:
        await restart
    await asyncio.sleep(soak.random.uniform(*LATE_ANNOUNCEMENT_SECONDS))
    late_status = await soak.announce(server.send_heartbeat(late_announcement))
    soak.log_event(f'{server.name}: late announcement, answered {late_status}')
    await asyncio.sleep(soak.random.uniform(*SERVING_SECONDS))
    if status == OK:
        soak.leaves.append(LeaveRecord(server.name, acknowledged_at, time.monotonic()))
    server.restart()
    soak.leaving_servers.discard(server.name)
    soak.log_event(f'{server.name} starts again')


FAULTS = (
    kill,
    terminate,
    pause,
    fail_server,
    fail_server,
    leave_server,
    leave_server,
    fail_store,
    disturb_store_link,
    truncate_store,
    configure,
    withdraw_key,
)


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
