"""Stand-in for a sound backend server, with heartbeats to the node beside it."""

import asyncio
import dataclasses
import json
import time

from stand_ins_2 import web

HEARTBEAT_SECONDS = 1.0


@dataclasses.dataclass
class Run:
    """A request that the server has begun to work on."""

    request: str
    at: float
    server: str
    caller_service: str | None
    tenant: str | None


class BackendServer:
    """Runs requests: a target ending in `/BYTES` is answered with that many bytes."""

    def __init__(self, name: str, service: str, host: str, ports: dict[str, int]) -> None:
        self.name = name
        self.service = service
        self.host = host
        self.ports = ports
        self.slots = 3
        self.work_seconds = 0.05
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.runs: list[Run] = []
        # Called with the run and the writer before the response; returns True if it answered.
        self.misbehave = None

    async def start(self) -> None:
        self._server = await web.serve(self.host, self.ports['server'], self._answer)
        self._heartbeats = asyncio.create_task(self._send_heartbeats())

    async def announce(self) -> int:
        """Send a heartbeat and return the status of the answer."""
        self.sequence += 1
        beat = {
            'address': f'{self.host}:{self.ports["server"]}',
            'born': self.born,
            'info': {'service': self.service, 'version': 'v1', 'zone': 'a', 'slots': self.slots},
            'status': {'state': self.state, 'sequence': self.sequence, 'coldRemainingS': 0},
        }
        request = web.encode(
            f'POST /Instances.Heartbeat/{self.name} HTTP/1.1',
            {'Host': 'control', 'Content-Type': 'application/json'},
            json.dumps(beat).encode(),
        )
        return (await web.call(self.host, self.ports['control'], request)).status

    async def _send_heartbeats(self) -> None:
        while True:
            try:
                await self.announce()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _answer(self, request: web.Message, writer) -> None:
        headers = request.headers
        if request.target == '/healthz':
            status = 200 if self.state == 'ready' else 503
            writer.write(web.response(status, Turmericwharf_Instance_Id=self.name))
            return
        attempt = headers.get('turmericwharf-attempt-id')
        if attempt is None:
            writer.write(web.response(400, Turmericwharf_Not_Executed='1'))
            return
        echo = {'Turmericwharf_Attempt_Id': attempt}
        if headers.get('turmericwharf-expected-instance') != self.name:
            writer.write(web.response(421, **echo))
            return
        run = Run(
            attempt,
            time.monotonic(),
            self.name,
            headers.get('turmericwharf-caller-service'),
            headers.get('turmericwharf-tenant'),
        )
        self.runs.append(run)
        if self.misbehave is not None and await self.misbehave(run, writer):
            return
        await asyncio.sleep(self.work_seconds)
        size = request.target.rpartition('/')[2]
        body = bytes(int(size)) if size.isdigit() else b'done'
        stamp = f'stamp.{attempt}'
        writer.write(web.response(200, body, **echo, Turmericwharf_Response_Stamp=stamp))
