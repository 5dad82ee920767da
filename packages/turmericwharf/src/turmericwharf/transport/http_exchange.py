"""One HTTP request and its response on a tornado connection."""

import asyncio
import dataclasses
import io
from collections.abc import Awaitable, Callable, Mapping
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

from turmericwharf.coordination.memory import (
    CONNECTION_BYTES,
    REQUEST_BYTES,
    WAITING_CONNECTION_BYTES,
    ConnectionUse,
    HolderKind,
    MemoryBudget,
    OpenConnection,
)
from turmericwharf.protocol import HttpResponse, to_http
from turmericwharf.state import (
    BODY_TOO_LARGE,
    MEMORY_EXHAUSTED,
    SHUTDOWN,
    Headers,
    HeldBytes,
    MemoryLimits,
    NotRun,
    OutcomeUnknown,
    Reason,
)
from turmericwharf.transport.clock import BootClock

_HEAD_METHOD = 'HEAD'
# Responses with these statuses have neither a body nor a Content-Length.
_BODILESS_STATUSES = frozenset((204, 304))
_CLOSE_HEADERS = (('Connection', 'close'),)
_WRITE_BYTES = 65_536
# Time for which a refused request is read on. A byte that arrives after the close resets the
# connection, and the caller would lose the response.
_LINGER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeResources:
    """What the connections of an HTTP server share with the rest of the process.

    Parameters
    ----------
    memory
        Memory of the process.
    max_connections
        Maximum number of open connections; None if there is no limit.
    """

    memory: MemoryBudget = dataclasses.field(
        default_factory=lambda: MemoryBudget(MemoryLimits(), BootClock())
    )
    max_connections: int | None = None


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
        # The buffer of `BytesIO` becomes the body without a copy.
        self._body = io.BytesIO()
        self._received_bytes = 0
        self._is_chunked = False
        self._is_body_too_large = False
        self._is_refused = False
        self._is_last = False
        self._is_writing = False
        # Kept here and not in the frames of the task, which reference cycles keep alive for longer
        # when the connection is closed.
        self._unwritten = b''
        self._start_line = ResponseStartLine('HTTP/1.1', 0, '')
        self._response_headers = HTTPHeaders()
        self._is_aborted = False
        self._task: asyncio.Task[None] | None = None
        self._holding = exchanges.resources.memory.open(HolderKind.CLIENT, self._give_way)
        self.method = ''
        self.target = ''
        self.headers: Headers = ()

    @property
    def body(self) -> bytes:
        """Request body received so far."""
        return self._body.getvalue()

    def describe(self, number: int) -> OpenConnection:
        """Return the state of the connection for the choice of one to close."""
        use = ConnectionUse.NO_REQUEST
        if self._task is not None:
            use = ConnectionUse.BUSY
        elif self.method:
            use = ConnectionUse.PARTIAL_REQUEST
        return OpenConnection(number, use, self._holding.progress_at)

    def close_after_response(self) -> None:
        """Close the connection once the response is written, as the response announces."""
        self._is_last = True

    def close(self) -> None:
        """Close the connection, and end the task that writes to it."""
        self._connection.close()
        # Tornado forgets the future that the task waits for.
        self.on_connection_close()

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
        self._holding.record_progress()
        self._is_chunked = 'Transfer-Encoding' in headers
        length = headers.get('Content-Length', '0')
        self._is_body_too_large = length.isdigit() and int(length) > self._body_bytes
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a chunk of the body; an oversized body is read to its end and discarded."""
        if self._is_refused:
            return None
        # If the connection were closed while the client is still sending, the response would be
        # lost.
        self._received_bytes += len(chunk)
        self._is_body_too_large = self._is_body_too_large or self._received_bytes > self._body_bytes
        if self._is_body_too_large:
            self._body = io.BytesIO()
        else:
            self._body.write(chunk)
        self._hold_part(len(chunk))
        return None

    def finish(self) -> None:
        """Handle the complete request in a separate task."""
        if self._is_refused or self._connection.stream.closed():
            # Tornado goes on to parse the requests that the caller sent before the close.
            self._holding.close()
            return
        # Tornado notifies a delegate of a closed connection only while it reads the request.
        self._connection.set_close_callback(self.on_connection_close)
        size = self._body.tell() + REQUEST_BYTES
        if not self._holding.request(HeldBytes(running=size)):
            self._refuse()
            return
        self._holding.record_progress()
        self._task = asyncio.create_task(self._serve())
        self._exchanges.track(self, self._task)

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        self._unwritten = b''
        self._holding.close()
        if self._task is not None:
            self._task.cancel()

    def abort(self) -> None:
        """Cancel the request and report an unknown outcome."""
        self._is_aborted = True
        if self._task is not None:
            self._task.cancel()

    def _prepare(self, response: HttpResponse) -> None:
        """Set the response that is written next, and drop the request."""
        self._body = io.BytesIO()
        self._is_last = self._is_last or self._exchanges.is_draining
        self._start_line = ResponseStartLine('HTTP/1.1', response.status, '')
        self._response_headers = self._make_headers(
            response, _CLOSE_HEADERS if self._is_last else self._exchanges.connection_headers
        )
        has_body = self.method != _HEAD_METHOD and response.status not in _BODILESS_STATUSES
        self._unwritten = response.body if has_body else b''

    async def _write(self) -> None:
        """Write the response and wait until it has been flushed to the connection."""
        self._holding.take(HeldBytes(unread=len(self._unwritten)))
        self._holding.record_progress()
        # Writing the body as a whole would copy it, and would not show whether the caller reads.
        written = self._connection.write_headers(
            self._start_line, self._response_headers, self._unwritten[:_WRITE_BYTES]
        )
        self._is_writing = True
        for start in range(_WRITE_BYTES, len(self._unwritten), _WRITE_BYTES):
            await written
            self._holding.record_progress()
            written = self._connection.write(self._unwritten[start : start + _WRITE_BYTES])
        if not self._is_last:
            self._connection.finish()
        await written
        if self._is_last:
            self._connection.close()

    def _hold_part(self, size: int) -> None:
        """Hold the part of the body that was received; refuse the request without memory for it."""
        self._holding.record_received(size)
        # Connections with many chunks take turns, and their buffers fill up meanwhile.
        buffers_bytes = WAITING_CONNECTION_BYTES if self._is_chunked else CONNECTION_BYTES
        held = HeldBytes(reading=self._body.tell() + buffers_bytes)
        if not self._holding.request(held):
            self._refuse()

    def _give_way(self, held: HeldBytes) -> None:
        """Drop what the connection holds, since the memory is needed for others."""
        if held.unread:
            self.close()
        else:
            self._refuse()

    def _refuse(self) -> None:
        """Answer a request for which there is no memory, and end its connection."""
        if self._is_refused:
            return
        self._is_refused = True
        self._body = io.BytesIO()
        self._holding.close()
        logger.bind(reason=MEMORY_EXHAUSTED.reason.value).info('request_refused')
        response = to_http(NotRun(MEMORY_EXHAUSTED.reason, MEMORY_EXHAUSTED.detail))
        headers = self._make_headers(response, _CLOSE_HEADERS)
        start_line = ResponseStartLine('HTTP/1.1', response.status, '')
        self._connection.write_headers(start_line, headers, response.body)
        asyncio.get_running_loop().call_later(_LINGER_SECONDS, self._connection.close)

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
            await self._write_with_fallback()
        except StreamClosedError:
            logger.debug('caller_left')
        except asyncio.CancelledError:
            if not self._is_aborted:
                raise
            await self._write_aborted()
        finally:
            self._unwritten = b''
            self._holding.close()

    async def _write_aborted(self) -> None:
        if self._is_writing:
            # A further response would become a part of the body that is being written.
            self._connection.close()
            return
        self._prepare(to_http(OutcomeUnknown(SHUTDOWN.reason, SHUTDOWN.detail)))
        await self._write()

    async def _answer(self) -> HttpResponse:
        if self._is_body_too_large:
            return to_http(NotRun(BODY_TOO_LARGE.reason, BODY_TOO_LARGE.detail))
        try:
            return await self._exchanges.handler(self)
        except Exception:
            # The request may have been executed, so its outcome is unknown.
            logger.exception('request_failed')
            return _internal_error()

    async def _write_with_fallback(self) -> None:
        try:
            self._prepare(await self._answer())
            await self._write()
        except (ValueError, HTTPInputError) as error:
            # The backend server returned headers that are invalid in HTTP.
            logger.bind(error=str(error)).warning('answer_unwritable')
            self._prepare(_internal_error())
            await self._write()


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
    resources
        What connections share with the rest of the process.
    """

    def __init__(
        self,
        handler: HttpExchangeHandler,
        body_bytes: int,
        keep_alive_seconds: float | None = None,
        resources: ExchangeResources | None = None,
    ) -> None:
        self.handler = handler
        self.resources = resources or ExchangeResources()
        self._body_bytes = body_bytes
        self._keep_alive_seconds = keep_alive_seconds
        self.is_draining = False
        self._exchanges_by_connection: dict[object, HttpExchange] = {}
        self._exchanges_by_task: dict[asyncio.Task[None], HttpExchange] = {}

    @property
    def in_progress(self) -> int:
        """Number of requests whose responses have not been written yet."""
        return len(self._exchanges_by_task)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._exchanges_by_connection)

    @property
    def exchanges_by_connection(self) -> Mapping[object, HttpExchange]:
        """Latest exchange of each open connection."""
        return self._exchanges_by_connection

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
            return _CLOSE_HEADERS
        if self._keep_alive_seconds is None:
            return ()
        return (('Keep-Alive', f'timeout={int(self._keep_alive_seconds)}'),)

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the exchange for the next request of a connection."""
        exchange = HttpExchange(cast(HTTP1Connection, request_conn), self, self._body_bytes)
        self._exchanges_by_connection[server_conn] = exchange
        return exchange

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection."""
        self._exchanges_by_connection.pop(server_conn, None)


def _internal_error() -> HttpResponse:
    return to_http(OutcomeUnknown(Reason.ANSWER_INCOMPLETE, 'internal error'))
