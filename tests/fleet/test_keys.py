"""A withdrawn key stops working within 7 s at every node, on open connections too."""

import asyncio
import json
import signal
import time

import pytest

from tests.fleet_processes import Fleet, example_change

WITHDRAWN_SECONDS = 7.0
SLOW_RUN_SECONDS = 9.0
QUICK = {'timing': {'settle_seconds': 1.0}}


class OpenConnection:
    """One connection of a caller that stays open; requests go out one after another."""

    def __init__(self, node, key, path='/catalogue/1', method='GET'):
        self.node = node
        self.request = (
            f'{method} {path} HTTP/1.1\r\nHost: x\r\nX-Api-Key: {key}\r\nContent-Length: 0\r\n\r\n'
        ).encode()
        self.answers = []
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.node.host, self.node.caller_port
        )
        return self

    async def ask(self):
        """Send the request and return the status and the reason."""
        sent_at = time.monotonic()
        self.writer.write(self.request)
        head = await self.reader.readuntil(b'\r\n\r\n')
        length = int(head.lower().split(b'content-length:')[1].split(b'\r\n')[0])
        body = await self.reader.readexactly(length)
        status = int(head.split()[1])
        reason = json.loads(body).get('reason') if status != 200 else None
        self.answers.append((time.monotonic(), sent_at, status, reason))
        return status, reason

    async def poll(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await self.ask()
            await asyncio.sleep(0.1)

    def last_success(self):
        return max(at for at, _sent, status, _reason in self.answers if status == 200)

    def reasons_after(self, moment):
        return {reason for at, sent, _status, reason in self.answers if sent > moment}


def with_slow_work():
    change = example_change()
    change['organisations'].append(
        {'organisation': 'slow-caller', 'rate_per_second': 100.0, 'burst': 50.0}
    )
    change['classes'].append({'work_class': 'slow', 'answer_within_milliseconds': 60_000})
    change['routes'].append(
        {
            'route': 'slow-work',
            'methods': ['GET'],
            'path_prefix': '/slow',
            'service': 'bookings',
            'work_class': 'slow',
        }
    )
    return change


@pytest.mark.fault_cell('configuration: in force', 'key withdrawn')
@pytest.mark.fault_cell('configuration: in force', 'pause')
@pytest.mark.fault_cell('configuration: in force', 'log away')
@pytest.mark.fault_cell('configuration: in force', 'cut out')
@pytest.mark.fault_cell('configuration: in force', 'cut back')
async def test_a_withdrawn_key_stops_working_at_every_node():
    """Guards against a withdrawn key that still works: with the log away at the node, at a node
    cut off from all, at a paused node, and for a request that waits in a queue."""
    services = ['catalogue', 'catalogue', 'catalogue', 'catalogue', 'bookings']
    async with Fleet(services, slots=1, overrides=QUICK) as fleet:
        whole, without_log, isolated, paused, executing = fleet.nodes
        await fleet.publish(with_slow_work())
        issued = await fleet.issue_key('cafe-chain')
        other_key = (await fleet.issue_key('slow-caller'))['key']
        connections = [await OpenConnection(node, issued['key']).open() for node in fleet.nodes]
        await _wait_until_served(connections)
        # The share of the other organisation's rate has another owner.
        await _wait_until_served([await OpenConnection(whole, other_key).open()])

        await fleet.set_server_faults(executing, first_byte_seconds=SLOW_RUN_SECONDS)
        running = asyncio.create_task(
            (await OpenConnection(whole, other_key, '/slow/first').open()).ask()
        )
        await _wait_for_runs(fleet, executing, 1)
        queued = asyncio.create_task(
            (await OpenConnection(whole, issued['key'], '/slow/second').open()).ask()
        )

        await _wait_for_work(fleet, executing, 2)
        fleet.cut_log(without_log)
        fleet.cut_log(isolated)
        for node in fleet.nodes:
            if node is not isolated:
                fleet.cut_both_ways(isolated, node)
        paused.signal(signal.SIGSTOP)
        # The request waits in the socket of the paused node.
        held = asyncio.create_task(connections[3].ask())
        polling = [
            asyncio.create_task(one.poll(WITHDRAWN_SECONDS + 2))
            for one in connections
            if one.node is not paused
        ]
        started = time.monotonic()
        done = await asyncio.to_thread(fleet.run_cli, whole, 'withdraw-key', issued['key_id'])
        accepted = json.loads(done.stdout)
        assert accepted.get('accepted'), accepted
        assert {'node-3', 'node-4'} <= set(accepted['not_confirmed'])
        await asyncio.gather(*polling)
        paused.signal(signal.SIGCONT)
        status, reason = await held
        assert (status, reason) in {(401, 'key_withdrawn'), (503, 'no_standing')}
        assert await running == (200, None)
        assert await queued == (401, 'key_withdrawn')
        assert [run['target'] for run in await fleet.runs(executing)] == ['/slow/first']

        for one in connections:
            assert one.last_success() < started + WITHDRAWN_SECONDS, one.node.instance
        after = started + WITHDRAWN_SECONDS
        assert connections[0].reasons_after(after) == {'key_withdrawn'}
        assert connections[1].reasons_after(after) == {'key_withdrawn'}
        assert connections[2].reasons_after(after) == {'no_standing'}
        await _check_that_nothing_shows_the_key(fleet, issued['key'])


async def test_no_backend_server_sees_a_key():
    """Guards against a key in a request that runs, in a log line, a dump or a metric."""
    async with Fleet(['catalogue', 'bookings'], overrides=QUICK) as fleet:
        await fleet.publish(example_change())
        key = (await fleet.issue_key('cafe-chain'))['key']
        # Each node has tokens of the rate only once it has settled.
        connections = [await OpenConnection(node, key).open() for node in fleet.nodes]
        await _wait_until_served(connections)
        bearer = {'Authorization': f'Bearer {key}'}
        encoded = f'%74{key[1:]}'
        for node in fleet.nodes:
            url = f'{node.url}/catalogue'
            answers = [
                await fleet.fetch(f'{url}/{key}', headers=bearer),
                await fleet.fetch(f'{url}?k={encoded}', headers=bearer),
                await fleet.fetch(url, headers={**bearer, 'Cookie': key}),
                await fleet.fetch(url, headers={'Cookie': key}),
                await fleet.fetch(url, headers={**bearer, 'X-Api-Key': f'{key}x'}),
                await fleet.fetch(url, headers={**bearer, 'Turmericwharf-Run': key}),
            ]
            assert [answer.code for answer in answers] == [400] * 6
            assert not any(key.encode() in answer.body for answer in answers)
            both = await fleet.fetch(url, headers={**bearer, 'X-Api-Key': key})
            assert both.code == 200
        await _check_that_nothing_shows_the_key(fleet, key)


async def _wait_until_served(connections):
    deadline = time.monotonic() + 15
    for one in connections:
        while (await one.ask())[0] != 200:
            assert time.monotonic() < deadline, one.answers[-1]
            await asyncio.sleep(0.1)


async def _wait_for_work(fleet, node, count):
    # Only a request that waits at the node already must be refused there.
    async with asyncio.timeout(10):
        while (await fleet.dump(node))['in_progress'] < count:
            await asyncio.sleep(0.05)


async def _wait_for_runs(fleet, node, count):
    deadline = time.monotonic() + 10
    while len(await fleet.runs(node)) < count:
        assert time.monotonic() < deadline
        await asyncio.sleep(0.05)


async def _check_that_nothing_shows_the_key(fleet, key):
    secret = key.rsplit('_', 1)[1] if key.count('_') == 2 else key[28:]
    shown = [json.dumps(await fleet.all_runs())]
    for node in fleet.nodes:
        for page in ('/state', '/metrics', '/configuration'):
            shown.append((await fleet.request_operator_api(node, page)).body.decode())
        shown.append((fleet.folder / f'{node.instance}.log').read_text())
    assert all(shown)
    assert not any(secret in one for one in shown)
