"""Small HTTP/1.1 server and client connections on asyncio streams, without libraries."""

import asyncio
import contextlib
import dataclasses
import math
import socket

_SEGMENT_BYTES = 1_448
_WINDOW_BYTES = 65_536
_READ_BYTES = 16_384


@dataclasses.dataclass
class Message:
    """A request or response that was read completely."""

    start: list[str]
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        return self.start[0]

    @property
    def target(self) -> str:
        return self.start[1]

    @property
    def status(self) -> int:
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Read the first line and the headers; raises IncompleteReadError at the end of the stream."""
    return parse_head(await reader.readuntil(b'\r\n\r\n'))


def parse_head(head: bytes) -> tuple[list[str], dict[str, str]]:
    """Return the words of the first line, and the headers by name in lower case."""
    first, *lines = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first.split(' ', 2), headers


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message whose body has a length."""
    start, headers = await read_head(reader)
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    return Message(start, headers, body)


def encode(first: str, headers: dict[str, str], body: bytes = b'') -> bytes:
    """Encode a message with a length."""
    fields = {**headers, 'Content-Length': str(len(body))}
    lines = [first, *(f'{name}: {text}' for name, text in fields.items())]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def response(status: int, body: bytes = b'', **headers: str) -> bytes:
    fields = {name.replace('_', '-'): text for name, text in headers.items()}
    return encode(f'HTTP/1.1 {status} x', fields, body)


async def serve(host: str, port: int, answer) -> asyncio.Server:
    """Serve connections; `answer(request, writer)` writes the response to each request."""

    async def serve_connection(reader, writer) -> None:
        try:
            while True:
                await answer(await read_message(reader), writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, host, port, limit=1 << 20)


async def call(host: str, port: int, request: bytes, timeout: float = 1.0) -> Message:
    """Send a request on a new connection and return the response."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(request)
            return await read_message(reader)
        finally:
            writer.close()


class SlowClient:
    """Client connection as over a network link: small window and segments, steady rate.

    At an infinite rate, it is an ordinary connection on loopback.

    It reads from the socket itself, so that it gets every byte that its kernel has received, also
    before a reset. Loopback has segments of 64 KiB, with which the sender's kernel would buffer
    megabytes.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._loop = asyncio.get_running_loop()
        self._socket = socket.socket()
        if bytes_per_second < math.inf:
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        self._socket.setblocking(False)
        self._received = b''
        self._due_at = 0.0

    async def connect(self, host: str, port: int) -> None:
        await self._loop.sock_connect(self._socket, (host, port))

    async def send(self, request: bytes) -> None:
        """Send a request; a closed connection shows when its response is read."""
        with contextlib.suppress(OSError):
            await self._loop.sock_sendall(self._socket, request)

    async def read_head(self) -> tuple[int, dict[str, str]]:
        """Return the status and the headers of the next response."""
        while b'\r\n\r\n' not in self._received:
            self._received += await self._receive()
        head, _, self._received = self._received.partition(b'\r\n\r\n')
        start, headers = parse_head(head)
        return int(start[1]), headers

    async def read_body(self, size: int) -> int:
        """Read a body; return how many of its bytes came before the connection ended."""
        try:
            while len(self._received) < size:
                self._received += await self._receive()
        except (OSError, EOFError):
            pass
        received = min(len(self._received), size)
        self._received = self._received[size:]
        return received

    def close(self) -> None:
        self._socket.close()

    async def _receive(self) -> bytes:
        chunk = await self._loop.sock_recv(self._socket, _READ_BYTES)
        if not chunk:
            raise EOFError('the connection was closed')
        now = self._loop.time()
        self._due_at = max(self._due_at, now) + len(chunk) / self._bytes_per_second
        await asyncio.sleep(self._due_at - now)
        return chunk
