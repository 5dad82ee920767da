"""Follows a topic of the store: reads its newest records, then its changes."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from turmericwharf.coordination.sidecar.ports import KeyedLog
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import LogFailure
from turmericwharf.state.sidecar import HISTORY_GONE, TopicFollowerDump, KeyedPage, StoreTopic

_MIN_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 1.6


class TopicFollower:
    """Reads one topic continuously.

    Parameters
    ----------
    log
        The platform's store.
    topic
        Topic to follow.
    on_page
        Called with each page.
    wait_seconds
        Longest time that one read waits for a change.
    batch_seconds
        Delay after a page, so that changes close together arrive in one page.
    reads_store
        Set while this node reads the topic; if None, it always does.
    """

    def __init__(
        self,
        log: KeyedLog,
        topic: StoreTopic,
        on_page: Callable[[KeyedPage], None],
        *,
        wait_seconds: float,
        batch_seconds: float = 0.0,
        reads_store: asyncio.Event | None = None,
    ) -> None:
        self._log = log
        self._topic = topic
        self._on_page = on_page
        self._wait_seconds = wait_seconds
        self._batch_seconds = batch_seconds
        self._reads_store = reads_store
        self._next_offset: int | None = None
        self._is_history_gone = False
        self.is_connected = False
        self.has_read = False

    @property
    def is_enabled(self) -> bool:
        """Whether this node reads the topic."""
        return self._reads_store is None or self._reads_store.is_set()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        backoff_seconds = _MIN_BACKOFF_SECONDS
        while True:
            if self._reads_store is not None:
                await self._reads_store.wait()
            if await self._read_once():
                backoff_seconds = _MIN_BACKOFF_SECONDS
                await asyncio.sleep(self._batch_seconds)
            else:
                # Jitter keeps the nodes from retrying all at once when the store recovers.
                await asyncio.sleep(backoff_seconds * random.uniform(0.5, 1.0))
                backoff_seconds = min(backoff_seconds * 2, _MAX_BACKOFF_SECONDS)

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
            # The newest records are read at once, unless the store has just dropped them again.
            may_read_at_once = not self._is_history_gone
            self._is_history_gone = True
            self._next_offset = None
            return may_read_at_once
        if isinstance(page, LogFailure):
            self._record_failure(page)
            return False
        self._record_success()
        self._is_history_gone = self._is_history_gone and self._next_offset is None
        self._next_offset = page.next_offset
        self._on_page(page)
        return True

    def _record_failure(self, failure: LogFailure) -> None:
        # Restart from the newest records, since the store may have dropped the missed changes.
        self._next_offset = None
        if self.is_connected or not self.has_read:
            logger.bind(topic=self._topic.value, detail=failure.detail).warning('store_lost')
        self.is_connected = False

    def _record_success(self) -> None:
        if not self.is_connected:
            logger.bind(topic=self._topic.value).info('store_reached')
        self.is_connected = True
        self.has_read = True


@describe.register
def _(part: TopicFollower) -> TopicFollowerDump:
    return TopicFollowerDump(is_connected=part.is_connected)
