"""HTTP servers of a node."""

import asyncio
import ctypes
import socket
import struct
from typing import Any, cast

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from turmericwharf.coordination.memory import choose_closed
from turmericwharf.transport.http_exchange import (
    ExchangeResources,
    HttpExchangeHandler,
    HttpExchangeTable,
)
from turmericwharf.transport.paced_stream import PacedStream, ReadTurns

_MAX_HEADER_BYTES = 65536
# Multiple of the body limit up to which an oversized body is read and discarded, so that the client
# receives a typed error. Tornado rejects a larger body and closes the connection.
_MAX_READ_FACTOR = 64
# Idle connections are closed this much later than announced to clients, so that a request that is
# already in transit is still served.
_IDLE_MARGIN_SECONDS = 2.0
# Time in which the connections that are already in the accept queue are accepted.
_ACCEPT_DRAIN_SECONDS = 0.1
# What the kernel keeps of a connection that is not being read.
_RECEIVE_BUFFER_BYTES = 65_536
# Socket option of Linux that the `socket` module does not define.
_SO_ATTACH_FILTER = 26
# Classic BPF program: load the TCP flags byte, drop the packet if SYN is set, otherwise accept it.
_DROP_SYN = (
    struct.pack('HBBI', 0x30, 0, 0, 13)
    + struct.pack('HBBI', 0x45, 0, 1, 2)
    + struct.pack('HBBI', 6, 0, 0, 0)
    + struct.pack('HBBI', 6, 0, 0, 0xFFFFFFFF)
)
_DROP_SYN_INSTRUCTION_COUNT = 4


def listen_http(
    handler: HttpExchangeHandler,
    *,
    host: str,
    port: int,
    body_bytes: int,
) -> HTTPServer:
    """Start an HTTP server that answers each request with the result of `handler`."""
    server = HTTPServer(
        HttpExchangeTable(handler, body_bytes),
        max_body_size=body_bytes * _MAX_READ_FACTOR,
        max_header_size=_MAX_HEADER_BYTES,
    )
    server.listen(port, host)
    return server


class DrainableServer:
    """HTTP server that shuts down without aborting requests in progress.

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
        *,
        body_bytes: int,
        keep_alive_seconds: float,
        resources: ExchangeResources | None = None,
    ) -> None:
        self.exchanges = HttpExchangeTable(handler, body_bytes, keep_alive_seconds, resources)
        self.idle_seconds = keep_alive_seconds + _IDLE_MARGIN_SECONDS
        self._sockets: list[socket.socket] = []
        self._server = _ConnectionTrackingServer(
            self.exchanges,
            max_body_size=body_bytes * _MAX_READ_FACTOR,
            max_header_size=_MAX_HEADER_BYTES,
            idle_connection_timeout=self.idle_seconds,
        )

    def start(self, host: str, port: int) -> None:
        """Start listening on a port."""
        self._sockets = bind_sockets(port, host)
        for listening_socket in self._sockets:
            # Accepted connections inherit the size.
            listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        self._server.add_sockets(self._sockets)

    async def drain(self) -> None:
        """Accept no new connections and close each open connection after its next response."""
        self.exchanges.drain()
        # Closing a listening socket resets the connections in its accept queue, which may already
        # carry a request. So new connections are dropped first, and the queued ones accepted.
        for listening_socket in self._sockets:
            _drop_new_connections(listening_socket)
        await asyncio.sleep(_ACCEPT_DRAIN_SECONDS)
        self._server.stop()

    async def stop(self) -> None:
        """Close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


class _ConnectionTrackingServer(HTTPServer):
    """HTTP server that limits its connections, and notifies the exchange table of closed ones."""

    def initialize(self, *arguments: Any, **options: Any) -> None:
        """Initialise the server; tornado calls this in place of the constructor."""
        super().initialize(*arguments, **options)
        # Connections that gave way to others, until they are closed.
        self._closing: set[object] = set()
        self._turns = ReadTurns()

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        """Serve a new connection, unless there are too many."""
        if self._make_room():
            paced = PacedStream(
                stream.socket,
                max_buffer_size=stream.max_buffer_size,
                read_chunk_size=stream.read_chunk_size,
                turns=self._turns,
            )
            super().handle_stream(paced, address)
        else:
            stream.close()

    def on_close(self, server_conn: object) -> None:
        """Remove a closed connection from the exchange table."""
        super().on_close(server_conn)
        self._closing.discard(server_conn)
        cast(HttpExchangeTable, self.request_callback).on_close(server_conn)

    def _make_room(self) -> bool:
        """Return whether a further connection may stay open, after closing another if needed."""
        exchanges = cast(HttpExchangeTable, self.request_callback)
        resources = exchanges.resources
        open_count = len(self._connections) - len(self._closing)
        if resources.max_connections is None or open_count < resources.max_connections:
            return True
        by_number = {
            number: connection
            for number, connection in enumerate(exchanges.exchanges_by_connection)
            if connection not in self._closing
        }
        exchanges_by_connection = exchanges.exchanges_by_connection
        states = [
            exchanges_by_connection[connection].describe(number)
            for number, connection in by_number.items()
        ]
        number = choose_closed(states, resources.memory.now())
        resources.memory.refusals_by_kind['connection'] += 1
        logger.bind(open=open_count, closed_other=number is not None).info('connection_refused')
        if number is None:
            return False
        closed = by_number[number]
        self._closing.add(closed)
        exchanges_by_connection[closed].close()
        return True


def _drop_new_connections(listening_socket: socket.socket) -> None:
    instructions = ctypes.create_string_buffer(_DROP_SYN, len(_DROP_SYN))
    program = struct.pack('HL', _DROP_SYN_INSTRUCTION_COUNT, ctypes.addressof(instructions))
    try:
        listening_socket.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)
    except OSError as error:
        logger.bind(error=str(error)).warning('accept_queue_not_drained')
