"""Client of the platform's log service over HTTP."""

from collections.abc import Sequence

import msgspec
from tornado.httpclient import HTTPRequest, HTTPResponse

from turmericwharf.protocol import decode_json, decode_log_page, encode_record
from turmericwharf.state import (
    LogFailure,
    LogPage,
    LogRecord,
    LogSettings,
    ProtocolFailure,
    Reason,
)
from turmericwharf.transport.http_client import FetchFailure, fetch, make_client

_MAX_CONCURRENT_REQUESTS = 64
_OK = 200


class HttpLog:
    """Client of the platform's append-only log over HTTP.

    Parameters
    ----------
    settings
        Address and timeout.
    source_host
        Local IP address of the connections.
    """

    def __init__(self, settings: LogSettings, *, source_host: str) -> None:
        self._settings = settings
        self._source_host = source_host
        self._client = make_client(_MAX_CONCURRENT_REQUESTS)

    async def append(self, stream: str, records: Sequence[LogRecord]) -> int | LogFailure:
        """Append records and return the offset of the first."""
        body = msgspec.json.encode({'records': [encode_record(record) for record in records]})
        response = await self._fetch(
            HTTPRequest(
                self._url(stream),
                method='POST',
                body=body,
                request_timeout=self._settings.timeout_seconds,
                network_interface=self._source_host,
            ),
        )
        if isinstance(response, LogFailure):
            return response
        return _decode_offset(response.body)

    async def read(
        self,
        stream: str,
        *,
        offset: int,
        wait_seconds: float,
    ) -> LogPage | LogFailure:
        """Read records from `offset` on; wait up to `wait_seconds` if there are none yet."""
        response = await self._fetch(
            HTTPRequest(
                f'{self._url(stream)}?offset={offset}&wait_seconds={wait_seconds}',
                request_timeout=self._settings.timeout_seconds + wait_seconds,
                network_interface=self._source_host,
            ),
        )
        if isinstance(response, LogFailure):
            return response
        page = decode_log_page(response.body)
        if isinstance(page, ProtocolFailure):
            return LogFailure(Reason.LOG_UNAVAILABLE, page.detail)
        return page

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse | LogFailure:
        response = await fetch(self._client, request)
        if isinstance(response, FetchFailure):
            return LogFailure(Reason.LOG_UNAVAILABLE, response.detail)
        if response.code != _OK:
            return LogFailure(Reason.LOG_UNAVAILABLE, f'{response.code} {response.reason}')
        return response

    def _url(self, stream: str) -> str:
        return f'{self._settings.url}/streams/{stream}/records'


class _AppendResponse(msgspec.Struct, frozen=True):
    first_offset: int


def _decode_offset(body: bytes) -> int | LogFailure:
    try:
        return decode_json(body, _AppendResponse).first_offset
    except msgspec.DecodeError as error:
        return LogFailure(Reason.LOG_UNAVAILABLE, f'malformed response to an append: {error}')
