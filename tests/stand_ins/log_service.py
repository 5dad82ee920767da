"""Stand-in for the platform's log service, with injected faults.

Run as `python -m tests.stand_ins.log_service PORT [RETENTION_SECONDS]`. `POST /faults` sets
faults as JSON: `away`, `delay_seconds` and `lose_answers` (number of appends that take effect
without an answer).
"""

import asyncio
import dataclasses
import json
import sys
import time

from tornado.web import Application, RequestHandler


@dataclasses.dataclass
class Stream:
    records: list[dict] = dataclasses.field(default_factory=list)
    earliest: int = 0
    appended: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        return self.earliest + len(self.records)

    def expire(self, retention_seconds: float) -> None:
        expiry_time = time.monotonic() - retention_seconds
        while self.records and self.records[0]['at'] < expiry_time:
            self.records.pop(0)
            self.earliest += 1


class LogService:
    def __init__(self, retention_seconds: float = 86400.0) -> None:
        self.streams: dict[str, Stream] = {}
        self.retention_seconds = retention_seconds
        self.faults = {'away': False, 'delay_seconds': 0.0, 'lose_answers': 0}
        self.counts = {'appends': 0, 'reads': 0, 'bytes': 0}

    def stream(self, name: str) -> Stream:
        stream = self.streams.setdefault(name, Stream())
        stream.expire(self.retention_seconds)
        return stream

    def application(self) -> Application:
        return Application(
            [
                (r'/streams/([^/]+)/records', RecordsHandler, {'service': self}),
                (r'/faults', FaultsHandler, {'service': self}),
                (r'/counts', CountsHandler, {'service': self}),
            ]
        )


class RecordsHandler(RequestHandler):
    def initialize(self, service: LogService) -> None:
        self.service = service

    async def prepare(self) -> None:
        await asyncio.sleep(self.service.faults['delay_seconds'])
        if self.service.faults['away']:
            self.request.connection.stream.close()
            raise asyncio.CancelledError

    async def post(self, name: str) -> None:
        stream = self.service.stream(name)
        first = stream.next_offset
        for record in json.loads(self.request.body)['records']:
            stream.records.append(
                {'offset': stream.next_offset, 'record': record, 'at': time.monotonic()}
            )
        self.service.counts['appends'] += 1
        stream.appended.set()
        stream.appended = asyncio.Event()
        if self.service.faults['lose_answers'] > 0:
            self.service.faults['lose_answers'] -= 1
            self.request.connection.stream.close()
            raise asyncio.CancelledError
        self.write({'first_offset': first})

    async def get(self, name: str) -> None:
        offset = int(self.get_query_argument('offset'))
        wait_seconds = float(self.get_query_argument('wait_seconds', '0'))
        stream = self.service.stream(name)
        if offset >= stream.next_offset and wait_seconds > 0:
            try:
                async with asyncio.timeout(wait_seconds):
                    await stream.appended.wait()
            except TimeoutError:
                pass
        if self.service.faults['away']:
            self.request.connection.stream.close()
            raise asyncio.CancelledError
        first = max(offset - stream.earliest, 0)
        page = [
            {'offset': entry['offset'], 'record': entry['record']}
            for entry in stream.records[first:]
        ]
        body = json.dumps(
            {
                'records': page,
                'earliest_offset': stream.earliest,
                'next_offset': max(offset, stream.next_offset),
            }
        )
        self.service.counts['reads'] += 1
        self.service.counts['bytes'] += len(body)
        self.set_header('Content-Type', 'application/json')
        self.write(body)


class FaultsHandler(RequestHandler):
    def initialize(self, service: LogService) -> None:
        self.service = service

    def post(self) -> None:
        self.service.faults.update(json.loads(self.request.body))
        self.write(self.service.faults)


class CountsHandler(RequestHandler):
    def initialize(self, service: LogService) -> None:
        self.service = service

    def get(self) -> None:
        self.write(self.service.counts)


async def main(port: int, retention_seconds: float) -> None:
    LogService(retention_seconds).application().listen(port, '127.0.0.1')
    await asyncio.Event().wait()


if __name__ == '__main__':
    retention = float(sys.argv[2]) if len(sys.argv) > 2 else 86400.0
    asyncio.run(main(int(sys.argv[1]), retention))
