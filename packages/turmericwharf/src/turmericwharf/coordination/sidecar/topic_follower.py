"""Follows a topic of the store: reads its newest records, then its changes."""

import asyncio
import random
from collections.abc import Callable

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.ports import KeyedLog
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import LogFailure
from turmericwharf.state.sidecar import HISTORY_GONE, TopicFollowerDump, KeyedPage, StoreTopic

_MIN_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 1.6
# Time beyond the longest wait of a read after which its answer is overdue. A slow store that works
# answers within 0.25 s.
_ANSWER_MARGIN_SECONDS = 0.4


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
    clock
        Clock of the node.
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
        clock: Clock,
        wait_seconds: float,
        batch_seconds: float = 0.0,
        reads_store: asyncio.Event | None = None,
    ) -> None:
        self._log = log
        self._topic = topic
        self._on_page = on_page
        self._clock = clock
        self._wait_seconds = wait_seconds
        self._batch_seconds = batch_seconds
        self._reads_store = reads_store
        self._next_offset: int | None = None
        self._is_history_gone = False
        self._is_resuming = False
        self._era = 0
        self._answered_at = 0.0
        self._has_answer = False

    @property
    def is_enabled(self) -> bool:
        """Whether this node reads the topic."""
        return self._reads_store is None or self._reads_store.is_set()

    @property
    def era(self) -> int:
        """Era of the store in which the last page was read; 0 if the store has no eras."""
        return self._era

    @property
    def fresh_seconds(self) -> float:
        """Time until the next answer of the store is overdue; 0 if it is, or if a read failed."""
        if not self._has_answer:
            return 0
        overdue_at = (
            self._answered_at + self._batch_seconds + self._wait_seconds + _ANSWER_MARGIN_SECONDS
        )
        return max(overdue_at - self._clock.now(), 0)

    @property
    def is_connected(self) -> bool:
        """Whether the store answered the last read, and no answer is overdue."""
        return self.fresh_seconds > 0

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        backoff_seconds = _MIN_BACKOFF_SECONDS
        while True:
            if self._reads_store is not None and not self._reads_store.is_set():
                await self._reads_store.wait()
                self._is_resuming = True
            if await self._read_once():
                backoff_seconds = _MIN_BACKOFF_SECONDS
                await asyncio.sleep(self._batch_seconds)
            else:
                # Jitter keeps the nodes from retrying all at once when the store recovers.
                await asyncio.sleep(backoff_seconds * random.uniform(0.5, 1.0))
                backoff_seconds = min(backoff_seconds * 2, _MAX_BACKOFF_SECONDS)

    async def _read_once(self) -> bool:
        page = await self._read_page()
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
        self._era = page.era
        self._on_page(page)
        return True

    async def _read_page(self) -> KeyedPage | LogFailure:
        # After a pause, the node answers for the store once it knows that it missed nothing.
        wait_seconds = 0 if self._is_resuming else self._wait_seconds
        self._is_resuming = False
        if self._next_offset is None:
            return await self._log.read_newest(self._topic)
        page = await self._log.read_changes(
            self._topic,
            offset=self._next_offset,
            wait_seconds=wait_seconds,
        )
        if isinstance(page, LogFailure) or page.era == self._era:
            return page
        # The offset belongs to another era, so the page may lack records before it that were
        # written since.
        logger.bind(topic=self._topic.value, era=page.era, previous=self._era).info(
            'store_era_changed'
        )
        self._next_offset = None
        return await self._log.read_newest(self._topic)

    def _record_failure(self, failure: LogFailure) -> None:
        # Restart from the newest records, since the store may have dropped the missed changes.
        self._next_offset = None
        if self._has_answer or not self._answered_at:
            logger.bind(topic=self._topic.value, detail=failure.detail).warning('store_lost')
        self._has_answer = False

    def _record_success(self) -> None:
        if not self._has_answer:
            logger.bind(topic=self._topic.value).info('store_reached')
        self._has_answer = True
        self._answered_at = self._clock.now()


@describe.register
def _(part: TopicFollower) -> TopicFollowerDump:
    return TopicFollowerDump(is_connected=part.is_connected, era=part.era)
