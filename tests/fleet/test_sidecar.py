"""Sidecar nodes as separate processes, with faults from outside."""

import asyncio
import json
import signal
import time

from tests.sidecar_fleet import KEY, make_configuration, running_fleet
from turmericwharf.state.sidecar import ServerPhase


async def book(node, request, **options):
    return await node.send_request('/book/1', method='POST', request=request, **options)


async def test_requests_reach_servers_of_other_machines():
    """Requests would only be served by the server on the client's own machine."""
    async with running_fleet() as fleet:
        for node in fleet.nodes[1:]:
            node.server.behaviour = 'reject'
        found = await book(fleet.nodes[1], 'one')
        assert (found.code, found.body) == (200, b'server-0:x')
        assert found.headers['Turmericwharf-Response-Stamp'] == 'stamp-one'
        headers = fleet.nodes[0].server.headers_by_request['one']
        assert headers['Turmericwharf-Tenant'] == 'cafe'
        assert headers['Turmericwharf-Caller-Service'] == 'bookings'
        assert 'Api-Key' not in headers
        assert int(headers['Turmericwharf-Deadline-Ms']) <= 3000


async def test_metrics_and_state_are_served():
    """On-call engineers would have nothing but the logs."""
    async with running_fleet(2) as fleet:
        node = fleet.nodes[0]
        await node.send_request('/read/1')
        base = f'http://{node.host}:{fleet.ports.first_peer + 1}'
        text = (await fleet.fetch(f'{base}/metrics')).body.decode()
        assert 'turmericwharf_request_seconds_bucket{le="0.25",outcome="answered_200"}' in text
        assert 'turmericwharf_gate_running 0' in text
        state = json.loads((await fleet.fetch(f'{base}/state')).body)
        assert state['holder']['version'] == 1
        assert len(state['directory']['nodes']) == 2


async def test_changed_settings_are_read_on_a_signal():
    """A signal that announces changed settings would end the process."""
    async with running_fleet(1) as fleet:
        node = fleet.nodes[0]
        node.process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(5):
            while not node.events('settings_reloaded'):
                await asyncio.sleep(0.05)
        assert (await node.send_request('/read/1')).code == 200


async def test_bad_keys_and_paths_are_refused():
    """A request would run for nobody, or for another organisation."""
    async with running_fleet(2) as fleet:
        assert (await fleet.nodes[0].send_request('/read/1', key='wrong', request='k')).code == 401
        assert (await fleet.nodes[0].send_request('/none/1', request='p')).code == 404
        assert fleet.runs('k') == fleet.runs('p') == 0


async def test_withdrawn_key_stops_while_the_store_is_away_from_one_node():
    """A key that was withdrawn would work at a node that cannot read the store."""
    async with running_fleet() as fleet:
        fleet.store.configure(make_configuration(2, tenants={'cafe': {'apiKeys': ['other']}}))
        await asyncio.sleep(1.0)
        fleet.store.fault = 'silent'
        await fleet.nodes[0].stop(signal.SIGKILL)
        await fleet.nodes[0].start()
        async with asyncio.timeout(15):
            while not await fleet.nodes[0].is_ready():
                await fleet.nodes[1].send_request('/read/1', key='other')
                await asyncio.sleep(0.1)
        assert (await fleet.nodes[0].send_request('/read/1', key=KEY)).code == 401
        assert (await fleet.nodes[0].send_request('/read/1', key='other')).code == 200


async def test_leaving_server_gets_no_work_after_its_acknowledgement():
    """A server that leaves would get requests that it cannot finish."""
    async with running_fleet() as fleet:
        leaving = fleet.nodes[0].server
        assert await leaving.announce_state('draining') == 200
        before = sum(leaving.runs_by_request.values())
        for node in fleet.nodes * 4:
            assert (await node.send_request('/read/1')).code == 200
        assert sum(leaving.runs_by_request.values()) == before


async def test_leaving_server_stays_out_after_a_restart_of_its_node():
    """A restarted node would give work to a server that said that it leaves."""
    async with running_fleet() as fleet:
        node = fleet.nodes[0]
        assert await node.server.announce_state('draining') == 200
        await node.stop(signal.SIGKILL)
        # The server says nothing more, and its health check is good.
        node.server._heartbeat_task.cancel()
        node.server.state = 'ready'
        await node.start()
        await fleet.wait_until_converged()
        await asyncio.sleep(1.0)
        for one in fleet.nodes * 3:
            assert (await one.send_request('/read/1')).code == 200
        assert not node.server.runs_by_request
        assert not [
            one
            for one in node.events('server_changed')[1:]
            if one['phase'] == ServerPhase.READY.value
        ]


