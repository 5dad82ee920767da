"""HTTP server with concurrent handling of pipelined requests.

Tornado's server reads a request only after the previous request has been answered, so that
pipelined requests of a client would be handled one after the other.
"""

import asyncio
import collections
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import TypeAlias

import h11
from loguru import logger

from turmericwharf.protocol import (
    HttpResponse,
    HttpRequest,
    RequestReader,
    encode_response,
    must_close_connection,
    to_http,
)
from turmericwharf.state import REQUEST_TIMEOUT, NotRun, OutcomeUnknown, ProtocolFailure, Reason
from turmericwharf.state.sidecar import Address, ClientLimits

_READ_BYTES = 65536
_ACCEPT_BACKLOG = 1024
# Maximum number of unanswered requests of one connection; further requests are not read.
_MAX_PENDING_REQUESTS = 64
# Time for the body of a request. A client that sends slower holds memory for too long.
_MAX_BODY_SECONDS = 60.0
# Idle connections stay open for this much longer than clients may reuse them.
_IDLE_MARGIN_SECONDS = 1.0
# Time for requests that arrived just before the listener stopped. They are answered at once, since
# the node accepts no work any more; connections without a request are closed at the end of it.
_LAST_REQUEST_SECONDS = 0.1

HttpRequestHandler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpListener:
    """HTTP server on one address.

    Parameters
    ----------
    address
        Address to listen on.
    handler
        Called with each complete request; cancelled when the client disconnects.
    limits
        Returns the limits in force.
    """

    def __init__(
        self,
        address: Address,
        handler: HttpRequestHandler,
        limits: Callable[[], ClientLimits] = ClientLimits,
    ) -> None:
        self._address = address
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._connections: set[HttpConnection] = set()
        self.handler = handler
        self.limits = limits
        self.is_draining = False

    @property
    def in_progress(self) -> int:
        """Number of unanswered requests."""
        return sum(connection.pending for connection in self._connections)

    async def start(self) -> None:
        """Start listening."""
        self._socket = socket.create_server(
            (self._address.host, self._address.port), backlog=_ACCEPT_BACKLOG
        )
        self._server = await asyncio.start_server(
            self._serve, sock=self._socket, backlog=_ACCEPT_BACKLOG
        )

    def drain(self) -> None:
        """Announce the close of each connection with the response to its last request."""
        self.is_draining = True

    async def abort_pending(self, timeout_seconds: float) -> None:
        """Abort unanswered requests, so that completed responses behind them are delivered."""
        last_writes = [connection.abort_pending() for connection in self._connections]
        if last_writes:
            await asyncio.wait(last_writes, timeout=timeout_seconds)

    async def stop(self) -> None:
        """Stop listening, answer the requests that have arrived, and close all connections."""
        await self._stop_listening()
        await asyncio.sleep(_LAST_REQUEST_SECONDS)
        for connection in tuple(self._connections):
            connection.close()

    async def _stop_listening(self) -> None:
        if self._server is None or self._socket is None:
            return
        # Closing the socket resets the connections that were not accepted yet.
        accepted = list(_accept_all(self._socket))
        self._server.close()
        loop = asyncio.get_running_loop()
        for client in accepted:
            with contextlib.suppress(OSError):
                await loop.connect_accepted_socket(self._make_protocol, client)

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(asyncio.StreamReader(), self._serve)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = HttpConnection(self, reader, writer)
        self._connections.add(connection)
        try:
            await connection.serve()
        except OSError as error:
            logger.bind(error=str(error)).debug('client_connection_lost')
        except asyncio.CancelledError:
            # The process is stopping; asyncio's streams would log the cancellation as an error.
            logger.debug('client_connection_ended')
        finally:
            self._connections.discard(connection)
            connection.close()


def _accept_all(listening: socket.socket) -> Iterator[socket.socket]:
    """Yield the connections that wait to be accepted."""
    with contextlib.suppress(OSError):
        while True:
            client, _ = listening.accept()
            client.setblocking(False)
            yield client


