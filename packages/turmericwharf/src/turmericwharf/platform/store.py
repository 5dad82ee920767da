"""Client of the platform's store."""

import base64
import dataclasses
import struct
from collections.abc import Mapping
from types import MappingProxyType
from urllib.parse import urlencode

import msgspec
import pycurl
from loguru import logger
from tornado.httpclient import HTTPRequest, HTTPResponse

from turmericwharf.platform.names import STORE_ERA
from turmericwharf.protocol import decode_json, encode_node_entry
from turmericwharf.state import DataCentreId, LogFailure, Reason
from turmericwharf.state.sidecar import (
    HISTORY_GONE,
    KeyedPage,
    KeyedRecord,
    NodeEntry,
    StoreSettings,
    StoreTopic,
    WriteResult,
)
from turmericwharf.transport.http_client import FetchFailure, fetch, make_client

_NAMES_BY_TOPIC = MappingProxyType(
    {StoreTopic.CONFIGURATION: 'keyed.op', StoreTopic.NODES: 'keyed.nodes'},
)
# Keys that the fleet uses, by topic. All keys of a topic that is not listed are used.
_FLEET_KEYS_BY_TOPIC = MappingProxyType({StoreTopic.CONFIGURATION: frozenset(('config',))})
# The rest of such a key of the configuration topic is the name of a data centre.
_EVACUATION_PREFIX = 'evacuate/'
_OK = 200
_GONE = 410
_MILLISECONDS_PER_SECOND = 1000
_MAX_CLIENTS = 16
# The store sends at most 1 MB of records in a page, which base64 makes a third larger.
_MAX_PAGE_BYTES = 8_388_608
_CONNECT_TIMEOUT_SECONDS = 0.6
_CALL_TIMEOUT_SECONDS = 1.5
_KEEP_ALIVE_INTERVAL_SECONDS = 1
# Reads of the newest records that are begun again because the era changed between two pages.
_MAX_NEWEST_READS = 3
_MAX_ERA_DIGITS = 18
# A page of `/log-read` starts with the end offset and the first offset of the topic. Each record
# follows its length in bytes, and starts with the length of the key in one byte and the key.
_OFFSETS_HEADER = struct.Struct('>QQ')
_RECORD_LENGTH = struct.Struct('>I')


class _Item(msgspec.Struct, frozen=True):
    key: str
    offset: int
    value: str | None = None


class _NewestPage(msgspec.Struct, frozen=True, rename='camel'):
    items: tuple[_Item, ...]
    end: int
    has_more: bool = False


class PlatformStore:
    """Reads and writes the keyed topics of the store, each of which has the single partition 0.

    Parameters
    ----------
    settings
        Settings with the address of the store.
    """

    def __init__(self, settings: StoreSettings) -> None:
        address = settings.address
        self._base_url = f'http://{address.host}:{address.port}'
        self._client = make_client(_MAX_CLIENTS, max_body_bytes=_MAX_PAGE_BYTES)

    async def read_newest(self, topic: StoreTopic) -> KeyedPage | LogFailure:
        """Read the newest record of each key, with all pages from the same era."""
        for _ in range(_MAX_NEWEST_READS):
            page = await self._read_newest_once(topic)
            if page is not None:
                return page
            logger.bind(topic=topic.value).info('store_era_changed_between_pages')
        return LogFailure(Reason.LOG_UNAVAILABLE, 'the era changed between pages repeatedly')

    async def _read_newest_once(self, topic: StoreTopic) -> KeyedPage | LogFailure | None:
        """Read all pages of the newest records; return None if the era changed between them."""
        records_by_key: dict[str, KeyedRecord] = {}
        query: dict[str, str | int] = {'topic': _NAMES_BY_TOPIC[topic], 'part': 0}
        first: KeyedPage | None = None
        while True:
            response = await self._fetch('GET', '/log-newest', query, _CALL_TIMEOUT_SECONDS)
            if isinstance(response, LogFailure):
                return response
            page = _decode_newest(response)
            if isinstance(page, LogFailure):
                return page
            # The pages are not a consistent snapshot, so changes are read from the end offset of
            # the first page.
            era = _read_era(response)
            first = first or KeyedPage({}, page.end, era, is_complete=True)
            if era != first.era:
                return None
            records_by_key.update(_decode_items(page))
            if not page.has_more or not page.items:
                newest = dataclasses.replace(first, records_by_key=records_by_key)
                return _select_fleet_records(topic, newest)
            query['after'] = page.items[-1].key

    async def read_changes(
        self,
        topic: StoreTopic,
        *,
        offset: int,
        wait_seconds: float,
    ) -> KeyedPage | LogFailure:
        """Read the records from an offset on; wait up to `wait_seconds` if there are none yet."""
        query: dict[str, str | int] = {
            'topic': _NAMES_BY_TOPIC[topic],
            'part': 0,
            'from': offset,
            'waitMs': int(wait_seconds * _MILLISECONDS_PER_SECOND),
        }
        response = await self._fetch(
            'GET', '/log-read', query, wait_seconds + _CALL_TIMEOUT_SECONDS
        )
        if isinstance(response, LogFailure):
            return response
        if len(response.body) < _OFFSETS_HEADER.size:
            # An answer without a length may have been broken off after its head.
            return LogFailure(Reason.LOG_UNAVAILABLE, '/log-read: the page has no offsets')
        if _read_end(response.body) < offset:
            # The store came back from a copy that does not reach as far as this node has read.
            return HISTORY_GONE
        records_by_key, next_offset = read_records(response.body, offset)
        page = KeyedPage(records_by_key, next_offset, _read_era(response))
        return _select_fleet_records(topic, page)

    async def publish(self, entry: NodeEntry) -> WriteResult | LogFailure:
        """Append the entry of a node to the nodes topic."""
        key = entry.instance.encode()
        record = bytes([len(key)]) + key + encode_node_entry(entry)
        query: dict[str, str | int] = {'topic': _NAMES_BY_TOPIC[StoreTopic.NODES], 'part': 0}
        response = await self._fetch(
            'POST',
            '/log-append',
            query,
            _CALL_TIMEOUT_SECONDS,
            _RECORD_LENGTH.pack(len(record)) + record,
        )
        if isinstance(response, LogFailure):
            return response
        return WriteResult(_read_era(response))

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _fetch(
        self,
        method: str,
        path: str,
        query: dict[str, str | int],
        timeout_seconds: float,
        body: bytes | None = None,
    ) -> HTTPResponse | LogFailure:
        request = HTTPRequest(
            f'{self._base_url}{path}?{urlencode(query)}',
            method=method,
            body=body,
            connect_timeout=_CONNECT_TIMEOUT_SECONDS,
            request_timeout=timeout_seconds,
            decompress_response=False,
            prepare_curl_callback=_enable_keep_alive,
        )
        response = await fetch(self._client, request)
        if isinstance(response, FetchFailure):
            logger.bind(path=path, detail=response.detail).debug('store_call_failed')
            return LogFailure(Reason.LOG_UNAVAILABLE, response.detail)
        if response.code == _GONE:
            return HISTORY_GONE
        if response.code != _OK:
            return LogFailure(Reason.LOG_UNAVAILABLE, f'{path}: status {response.code}')
        return response


