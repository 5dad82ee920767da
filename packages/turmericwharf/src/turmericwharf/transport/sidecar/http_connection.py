"""One connection of a client: reads pipelined requests and writes the responses in order."""

import asyncio
import collections
import dataclasses
import itertools
from typing import TYPE_CHECKING

import h11
from loguru import logger

from turmericwharf.coordination.memory import (
    REQUEST_BYTES,
    ConnectionUse,
    HolderKind,
    OpenConnection,
)
from turmericwharf.protocol import (
    HttpRequest,
    HttpResponse,
    encode_response,
    must_close_connection,
    to_http,
)
from turmericwharf.state import (
    MEMORY_EXHAUSTED,
    NotRun,
    OutcomeUnknown,
    ProtocolFailure,
    Reason,
    HeldBytes,
)
from turmericwharf.transport.sidecar.read_size import limit_reads
from turmericwharf.transport.sidecar.request_receiver import READ_BYTES, RequestReceiver
from turmericwharf.transport.sidecar.request_turns import RequestTurns

if TYPE_CHECKING:
    from turmericwharf.transport.sidecar.http_listener import HttpListener

_WRITE_BYTES = 65_536
# Maximum number of unanswered requests of one connection; further requests are not read.
_MAX_PENDING_REQUESTS = 64
# No further requests are read or handled while the client has more than this to read.
_MAX_UNREAD_BYTES = 1_048_576
# Time for which a connection is read after the last response. A byte that arrives after the close
# resets the connection, and the client would lose the response.
_LINGER_SECONDS = 1.0
# Longest time for which a closed connection keeps what the client has not read.
_CLOSE_TIMEOUT_SECONDS = 5.0


