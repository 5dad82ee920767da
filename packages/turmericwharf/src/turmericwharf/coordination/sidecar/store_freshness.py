"""Whether what a node has read from the store is recent enough to answer for it."""

import asyncio
from collections.abc import Awaitable, Callable

from turmericwharf.coordination.sidecar.store_era import StoreEra
from turmericwharf.coordination.sidecar.topic_follower import TopicFollower

# Timers may run early by the resolution of their clock, so the rest of a wait may be this short.
_MIN_WAIT_SECONDS = 0.001


class StoreFreshness:
    """Limits how long a node may tell others that nothing has changed.

    A connection to the store may go silent without an error. So a node answers for the store only
    while the store has answered it recently, and ends the polls that wait here when that time is
    over.

    Parameters
    ----------
    reads_store
        Set while this node reads the store itself.
    followers
        Read the topics for which this node answers.
    era
        Highest known era of the store. What was read in a lower one is not current.
    """

    def __init__(
        self,
        reads_store: asyncio.Event,
        followers: tuple[TopicFollower, ...],
        era: StoreEra,
    ) -> None:
        self._reads_store = reads_store
        self._followers = followers
        self._era = era

    @property
    def is_current(self) -> bool:
        """Whether this node reads the store, and each topic was read recently."""
        return self.remaining_seconds > 0

    @property
    def remaining_seconds(self) -> float:
        """Time for which this node is still current without a further answer of the store."""
        is_behind = any(follower.era < self._era.current for follower in self._followers)
        if is_behind or not self._reads_store.is_set():
            return 0
        return min(follower.fresh_seconds for follower in self._followers)

    async def wait_while_current(
        self,
        wait: Callable[[float], Awaitable[bool]],
        timeout_seconds: float,
    ) -> None:
        """Wait for a change until the timeout, but only while this node is current.

        Parameters
        ----------
        wait
            Waits for the change, up to a time in seconds; returns whether it has happened.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        while True:
            wait_seconds = min(deadline - loop.time(), self.remaining_seconds)
            if wait_seconds < _MIN_WAIT_SECONDS or await wait(wait_seconds):
                return