class HttpConnection:
    """Client connection with one task that reads requests and two tasks for each request.

    The first task handles the request; the second writes the response after all previous ones.
    """

    def __init__(
        self,
        listener: HttpListener,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._listener = listener
        self._reader = reader
        self._writer = writer
        self._request_reader = RequestReader()
        self._tasks: collections.deque[asyncio.Task[HttpResponse]] = collections.deque()
        self._response_written = asyncio.Event()
        self._last_write: asyncio.Task[None] | None = None
        self._is_aborting = False
        self._is_closing = False
        self.pending = 0

    async def serve(self) -> None:
        """Read requests until the client disconnects or the connection ends."""
        try:
            while await self._read_request():
                while self.pending >= _MAX_PENDING_REQUESTS:
                    self._response_written.clear()
                    await self._response_written.wait()
        finally:
            for task in self._tasks:
                task.cancel()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def abort_pending(self) -> asyncio.Task[None]:
        """Abort unanswered requests and return the task that writes the last response."""
        self._is_aborting = True
        for task in self._tasks:
            task.cancel()
        return self._last_write or asyncio.create_task(asyncio.sleep(0))

    async def _read_request(self) -> bool:
        self._request_reader.update_limits(self._listener.limits())
        request = self._request_reader.next_request()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while request is None:
            if not self._request_reader.has_partial_request:
                started_at = loop.time()
            encoded = await self._read_with_timeout(loop.time() - started_at)
            if encoded is None:
                return await self._handle_timeout()
            if not encoded:
                return False
            self._request_reader.receive(encoded)
            request = self._request_reader.next_request()
        if isinstance(request, ProtocolFailure):
            await self._reject(request)
            return False
        if self._is_closing:
            # This request is not run: the client repeats requests that it sent after the one whose
            # response announced the close.
            return False
        self._start_request(request)
        return True

    async def _read_with_timeout(self, elapsed_seconds: float) -> bytes | None:
        """Return received bytes, empty at end of stream, or None after a timeout.

        Parameters
        ----------
        elapsed_seconds
            Time since the first byte of the request that has been received in part.
        """
        limits = self._listener.limits()
        if self._request_reader.has_partial_request:
            # The limit is on the whole head, so that a client that sends it byte by byte ends too.
            allowed = _MAX_BODY_SECONDS if self._request_reader.has_head else limits.header_seconds
            read_timeout_seconds: float | None = min(
                limits.header_seconds, allowed - elapsed_seconds
            )
        else:
            # A client that is waiting for a response is not idle.
            read_timeout_seconds = (
                None if self.pending else limits.idle_seconds + _IDLE_MARGIN_SECONDS
            )
        self._send_continue_if_expected()
        try:
            async with asyncio.timeout(read_timeout_seconds):
                return await self._reader.read(_READ_BYTES)
        except TimeoutError:
            return None
        except ConnectionError:
            return b''

    def _send_continue_if_expected(self) -> None:
        exchange = self._request_reader.exchange
        if exchange.they_are_waiting_for_100_continue and not self.pending:
            head = exchange.send(h11.InformationalResponse(status_code=100, headers=[]))
            self._writer.write(head or b'')

    async def _handle_timeout(self) -> bool:
        if self._request_reader.has_partial_request:
            await self._reject(
                ProtocolFailure(REQUEST_TIMEOUT.reason, REQUEST_TIMEOUT.detail),
            )
            return False
        # No error is sent to an idle client, since a request of it may be in transit.
        return bool(self.pending)

    async def _reject(self, failure: ProtocolFailure) -> None:
        """Answer an invalid request after all previous requests, and end the connection."""
        if self._last_write is not None:
            await asyncio.wait([self._last_write])
        response = to_http(NotRun(failure.reason, failure.detail))
        logger.bind(reason=failure.reason.value, detail=failure.detail).info('request_unreadable')
        try:
            encoded = encode_response(self._request_reader.exchange, response, is_last=True)
        except h11.LocalProtocolError as error:
            logger.bind(error=str(error)).debug('refusal_unwritable')
            return
        self._writer.write(encoded)
        await self._writer.drain()

    def _start_request(self, request: HttpRequest) -> None:
        response_task = asyncio.create_task(self._answer(request))
        self._tasks.append(response_task)
        self.pending += 1
        self._last_write = asyncio.create_task(
            self._write(request, response_task, self._last_write)
        )

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._listener.handler(request)
        except asyncio.CancelledError:
            if not self._is_aborting:
                raise
            return to_http(OutcomeUnknown(Reason.ANSWER_TIMEOUT, 'the node is shutting down'))
        except Exception:
            # The request may have been executed, so its outcome is unknown.
            logger.exception('request_failed')
            return to_http(OutcomeUnknown(Reason.ANSWER_INCOMPLETE, 'internal error'))

    async def _write(
        self,
        request: HttpRequest,
        response_task: asyncio.Task[HttpResponse],
        previous_write: asyncio.Task[None] | None,
    ) -> None:
        if previous_write is not None:
            await asyncio.wait([previous_write])
        await asyncio.wait([response_task])
        self._tasks.popleft()
        self.pending -= 1
        self._response_written.set()
        if response_task.cancelled() or self._writer.is_closing():
            return
        await self._write_response(request, response_task.result())

    async def _write_response(self, request: HttpRequest, response: HttpResponse) -> None:
        # The connection stays open while requests are pending: a server may have run the ones after
        # this request, and their responses must still be delivered.
        self._is_closing = self._listener.is_draining and not self.pending
        try:
            encoded = encode_response(
                request.exchange,
                response,
                is_last=self._is_closing,
                method=request.method,
            )
        except h11.LocalProtocolError as error:
            # The backend server returned headers that are invalid in HTTP.
            logger.bind(error=str(error)).warning('answer_unwritable')
            self._writer.close()
            return
        self._writer.write(encoded)
        try:
            await self._writer.drain()
        except ConnectionError as error:
            logger.bind(error=str(error)).debug('client_left')
        if must_close_connection(request.exchange):
            self._writer.close()
