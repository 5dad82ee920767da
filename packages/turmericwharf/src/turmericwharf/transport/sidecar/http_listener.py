"""HTTP server whose connections read requests ahead of the answers.

Tornado's server reads a request only after the answer to the one before it, so a client that
sends several requests at once would wait for each in turn.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable
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
_BACKLOG = 1024
# Answers that one connection may wait for; further requests stay unread.
_MOST_PENDING = 64
# Connections stay open for longer than clients may reuse them.
_IDLE_MARGIN_SECONDS = 1.0

HttpRequestHandler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpListener:
    """Answers requests on one address.

    Parameters
    ----------
    address
        Where to listen.
    answer
        Called with each whole request; cancelled when the client leaves.
    limits
        Returns the bounds in force.
    """

    def __init__(
        self,
        address: Address,
        answer: HttpRequestHandler,
        limits: Callable[[], ClientLimits] = ClientLimits,
    ) -> None:
        self._address = address
        self._server: asyncio.Server | None = None
        self._connections: set[HttpConnection] = set()
        self.answer = answer
        self.limits = limits
        self.is_draining = False

    @property
    def in_progress(self) -> int:
        """Requests without an answer."""
        return sum(connection.pending for connection in self._connections)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve,
            self._address.host,
            self._address.port,
            backlog=_BACKLOG,
            reuse_address=True,
        )

    def drain(self) -> None:
        """Announce the end of each connection with the answer to its last request."""
        self.is_draining = True

    async def finish(self, timeout_seconds: float) -> None:
        """Give up requests that have no answer, so that the answers behind them are delivered."""
        waiting = [connection.finish() for connection in self._connections]
        if waiting:
            await asyncio.wait(waiting, timeout=timeout_seconds)

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = HttpConnection(self, reader, writer)
        self._connections.add(connection)
        try:
            await connection.serve()
        except OSError as error:
            logger.bind(error=str(error)).debug('client_connection_lost')
        except asyncio.CancelledError:
            # The process ends; asyncio's streams would log the cancellation as an error.
            logger.debug('client_connection_ended')
        finally:
            self._connections.discard(connection)
            connection.close()


class HttpConnection:
    """One connection: its task reads, children answer, and a writer keeps the order."""

    def __init__(
        self,
        listener: HttpListener,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._listener = listener
        self._reader = reader
        self._writer = writer
        self._requests = RequestReader()
        self._tasks: collections.deque[asyncio.Task[HttpResponse]] = collections.deque()
        self._written = asyncio.Event()
        self._previous: asyncio.Task[None] | None = None
        self._is_finishing = False
        self._is_over = False
        self.pending = 0

    async def serve(self) -> None:
        """Read requests until the client leaves or the connection is over."""
        try:
            while await self._read_one():
                while self.pending >= _MOST_PENDING:
                    self._written.clear()
                    await self._written.wait()
        finally:
            for task in self._tasks:
                task.cancel()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def finish(self) -> asyncio.Task[None]:
        """Give up requests that have no answer; return the task that writes the last one."""
        self._is_finishing = True
        for task in self._tasks:
            task.cancel()
        return self._previous or asyncio.create_task(asyncio.sleep(0))

    async def _read_one(self) -> bool:
        self._requests.update_limits(self._listener.limits())
        request = self._requests.next_request()
        while request is None:
            encoded = await self._read_in_time()
            if encoded is None:
                return await self._give_up()
            if not encoded:
                return False
            self._requests.receive(encoded)
            request = self._requests.next_request()
        if isinstance(request, ProtocolFailure):
            await self._refuse(request)
            return False
        if self._is_over:
            # The client sends again what it sent behind the answer that ends the connection.
            return False
        self._begin(request)
        return True

    async def _read_in_time(self) -> bytes | None:
        """Return bytes, empty at the end; None if the client took too long."""
        limits = self._listener.limits()
        if self._requests.has_partial_request:
            allowed: float | None = limits.header_seconds
        else:
            # A client that waits for an answer is not idle.
            allowed = None if self.pending else limits.idle_seconds + _IDLE_MARGIN_SECONDS
        self._continue_if_expected()
        try:
            async with asyncio.timeout(allowed):
                return await self._reader.read(_READ_BYTES)
        except TimeoutError:
            return None
        except ConnectionError:
            return b''

    def _continue_if_expected(self) -> None:
        exchange = self._requests.exchange
        if exchange.they_are_waiting_for_100_continue and not self.pending:
            head = exchange.send(h11.InformationalResponse(status_code=100, headers=[]))
            self._writer.write(head or b'')

    async def _give_up(self) -> bool:
        if self._requests.has_partial_request:
            await self._refuse(
                ProtocolFailure(REQUEST_TIMEOUT.reason, REQUEST_TIMEOUT.detail),
            )
            return False
        # An idle client is told nothing, since a request of it may be on its way.
        return bool(self.pending)

    async def _refuse(self, failure: ProtocolFailure) -> None:
        """Answer what is no request, after all requests before it, and end the connection."""
        if self._previous is not None:
            await asyncio.wait([self._previous])
        answer = to_http(NotRun(failure.reason, failure.detail))
        logger.bind(reason=failure.reason.value, detail=failure.detail).info('request_unreadable')
        try:
            encoded = encode_response(self._requests.exchange, answer, is_last=True)
        except h11.LocalProtocolError as error:
            logger.bind(error=str(error)).debug('refusal_unwritable')
            return
        self._writer.write(encoded)
        await self._writer.drain()

    def _begin(self, request: HttpRequest) -> None:
        answering = asyncio.create_task(self._answer(request))
        self._tasks.append(answering)
        self.pending += 1
        self._previous = asyncio.create_task(self._write(request, answering, self._previous))

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._listener.answer(request)
        except asyncio.CancelledError:
            if not self._is_finishing:
                raise
            return to_http(OutcomeUnknown(Reason.ANSWER_TIMEOUT, 'the node stops'))
        except Exception:
            # The request may have run, so nothing else can be said about it.
            logger.exception('request_failed')
            return to_http(OutcomeUnknown(Reason.ANSWER_INCOMPLETE, 'internal error'))

    async def _write(
        self,
        request: HttpRequest,
        answering: asyncio.Task[HttpResponse],
        previous: asyncio.Task[None] | None,
    ) -> None:
        if previous is not None:
            await asyncio.wait([previous])
        await asyncio.wait([answering])
        self._tasks.popleft()
        self.pending -= 1
        self._written.set()
        if answering.cancelled() or self._writer.is_closing():
            return
        await self._write_answer(request, answering.result())

    async def _write_answer(self, request: HttpRequest, answer: HttpResponse) -> None:
        # A server may have run the requests behind this one.
        self._is_over = self._listener.is_draining and not self.pending
        try:
            encoded = encode_response(
                request.exchange,
                answer,
                is_last=self._is_over,
                method=request.method,
            )
        except h11.LocalProtocolError as error:
            # The backend server gave headers that HTTP does not allow.
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
