"""Turns of the pipelined requests of one connection."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

# Maximum number of requests of one connection that are handled at the same time, so that a client
# with many pipelined requests leaves slots to others. The requests behind them wait.
_MAX_CONCURRENT_REQUESTS = 16


class RequestTurns:
    """Lets requests wait while too many are handled, or while the client reads no responses.

    Parameters
    ----------
    has_unread_responses
        Returns whether the client has more to read than it should.
    """

    def __init__(self, has_unread_responses: Callable[[], bool]) -> None:
        self._has_unread_responses = has_unread_responses
        self._semaphore = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)
        self._written = asyncio.Event()
        self._last_written = 0

    def record_written(self, number: int) -> None:
        """Record that the response to a request was written, or dropped."""
        self._last_written = number
        self._written.set()

    async def wait_for_written(self) -> None:
        """Wait until the next response is written."""
        self._written.clear()
        await self._written.wait()

    @contextlib.asynccontextmanager
    async def turn(self, number: int) -> AsyncIterator[float]:
        """Wait for the turn of a request; yield the time in seconds that it waited."""
        loop = asyncio.get_running_loop()
        received_at = loop.time()
        async with self._semaphore:
            # The request whose response is written next never waits for the client: the other
            # responses are written behind it.
            while number > self._last_written + 1 and self._has_unread_responses():
                await self.wait_for_written()
            yield loop.time() - received_at
