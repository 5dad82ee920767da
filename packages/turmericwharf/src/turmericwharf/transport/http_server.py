"""HTTP servers of a node."""

import asyncio
import ctypes
import socket
import struct
from typing import cast

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from turmericwharf.transport.http_exchange import HttpExchangeHandler, HttpExchangeTable

_HEADER_ALLOWANCE_BYTES = 65536
# A body over the bound is read and dropped up to this multiple of it, so that its sender gets a
# typed answer; tornado refuses a larger one and closes the connection.
_READ_FACTOR = 64
# Connections are closed later than clients were told, so that a request on its way still arrives.
_IDLE_MARGIN_SECONDS = 2.0
_STOP_ACCEPTING_SECONDS = 0.1
_SO_ATTACH_FILTER = 26
# Classic BPF: load the byte of TCP flags, drop the packet if SYN is set, else take it.
_DROP_SYN = (
    struct.pack('HBBI', 0x30, 0, 0, 13)
    + struct.pack('HBBI', 0x45, 0, 1, 2)
    + struct.pack('HBBI', 6, 0, 0, 0)
    + struct.pack('HBBI', 6, 0, 0, 0xFFFFFFFF)
)
_DROP_SYN_LENGTH = 4


def listen_http(
    answer: HttpExchangeHandler,
    *,
    host: str,
    port: int,
    body_bytes: int,
) -> HTTPServer:
    """Start an HTTP server that answers each request by `answer`."""
    server = HTTPServer(
        HttpExchangeTable(answer, body_bytes),
        max_body_size=body_bytes * _READ_FACTOR,
        max_header_size=_HEADER_ALLOWANCE_BYTES,
    )
    server.listen(port, host)
    return server


class DrainableServer:
    """HTTP server that stops without cutting a request.

    Parameters
    ----------
    answer
        Called with each whole request.
    body_bytes
        Bound on the size of a body.
    keep_alive_seconds
        How long clients are told that an idle connection stays open.
    """

    def __init__(
        self,
        answer: HttpExchangeHandler,
        *,
        body_bytes: int,
        keep_alive_seconds: float,
    ) -> None:
        self.exchanges = HttpExchangeTable(answer, body_bytes, keep_alive_seconds)
        self.idle_seconds = keep_alive_seconds + _IDLE_MARGIN_SECONDS
        self._sockets: list[socket.socket] = []
        self._server = _CountingServer(
            self.exchanges,
            max_body_size=body_bytes * _READ_FACTOR,
            max_header_size=_HEADER_ALLOWANCE_BYTES,
            idle_connection_timeout=self.idle_seconds,
        )

    def start(self, host: str, port: int) -> None:
        """Listen on a port."""
        self._sockets = bind_sockets(port, host)
        self._server.add_sockets(self._sockets)

    async def drain(self) -> None:
        """Take no new connection and close each open one after its next answer."""
        self.exchanges.drain()
        # Closing a listening socket resets connections that wait to be accepted, perhaps with a
        # request on them. So new ones are kept out first, and those that wait are accepted.
        for listening in self._sockets:
            _drop_new_connections(listening)
        await asyncio.sleep(_STOP_ACCEPTING_SECONDS)
        self._server.stop()

    async def stop(self) -> None:
        """Close all connections."""
        self._server.stop()
        await self._server.close_all_connections()


class _CountingServer(HTTPServer):
    """HTTP server that also tells the exchanges when a connection was closed."""

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that was closed."""
        super().on_close(server_conn)
        cast(HttpExchangeTable, self.request_callback).on_close(server_conn)


def _drop_new_connections(listening: socket.socket) -> None:
    program = ctypes.create_string_buffer(_DROP_SYN, len(_DROP_SYN))
    fields = struct.pack('HL', _DROP_SYN_LENGTH, ctypes.addressof(program))
    try:
        listening.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, fields)
    except OSError as error:
        logger.bind(error=str(error)).warning('accept_queue_not_drained')
