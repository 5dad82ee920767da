"""Messages on a connection to a peer that wait for their answers."""

import asyncio
import itertools

from turmericwharf.protocol import Frame
from turmericwharf.state import (
    PEER_LINK_LOST,
    PEER_TIMEOUT,
    LinkFailure,
    DeliveryUnknown,
    Message,
)
from turmericwharf.transport.connection import FrameChannel


class PendingRequests:
    """Joins answers to messages by their correlation ids."""

    def __init__(self) -> None:
        self._correlations = itertools.count(1)
        self._answers_by_correlation: dict[int, asyncio.Future[Message | DeliveryUnknown]] = {}

    def __len__(self) -> int:
        """Return the number of messages without an answer."""
        return len(self._answers_by_correlation)

    async def exchange(
        self,
        channel: FrameChannel,
        message: Message,
        deadline: float,
    ) -> Message | LinkFailure | DeliveryUnknown:
        """Send a message and wait for its answer until a moment on the loop's clock."""
        loop = asyncio.get_running_loop()
        correlation = next(self._correlations)
        answer: asyncio.Future[Message | DeliveryUnknown] = loop.create_future()
        self._answers_by_correlation[correlation] = answer
        try:
            return await _exchange(channel, Frame(correlation, message), answer, deadline)
        finally:
            self._answers_by_correlation.pop(correlation, None)

    def resolve(self, frame: Frame) -> None:
        """Give an answer to the message that waits for it; a late one is dropped."""
        answer = self._answers_by_correlation.get(frame.correlation)
        if answer is not None and not answer.done():
            answer.set_result(frame.message)

    def fail_all(self) -> None:
        """Tell all messages that the connection ended."""
        for answer in self._answers_by_correlation.values():
            if not answer.done():
                answer.set_result(PEER_LINK_LOST)


async def _exchange(
    channel: FrameChannel,
    frame: Frame,
    answer: asyncio.Future[Message | DeliveryUnknown],
    deadline: float,
) -> Message | LinkFailure | DeliveryUnknown:
    left = deadline - asyncio.get_running_loop().time()
    failure = await channel.send(frame.message, frame.correlation, timeout_seconds=left)
    if failure is not None:
        return failure
    try:
        async with asyncio.timeout_at(deadline):
            return await answer
    except TimeoutError:
        return PEER_TIMEOUT
