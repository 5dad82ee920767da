"""Withdrawal and secrecy of keys; a withdrawn key has to stop working within 7 s at every node."""

import asyncio
import json
import signal
import time

import pytest

from tests.fleet_processes import Fleet, example_change

WITHDRAWAL_SECONDS = 7.0
SLOW_RUN_SECONDS = 9.0
SHORT_SETTLING = {'timing': {'settle_seconds': 1.0}}


class CallerConnection:
    """Keep-alive connection of a caller, with one request at a time."""

    def __init__(self, node, key, path='/catalogue/1', method='GET'):
        self.node = node
        self.request = (
            f'{method} {path} HTTP/1.1\r\nHost: x\r\nX-Api-Key: {key}\r\nContent-Length: 0\r\n\r\n'
        ).encode()
        self.responses = []
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.node.host, self.node.caller_port
        )
        return self

    async def send_request(self):
        """Send the request and return the status and the reason."""
        sent_at = time.monotonic()
        self.writer.write(self.request)
        head = await self.reader.readuntil(b'\r\n\r\n')
        length = int(head.lower().split(b'content-length:')[1].split(b'\r\n')[0])
        body = await self.reader.readexactly(length)
        status = int(head.split()[1])
        reason = json.loads(body).get('reason') if status != 200 else None
        self.responses.append((time.monotonic(), sent_at, status, reason))
        return status, reason

    async def poll(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            await self.send_request()
            await asyncio.sleep(0.1)

    def last_success(self):
        return max(at for at, _sent, status, _reason in self.responses if status == 200)

    def reasons_after(self, moment):
        return {reason for at, sent, _status, reason in self.responses if sent > moment}


def make_change_with_slow_route():
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
    """Guards against a key that still works 7 s after its withdrawal.

    That happens if a node misses the change (it cannot reach the log, is cut off from all others
    or is paused), or if a queued request or an open connection is not checked again.
    """
    services = ['catalogue', 'catalogue', 'catalogue', 'catalogue', 'bookings']
    async with Fleet(services, slots=1, overrides=SHORT_SETTLING) as fleet:
        healthy, without_log, isolated, paused, executing = fleet.nodes
        await fleet.publish(make_change_with_slow_route())
        issued = await fleet.issue_key('cafe-chain')
        other_key = (await fleet.issue_key('slow-caller'))['key']
        connections = [await CallerConnection(node, issued['key']).open() for node in fleet.nodes]
        await _wait_until_served(connections)
        # The rate of the other organisation has another owner, so it is waited for separately.
        await _wait_until_served([await CallerConnection(healthy, other_key).open()])

        await fleet.set_server_faults(executing, first_byte_seconds=SLOW_RUN_SECONDS)
        running = asyncio.create_task(
            (await CallerConnection(healthy, other_key, '/slow/first').open()).send_request()
        )
        await _wait_for_runs(fleet, executing, 1)
        queued = asyncio.create_task(
            (await CallerConnection(healthy, issued['key'], '/slow/second').open()).send_request()
        )

        await _wait_for_requests_in_progress(fleet, executing, 2)
        fleet.cut_log(without_log)
        fleet.cut_log(isolated)
        for node in fleet.nodes:
            if node is not isolated:
                fleet.cut_both_ways(isolated, node)
        paused.signal(signal.SIGSTOP)
        # This request stays in the socket of the paused node until the node resumes.
        pending = asyncio.create_task(connections[3].send_request())
        polling = [
            asyncio.create_task(connection.poll(WITHDRAWAL_SECONDS + 2))
            for connection in connections
            if connection.node is not paused
        ]
        started = time.monotonic()
        completed = await asyncio.to_thread(
            fleet.run_cli, healthy, 'withdraw-key', issued['key_id']
        )
        accepted = json.loads(completed.stdout)
        assert accepted.get('accepted'), accepted
        assert {'node-3', 'node-4'} <= set(accepted['not_confirmed'])
        await asyncio.gather(*polling)
        paused.signal(signal.SIGCONT)
        status, reason = await pending
        assert (status, reason) in {(401, 'key_withdrawn'), (503, 'no_standing')}
        assert await running == (200, None)
        assert await queued == (401, 'key_withdrawn')
        assert [run['target'] for run in await fleet.runs(executing)] == ['/slow/first']

        for connection in connections:
            assert connection.last_success() < started + WITHDRAWAL_SECONDS, (
                connection.node.instance
            )
        after = started + WITHDRAWAL_SECONDS
        assert connections[0].reasons_after(after) == {'key_withdrawn'}
        assert connections[1].reasons_after(after) == {'key_withdrawn'}
        assert connections[2].reasons_after(after) == {'no_standing'}
        await _check_key_is_not_exposed(fleet, issued['key'])


async def test_no_backend_server_sees_a_key():
    """Guards against a key in a request to a backend server, a log line, a dump or a metric.

    Callers may put their key into the path, the query or another header, also percent-encoded;
    the node has to reject such requests and must not repeat the key in its response.
    """
    async with Fleet(['catalogue', 'bookings'], overrides=SHORT_SETTLING) as fleet:
        await fleet.publish(example_change())
        key = (await fleet.issue_key('cafe-chain'))['key']
        # A node has tokens of the rate only once its membership has settled.
        connections = [await CallerConnection(node, key).open() for node in fleet.nodes]
        await _wait_until_served(connections)
        bearer = {'Authorization': f'Bearer {key}'}
        encoded = f'%74{key[1:]}'
        for node in fleet.nodes:
            url = f'{node.url}/catalogue'
            responses = [
                await fleet.fetch(f'{url}/{key}', headers=bearer),
                await fleet.fetch(f'{url}?k={encoded}', headers=bearer),
                await fleet.fetch(url, headers={**bearer, 'Cookie': key}),
                await fleet.fetch(url, headers={'Cookie': key}),
                await fleet.fetch(url, headers={**bearer, 'X-Api-Key': f'{key}x'}),
                await fleet.fetch(url, headers={**bearer, 'Turmericwharf-Run': key}),
            ]
            assert [response.code for response in responses] == [400] * 6
            assert not any(key.encode() in response.body for response in responses)
            both = await fleet.fetch(url, headers={**bearer, 'X-Api-Key': key})
            assert both.code == 200
        await _check_key_is_not_exposed(fleet, key)


async def _wait_until_served(connections):
    deadline = time.monotonic() + 15
    for connection in connections:
        while (await connection.send_request())[0] != 200:
            assert time.monotonic() < deadline, connection.responses[-1]
            await asyncio.sleep(0.1)


async def _wait_for_requests_in_progress(fleet, node, count):
    # The key is withdrawn only when the request is queued at the node, which then has to reject it.
    async with asyncio.timeout(10):
        while (await fleet.dump(node))['in_progress'] < count:
            await asyncio.sleep(0.05)


async def _wait_for_runs(fleet, node, count):
    deadline = time.monotonic() + 10
    while len(await fleet.runs(node)) < count:
        assert time.monotonic() < deadline
        await asyncio.sleep(0.05)


async def _check_key_is_not_exposed(fleet, key):
    secret = key.rsplit('_', 1)[1] if key.count('_') == 2 else key[28:]
    texts = [json.dumps(await fleet.all_runs())]
    for node in fleet.nodes:
        for page in ('/state', '/metrics', '/configuration'):
            texts.append((await fleet.request_operator_api(node, page)).body.decode())
        texts.append((fleet.folder / f'{node.instance}.log').read_text())
    assert all(texts)
    assert not any(secret in text for text in texts)
