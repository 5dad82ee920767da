"""Stand-in for the platform's store: keyed topics with one partition, and injected faults.

Runs in the event loop of the test. `fault` is one of `''`, `'busy'` (status 503), `'silent'`
(no answer), `'unreadable'` (reads are answered with status 503) and `'lost'` (appends take effect,
but are not answered). Calls for the topics in
`away_topics` are answered with status 503.

With an `era` above 0, all responses name it. `restore` loses the latest records, as a store that
comes back from an older copy, and raises the era.
"""

import asyncio
import base64
import json
import struct
import time

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

CONFIGURATION_TOPIC = 'keyed.op'


class Topic:
    def __init__(self) -> None:
        self.records: list[tuple[str, bytes]] = []
        self.first = 0
        self.appended = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def wake_readers(self) -> None:
        self.appended.set()
        self.appended = asyncio.Event()

    def drop_last(self, count: int) -> None:
        """Move the end back; the history may have been dropped beyond the new end."""
        end = self.end - count
        self.first = min(self.first, end)
        del self.records[end - self.first :]


class PlatformStore:
    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.newest_by_topic: dict[str, dict[str, tuple[int, bytes]]] = {}
        self.era = 0
        # All appended records, with the time in seconds: (time, topic, key, content, offset).
        self.history: list[tuple[float, str, str, bytes, int]] = []
        self.newest_page_items = 1_000_000
        self.fault = ''
        self.away_topics: set[str] = set()
        self.calls = 0
        self._server: HTTPServer | None = None

    def topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def put(self, name: str, key: str, content: bytes) -> None:
        topic = self.topic(name)
        topic.records.append((key, content))
        self.history.append((time.monotonic(), name, key, content, topic.end - 1))
        self._set_newest(name, key, content, topic.end - 1)
        topic.wake_readers()

    def restore(self, seconds: float) -> list[tuple[str, str, bytes]]:
        """Lose the records of the last seconds and raise the era.

        Returns the lost records of the configuration topic as (topic, key, content), in order.
        Operators write them again.
        """
        since = time.monotonic() - seconds
        lost = [record for record in self.history if record[0] >= since]
        self.history = [record for record in self.history if record[0] < since]
        self.era += 1
        self.newest_by_topic.clear()
        for _, name, key, content, offset in self.history:
            self._set_newest(name, key, content, offset)
        for name, topic in self.topics.items():
            topic.drop_last(sum(record[1] == name for record in lost))
            topic.wake_readers()
        return [record[1:4] for record in lost if record[1] == CONFIGURATION_TOPIC]

    def keep_history(self) -> None:
        """Exclude all records written up to now from later losses."""
        self.history = [(0.0, *record[1:]) for record in self.history]

    def _set_newest(self, name: str, key: str, content: bytes, offset: int) -> None:
        newest = self.newest_by_topic.setdefault(name, {})
        if content:
            newest[key] = (offset, content)
        else:
            newest.pop(key, None)

    def configure(self, configuration: dict) -> None:
        self.put(CONFIGURATION_TOPIC, 'config', json.dumps(configuration).encode())

    def evacuate(self, data_centre: str) -> None:
        self.put(CONFIGURATION_TOPIC, f'evacuate/{data_centre}', b'{}')

    def revoke_evacuation(self, data_centre: str) -> None:
        self.put(CONFIGURATION_TOPIC, f'evacuate/{data_centre}', b'')

    def truncate(self) -> None:
        """Drop the history of all topics, but keep the newest record of each key."""
        for topic in self.topics.values():
            topic.first = topic.end
            topic.records.clear()

    def start(self, host: str, port: int) -> None:
        arguments = {'store': self}
        self._server = HTTPServer(
            Application(
                [
                    ('/log-append', AppendHandler, arguments),
                    ('/log-read', ReadHandler, arguments),
                    ('/log-newest', NewestHandler, arguments),
                ],
            ),
        )
        self._server.listen(port, host)

    def stop(self) -> None:
        self._server.stop()


class StoreHandler(RequestHandler):
    def initialize(self, store: PlatformStore) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls += 1
        is_away = self.get_query_argument('topic') in self.store.away_topics
        is_read = self.request.method == 'GET'
        is_unreadable = is_read and self.store.fault == 'unreadable'
        if is_away or is_unreadable or self.store.fault == 'busy':
            self.set_status(503)
            self.finish()
        elif self.store.fault == 'silent':
            await asyncio.sleep(3600)

    def finish(self, chunk=None):
        if self.store.era:
            self.set_header('Store-Era', str(self.store.era))
        return super().finish(chunk)

    @property
    def topic(self) -> Topic:
        return self.store.topic(self.get_query_argument('topic'))


class AppendHandler(StoreHandler):
    async def post(self) -> None:
        body, position, first = self.request.body, 0, self.topic.end
        while position < len(body):
            length = struct.unpack_from('>I', body, position)[0]
            record = body[position + 4 : position + 4 + length]
            key = record[1 : 1 + record[0]].decode()
            self.store.put(self.get_query_argument('topic'), key, record[1 + record[0] :])
            position += 4 + length
        if self.store.fault == 'lost':
            await asyncio.sleep(3600)
        self.write({'offset': first, 'end': self.topic.end})


class ReadHandler(StoreHandler):
    async def get(self) -> None:
        topic, offset = self.topic, int(self.get_query_argument('from'))
        if offset >= topic.end:
            try:
                async with asyncio.timeout(int(self.get_query_argument('waitMs', '0')) / 1000):
                    await topic.appended.wait()
            except TimeoutError:
                pass
        if offset < topic.first or (self.store.era and offset > topic.end):
            self.set_status(410)
            self.write({'first': topic.first})
            return
        self.write(struct.pack('>QQ', topic.end, topic.first))
        for key, content in topic.records[offset - topic.first :]:
            record = bytes([len(key)]) + key.encode() + content
            self.write(struct.pack('>I', len(record)) + record)


class NewestHandler(StoreHandler):
    async def get(self) -> None:
        newest = self.store.newest_by_topic.get(self.get_query_argument('topic'), {})
        after = self.get_query_argument('after', '')
        keys = sorted(key for key in newest if key > after)
        has_more = len(keys) > self.store.newest_page_items
        keys = keys[: self.store.newest_page_items]
        items = [
            {
                'key': key,
                'value': base64.b64encode(newest[key][1]).decode(),
                'offset': newest[key][0],
            }
            for key in keys
        ]
        self.write({'items': items, 'hasMore': has_more, 'end': self.topic.end})
