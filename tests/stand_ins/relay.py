"""Relay in front of a TCP port that blocks or delays each direction by source address.

A blocked direction delivers nothing until it is healed, like a network that loses all packets
in one direction. The connection itself stays open.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

CHUNK_BYTES = 65536
POLL_SECONDS = 0.01


@dataclasses.dataclass(frozen=True)
class LinkFaults:
    """Faults of the traffic from one address to another."""

    cut: bool = False
    delay_seconds: float = 0.0


class Network:
    """Faults of all relays by (source, destination), and counts of the bytes forwarded."""

    def __init__(self) -> None:
        self._faults: dict[tuple[str, str], LinkFaults] = {}
        self.bytes_by_link: collections.Counter[tuple[str, str]] = collections.Counter()

    def cut(self, source: str, destination: str) -> None:
        """Block traffic from source to destination."""
        self._faults[source, destination] = LinkFaults(cut=True)

    def delay(self, source: str, destination: str, seconds: float) -> None:
        """Delay traffic from source to destination."""
        self._faults[source, destination] = LinkFaults(delay_seconds=seconds)

    def heal(self) -> None:
        """Remove all faults."""
        self._faults.clear()

    def faults(self, source: str, destination: str) -> LinkFaults:
        """Return the faults from source to destination."""
        return self._faults.get((source, destination), LinkFaults())


class Relay:
    """Forwards connections on one port to another; the source is the IP address of the client.

    With port 0 the system assigns a port when the relay starts.
    """

    def __init__(self, network: Network, name: str, host: str, port: int, target_port: int) -> None:
        self._network = network
        self._name = name
        self._host = host
        self._port = port
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def name(self) -> str:
        """Name of the relay's end in each link of the network."""
        return self._name

    @property
    def port(self) -> int:
        """Port of the relay, assigned once it has started."""
        return self._port

    def reset(self) -> None:
        """Abort all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        source = writer.get_extra_info('peername')[0]
        try:
            target = await asyncio.open_connection(
                self._host, self._target_port, local_addr=(source, 0)
            )
        except OSError:
            writer.close()
            return
        target_reader, target_writer = target
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, lambda: (source, self._name)),
                self._forward(target_reader, writer, lambda: (self._name, source)),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers -= {writer, target_writer}
            target_writer.close()
            writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: Callable[[], tuple[str, str]],
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            await asyncio.sleep(self._network.faults(*link()).delay_seconds)
            while self._network.faults(*link()).cut:
                await asyncio.sleep(POLL_SECONDS)
            self._network.bytes_by_link[link()] += len(chunk)
            writer.write(chunk)
            await writer.drain()
        writer.close()
