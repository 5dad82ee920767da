"""Stand-in for the platform's store: keyed topics with one partition."""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, urlsplit

from stand_ins_2 import web

CONFIGURATION_TOPIC = 'keyed.op'


class Topic:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    def append(self, record: bytes) -> None:
        key = record[1 : 1 + record[0]].decode()
        content = record[1 + record[0] :]
        self.newest.pop(key, None)
        if content:
            self.newest[key] = (len(self.records), content)
        self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """Answers `/log-append`, `/log-read` and `/log-newest` as the pages say.

    It listens on an address for each node, which tells the nodes apart: their calls come from the
    same address of loopback.
    """

    def __init__(self, hosts: list[str], port: int) -> None:
        self.hosts = hosts
        self.port = port
        self.topics: dict[str, Topic] = {}
        # Time of the last read of the configuration, by the address of the store that was called.
        self.read_at_by_host: dict[str, float] = {}

    async def start(self) -> None:
        self._servers = [await web.serve(host, self.port, self._answer) for host in self.hosts]

    def configure(self, configuration: dict) -> None:
        """Write a configuration as the operator does."""
        content = json.dumps(configuration).encode()
        self.topic(CONFIGURATION_TOPIC).append(bytes([6]) + b'config' + content)

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    async def _answer(self, request: web.Message, writer) -> None:
        parts = urlsplit(request.target)
        query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
        topic = self.topic(query['topic'])
        if query['topic'] == CONFIGURATION_TOPIC:
            host = writer.get_extra_info('sockname')[0]
            self.read_at_by_host[host] = time.monotonic()
        if parts.path == '/log-append':
            writer.write(self._append(topic, request.body))
        elif parts.path == '/log-newest':
            writer.write(self._newest(topic, query))
        else:
            writer.write(await self._read(topic, query))

    def _append(self, topic: Topic, body: bytes) -> bytes:
        first, position = len(topic.records), 0
        while position < len(body):
            length = struct.unpack_from('>I', body, position)[0]
            topic.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        return web.response(200, json.dumps({'offset': first, 'end': len(topic.records)}).encode())

    def _newest(self, topic: Topic, query: dict[str, str]) -> bytes:
        items = [
            {'key': key, 'value': base64.b64encode(content).decode(), 'offset': offset}
            for key, (offset, content) in sorted(topic.newest.items())
            if key > query.get('after', '')
        ]
        page = {'items': items, 'hasMore': False, 'end': len(topic.records)}
        return web.response(200, json.dumps(page).encode())

    async def _read(self, topic: Topic, query: dict[str, str]) -> bytes:
        offset = int(query['from'])
        if offset >= len(topic.records):
            try:
                async with asyncio.timeout(int(query.get('waitMs', '0')) / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        body = struct.pack('>QQ', len(topic.records), 0)
        for record in topic.records[offset:]:
            body += struct.pack('>I', len(record)) + record
        return web.response(200, body)