async def test_restarted_node_finds_its_server_without_an_announcement():
    """The server would stand idle until its next announcement."""
    async with running_fleet(2) as fleet:
        node = fleet.nodes[0]
        node.server._heartbeat_task.cancel()
        await node.stop(signal.SIGKILL)
        await node.start()
        await fleet.wait_until_converged()
        async with asyncio.timeout(10):
            while not node.events('server_identified'):
                await asyncio.sleep(0.1)
        fleet.nodes[1].server.behaviour = 'reject'
        assert (await node.send_request('/read/1')).code == 200


async def test_rolling_restart_cuts_no_request():
    """A restart of the nodes one after the other would cut requests at work."""
    async with running_fleet() as fleet:
        answers = []
        ended = asyncio.Event()
        for node in fleet.nodes:
            node.server.work_seconds = 0.3

        async def load(node):
            while not ended.is_set():
                if await node.is_ready():
                    answers.append((await book(node, None)).code)
                await asyncio.sleep(0.02)

        callers = [asyncio.create_task(load(node)) for node in fleet.nodes for _ in range(2)]
        for node in fleet.nodes:
            await node.stop()
            await node.start()
            async with asyncio.timeout(15):
                while not await node.is_ready():
                    await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)
        ended.set()
        await asyncio.gather(*callers)
        assert set(answers) == {200}
        assert len(answers) > 50
        assert all(
            count == 1 for node in fleet.nodes for count in node.server.runs_by_request.values()
        )


async def test_node_stops_in_time_beside_a_node_that_stands_still():
    """A node would be killed at the end of its grace time, as it waits for a silent peer."""
    async with running_fleet(3) as fleet:
        stopping, frozen, _ = fleet.nodes
        for _ in range(6):
            await asyncio.gather(*(node.send_request('/read/1') for node in fleet.nodes))
        frozen.process.send_signal(signal.SIGSTOP)
        try:
            started_at = time.monotonic()
            await stopping.stop()
            # A node lingers for 2.6 s, and 1 s is enough for it to end.
            assert time.monotonic() - started_at < 2.6 + 1.0
        finally:
            frozen.process.send_signal(signal.SIGCONT)


async def test_failing_server_is_left_alone_and_tried_again():
    """A server that resets connections would go on losing bookings."""
    async with running_fleet() as fleet:
        failing = fleet.nodes[0].server
        failing.behaviour = 'reset'
        codes = [(await book(node, None)).code for node in fleet.nodes * 10]
        assert codes.count(502) <= 2
        failing.behaviour = 'answer'
        before = sum(failing.runs_by_request.values())
        async with asyncio.timeout(15):
            while sum(failing.runs_by_request.values()) < before + 5:
                codes = [(await node.send_request('/read/1')).code for node in fleet.nodes]
                assert codes == [200, 200, 200]


async def test_client_that_leaves_stops_idempotent_work_only():
    """Servers would work for nobody, or a booking would be cut in the middle."""
    async with running_fleet(2) as fleet:
        for node in fleet.nodes:
            node.server.work_seconds = 1.0
        for path, method in (('read', 'GET'), ('book', 'POST')):
            reader, writer = await asyncio.open_connection(
                fleet.nodes[0].host,
                fleet.ports.clients,
            )
            writer.write(
                f'{method} /{path}/1 HTTP/1.1\r\nHost: a.example\r\nApi-Key: {KEY}\r\n'
                f'Turmericwharf-Attempt-Id: left-{method}\r\nContent-Length: 0\r\n\r\n'.encode(),
            )
            await asyncio.sleep(0.4)
            writer.close()
        await asyncio.sleep(1.0)
        aborted_requests = [name for node in fleet.nodes for name in node.server.aborted_requests]
        assert aborted_requests == ['left-GET']


async def test_history_that_the_store_forgets_is_read_anew():
    """A node would miss configurations for good after the store dropped its history."""
    async with running_fleet(2) as fleet:
        fleet.store.fault = 'busy'
        await asyncio.sleep(0.5)
        for version in range(2, 6):
            fleet.store.configure(make_configuration(version))
        fleet.store.truncate()
        fleet.store.fault = ''
        async with asyncio.timeout(10):
            for node in fleet.nodes:
                while node.events('configuration_applied')[-1]['version'] < 5:
                    await asyncio.sleep(0.05)
