"""Stand-in for a backend server, with injected faults.

Run as `python -m tests.stand_ins.backend_server PORT ANNOUNCE_PORT SERVICE SLOTS`.
`GET /stand-in/runs` returns the requests that ran. `POST /stand-in/faults` sets the faults
`first_byte_seconds`, `trickle_seconds`, `half_answer`, `error_share`, `report_load`,
`close_unanswered`, `shed_share` and `answer_bytes`. `POST /stand-in/state` announces another state.
"""

import asyncio
import json
import random
import sys
import time

from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.web import Application, RequestHandler

ANNOUNCE_INTERVAL_SECONDS = 0.5


class BackendServer:
    def __init__(self, port: int, announce_port: int, service: str, slots: int) -> None:
        self.port = port
        self.announce_port = announce_port
        self.service = service
        self.slots = slots
        self.state = 'ready'
        self.running = 0
        self.max_running = 0
        self.runs: list[dict] = []
        self.cancelled: list[str] = []
        self.random = random.Random(port)
        self.faults = {
            'first_byte_seconds': 0.0,
            'trickle_seconds': 0.0,
            'half_answer': False,
            'error_share': 0.0,
            'shed_share': 0.0,
            'report_load': None,
            'close_unanswered': False,
            'cut_head': '',
            'answer_bytes': 0,
        }

    def application(self) -> Application:
        arguments = {'server': self}
        return Application(
            [
                (r'/stand-in/runs', RunsHandler, arguments),
                (r'/stand-in/faults', FaultsHandler, arguments),
                (r'/stand-in/state', StateHandler, arguments),
                (r'/turmericwharf/cancel/(.+)', CancelHandler, arguments),
                (r'/.*', WorkHandler, arguments),
            ]
        )

    async def announce(self) -> None:
        body = {
            'service': self.service,
            'slots': self.slots,
            'state': self.state,
            'port': self.port,
        }
        try:
            await AsyncHTTPClient().fetch(
                f'http://127.0.0.1:{self.announce_port}/announce',
                method='POST',
                body=json.dumps(body),
            )
        except (OSError, HTTPClientError):
            pass

    async def announce_forever(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)


class StandInHandler(RequestHandler):
    def initialize(self, server: BackendServer) -> None:
        self.server = server


class RunsHandler(StandInHandler):
    def get(self) -> None:
        self.write(
            {
                'runs': self.server.runs,
                'cancelled': self.server.cancelled,
                'most_running': self.server.max_running,
            }
        )


class FaultsHandler(StandInHandler):
    def post(self) -> None:
        self.server.faults.update(json.loads(self.request.body))


class StateHandler(StandInHandler):
    async def post(self) -> None:
        self.server.state = json.loads(self.request.body)['state']
        await self.server.announce()


class CancelHandler(StandInHandler):
    def post(self, request: str) -> None:
        self.server.cancelled.append(request)


class WorkHandler(StandInHandler):
    async def get(self) -> None:
        await self._work()

    post = put = delete = patch = head = get

    async def _work(self) -> None:
        server, faults = self.server, self.server.faults
        self.set_header('Turmericwharf-Load', self._load())
        if server.random.random() < faults['shed_share']:
            self.set_status(503)
            self.set_header('Turmericwharf-Shed', 'not-run')
            return
        self._record_run()
        server.running += 1
        server.max_running = max(server.max_running, server.running)
        try:
            await asyncio.sleep(faults['first_byte_seconds'])
            await self._answer()
        finally:
            server.running -= 1

    def _load(self) -> str:
        load_override = self.server.faults['report_load']
        return str(
            self.server.running / self.server.slots if load_override is None else load_override
        )

    def _record_run(self) -> None:
        headers = {name: value for name, value in self.request.headers.get_all()}
        self.server.runs.append(
            {
                'at': time.time(),
                'method': self.request.method,
                'target': self.request.uri,
                'headers': headers,
                'body': self.request.body.decode('latin-1'),
            }
        )

    async def _answer(self) -> None:
        faults = self.server.faults
        if faults['close_unanswered']:
            self.request.connection.stream.close()
            return
        if faults['cut_head']:
            stream = self.request.connection.detach()
            await stream.write(faults['cut_head'].encode())
            stream.close()
            return
        if self.server.random.random() < faults['error_share']:
            self.set_status(500)
        body = json.dumps({'port': self.server.port, 'target': self.request.uri}).encode()
        body += bytes(faults['answer_bytes'])
        self.set_header('Content-Length', str(len(body)))
        half = len(body) // 2
        self.write(body[:half])
        if faults['trickle_seconds'] or faults['half_answer']:
            await self.flush()
            await asyncio.sleep(faults['trickle_seconds'])
        if faults['half_answer']:
            self.request.connection.stream.close()
            return
        self.write(body[half:])


async def main(port: int, announce_port: int, service: str, slots: int) -> None:
    server = BackendServer(port, announce_port, service, slots)
    server.application().listen(port, '127.0.0.1')
    await server.announce_forever()


if __name__ == '__main__':
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], int(sys.argv[4])))
