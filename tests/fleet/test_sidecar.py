"""Sidecar nodes as separate processes, with faults of servers, nodes and the store."""

import asyncio
import json
import resource
import signal
import time
from pathlib import Path

import cbor2

from tests.sidecar_fleet import KEY, LOOPBACK, make_configuration, running_fleet
from turmericwharf.state.sidecar import ServerPhase

# Time within which a published configuration must be in force at all nodes.
CONFIGURATION_SECONDS = 2.0
# Memory of the smallest machine, in bytes.
SMALLEST_MEMORY_BYTES = 200_000_000


async def book(node, request, **options):
    return await node.send_request('/book/1', method='POST', request=request, **options)


async def test_requests_reach_servers_of_other_machines():
    """Guards against requests that are served only by the server on the client's machine.

    The local server rejects the request, so that the node has to send it to another machine with
    the headers that servers rely on, and without the key.
    """
    async with running_fleet() as fleet:
        for node in fleet.nodes[1:]:
            node.server.behaviour = 'reject'
        response = await book(fleet.nodes[1], 'one')
        assert (response.code, response.body) == (200, b'server-0:x')
        assert response.headers['Turmericwharf-Response-Stamp'] == 'stamp-one'
        headers = fleet.nodes[0].server.headers_by_request['one']
        assert headers['Turmericwharf-Tenant'] == 'cafe'
        assert headers['Turmericwharf-Caller-Service'] == 'bookings'
        assert 'Api-Key' not in headers
        assert int(headers['Turmericwharf-Deadline-Ms']) <= 3000


async def test_metrics_and_state_are_served():
    """Guards against missing metrics or state, which leave operators with only the logs.

    The node serves them on the second port of its port range.
    """
    async with running_fleet(2) as fleet:
        node = fleet.nodes[0]
        await node.send_request('/read/1')
        base = f'http://{node.host}:{fleet.ports.first_peer + 1}'
        text = (await fleet.fetch(f'{base}/metrics')).body.decode()
        assert 'turmericwharf_request_seconds_bucket{le="0.25",outcome="answered_200"}' in text
        assert 'turmericwharf_gate_running 0' in text
        state = json.loads((await fleet.fetch(f'{base}/state')).body)
        assert state['holder']['version'] == 1
        assert state['knowledge'] == {'knows_fleet': True, 'knows_predecessor': True}
        assert len(state['directory']['nodes']) == 2


async def test_changed_settings_are_read_on_a_signal():
    """Guards against SIGHUP, which asks for a reload of the settings, ending the process.

    That is the default action of the signal if no handler is installed.
    """
    async with running_fleet(1) as fleet:
        node = fleet.nodes[0]
        node.process.send_signal(signal.SIGHUP)
        async with asyncio.timeout(5):
            while not node.events('settings_reloaded'):
                await asyncio.sleep(0.05)
        assert (await node.send_request('/read/1')).code == 200


async def test_bad_keys_and_paths_are_refused():
    """Guards against runs without an organisation, or for the wrong one.

    They come about if a request with an unknown key or path is forwarded to a server.
    """
    async with running_fleet(2) as fleet:
        assert (await fleet.nodes[0].send_request('/read/1', key='wrong', request='k')).code == 401
        assert (await fleet.nodes[0].send_request('/none/1', request='p')).code == 404
        assert fleet.runs('k') == fleet.runs('p') == 0


async def test_withdrawn_key_stops_while_the_store_is_away_from_one_node():
    """Guards against a withdrawn key that still works at a node that cannot read the store.

    The node restarts while the store does not answer, and has to get the current configuration
    from the other nodes.
    """
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


async def find_readers(fleet):
    """Return the node that does not read the store, and the two that do."""
    await asyncio.sleep(1.5)
    followers = [node for node in fleet.nodes if node.events('directory_source_changed')]
    assert len(followers) == 1
    return followers[0], [node for node in fleet.nodes if node not in followers]


async def test_a_withdrawn_key_stops_in_time_although_both_readers_are_cut_off_from_the_store():
    """Guards against a node that serves a withdrawn key because it depends on two other nodes.

    The connections of these two to the store go silent, so that they have no error to report. The
    node itself can reach the store all the time.
    """
    async with running_fleet() as fleet:
        follower, readers = await find_readers(fleet)
        for reader in readers:
            name = reader.store_relay.name
            fleet.network.cut(name, LOOPBACK)
            fleet.network.cut(LOOPBACK, name)
        fleet.store.configure(make_configuration(2, tenants={'cafe': {'apiKeys': ['other']}}))
        await asyncio.sleep(CONFIGURATION_SECONDS)
        assert (await follower.send_request('/read/1')).code == 401
        assert (await follower.send_request('/read/1', key='other')).code == 200


