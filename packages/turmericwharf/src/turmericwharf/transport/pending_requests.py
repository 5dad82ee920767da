"""Requests on a connection to a peer that have not been answered yet."""

import asyncio
import itertools
from typing import TYPE_CHECKING

from turmericwharf.protocol import Frame
from turmericwharf.state import (
    PEER_LINK_LOST,
    PEER_TIMEOUT,
    LinkFailure,
    DeliveryUnknown,
)
from turmericwharf.transport.connection import FrameChannel

if TYPE_CHECKING:
    from turmericwharf.state import Message


class PendingRequests:
    """Matches answers to requests by correlation id."""

    def __init__(self) -> None:
        self._correlation_ids = itertools.count(1)
        self._answers_by_correlation: dict[int, 'asyncio.Future[Message | DeliveryUnknown]'] = {}

    def __len__(self) -> int:
        """Return the number of unanswered requests."""
        return len(self._answers_by_correlation)

    async def exchange(
        self,
        channel: FrameChannel,
        message: 'Message',
        deadline: float,
    ) -> 'Message | LinkFailure | DeliveryUnknown':
        """Send a message and wait for its answer until `deadline` (event loop time)."""
        loop = asyncio.get_running_loop()
        correlation = next(self._correlation_ids)
        answer: 'asyncio.Future[Message | DeliveryUnknown]' = loop.create_future()
        self._answers_by_correlation[correlation] = answer
        try:
            return await _send_and_wait(channel, Frame(correlation, message), answer, deadline)
        finally:
            self._answers_by_correlation.pop(correlation, None)

    def resolve(self, frame: Frame) -> None:
        """Deliver an answer to its request; an answer that arrives too late is dropped."""
        answer = self._answers_by_correlation.get(frame.correlation)
        if answer is not None and not answer.done():
            answer.set_result(frame.message)

    def fail(self, correlation: int) -> None:
        """Resolve a request with the failure that its answer was lost."""
        answer = self._answers_by_correlation.get(correlation)
        if answer is not None and not answer.done():
            answer.set_result(PEER_LINK_LOST)

    def fail_all(self) -> None:
        """Resolve all pending requests with the failure that the connection was lost."""
        for answer in self._answers_by_correlation.values():
            if not answer.done():
                answer.set_result(PEER_LINK_LOST)


async def _send_and_wait(
    channel: FrameChannel,
    frame: Frame,
    answer: 'asyncio.Future[Message | DeliveryUnknown]',
    deadline: float,
) -> 'Message | LinkFailure | DeliveryUnknown':
    timeout_seconds_left = deadline - asyncio.get_running_loop().time()
    failure = await channel.send(
        frame.message, frame.correlation, timeout_seconds=timeout_seconds_left
    )
    if failure is not None:
        return failure
    try:
        async with asyncio.timeout_at(deadline):
            return await answer
    except TimeoutError:
        return PEER_TIMEOUT
