"""Stand-in for a backend server on the platform; runs in the event loop of the test."""

import asyncio
import collections
import contextlib
import time

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

HEARTBEAT_SECONDS = 0.3


class PlatformServer:
    """Counts the runs of each request, sends heartbeats, and injects faults.

    `behaviour` is one of `'answer'`, `'reset'` (closes the connection after the run has started),
    `'hang'`, `'error'`, `'endless'` (sends a body without end), `'cut_head'` (sends `cut_head`
    and closes the connection) and `'reject'` (answers that it did not run the request).
    """

    def __init__(self, host: str, ports, service: str, name: str) -> None:
        self.host = host
        self.ports = ports
        self.service = service
        self.name = name
        self.behaviour = 'answer'
        self.cut_head = b''
        self.work_seconds = 0.01
        # Size of the response bodies in bytes; None: the name of the server and the request body.
        self.response_bytes: int | None = None
        self.state = 'ready'
        self.slots = 3
        self.sequence = 0
        # Start time in Unix milliseconds; tells two starts with the same name apart.
        self.born = 1000
        # Time of the monotonic clock until which the server is cold.
        self.cold_until = 0.0
        self.runs_at: list[float] = []
        self.runs_by_request: collections.Counter[str] = collections.Counter()
        self.headers_by_request: dict[str, dict] = {}
        self.requests_without_id = 0
        self.aborted_requests: list[str] = []
        self._heartbeat_task: asyncio.Task | None = None
        self._server: HTTPServer | None = None

    def start(self) -> None:
        self._server = HTTPServer(
            Application(
                [
                    ('/healthz', HealthHandler, {'server': self}),
                    ('.*', WorkHandler, {'server': self}),
                ],
            ),
        )
        self._server.listen(self.ports.server, self.host)
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    def stop(self) -> None:
        self._heartbeat_task.cancel()
        self._server.stop()

    @property
    def cold_seconds(self) -> float:
        return round(max(self.cold_until - time.monotonic(), 0), 3)

    async def announce_state(self, state: str) -> int:
        """Announce a state and return the status code of the acknowledgement."""
        self.state = state
        return await self._send_heartbeat()

    async def _send_heartbeats(self) -> None:
        while True:
            # A heartbeat that gets no answer in time raises an HTTPError, and the next one follows.
            with contextlib.suppress(OSError, HTTPError):
                await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def stop_heartbeats(self) -> None:
        self._heartbeat_task.cancel()

    def restart(self) -> None:
        """Announce the server as if its process had ended and started again."""
        self.stop_heartbeats()
        self.born += 1000
        self.sequence = 0
        self.state = 'ready'
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())

    def make_heartbeat(self) -> str:
        """Return the body of the next heartbeat, which a test may send later."""
        self.sequence += 1
        return (
            f'{{"address":"{self.host}:{self.ports.server}","born":{self.born},'
            f'"info":{{"service":"{self.service}","version":"v1","zone":"a","slots":{self.slots}}},'
            f'"status":{{"state":"{self.state}","sequence":{self.sequence},'
            f'"coldRemainingS":{self.cold_seconds}}}}}'
        )

    async def deregister(self) -> int:
        """Announce that the server leaves and return the status code of the acknowledgement."""
        self.state = 'leaving'
        return await self._call('Deregister', f'{{"born":{self.born}}}')

    async def send_heartbeat(self, body: str) -> int:
        """Send a heartbeat and return the status code of the acknowledgement."""
        return await self._call('Heartbeat', body)

    async def _send_heartbeat(self) -> int:
        return await self.send_heartbeat(self.make_heartbeat())

    async def _call(self, name: str, body: str) -> int:
        request = HTTPRequest(
            f'http://{self.host}:{self.ports.announcements}/Instances.{name}/{self.name}',
            method='POST',
            body=body,
            request_timeout=1,
        )
        client = AsyncHTTPClient(force_instance=True)
        try:
            return (await client.fetch(request, raise_error=False)).code
        finally:
            client.close()


class HealthHandler(RequestHandler):
    def initialize(self, server: PlatformServer) -> None:
        self.server = server

    def get(self) -> None:
        self.set_status(200 if self.server.state == 'ready' else 503)
        self.set_header('Turmericwharf-Instance-Id', self.server.name)
        self.set_header('Turmericwharf-Cold-Ms', str(int(1000 * self.server.cold_seconds)))


class WorkHandler(RequestHandler):
    SUPPORTED_METHODS = ('GET', 'POST', 'DELETE')

    def initialize(self, server: PlatformServer) -> None:
        self.server = server

    def on_connection_close(self) -> None:
        self.server.aborted_requests.append(self.request.headers.get('Turmericwharf-Attempt-Id'))

    async def work(self) -> None:
        server, headers = self.server, self.request.headers
        attempt_id = headers.get('Turmericwharf-Attempt-Id')
        if attempt_id is None:
            self.server.requests_without_id += 1
            self.set_status(400)
            self.set_header('Turmericwharf-Not-Executed', '1')
            return
        self.set_header('Turmericwharf-Attempt-Id', attempt_id)
        if headers['Turmericwharf-Expected-Instance'] != server.name:
            self.set_status(421)
            return
        if server.behaviour == 'reject':
            self.set_status(503)
            self.set_header('Turmericwharf-Not-Executed', '1')
            return
        server.runs_by_request[attempt_id] += 1
        server.runs_at.append(time.monotonic())
        server.headers_by_request[attempt_id] = dict(headers)
        await asyncio.sleep(3600 if server.behaviour == 'hang' else server.work_seconds)
        if server.behaviour == 'reset':
            self.request.connection.stream.close()
            return
        if server.behaviour == 'cut_head':
            stream = self.request.connection.detach()
            await stream.write(server.cut_head)
            stream.close()
            return
        if server.behaviour == 'endless':
            await self.send_without_end()
            return
        self.set_status(500 if server.behaviour == 'error' else 200)
        self.set_header('Turmericwharf-Response-Stamp', f'stamp-{attempt_id}')
        if server.response_bytes is None:
            self.write(f'{server.name}:'.encode() + self.request.body)
        else:
            self.write(bytes(server.response_bytes))

    async def send_without_end(self) -> None:
        with contextlib.suppress(StreamClosedError):
            while True:
                self.write(bytes(65_536))
                await self.flush()

    get = post = delete = work
