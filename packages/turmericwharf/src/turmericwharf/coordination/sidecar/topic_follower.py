"""Follows a topic of the store by its newest records and then its changes."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from turmericwharf.coordination.sidecar.ports import KeyedLog
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import LogFailure
from turmericwharf.state.sidecar import HISTORY_GONE, FollowerDump, KeyedPage, StoreTopic

_FIRST_PAUSE_SECONDS = 0.1
_LAST_PAUSE_SECONDS = 1.6


class TopicFollower:
    """Reads one topic for as long as the node runs.

    Parameters
    ----------
    log
        The platform's store.
    topic
        What to follow.
    take
        Called with each page.
    wait_seconds
        How long one read waits for a change.
    gather_seconds
        Pause after a page, so that changes that come together are read together.
    needed
        Set while the topic is to be read; it is always read if None.
    """

    def __init__(
        self,
        log: KeyedLog,
        topic: StoreTopic,
        on_page: Callable[[KeyedPage], None],
        *,
        wait_seconds: float,
        batch_seconds: float = 0.0,
        enabled: asyncio.Event | None = None,
    ) -> None:
        self._log = log
        self._topic = topic
        self._take = on_page
        self._wait_seconds = wait_seconds
        self._gather_seconds = batch_seconds
        self._needed = enabled
        self._next_offset: int | None = None
        self.is_connected = False
        self.has_read = False

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        pause_seconds = _FIRST_PAUSE_SECONDS
        while True:
            if self._needed is not None:
                await self._needed.wait()
            if await self._read_once():
                pause_seconds = _FIRST_PAUSE_SECONDS
                await asyncio.sleep(self._gather_seconds)
            else:
                # Jitter keeps the nodes apart when the store comes back for all of them.
                await asyncio.sleep(pause_seconds * random.uniform(0.5, 1.0))
                pause_seconds = min(pause_seconds * 2, _LAST_PAUSE_SECONDS)

    async def _read_once(self) -> bool:
        if self._next_offset is None:
            page = await self._log.read_newest(self._topic)
        else:
            page = await self._log.read_changes(
                self._topic,
                offset=self._next_offset,
                wait_seconds=self._wait_seconds,
            )
        if page == HISTORY_GONE:
            logger.bind(topic=self._topic.value).info('store_history_gone')
            self._next_offset = None
            return True
        if isinstance(page, LogFailure):
            self._note_lost(page)
            return False
        self._note_read()
        self._next_offset = page.next_offset
        self._take(page)
        return True

    def _note_lost(self, failure: LogFailure) -> None:
        # The newest records are read again, since the store may have dropped what was missed.
        self._next_offset = None
        if self.is_connected or not self.has_read:
            logger.bind(topic=self._topic.value, detail=failure.detail).warning('store_lost')
        self.is_connected = False

    def _note_read(self) -> None:
        if not self.is_connected:
            logger.bind(topic=self._topic.value).info('store_reached')
        self.is_connected = True
        self.has_read = True


@describe.register
def _(part: TopicFollower) -> FollowerDump:
    return FollowerDump(is_connected=part.is_connected)
