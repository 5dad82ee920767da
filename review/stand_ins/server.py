"""Stand-in for a sound backend server beside a node."""

import asyncio
import json
import time

from review.stand_ins import http
from review.stand_ins.record import Record

HEARTBEAT_SECONDS = 1.5
ACKNOWLEDGEMENT_SECONDS = 1.0


class Server:
    """Runs requests and announces itself to the node on its machine."""

    def __init__(
        self, record: Record, name: str, host: str, port: int, control_port: int, service: str
    ) -> None:
        self.record = record
        self.name = name
        self.host = host
        self.port = port
        self.control_port = control_port
        self.service = service
        self.slots = 4
        self.work_seconds = 0.05
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self._heartbeats: asyncio.Task | None = None
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await http.serve(self.host, self.port, self.handle)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    def close(self) -> None:
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self._server is not None:
            self._server.close()

    def stop_heartbeats(self) -> None:
        if self._heartbeats is not None:
            self._heartbeats.cancel()

    def heartbeat(self) -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        content = {
            'address': f'{self.host}:{self.port}',
            'born': self.born,
            'info': {'service': self.service, 'version': 'v1', 'zone': 'z', 'slots': self.slots},
            'status': {'state': self.state, 'sequence': self.sequence, 'coldRemainingS': 0},
        }
        return json.dumps(content).encode()

    async def announce(self, body: bytes | None = None) -> bool:
        """Send a heartbeat; return whether it was acknowledged in time."""
        return await self._call('Heartbeat', body or self.heartbeat())

    async def deregister(self) -> bool:
        """Say that the server leaves; return whether that was acknowledged in time."""
        return await self._call('Deregister', json.dumps({'born': self.born}).encode())

    async def _call(self, name: str, body: bytes) -> bool:
        response = await http.send(
            (self.host, self.control_port),
            'POST',
            f'/Instances.{name}/{self.name}',
            {'Content-Type': 'application/json'},
            body,
            timeout_seconds=ACKNOWLEDGEMENT_SECONDS,
        )
        is_acknowledged = response is not None and 200 <= response.status < 300
        if self.state != 'ready' or name != 'Heartbeat':
            self.record.add(f'{name} {self.state}', server=self.name, acknowledged=is_acknowledged)
        return is_acknowledged

    async def _send_heartbeats(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def handle(self, request: http.Request) -> http.Response:
        if request.path == '/healthz':
            status = 200 if self.state == 'ready' else 503
            return http.Response(status, {'Turmericwharf-Instance-Id': self.name})
        attempt = request.headers.get('turmericwharf-attempt-id', '')
        echoed = {'Turmericwharf-Attempt-Id': attempt}
        rejected = {**echoed, 'Turmericwharf-Not-Executed': '1'}
        if request.headers.get('turmericwharf-expected-instance', self.name) != self.name:
            return http.Response(421, rejected)
        if self.running >= self.slots + 24:
            return http.Response(503, rejected)
        return await self.run(request, attempt, echoed)

    async def run(
        self, request: http.Request, attempt: str, echoed: dict[str, str]
    ) -> http.Response:
        self.running += 1
        tenant = request.headers.get('turmericwharf-tenant', '-')
        self.record.add('run', request=attempt, server=self.name, tenant=tenant)
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        headers = {**echoed, 'Turmericwharf-Response-Stamp': f'stamp-{attempt}'}
        return http.Response(200, headers, f'{attempt} at {self.name}'.encode())
