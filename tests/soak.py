"""Randomized fault soak of sidecar nodes: real processes, faults from outside, promises checked.

Run as `python -m tests.soak SEED...`; a seed may be a range such as `1-50`. Each seed plays faults
in series and overlapping while clients go on, and checks what clients and servers saw.
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
CLIENTS_A_NODE = 3
FROZEN_SECONDS = (0.2, 3.0)
DOWN_SECONDS = (0.1, 1.5)
NEVER_HELD_KEY = 'key-of-nobody'
# A fault withdraws it for good; afterwards nothing may run for it once the faults have ended.
WITHDRAWN_KEY = 'key-to-be-withdrawn'
WITHDRAWAL_SECONDS = 5.0
# Answers that promise that the request has not run and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
# The organisation of the last check has this rate and burst, in requests.
SMALL_RATE = 20
SMALL_BURST = 20
SMALL_KEY = 'key-of-the-small-one'
WINDOW_SECONDS = 5.0
# Requests above rate and burst that the bounds of the settings allow in a window.
OVERAGE = 0.1
SLACK = 20


@dataclasses.dataclass(frozen=True)
class RequestRecord:
    """What a client sent and got; the status is None if the connection ended."""

    request: str
    key: str
    idempotent: bool
    at: float
    status: int | None
    body: bytes
    named: str | None


@dataclasses.dataclass
class Soak:
    """One seed: a fleet, its faults and what was seen."""

    fleet: SidecarFleet
    random: random.Random
    records: list[RequestRecord] = dataclasses.field(default_factory=list)
    timeline: list[str] = dataclasses.field(default_factory=list)
    version: int = 1
    withdrawn_at: float | None = None
    began_at: float = dataclasses.field(default_factory=time.monotonic)

    def note(self, text: str) -> None:
        self.timeline.append(f'{time.monotonic() - self.began_at:7.2f} s  {text}')

    async def run(self) -> list[str]:
        """Play the seed and return the broken promises."""
        self.configure()
        ended = asyncio.Event()
        clients = [
            asyncio.create_task(self.call(node, ended))
            for node in self.fleet.nodes
            for _ in range(CLIENTS_A_NODE)
        ]
        deadline = time.monotonic() + SOAK_SECONDS
        faults: set[asyncio.Task] = set()
        while time.monotonic() < deadline:
            fault = self.random.choice(FAULTS)
            faults.add(asyncio.create_task(fault(self)))
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await asyncio.gather(*faults)
        ended_at = time.monotonic()
        self.fleet.store.fault = ''
        self.note('faults ended')
        await asyncio.sleep(SETTLE_SECONDS)
        ended.set()
        await asyncio.gather(*clients)
        return [
            *self.find_violations(deadline + SETTLE_SECONDS / 2),
            *self.find_runs_after_withdrawal(ended_at),
        ]

    def configure(self) -> None:
        self.version += 1
        small = {'apiKeys': [SMALL_KEY], 'ratePerS': SMALL_RATE, 'burst': SMALL_BURST}
        keys = [KEY] if self.withdrawn_at else [KEY, WITHDRAWN_KEY]
        tenants = {'cafe': {'apiKeys': keys, 'ratePerS': 5000, 'burst': 5000}, 'small': small}
        self.fleet.store.configure(make_configuration(self.version, tenants=tenants))

    async def call(self, node, ended: asyncio.Event) -> None:
        """Send requests on one machine until the soak ends."""
        while not ended.is_set():
            keys = (KEY, SMALL_KEY, WITHDRAWN_KEY, NEVER_HELD_KEY)
            key = self.random.choices(keys, (10, 10, 2, 1))[0]
            idempotent = self.random.random() < 0.5
            await self.call_once(node, key, idempotent=idempotent)
            await asyncio.sleep(self.random.uniform(0, 0.05))

    async def call_once(self, node, key: str, *, idempotent: bool) -> None:
        request = f's{next(self.fleet.numbers)}'
        at = time.monotonic()
        target, method = ('/read/1', 'GET') if idempotent else ('/book/1', 'POST')
        try:
            found = await node.send_request(target, method=method, key=key, request=request)
        except (OSError, HTTPError):
            self.records.append(RequestRecord(request, key, idempotent, at, None, b'', None))
            await asyncio.sleep(0.05)
            return
        named = found.headers.get('Turmericwharf-Attempt-Id')
        status = None if found.code == 599 else found.code
        self.records.append(
            RequestRecord(request, key, idempotent, at, status, found.body or b'', named)
        )

    def find_violations(self, healed_at: float):
        """Yield what clients and servers saw that must not be."""
        for one in self.records:
            runs = self.fleet.runs(one.request)
            if not one.idempotent and runs > 1:
                yield f'{one.request} must run once at most and ran {runs} times'
            if one.status in NOT_RUN and not one.idempotent and runs:
                yield f'{one.request} was answered {one.status} and ran'
            if one.key == NEVER_HELD_KEY and runs:
                yield f'{one.request} ran for a key that nobody holds'
            if one.status == 200 and (one.named != one.request or not runs):
                yield f'{one.request} got the answer of {one.named}'
        yield from self.find_rate_violations()
        late = [one for one in self.records if one.at > healed_at and one.key == KEY]
        served = sum(one.status == 200 for one in late)
        if served < 0.9 * len(late) or not late:
            yield f'only {served} of {len(late)} requests were served after the faults'

    def find_runs_after_withdrawal(self, ended_at: float):
        """Yield requests that ran for a key that was withdrawn before."""
        if self.withdrawn_at is None:
            return
        in_force_at = max(self.withdrawn_at, ended_at) + WITHDRAWAL_SECONDS
        for one in self.records:
            if one.key == WITHDRAWN_KEY and one.at > in_force_at and self.fleet.runs(one.request):
                yield f'{one.request} ran for a withdrawn key'

    def find_rate_violations(self):
        """Yield windows in which more requests of the small organisation ran than it may."""
        allowed = (SMALL_RATE * WINDOW_SECONDS + SMALL_BURST) * (1 + OVERAGE) + SLACK
        ran = [
            one.at for one in self.records if one.key == SMALL_KEY and self.fleet.runs(one.request)
        ]
        window: collections.deque[float] = collections.deque()
        for at in sorted(ran):
            window.append(at)
            while window[0] < at - WINDOW_SECONDS:
                window.popleft()
            if len(window) > allowed:
                yield f'{len(window)} requests ran in a window that allows {allowed:.0f}'
                return


async def kill(soak: Soak) -> None:
    """Kill a node's process and start it again."""
    await _restart(soak, signal.SIGKILL)