async def test_a_withdrawn_key_stops_in_time_although_both_readers_stand_still():
    """Guards against a node that waits for two silent nodes before it reads the store itself."""
    async with running_fleet() as fleet:
        follower, readers = await find_readers(fleet)
        for reader in readers:
            reader.process.send_signal(signal.SIGSTOP)
        try:
            fleet.store.configure(make_configuration(2, tenants={'cafe': {'apiKeys': ['other']}}))
            await asyncio.sleep(CONFIGURATION_SECONDS)
            assert (await follower.send_request('/read/1')).code == 401
        finally:
            for reader in readers:
                reader.process.send_signal(signal.SIGCONT)


async def test_leaving_server_gets_no_work_after_its_acknowledgement():
    """Guards against requests to a leaving server, which it cannot finish.

    Once its node has acknowledged the state `draining`, no node may select the server.
    """
    async with running_fleet() as fleet:
        leaving = fleet.nodes[0].server
        assert await leaving.announce_state('draining') == 200
        before = sum(leaving.runs_by_request.values())
        for node in fleet.nodes * 4:
            assert (await node.send_request('/read/1')).code == 200
        assert sum(leaving.runs_by_request.values()) == before


async def test_leaving_server_stays_out_after_a_restart_of_its_node():
    """Guards against a restarted node that sends requests to a leaving server.

    The restart discards the state in memory, and the health check of the server succeeds, so that
    the server would look ready.
    """
    async with running_fleet() as fleet:
        node = fleet.nodes[0]
        assert await node.server.announce_state('draining') == 200
        await node.stop(signal.SIGKILL)
        # The server sends no further announcements, and its health check succeeds.
        node.server._heartbeat_task.cancel()
        node.server.state = 'ready'
        await node.start()
        await fleet.wait_until_converged()
        await asyncio.sleep(1.0)
        for entry in fleet.nodes * 3:
            assert (await entry.send_request('/read/1')).code == 200
        assert not node.server.runs_by_request
        assert not [
            event
            for event in node.events('server_changed')[1:]
            if event['phase'] == ServerPhase.READY.value
        ]


async def test_restarted_node_finds_its_server_without_an_announcement():
    """Guards against a server that stays idle after a restart of its node.

    Without an announcement, the restarted node has to identify the server by its health check.
    """
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
    """Guards against requests that are cut or run twice during a rolling restart of the nodes.

    Callers keep requests in flight at all nodes while the nodes stop and start one after another.
    """
    async with running_fleet() as fleet:
        statuses = []
        stopping = asyncio.Event()
        for node in fleet.nodes:
            node.server.work_seconds = 0.3

        async def load(node):
            while not stopping.is_set():
                if await node.is_ready():
                    statuses.append((await book(node, None)).code)
                await asyncio.sleep(0.02)

        callers = [asyncio.create_task(load(node)) for node in fleet.nodes for _ in range(2)]
        for node in fleet.nodes:
            await node.stop()
            await node.start()
            async with asyncio.timeout(15):
                while not await node.is_ready():
                    await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)
        stopping.set()
        await asyncio.gather(*callers)
        assert set(statuses) == {200}
        assert len(statuses) > 50
        assert all(
            count == 1 for node in fleet.nodes for count in node.server.runs_by_request.values()
        )


async def test_node_stops_in_time_beside_a_node_that_stands_still():
    """Guards against a node that exceeds its grace time because it waits for a silent peer.

    The peer is paused, so that it does not answer but its connections stay open; the platform
    kills a node that has not ended within the grace time.
    """
    async with running_fleet(3) as fleet:
        stopping, paused, _ = fleet.nodes
        for _ in range(6):
            await asyncio.gather(*(node.send_request('/read/1') for node in fleet.nodes))
        paused.process.send_signal(signal.SIGSTOP)
        try:
            started_at = time.monotonic()
            await stopping.stop()
            # A node drains for at least 2.6 s; 1 s more is enough for it to end.
            assert time.monotonic() - started_at < 2.6 + 1.0
        finally:
            paused.process.send_signal(signal.SIGCONT)