class HttpConnection:
    """Client connection with one task that reads requests and two tasks for each request.

    The first task handles the request; the second writes the response after all previous ones.
    """

    def __init__(
        self,
        listener: 'HttpListener',
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._listener = listener
        self._reader = reader
        self._writer = writer
        limit_reads(writer.transport)
        self._tasks: collections.deque[asyncio.Task[None]] = collections.deque()
        # Responses that are not being written yet, by the number of their request.
        self._responses_by_request: dict[int, HttpResponse] = {}
        self._request_numbers = itertools.count(1)
        self._turns = RequestTurns(lambda: self._holding.held.unread > _MAX_UNREAD_BYTES)
        self._last_write: asyncio.Task[None] | None = None
        self._holding = listener.resources.memory.open(HolderKind.CLIENT, self._give_way)
        self._receiver = RequestReceiver(
            listener, reader, writer, self._holding, lambda: bool(self._unwritten)
        )
        self._is_aborting = False
        self._is_closing = False
        self._unwritten = 0
        self.pending = 0

    async def serve(self) -> None:
        """Read requests until the client disconnects or the connection ends."""
        try:
            while await self._read_request():
                while self._has_backlog():
                    await self._turns.wait_for_written()
        finally:
            for task in self._tasks:
                task.cancel()
            self._holding.close()

    def close(self) -> None:
        """Close the connection after the client has read what is buffered, or after some time."""
        self._writer.close()
        if self._writer.transport.get_write_buffer_size():
            asyncio.get_running_loop().call_later(_CLOSE_TIMEOUT_SECONDS, self.abort)

    def abort(self) -> None:
        """Close the connection without writing what is buffered."""
        self._writer.transport.abort()

    def describe(self, number: int) -> OpenConnection:
        """Return the state of the connection for the choice of one to close."""
        use = ConnectionUse.NO_REQUEST
        if self._unwritten:
            use = ConnectionUse.BUSY
        elif self._receiver.has_partial_request:
            use = ConnectionUse.PARTIAL_REQUEST
        return OpenConnection(number, use, self._holding.progress_at)

    def abort_pending(self) -> asyncio.Task[None]:
        """Abort unanswered requests and return the task that writes the last response."""
        self._is_aborting = True
        for task in self._tasks:
            task.cancel()
        return self._last_write or asyncio.create_task(asyncio.sleep(0))

    def _has_backlog(self) -> bool:
        if self._writer.is_closing():
            return False
        return (
            self._unwritten >= _MAX_PENDING_REQUESTS
            or self._holding.held.unread > _MAX_UNREAD_BYTES
        )

    def _give_way(self, held: HeldBytes) -> None:
        """Drop what the connection holds, since the memory is needed for others."""
        if held.unread:
            for task in self._tasks:
                task.cancel()
            # The tasks that write them end one after the other.
            self._responses_by_request.clear()
            self.abort()
            return
        self._receiver.interrupt()

    async def _read_request(self) -> bool:
        request = await self._receiver.receive()
        if isinstance(request, HttpRequest) and not self._hold_running(len(request.body)):
            request = ProtocolFailure(MEMORY_EXHAUSTED.reason, MEMORY_EXHAUSTED.detail)
        if isinstance(request, ProtocolFailure):
            await self._reject(request)
            return False
        if request is None:
            # No error is sent to an idle client, since a request of it may be in transit.
            return False
        if self._is_closing:
            # This request is not run: the client repeats requests that it sent after the one whose
            # response announced the close.
            return False
        self._start_request(request)
        return True

    def _hold_running(self, size: int) -> bool:
        held = self._holding.held
        return self._holding.request(HeldBytes(0, held.running + size + REQUEST_BYTES, held.unread))

    def _hold_response(self, request_bytes: int, size: int) -> None:
        held = self._holding.held
        if not held.unread:
            # The client could not read anything before.
            self._holding.record_progress()
        self._holding.take(
            dataclasses.replace(
                held,
                running=held.running - request_bytes - REQUEST_BYTES,
                unread=held.unread + size,
            )
        )

    def _drop_response(self, size: int) -> None:
        held = self._holding.held
        self._holding.take(dataclasses.replace(held, unread=held.unread - size))

    async def _reject(self, failure: ProtocolFailure) -> None:
        """Answer an invalid request after all previous requests, and end the connection."""
        self._receiver.discard()
        if self._last_write is not None:
            await asyncio.wait([self._last_write])
        response = self._listener.resources.refuse(NotRun(failure.reason, failure.detail))
        logger.bind(reason=failure.reason.value, detail=failure.detail).info('request_unreadable')
        try:
            encoded = encode_response(self._receiver.exchange, response, is_last=True)
        except h11.LocalProtocolError as error:
            logger.bind(error=str(error)).debug('refusal_unwritable')
            return
        self._writer.write(b''.join(encoded))
        await self._linger()

    async def _linger(self) -> None:
        """End the sending side, and read for a moment, so that the client gets the response."""
        loop = asyncio.get_running_loop()
        closes_at = loop.time() + _LINGER_SECONDS
        try:
            async with asyncio.timeout_at(closes_at):
                await self._writer.drain()
                self._writer.write_eof()
                while await self._reader.read(READ_BYTES):
                    # Bytes that were buffered are returned without a pause.
                    await asyncio.sleep(0)
        except (TimeoutError, OSError) as error:
            logger.bind(error=str(error)).debug('refused_connection_closed')

    def _start_request(self, request: HttpRequest) -> None:
        self._holding.record_progress()
        number = next(self._request_numbers)
        response_task = asyncio.create_task(self._answer(request, number))
        self._tasks.append(response_task)
        self.pending += 1
        self._unwritten += 1
        # The body is not kept until the response is written.
        self._last_write = asyncio.create_task(
            self._write(
                dataclasses.replace(request, body=b''), number, response_task, self._last_write
            )
        )

    async def _answer(self, request: HttpRequest, number: int) -> None:
        response = await self._call_handler(request, number)
        if not self._writer.is_closing():
            self._responses_by_request[number] = response
            self._hold_response(len(request.body), len(response.body))

    async def _call_handler(self, request: HttpRequest, number: int) -> HttpResponse:
        try:
            async with self._turns.turn(number) as waited_seconds:
                return await self._listener.handler(
                    dataclasses.replace(request, waited_seconds=waited_seconds)
                )
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
        number: int,
        response_task: asyncio.Task[None],
        previous_write: asyncio.Task[None] | None,
    ) -> None:
        if previous_write is not None:
            await asyncio.wait([previous_write])
        await asyncio.wait([response_task])
        self._tasks.popleft()
        self.pending -= 1
        try:
            response = self._responses_by_request.pop(number, None)
            if response is not None and not self._writer.is_closing():
                await self._write_response(request, response)
                self._drop_response(len(response.body))
        finally:
            self._unwritten -= 1
            self._turns.record_written(number)

    async def _write_response(self, request: HttpRequest, response: HttpResponse) -> None:
        # The connection stays open while requests are pending: a server may have run the ones after
        # this request, and their responses must still be delivered.
        self._is_closing = self._listener.is_draining and not self.pending
        try:
            head, body = encode_response(
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
        try:
            await self._write_in_pieces(head, body)
        except ConnectionError as error:
            logger.bind(error=str(error)).debug('client_left')
        if must_close_connection(request.exchange):
            self._writer.close()

    async def _write_in_pieces(self, head: bytes, body: bytes) -> None:
        first = max(_WRITE_BYTES - len(head), 0)
        rest = memoryview(body)[first:]
        self._writer.write(head + body[:first])
        await self._writer.drain()
        for start in range(0, len(rest), _WRITE_BYTES):
            self._holding.record_progress()
            self._writer.write(rest[start : start + _WRITE_BYTES])
            await self._writer.drain()
        self._holding.record_progress()
