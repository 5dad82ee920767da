"""Stand-in for the platform's store: keyed topics with the single partition 0.

Each node calls it at a port of its own, so that a fault can be limited to some nodes.
"""

import asyncio
import base64
import json
import struct

from review.stand_ins import http

CONFIGURATION_TOPIC = 'keyed.op'
NODES_TOPIC = 'keyed.nodes'
UNAVAILABLE = http.Response(503)


class Topic:
    """Records of one topic, all of which are retained."""

    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.appended = asyncio.Event()

    def append(self, key: str, content: bytes) -> None:
        self.records.append((key, content))
        self.appended.set()
        self.appended = asyncio.Event()

    def newest(self) -> dict[str, tuple[int, bytes]]:
        newest = {key: (offset, content) for offset, (key, content) in enumerate(self.records)}
        return {key: pair for key, pair in newest.items() if pair[1]}


class Store:
    """The store, and its faults.

    `away_topics` are answered with status 503; `cut_nodes` get no answer and no close, as behind a
    network partition.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.away_topics: set[str] = set()
        self.cut_nodes: set[str] = set()
        self.reading_nodes: dict[str, float] = {}
        self.ports_by_node: dict[str, int] = {}
        self._servers: list[asyncio.Server] = []

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def configure(self, configuration: dict) -> None:
        """Write a configuration; the acknowledgement is the return of this method."""
        self.topic(CONFIGURATION_TOPIC).append('config', json.dumps(configuration).encode())

    async def open_port(self, node: str) -> int:
        """Return the port at which a node calls the store."""

        async def handle(request: http.Request) -> http.Response:
            return await self._handle(node, request)

        server = await http.serve('127.0.0.1', 0, handle)
        self._servers.append(server)
        self.ports_by_node[node] = server.sockets[0].getsockname()[1]
        return self.ports_by_node[node]

    def close(self) -> None:
        for server in self._servers:
            server.close()

    async def _handle(self, node: str, request: http.Request) -> http.Response:
        await self._pass_cut(node)
        name = request.query['topic']
        if name in self.away_topics:
            return UNAVAILABLE
        handlers = {
            '/log-append': self._append,
            '/log-read': self._read,
            '/log-newest': self._newest,
        }
        if request.path != '/log-append' and name == CONFIGURATION_TOPIC:
            self.reading_nodes[node] = asyncio.get_running_loop().time()
        response = await handlers[request.path](request, self.topic(name))
        await self._pass_cut(node)
        return UNAVAILABLE if name in self.away_topics else response

    async def _pass_cut(self, node: str) -> None:
        """Hold a message of a node that is cut off for as long as a connection would hang."""
        if node in self.cut_nodes:
            await asyncio.sleep(3600)

    async def _append(self, request: http.Request, topic: Topic) -> http.Response:
        body, position, first = request.body, 0, len(topic.records)
        while position < len(body):
            length = struct.unpack_from('>I', body, position)[0]
            record = body[position + 4 : position + 4 + length]
            topic.append(record[1 : 1 + record[0]].decode(), record[1 + record[0] :])
            position += 4 + length
        return _to_json({'offset': first, 'end': len(topic.records)})

    async def _read(self, request: http.Request, topic: Topic) -> http.Response:
        offset = int(request.query['from'])
        wait_seconds = int(request.query.get('waitMs', '0')) / 1000
        if offset >= len(topic.records) and wait_seconds:
            try:
                async with asyncio.timeout(wait_seconds):
                    await topic.appended.wait()
            except TimeoutError:
                pass
        page = struct.pack('>QQ', len(topic.records), 0)
        for key, content in topic.records[offset:]:
            record = bytes([len(key)]) + key.encode() + content
            page += struct.pack('>I', len(record)) + record
        return http.Response(200, {}, page)

    async def _newest(self, request: http.Request, topic: Topic) -> http.Response:
        items = [
            {'key': key, 'value': base64.b64encode(content).decode(), 'offset': offset}
            for key, (offset, content) in topic.newest().items()
        ]
        return _to_json({'items': items, 'hasMore': False, 'end': len(topic.records)})


def _to_json(content: dict) -> http.Response:
    return http.Response(200, {'Content-Type': 'application/json'}, json.dumps(content).encode())
