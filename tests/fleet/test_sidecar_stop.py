"""A planned stop of a sidecar node while clients open new connections all the time."""

import asyncio
import collections
import signal

from tests.sidecar_fleet import KEY, running_fleet

CONNECTIONS_PER_SECOND = 300


async def send_once(node, number: int) -> str:
    """Send a request on a new connection; return what became of it."""
    port = node.fleet.ports.clients
    try:
        reader, writer = await asyncio.open_connection(node.host, port)
    except OSError:
        return 'not connected'
    try:
        writer.write(
            f'GET /read/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nApi-Key: {KEY}\r\n'
            f'Turmericwharf-Attempt-Id: stop-{number}\r\n\r\n'.encode()
        )
        response = await reader.read()
    except OSError:
        return 'cut'
    finally:
        writer.transport.abort()
    return response[9:12].decode() if b'\r\n\r\n' in response else 'cut'


async def test_requests_accepted_during_a_planned_stop_are_answered():
    """Guards against requests that are cut because they were accepted just before the end.

    Connections may wait to be accepted, and requests to be read, when the node stops listening.
    """
    async with running_fleet(2) as fleet:
        node = fleet.nodes[0]
        for other in fleet.nodes:
            other.server.work_seconds = 0.02
        sending = []
        node.process.send_signal(signal.SIGTERM)
        while node.process.returncode is None:
            sending.append(asyncio.create_task(send_once(node, len(sending))))
            await asyncio.sleep(1 / CONNECTIONS_PER_SECOND)
        counts = collections.Counter(await asyncio.gather(*sending))
        assert counts['200'] > CONNECTIONS_PER_SECOND
        assert not counts['cut'], counts
