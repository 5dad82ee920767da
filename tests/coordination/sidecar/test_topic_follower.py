import asyncio

from tests.coordination.fakes import LOG_FAILURE
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.topic_follower import TopicFollower
from turmericwharf.state.sidecar import HISTORY_GONE, KeyedPage, KeyedRecord, StoreTopic

PAGE = KeyedPage({'config': KeyedRecord(b'x', 4)}, 5)


class Log:
    """Returns scripted pages, then blocks; records the calls."""

    def __init__(self, *pages) -> None:
        self.pages = list(pages)
        self.calls = []
        self.waits = []

    async def read_newest(self, topic):
        return await self._next('newest')

    async def read_changes(self, topic, *, offset, wait_seconds):
        self.waits.append(wait_seconds)
        return await self._next(offset)

    async def _next(self, call):
        self.calls.append(call)
        if not self.pages:
            await asyncio.sleep(1000)
        return self.pages.pop(0)


def follow(log, seconds, *, reads_store=None):
    async def main():
        pages = []
        event = reads_store() if reads_store else None
        follower = TopicFollower(
            log,
            StoreTopic.NODES,
            pages.append,
            clock=LoopClock(),
            wait_seconds=5,
            reads_store=event,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(seconds)
        task.cancel()
        return follower.is_connected, pages

    return run_in_virtual_time(main())


def test_changes_are_read_from_the_end_of_the_last_page():
    """Guards against missed changes and against reading all records repeatedly."""
    log = Log(PAGE, KeyedPage({}, 7))
    is_connected, pages = follow(log, 1)
    assert log.calls == ['newest', 5, 7]
    assert is_connected and len(pages) == 2


def test_newest_records_are_read_again_when_history_is_gone():
    """Guards against waiting indefinitely for records that the store has dropped."""
    log = Log(PAGE, HISTORY_GONE, PAGE)
    follow(log, 1)
    assert log.calls == ['newest', 5, 'newest', 5]


def test_reads_of_an_unreachable_store_back_off():
    """Guards against frequent retries: calls to a store that is down count and cost like others."""
    log = Log(*[LOG_FAILURE] * 100)
    is_connected, _ = follow(log, 16)
    assert not is_connected
    assert 8 <= len(log.calls) <= 30


def test_topic_is_not_read_while_disabled():
    """Guards against reads of the store by nodes that get the entries from a reader."""
    log = Log(PAGE)
    follow(log, 5, reads_store=asyncio.Event)
    assert not log.calls


def test_history_that_is_dropped_again_and_again_is_read_with_delays():
    """Guards against a loop of reads while the store drops its history all the time."""
    log = Log(*[PAGE, HISTORY_GONE] * 1000)
    follow(log, 1)
    assert len(log.calls) < 60


def test_a_store_that_falls_silent_counts_as_lost_once_an_answer_is_overdue():
    """Guards against a node that answers for the store although its connection went silent.

    The read waits up to 5 s for a change, and reports an error only after 1.5 s more.
    """
    assert follow(Log(PAGE), 5.0)[0]
    assert not follow(Log(PAGE), 5.6)[0]


def test_newest_records_are_read_again_when_the_era_changes():
    """Guards against records that are missed because their offsets were assigned again.

    The store comes back older between two reads, and has already got new records.
    """
    later = KeyedPage({'config': KeyedRecord(b'y', 6)}, 7, era=1)
    newest = KeyedPage({'config': KeyedRecord(b'y', 6), 'other': KeyedRecord(b'z', 3)}, 7, era=1)
    log = Log(PAGE, later, newest)
    _, pages = follow(log, 1)
    assert log.calls == ['newest', 5, 'newest', 7]
    assert pages == [PAGE, newest]


def test_the_first_read_after_a_pause_does_not_wait_for_a_change():
    """Guards against a node that takes a reader's place, and is not current for a long poll."""
    log = Log(PAGE, KeyedPage({}, 5), KeyedPage({}, 5))

    async def main():
        reads_store = asyncio.Event()
        follower = TopicFollower(
            log,
            StoreTopic.NODES,
            lambda page: reads_store.clear(),
            clock=LoopClock(),
            wait_seconds=5,
            reads_store=reads_store,
        )
        task = asyncio.create_task(follower.run())
        reads_store.set()
        await asyncio.sleep(100)
        assert not follower.is_connected
        reads_store.set()
        await asyncio.sleep(0.1)
        assert follower.is_connected
        reads_store.set()
        await asyncio.sleep(0.1)
        task.cancel()

    run_in_virtual_time(main())
    assert log.calls == ['newest', 5, 5]
    assert log.waits == [0, 0]