async def terminate(soak: Soak) -> None:
    """Stop a node's process gracefully and start it again."""
    await _restart(soak, signal.SIGTERM)


async def _restart(soak: Soak, number: signal.Signals) -> None:
    node = soak.random.choice(soak.fleet.nodes)
    if node.process.returncode is not None:
        return
    soak.note(f'{node.name} gets {number.name}')
    await node.stop(number)
    await asyncio.sleep(soak.random.uniform(*DOWN_SECONDS))
    # Two overlapping faults may have stopped the same node.
    if node.process.returncode is not None:
        await node.start()
        soak.note(f'{node.name} starts')


async def freeze(soak: Soak) -> None:
    """Pause a node's process."""
    node = soak.random.choice(soak.fleet.nodes)
    if node.process.returncode is not None:
        return
    soak.note(f'{node.name} is paused')
    node.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(soak.random.uniform(*FROZEN_SECONDS))
    if node.process.returncode is None:
        node.process.send_signal(signal.SIGCONT)
        soak.note(f'{node.name} goes on')


async def fail_server(soak: Soak) -> None:
    """Let a backend server misbehave for a while."""
    server = soak.random.choice(soak.fleet.nodes).server
    server.behaviour = soak.random.choice(('reset', 'hang', 'error', 'reject'))
    soak.note(f'{server.name} does {server.behaviour}')
    await asyncio.sleep(soak.random.uniform(0.5, 3))
    server.behaviour = 'answer'
    soak.note(f'{server.name} answers')


async def fail_store(soak: Soak) -> None:
    """Let the store misbehave for a while."""
    soak.fleet.store.fault = soak.random.choice(('busy', 'silent', 'lost'))
    soak.note(f'the store is {soak.fleet.store.fault}')
    await asyncio.sleep(soak.random.uniform(0.5, 4))
    soak.fleet.store.fault = ''
    soak.note('the store answers')


async def forget_history(soak: Soak) -> None:
    """Drop the store's history."""
    soak.fleet.store.truncate()
    soak.note('the store forgets its history')


async def disturb_store_link(soak: Soak) -> None:
    """Reset, delay, cut one way or silence a node's connections to the store."""
    relay = soak.random.choice(soak.fleet.nodes).store_relay
    disturbance = soak.random.choice(('reset', 'delay', 'cut answers', 'silence'))
    soak.note(f'{relay.name}: {disturbance}')
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
    soak.note(f'{relay.name}: healed')


async def withdraw_key(soak: Soak) -> None:
    """Withdraw a key for good."""
    if soak.withdrawn_at is None:
        soak.withdrawn_at = time.monotonic()
        soak.configure()
        soak.note(f'the key is withdrawn by version {soak.version}')


async def configure(soak: Soak) -> None:
    """Write another version of the configuration."""
    soak.configure()
    soak.note(f'version {soak.version} is written')


FAULTS = (
    kill,
    terminate,
    freeze,
    fail_server,
    fail_server,
    fail_store,
    disturb_store_link,
    forget_history,
    configure,
    withdraw_key,
)


async def play(seed: int) -> dict:
    """Play one seed and return a report."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = SidecarFleet(NODES, Path(folder))
        try:
            await fleet.start()
            soak = Soak(fleet, random.Random(seed))
            broken = await soak.run()
        finally:
            await fleet.close()
        statuses = collections.Counter(str(one.status) for one in soak.records)
        return {
            'seed': seed,
            'broken': broken,
            'requests': len(soak.records),
            'statuses': dict(statuses),
            'timeline': soak.timeline,
        }


def read_seeds(texts: list[str]) -> list[int]:
    """Return seeds of arguments such as `7` and `1-50`."""
    seeds = []
    for text in texts:
        first, _, last = text.partition('-')
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def main(texts: list[str]) -> int:
    """Play seeds, print a line for each and the timeline of those that failed."""
    failed = 0
    for seed in read_seeds(texts):
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
    print(f'{failed} of {len(read_seeds(texts))} seeds failed')
    return min(failed, 1)


if __name__ == '__main__':
    Path('build').mkdir(exist_ok=True)
    logging.getLogger('tornado').setLevel(logging.CRITICAL)
    sys.exit(main(sys.argv[1:] or ['1']))