async def test_failing_server_is_left_alone_and_tried_again():
    """Guards against a server that resets connections and keeps losing bookings.

    The nodes have to stop sending requests to it, and to probe it so that it is used again after
    it has recovered.
    """
    async with running_fleet() as fleet:
        failing = fleet.nodes[0].server
        failing.behaviour = 'reset'
        statuses = [(await book(node, None)).code for node in fleet.nodes * 10]
        assert statuses.count(502) <= 2
        failing.behaviour = 'answer'
        before = sum(failing.runs_by_request.values())
        async with asyncio.timeout(15):
            while sum(failing.runs_by_request.values()) < before + 5:
                statuses = [(await node.send_request('/read/1')).code for node in fleet.nodes]
                assert statuses == [200, 200, 200]


async def test_client_that_leaves_stops_idempotent_work_only():
    """Guards against servers that work for disconnected clients, and against aborted bookings.

    When the client closes its connection, the node has to abort an idempotent request at the server
    and to let any other request run to its end.
    """
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
        aborted = [name for node in fleet.nodes for name in node.server.aborted_requests]
        assert aborted == ['left-GET']


async def test_history_that_the_store_forgets_is_read_anew():
    """Guards against a node that stays on an old configuration after the store dropped its history.

    The store is busy while new versions are written and the changes in between are dropped, so
    that the node cannot catch up change by change and has to read the newest version.
    """
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


async def test_a_server_that_sends_without_end_does_not_take_its_node_down():
    """Guards against a node that keeps endless answers in memory until it is killed.

    The requests of other clients on that machine would end with it.
    """
    async with running_fleet(2) as fleet:
        node, other = fleet.nodes
        node.server.behaviour = 'endless'
        flooded = [asyncio.create_task(book(node, f'flood-{number}')) for number in range(20)]
        peak_bytes = 0
        while not all(task.done() for task in flooded):
            peak_bytes = max(peak_bytes, read_resident_bytes(node.process.pid))
            assert (await other.send_request('/read/1')).code in {200, 502, 503}
            await asyncio.sleep(0.02)
        assert {task.result().code for task in flooded} <= {200, 502, 503, 504}
        assert peak_bytes < SMALLEST_MEMORY_BYTES
        assert node.process.returncode is None
        assert (await node.send_request('/read/1')).code == 200


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * resource.getpagesize()


def make_odd_entries(encoded: bytes) -> dict[str, bytes]:
    """Return entries that another writer may have left, by key, made from a sound one."""
    entry = cbor2.loads(encoded)
    odd_fields = (
        {'peer_port': 99_999},
        {'peer_port': -1},
        {'slots': 10**40},
        {'link_megabits': float('inf')},
        {'host': 'not an address'},
    )
    entries = {
        f'odd-{number}': cbor2.dumps({**entry, 'instance': f'odd-{number}', **fields})
        for number, fields in enumerate(odd_fields)
    }
    nested = {f'nested-{opening.hex()}': opening * 100_000 for opening in (b'\x81', b'\xc6')}
    return {**entries, **nested, 'text': b'{"state":"ready"}'}


async def test_odd_entries_of_another_writer_stop_nothing():
    """Guards against a node that ends, or stops following the store, because of one entry.

    The entries are nested deeply, or have numbers or ports out of range.
    """
    async with running_fleet(2) as fleet:
        _, encoded = fleet.store.newest_by_topic['keyed.nodes']['node-0']
        for key, odd in make_odd_entries(encoded).items():
            fleet.store.put('keyed.nodes', key, odd)
        fleet.store.put('keyed.op', 'config', b'{"x":' + b'[' * 100_000)
        await asyncio.sleep(1.0)
        for _ in range(10):
            statuses = [(await node.send_request('/read/1')).code for node in fleet.nodes]
            assert statuses == [200, 200]
        fleet.store.configure(make_configuration(2, tenants={'cafe': {'apiKeys': ['other']}}))
        assert await fleet.nodes[0].server.announce_state('draining') == 200
        await asyncio.sleep(CONFIGURATION_SECONDS)
        for node in fleet.nodes:
            assert (await node.send_request('/read/1')).code == 401
            assert (await node.send_request('/read/1', key='other')).code == 200
            assert not node.events('task_failed')
