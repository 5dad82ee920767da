import asyncio
import collections

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination import FairQueue
from turmericwharf.state import (
    DEADLINE_PASSED,
    QUEUE_DISPLACED,
    QUEUE_FULL,
    Importance,
)

STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just('acquire'),
            st.integers(0, 3),
            st.sampled_from(Importance),
            st.sampled_from([0.0, 0.5, 1.0, 3.0]),
        ),
        st.tuples(st.just('cancel'), st.integers(0, 20)),
        st.tuples(st.just('release'), st.integers(0, 20)),
        # Without a turn of the event loop, the next step happens at the same time.
        st.tuples(st.just('turn'), st.sampled_from([0.0, 0.5, 1.0])),
        st.tuples(st.just('resize'), st.integers(0, 4)),
    ),
    max_size=60,
)


class Requests:
    """Requests at a queue; slots are released immediately, before any other task runs."""

    def __init__(self, queue: FairQueue) -> None:
        self.queue = queue
        self.tasks: list[asyncio.Task] = []
        self.holding: list[str] = []

    async def run(self, organisation: str, importance: Importance, seconds: float) -> None:
        if await self.queue.acquire(organisation, importance, seconds) is None:
            self.holding.append(organisation)

    async def acquire(self, number: int, importance: Importance, seconds: float) -> None:
        running = self.run(f'org-{number}', importance, seconds)
        self.tasks.append(asyncio.create_task(running))

    async def cancel(self, number: int) -> None:
        if self.tasks:
            self.tasks[number % len(self.tasks)].cancel()

    async def release(self, number: int) -> None:
        if self.holding:
            self.queue.release(self.holding.pop(number % len(self.holding)))

    async def turn(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    async def resize(self, slots: int) -> None:
        self.queue.resize(slots)


@given(STEPS)
@settings(max_examples=300, deadline=None, derandomize=True)
def test_no_slot_leaks_and_the_queue_stays_bounded(steps):
    """Guards against losing slots when a grant coincides with a cancellation or a timeout."""

    async def scenario() -> None:
        queue = FairQueue(2, 3, LoopClock())
        requests = Requests(queue)
        for step, *arguments in steps:
            await getattr(requests, step)(*arguments)
            assert queue.waiting <= 3
        await asyncio.sleep(10)
        assert queue.in_progress == len(requests.holding)
        assert queue.waiting == 0
        while requests.holding:
            await requests.release(0)
        assert queue.in_progress == 0
        queue.resize(2)
        assert await queue.acquire('org-0', Importance.NORMAL, 1) is None

    run_in_virtual_time(scenario())


def test_grant_and_timeout_at_the_same_time_lose_no_slot():
    """Guards against losing a slot when its grant coincides with the timeout of the waiter."""

    async def scenario() -> None:
        queue = FairQueue(1, 4, LoopClock())
        await queue.acquire('one', Importance.NORMAL, 1)
        waiting = asyncio.create_task(queue.acquire('two', Importance.NORMAL, 1))
        await asyncio.sleep(0)
        asyncio.get_running_loop().call_at(1.0, queue.release, 'one')
        refusal = await waiting
        if refusal is None:
            queue.release('two')
        await asyncio.sleep(0)
        assert queue.in_progress == 0

    run_in_virtual_time(scenario())


def test_full_queue_drops_the_least_important_and_then_the_longest():
    """Guards against background lookups or one organisation filling the queue for all others."""

    async def scenario() -> None:
        queue = FairQueue(1, 3, LoopClock())
        await queue.acquire('holder', Importance.NORMAL, 9)

        def request_slot(organisation: str, importance: Importance) -> asyncio.Task:
            return asyncio.create_task(queue.acquire(organisation, importance, 9))

        lookup = request_slot('', Importance.BACKGROUND)
        large = [request_slot('large', Importance.NORMAL) for _ in range(2)]
        await asyncio.sleep(0)
        first = request_slot('small', Importance.NORMAL)
        assert await lookup is QUEUE_DISPLACED
        assert await request_slot('', Importance.BACKGROUND) is QUEUE_FULL
        second = request_slot('other', Importance.NORMAL)
        assert await large[1] is QUEUE_DISPLACED
        assert await request_slot('large', Importance.NORMAL) is QUEUE_FULL
        for task, organisation in ((large[0], 'holder'), (first, 'large'), (second, 'small')):
            queue.release(organisation)
            assert await task is None

    run_in_virtual_time(scenario())


def test_slot_time_is_shared_among_organisations():
    """Guards against an organisation gaining slot time by sending more or longer requests."""

    async def scenario() -> None:
        queue = FairQueue(2, 64, LoopClock())
        held: collections.Counter[str] = collections.Counter()

        async def repeat(organisation: str, seconds: float) -> None:
            while True:
                assert await queue.acquire(organisation, Importance.NORMAL, 1e9) is None
                await asyncio.sleep(seconds)
                held[organisation] += seconds
                queue.release(organisation)

        callers = {'many': (20, 0.1), 'long': (4, 1.0), 'small': (2, 0.1)}
        tasks = [
            asyncio.create_task(repeat(organisation, seconds))
            for organisation, (count, seconds) in callers.items()
            for _ in range(count)
        ]
        await asyncio.sleep(300)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert min(held.values()) > 0.8 * 2 * 300 / 3, held

    run_in_virtual_time(scenario())


def test_expired_work_takes_no_slot():
    """Guards against granting a slot to an expired request whose timer is late."""

    async def scenario() -> None:
        clock = LoopClock()
        queue = FairQueue(1, 4, clock)
        await queue.acquire('one', Importance.NORMAL, 1)
        waiting = asyncio.create_task(queue.acquire('two', Importance.NORMAL, 1))
        await asyncio.sleep(0)
        # The event loop's timer is late, as after a pause of the process.
        clock.now = lambda: 5.0
        queue.release('one')
        assert await waiting is DEADLINE_PASSED
        assert queue.in_progress == 0

    run_in_virtual_time(scenario())
