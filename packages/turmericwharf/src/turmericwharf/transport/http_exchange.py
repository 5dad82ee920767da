"""One HTTP request and its answer on a tornado connection."""

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

_HEAD = 'HEAD'
# Answers with these statuses have neither a body nor a length of one.
_BODILESS = frozenset((204, 304))


class HttpExchange(HTTPMessageDelegate):
    """Collects a request up to a size bound, lets it be answered and writes the answer.

    Parameters
    ----------
    connection
        Where to write the answer.
    exchanges
        The server's exchanges, which this one is part of while it is in progress.
    body_bytes
        Bound on the size of the body.
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
        self._size = 0
        self._refused = False
        self._aborted = False
        self._task: asyncio.Task[None] | None = None
        self.method = ''
        self.target = ''
        self.headers: Headers = ()

    @property
    def body(self) -> bytes:
        """The body as received so far."""
        return b''.join(self._chunks)

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Note the request, and that it is refused if its body is over the bound."""
        if isinstance(start_line, RequestStartLine):
            self.method = start_line.method
            self.target = start_line.path
        self.headers = tuple(headers.get_all())
        length = headers.get('Content-Length', '0')
        self._refused = length.isdigit() and int(length) > self._body_bytes
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Keep a part of the body; one that is over the bound is read to its end but not kept."""
        # An answer to a client that is still sending would be lost when the connection is closed.
        self._size += len(chunk)
        self._refused = self._refused or self._size > self._body_bytes
        if self._refused:
            self._chunks.clear()
        else:
            self._chunks.append(chunk)
        return None

    def finish(self) -> None:
        """Answer the whole request in a task of this connection."""
        # Tornado tells a delegate of a closed connection only while it reads the request.
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._serve())
        self._exchanges.track(self, self._task)

    def on_connection_close(self) -> None:
        """Stop working for a caller that is gone."""
        if self._task is not None:
            self._task.cancel()

    def abort(self) -> None:
        """Answer now that the outcome is unknown."""
        self._aborted = True
        self.on_connection_close()

    async def write(self, answer: HttpResponse) -> None:
        """Write the whole answer, and wait until the connection has taken it."""
        is_last = self._exchanges.is_draining
        start_line = ResponseStartLine('HTTP/1.1', answer.status, '')
        body = b'' if self.method == _HEAD or answer.status in _BODILESS else answer.body
        headers = self._make_headers(answer, self._exchanges.connection_headers)
        written = self._connection.write_headers(start_line, headers, body)
        self._connection.finish()
        await written
        if is_last:
            self._connection.close()

    def _make_headers(self, answer: HttpResponse, connection_headers: Headers) -> HTTPHeaders:
        headers = HTTPHeaders()
        for name, text in (*answer.headers, *connection_headers):
            headers.add(name, text)
        # The length of a body that is not sent, as for HEAD, is the server's to say.
        if answer.status not in _BODILESS and (answer.body or self.method != _HEAD):
            headers['Content-Length'] = str(len(answer.body))
        return headers

    async def _serve(self) -> None:
        try:
            await self._write_safely(await self._answer())
        except StreamClosedError:
            logger.debug('caller_left')
        except asyncio.CancelledError:
            if not self._aborted:
                raise
            await self.write(to_http(OutcomeUnknown(SHUTDOWN.reason, SHUTDOWN.detail)))

    async def _answer(self) -> HttpResponse:
        if self._refused:
            return to_http(NotRun(BODY_TOO_LARGE.reason, BODY_TOO_LARGE.detail))
        try:
            return await self._exchanges.answer(self)
        except Exception:
            # The request may have run, so nothing else can be said about it.
            logger.exception('request_failed')
            return _internal_error()

    async def _write_safely(self, answer: HttpResponse) -> None:
        try:
            await self.write(answer)
        except (ValueError, HTTPInputError) as error:
            # The backend server gave headers that HTTP does not allow.
            logger.bind(error=str(error)).warning('answer_unwritable')
            await self.write(_internal_error())


HttpExchangeHandler: TypeAlias = Callable[[HttpExchange], Awaitable[HttpResponse]]


class HttpExchangeTable(HTTPServerConnectionDelegate):
    """Makes an exchange for each request of an HTTP server, and knows those in progress.

    Parameters
    ----------
    answer
        Called with each whole request.
    body_bytes
        Bound on the size of a body.
    keep_alive_seconds
        How long a client may leave a connection idle before it sends the next request on it.
    """

    def __init__(
        self,
        answer: HttpExchangeHandler,
        body_bytes: int,
        keep_alive_seconds: float | None = None,
    ) -> None:
        self.answer = answer
        self._body_bytes = body_bytes
        self._keep_alive_seconds = keep_alive_seconds
        self.is_draining = False
        self._connections: set[object] = set()
        self._exchanges_by_task: dict[asyncio.Task[None], HttpExchange] = {}

    @property
    def in_progress(self) -> int:
        """Requests whose answers have not been written yet."""
        return len(self._exchanges_by_task)

    @property
    def connections(self) -> int:
        """Open connections."""
        return len(self._connections)

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self.is_draining = True

    def abort(self) -> None:
        """Answer all requests in progress that their outcome is unknown."""
        for exchange in tuple(self._exchanges_by_task.values()):
            exchange.abort()

    def track(self, exchange: HttpExchange, task: asyncio.Task[None]) -> None:
        """Count an exchange as in progress until its task ends."""
        self._exchanges_by_task[task] = exchange
        task.add_done_callback(lambda ended: self._exchanges_by_task.pop(ended, None))

    @property
    def connection_headers(self) -> Headers:
        """Headers that tell the client how long the connection stays open."""
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
        """Forget a connection that was closed."""
        self._connections.discard(server_conn)


def _internal_error() -> HttpResponse:
    return to_http(OutcomeUnknown(Reason.ANSWER_INCOMPLETE, 'internal error'))
