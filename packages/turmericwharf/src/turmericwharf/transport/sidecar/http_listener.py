"""HTTP server with concurrent handling of pipelined requests.

Tornado's server reads a request only after the previous request has been answered, so that
pipelined requests of a client would be handled one after the other.
"""

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import TypeAlias

from loguru import logger

from turmericwharf.coordination.memory import MemoryBudget, choose_closed
from turmericwharf.protocol import HttpRequest, HttpResponse, to_http
from turmericwharf.state import NotRun, MemoryLimits
from turmericwharf.state.sidecar import Address, ClientLimits
from turmericwharf.transport.clock import BootClock
from turmericwharf.transport.sidecar.http_connection import HttpConnection

_ACCEPT_BACKLOG = 1024
# Connections that are accepted at once. Each takes a descriptor before the listener can refuse it.
_ACCEPTED_AT_ONCE = 16
# A connection buffers up to twice this size before it stops reading.
_STREAM_BYTES = 16_384
# What the kernel keeps of a connection that is not being read. Without a limit, it keeps megabytes
# of each client that sends while its earlier requests wait.
_RECEIVE_BUFFER_BYTES = 65_536
# Time for requests that arrived just before the listener stopped. They are answered at once, since
# the node accepts no work any more; connections without a request are closed at the end of it.
_LAST_REQUEST_SECONDS = 0.1

HttpRequestHandler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerResources:
    """What the connections of a listener share with the rest of the process.

    Parameters
    ----------
    memory
        Memory of the process.
    max_connections
        Maximum number of open connections; None if there is no limit.
    refuse
        Encodes the refusal of a request that was not read completely.
    """

    memory: MemoryBudget = dataclasses.field(
        default_factory=lambda: MemoryBudget(MemoryLimits(), BootClock())
    )
    max_connections: int | None = None
    refuse: Callable[[NotRun], HttpResponse] = to_http


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
    resources
        What connections share with the rest of the process.
    """

    def __init__(
        self,
        address: Address,
        handler: HttpRequestHandler,
        limits: Callable[[], ClientLimits] = ClientLimits,
        resources: ListenerResources | None = None,
    ) -> None:
        self._address = address
        self._socket: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._connections: set[HttpConnection] = set()
        self.handler = handler
        self.limits = limits
        self.resources = resources or ListenerResources()
        # Held by the connection that parses a body in many parts.
        self.parsing_turn = asyncio.Lock()
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
        # Accepted connections inherit the size.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES)
        # The backlog is also the number of connections that asyncio accepts at once.
        self._server = await asyncio.start_server(
            self._serve, sock=self._socket, backlog=_ACCEPTED_AT_ONCE, limit=_STREAM_BYTES
        )
        self._socket.listen(_ACCEPT_BACKLOG)

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
        return asyncio.StreamReaderProtocol(asyncio.StreamReader(_STREAM_BYTES), self._serve)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._make_room():
            writer.transport.abort()
            return
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

    def _make_room(self) -> bool:
        """Return whether a further connection may stay open, after closing another if needed."""
        max_connections = self.resources.max_connections
        if max_connections is None or len(self._connections) < max_connections:
            return True
        by_number = {id(connection): connection for connection in self._connections}
        states = [connection.describe(number) for number, connection in by_number.items()]
        number = choose_closed(states, self.resources.memory.now())
        self.resources.memory.refusals_by_kind['connection'] += 1
        logger.bind(open=len(states), closed_other=number is not None).info('connection_refused')
        if number is None:
            return False
        closed = by_number[number]
        self._connections.discard(closed)
        closed.abort()
        return True


def _accept_all(listening: socket.socket) -> Iterator[socket.socket]:
    """Yield the connections that wait to be accepted."""
    with contextlib.suppress(OSError):
        while True:
            client, _ = listening.accept()
            client.setblocking(False)
            yield client
