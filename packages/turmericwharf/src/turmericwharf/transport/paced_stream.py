"""Stream of a connection whose reads take turns with those of other connections.

Tornado parses hundreds of tiny chunks of each connection in one turn of the event loop. With a
hundred such connections, a turn of the loop takes longer than the timeouts between nodes.
"""

import asyncio
from collections.abc import Awaitable
from typing import Any

from tornado.iostream import IOStream

# Reads of chunk sizes before other connections get their turn.
_READS_PER_TURN = 64


class ReadTurns:
    """Lets one connection with many small reads continue in each turn of the event loop."""

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def take(self) -> None:
        """Wait until each connection that came before had its turn."""
        async with self._lock:
            await asyncio.sleep(0)


class PacedStream(IOStream):
    """Stream that takes a turn before each further series of reads up to a delimiter.

    Parameters
    ----------
    turns
        Turns that all connections of a server share.
    """

    def __init__(self, *arguments: Any, turns: ReadTurns, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._turns = turns
        self._reads = 0

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read up to a delimiter, as before each chunk of a body."""
        self._reads += 1
        if self._reads % _READS_PER_TURN:
            return super().read_until(delimiter, max_bytes)
        return asyncio.ensure_future(self._read_in_turn(delimiter, max_bytes))

    async def _read_in_turn(self, delimiter: bytes, max_bytes: int | None) -> bytes:
        await self._turns.take()
        return await IOStream.read_until(self, delimiter, max_bytes)