def _enable_keep_alive(curl: pycurl.Curl) -> None:
    # Detects a dead connection while a long poll waits on it.
    curl.setopt(pycurl.TCP_KEEPALIVE, 1)
    curl.setopt(pycurl.TCP_KEEPIDLE, _KEEP_ALIVE_INTERVAL_SECONDS)
    curl.setopt(pycurl.TCP_KEEPINTVL, _KEEP_ALIVE_INTERVAL_SECONDS)


def _read_era(response: HTTPResponse) -> int:
    """Return the era that a response names; 0 if it names none, or no usable number."""
    text = response.headers.get(STORE_ERA, '0')
    if text.isascii() and text.isdecimal() and len(text) <= _MAX_ERA_DIGITS:
        return int(text)
    logger.bind(era=text[:_MAX_ERA_DIGITS]).warning('store_era_unreadable')
    return 0


def _read_end(encoded: bytes) -> int:
    """Return the end offset at the start of a page."""
    end: int = _OFFSETS_HEADER.unpack_from(encoded)[0]
    return end


def _decode_newest(response: HTTPResponse) -> _NewestPage | LogFailure:
    try:
        return decode_json(response.body, _NewestPage)
    except msgspec.DecodeError as error:
        return LogFailure(Reason.FRAME_MALFORMED, f'newest records malformed: {error}')


def _decode_items(page: _NewestPage) -> dict[str, KeyedRecord]:
    records_by_key = {}
    for record in page.items:
        try:
            encoded = base64.b64decode(record.value or '', validate=True)
        except ValueError as error:
            logger.bind(key=record.key, error=str(error)).warning('store_record_unreadable')
            continue
        records_by_key[record.key] = KeyedRecord(encoded, record.offset)
    return records_by_key


def read_records(encoded: bytes, offset: int) -> tuple[dict[str, KeyedRecord], int]:
    """Return the newest record of each key and the offset after the last complete record.

    Parameters
    ----------
    encoded
        Response body of `/log-read`.
    offset
        Offset of the first record in it.
    """
    position = _OFFSETS_HEADER.size
    records_by_key = {}
    while position + _RECORD_LENGTH.size <= len(encoded):
        start = position + _RECORD_LENGTH.size
        position = start + _RECORD_LENGTH.unpack_from(encoded, position)[0]
        if position > len(encoded):
            break
        record = encoded[start:position]
        key_end = 1 + record[0] if record else 0
        try:
            records_by_key[record[1:key_end].decode()] = KeyedRecord(record[key_end:], offset)
        except UnicodeDecodeError as error:
            logger.bind(offset=offset, error=str(error)).warning('store_record_unreadable')
        offset += 1
    return records_by_key, offset


def _select_fleet_records(topic: StoreTopic, page: KeyedPage) -> KeyedPage:
    """Return the page without keys that the fleet does not use, and evacuations on their own."""
    return dataclasses.replace(
        page,
        records_by_key=_select_fleet_keys(topic, page.records_by_key),
        evacuations_by_data_centre=_select_evacuations(topic, page.records_by_key),
    )


def _select_evacuations(
    topic: StoreTopic,
    records_by_key: Mapping[str, KeyedRecord],
) -> Mapping[DataCentreId, KeyedRecord]:
    if topic is not StoreTopic.CONFIGURATION:
        return {}
    return {
        DataCentreId(key.removeprefix(_EVACUATION_PREFIX)): record
        for key, record in records_by_key.items()
        if key.startswith(_EVACUATION_PREFIX) and key != _EVACUATION_PREFIX
    }


def _select_fleet_keys(
    topic: StoreTopic,
    records_by_key: Mapping[str, KeyedRecord],
) -> Mapping[str, KeyedRecord]:
    keys = _FLEET_KEYS_BY_TOPIC.get(topic)
    if keys is None:
        return records_by_key
    return {key: record for key, record in records_by_key.items() if key in keys}
