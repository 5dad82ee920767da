"""Minimal HTTP/1.1 on asyncio streams, for the stand-ins."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

REASON = 'Status'


@dataclasses.dataclass(frozen=True)
class Request:
    """A request that arrived completely; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        return {name: texts[0] for name, texts in parse_qs(urlsplit(self.target).query).items()}


@dataclasses.dataclass(frozen=True)
class Response:
    """A response; `status` 0 means that the connection is closed without an answer."""

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b''

    def encode(self) -> bytes:
        lines = [f'HTTP/1.1 {self.status} {REASON}']
        lines += [f'{name}: {text}' for name, text in self.headers.items()]
        lines += [f'Content-Length: {len(self.body)}', '', '']
        return '\r\n'.join(lines).encode('latin-1') + self.body


Handler = Callable[[Request], Awaitable[Response]]


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers and the body, or None if the connection ended."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines:
            name, _, text = line.partition(':')
            if name:
                headers[name.lower()] = text.strip()
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            return first, headers, await _read_chunks(reader)
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    except (OSError, EOFError, asyncio.LimitOverrunError):
        return None
    return first, headers, body


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while size := int((await reader.readline()).split(b';')[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests until the returned server is closed; port 0 lets the system choose."""

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(' ', 2)
                request = Request(method, target, message[1], message[2], writer)
                response = await handler(request)
                if not response.status:
                    break
                writer.write(response.encode())
                await writer.drain()
        writer.close()

    return await asyncio.start_server(serve_connection, host, port)


async def send(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    *,
    timeout_seconds: float,
) -> Response | None:
    """Send a request over a new connection; return None if there is no complete answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(*address)
            fields = {'Host': f'{address[0]}:{address[1]}', **headers}
            fields['Content-Length'] = str(len(body))
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {text}' for name, text in fields.items()]
            writer.write('\r\n'.join([*lines, '', '']).encode('latin-1') + body)
            message = await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return None
    return Response(int(message[0].split(' ')[1]), message[1], message[2])
