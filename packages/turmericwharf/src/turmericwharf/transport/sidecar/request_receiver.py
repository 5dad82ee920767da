"""Receives the requests of one connection."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

import h11

from turmericwharf.coordination.memory import (
    CONNECTION_BYTES,
    WAITING_CONNECTION_BYTES,
    MemoryHolding,
)
from turmericwharf.protocol import HttpRequest, RequestReader
from turmericwharf.state import MEMORY_EXHAUSTED, REQUEST_TIMEOUT, ProtocolFailure

if TYPE_CHECKING:
    from turmericwharf.transport.sidecar.http_listener import HttpListener

READ_BYTES = 32_768
# Time for the body of a request. A client that sends slower holds memory for too long.
_MAX_BODY_SECONDS = 60.0
# Idle connections stay open for this much longer than clients may reuse them.
_IDLE_MARGIN_SECONDS = 1.0


class RequestReceiver:
    """Reads and parses one request after the other, within the memory of the process.

    Parameters
    ----------
    listener
        Listener of the connection.
    stream
        What the client sends.
    writer
        Connection to the client, for interim responses.
    holding
        Memory that is held for the connection.
    has_unwritten
        Whether the client waits for a response.
    """

    def __init__(
        self,
        listener: 'HttpListener',
        stream: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holding: MemoryHolding,
        has_unwritten: Callable[[], bool],
    ) -> None:
        self._listener = listener
        self._stream = stream
        self._writer = writer
        self._holding = holding
        self._has_unwritten = has_unwritten
        self._request_reader = RequestReader()
        self._timeout: asyncio.Timeout | None = None

    @property
    def exchange(self) -> h11.Connection:
        """Protocol state for the request that is being read."""
        return self._request_reader.exchange

    @property
    def has_partial_request(self) -> bool:
        """Whether a request has been received in part."""
        return self._request_reader.has_partial_request

    def interrupt(self) -> None:
        """Refuse the request that is being read, since the memory is needed for others."""
        self._request_reader.discard()
        if self._timeout is not None:
            self._timeout.reschedule(asyncio.get_running_loop().time())

    def discard(self) -> None:
        """Drop the request that is being read."""
        self._request_reader.discard()
        self._holding.take(dataclasses.replace(self._holding.held, reading=0))

    async def receive(self) -> HttpRequest | ProtocolFailure | None:
        """Return the next request, or None if the client sends no further one."""
        reader = self._request_reader
        reader.update_limits(self._listener.limits())
        request = reader.next_request()
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        while request is None:
            if not reader.has_partial_request:
                started_at = loop.time()
            if reader.has_unparsed:
                request = await self._parse_in_turn()
            else:
                encoded = await self._read_with_timeout(loop.time() - started_at)
                if not encoded:
                    return self._handle_end(encoded)
                reader.receive(encoded)
                request = reader.next_request()
            request = request or self._hold_partial()
        return request

    async def _parse_in_turn(self) -> HttpRequest | ProtocolFailure | None:
        """Parse further parts, after each other connection with many parts had its turn."""
        async with self._listener.parsing_turn:
            request = self._request_reader.next_request()
            await asyncio.sleep(0)
        return request

    def _handle_end(self, encoded: bytes | None) -> ProtocolFailure | None:
        if self._holding.is_released:
            return ProtocolFailure(MEMORY_EXHAUSTED.reason, MEMORY_EXHAUSTED.detail)
        is_timeout = encoded is None
        if is_timeout and self._request_reader.has_partial_request:
            return ProtocolFailure(REQUEST_TIMEOUT.reason, REQUEST_TIMEOUT.detail)
        return None

    def _hold_partial(self) -> ProtocolFailure | None:
        """Hold the part of a request that was received; return a failure if there is no memory."""
        reader = self._request_reader
        if not reader.has_partial_request:
            return None
        buffers_bytes = WAITING_CONNECTION_BYTES if reader.has_unparsed else CONNECTION_BYTES
        size = reader.received_bytes + buffers_bytes
        memory = self._listener.resources.memory
        held = dataclasses.replace(self._holding.held, reading=size)
        if memory.can_ever_hold(reader.declared_bytes) and self._holding.request(held):
            return None
        reader.discard()
        return ProtocolFailure(MEMORY_EXHAUSTED.reason, MEMORY_EXHAUSTED.detail)

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
                None if self._has_unwritten() else limits.idle_seconds + _IDLE_MARGIN_SECONDS
            )
        self._send_continue_if_expected()
        try:
            return await self._read(read_timeout_seconds)
        except TimeoutError:
            return None
        except ConnectionError:
            return b''
        finally:
            self._timeout = None

    async def _read(self, timeout_seconds: float | None) -> bytes:
        async with asyncio.timeout(timeout_seconds) as timeout:
            self._timeout = timeout
            encoded = await self._stream.read(READ_BYTES)
        if self._request_reader.has_partial_request:
            self._holding.record_received(len(encoded))
        else:
            # The first bytes of a request.
            self._holding.record_progress()
        return encoded

    def _send_continue_if_expected(self) -> None:
        exchange = self._request_reader.exchange
        if exchange.they_are_waiting_for_100_continue and not self._has_unwritten():
            head = exchange.send(h11.InformationalResponse(status_code=100, headers=[]))
            self._writer.write(head or b'')
