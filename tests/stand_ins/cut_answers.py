"""Server that breaks off its answers after a number of bytes."""

import asyncio
import contextlib
import socket
import struct

LOOPBACK = '127.0.0.1'
# Time in which the sent bytes arrive before the connection is reset, which would discard them.
RESET_DELAY_SECONDS = 0.005
_RESET_AT_CLOSE = struct.pack('ii', 1, 0)


class CutAnswers:
    """Answers each request with `answer`, then closes the connection, or resets it."""

    def __init__(self, answer: bytes, *, is_reset: bool) -> None:
        self.answer = answer
        self.is_reset = is_reset
        self.requests = 0
        self.port = 0

    async def serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b'\r\n\r\n')
            self.requests += 1
            writer.write(self.answer)
            await writer.drain()
            if self.is_reset:
                await asyncio.sleep(RESET_DELAY_SECONDS)
                connection = writer.get_extra_info('socket')
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE)
        writer.close()


@contextlib.asynccontextmanager
async def running_server(answer: bytes = b'', *, is_reset: bool = False):
    """Yield a server whose answer may be changed between requests."""
    server = CutAnswers(answer, is_reset=is_reset)
    listener = await asyncio.start_server(server.serve, LOOPBACK, 0)
    server.port = listener.sockets[0].getsockname()[1]
    try:
        yield server
    finally:
        listener.close()
