"""One HTTP request and its response on a tornado connection."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias, cast

from loguru import logger
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from turmericwharf.protocol import HttpResponse, to_http
from turmericwharf.state import BODY_TOO_LARGE, SHUTDOWN, Headers, NotRun, OutcomeUnknown, Reason

_HEAD_METHOD = 'HEAD'
# Responses with these statuses have neither a body nor a Content-Length.
_BODILESS_STATUSES = frozenset((204, 304))


class HttpExchange(HTTPMessageDelegate):
    """Collects a request up to a size limit, passes it to the handler and writes the response.

    Parameters
    ----------
    connection
        Connection to write the response to.
    exchanges
        Exchange table of the server, which tracks this exchange while it is in progress.
    body_bytes
        Maximum size of the request body.
    """

    def __init__(
        self,
        connection: HTTP1Connection,
        exchanges: 'HttpExchangeTable',
        body_bytes: int,
    ) -> None:
        self._connection = connection
        self._exchanges = exchanges
        self._body_bytes = body_bytes
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._is_body_too_large = False
        self._is_aborted = False
        self._task: asyncio.Task[None] | None = None
        self.method = ''
        self.target = ''
        self.headers: Headers = ()

    @property
    def body(self) -> bytes:
        """Request body received so far."""
        return b''.join(self._chunks)

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Store the request line and headers, and check the announced size of the body."""
        if isinstance(start_line, RequestStartLine):
            self.method = start_line.method
            self.target = start_line.path
        self.headers = tuple(headers.get_all())
        length = headers.get('Content-Length', '0')
        self._is_body_too_large = length.isdigit() and int(length) > self._body_bytes
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a chunk of the body; an oversized body is read to its end and discarded."""
        # If the connection were closed while the client is still sending, the response would be
        # lost.
        self._received_bytes += len(chunk)
        self._is_body_too_large = self._is_body_too_large or self._received_bytes > self._body_bytes
        if self._is_body_too_large:
            self._chunks.clear()
        else:
            self._chunks.append(chunk)
        return None

    def finish(self) -> None:
        """Handle the complete request in a separate task."""
        # Tornado notifies a delegate of a closed connection only while it reads the request.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._serve())
        self._exchanges.track(self, self._task)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        if self._task is not None:
            self._task.cancel()

    def abort(self) -> None:
        """Cancel the request and report an unknown outcome."""
        self._is_aborted = True
        self.on_connection_close()

    async def write(self, response: HttpResponse) -> None:
        """Write the complete response and wait until it has been flushed to the connection."""
        is_last = self._exchanges.is_draining
        start_line = ResponseStartLine('HTTP/1.1', response.status, '')
        body = (
            b''
            if self.method == _HEAD_METHOD or response.status in _BODILESS_STATUSES
            else response.body
        )
        headers = self._make_headers(response, self._exchanges.connection_headers)
        written = self._connection.write_headers(start_line, headers, body)
        self._connection.finish()
        await written
        if is_last:
            self._connection.close()

    def _make_headers(self, response: HttpResponse, connection_headers: Headers) -> HTTPHeaders:
        headers = HTTPHeaders()
        for name, text in (*response.headers, *connection_headers):
            headers.add(name, text)
        # For a body that is not sent, as for HEAD, the backend server sets the Content-Length.
        if response.status not in _BODILESS_STATUSES and (
            response.body or self.method != _HEAD_METHOD
        ):
            headers['Content-Length'] = str(len(response.body))
        return headers

    async def _serve(self) -> None:
        try:
            await self._write_with_fallback(await self._answer())
        except StreamClosedError:
            logger.debug('caller_left')
        except asyncio.CancelledError:
            if not self._is_aborted:
                raise
            await self.write(to_http(OutcomeUnknown(SHUTDOWN.reason, SHUTDOWN.detail)))

    async def _answer(self) -> HttpResponse:
        if self._is_body_too_large:
            return to_http(NotRun(BODY_TOO_LARGE.reason, BODY_TOO_LARGE.detail))
        try:
            return await self._exchanges.handler(self)
        except Exception:
            # The request may have been executed, so its outcome is unknown.
            logger.exception('request_failed')
            return _internal_error()

    async def _write_with_fallback(self, response: HttpResponse) -> None:
        try:
            await self.write(response)
        except (ValueError, HTTPInputError) as error:
            # The backend server returned headers that are invalid in HTTP.
            logger.bind(error=str(error)).warning('answer_unwritable')
            await self.write(_internal_error())


HttpExchangeHandler: TypeAlias = Callable[[HttpExchange], Awaitable[HttpResponse]]


class HttpExchangeTable(HTTPServerConnectionDelegate):
    """Creates an exchange for each request of an HTTP server and tracks those in progress.

    Parameters
    ----------
    handler
        Called with each complete request.
    body_bytes
        Maximum size of a request body.
    keep_alive_seconds
        Keep-alive timeout of idle connections that is announced to clients.
    """

    def __init__(
        self,
        handler: HttpExchangeHandler,
        body_bytes: int,
        keep_alive_seconds: float | None = None,
    ) -> None:
        self.handler = handler
        self._body_bytes = body_bytes
        self._keep_alive_seconds = keep_alive_seconds
        self.is_draining = False
        self._connections: set[object] = set()
        self._exchanges_by_task: dict[asyncio.Task[None], HttpExchange] = {}

    @property
    def in_progress(self) -> int:
        """Number of requests whose responses have not been written yet."""
        return len(self._exchanges_by_task)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def drain(self) -> None:
        """Close each connection after its next response."""
        self.is_draining = True

    def abort(self) -> None:
        """Answer all requests in progress with an unknown outcome."""
        for exchange in tuple(self._exchanges_by_task.values()):
            exchange.abort()

    def track(self, exchange: HttpExchange, task: asyncio.Task[None]) -> None:
        """Count an exchange as in progress until its task ends."""
        self._exchanges_by_task[task] = exchange
        task.add_done_callback(lambda ended: self._exchanges_by_task.pop(ended, None))

    @property
    def connection_headers(self) -> Headers:
        """Headers that announce to the client how long the connection stays open."""
        if self.is_draining:
            return (('Connection', 'close'),)
        if self._keep_alive_seconds is None:
            return ()
        return (('Keep-Alive', f'timeout={int(self._keep_alive_seconds)}'),)

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the exchange for the next request of a connection."""
        self._connections.add(server_conn)
        return HttpExchange(cast(HTTP1Connection, request_conn), self, self._body_bytes)

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self._connections.discard(server_conn)


def _internal_error() -> HttpResponse:
    return to_http(OutcomeUnknown(Reason.ANSWER_INCOMPLETE, 'internal error'))
