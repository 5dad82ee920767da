"""Work orders of the recent past, so that each runs at most once."""

import asyncio
import collections
import dataclasses
from typing import TypeAlias

from turmericwharf.coordination.ports import Clock
from turmericwharf.state import RequestId
from turmericwharf.state.sidecar import WorkAnswer, WorkOrder

OrderKey: TypeAlias = tuple[RequestId, int]

# An entry node asks again after a lost connection within the deadline of the request.
_KEPT_SECONDS = 20.0
_KEPT_BYTES = 24_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Finished:
    """An order that ended, and since when its answer is kept."""

    key: OrderKey
    ended_at: float
    size_bytes: int


class OrderTable:
    """Joins a repeated order to its first run, or to the answer that is kept.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._tasks_by_key: dict[OrderKey, asyncio.Task[WorkAnswer]] = {}
        self._finished: collections.deque[_Finished] = collections.deque()
        self._kept_bytes = 0
        self.in_progress = 0

    def find(self, order: WorkOrder) -> asyncio.Task[WorkAnswer] | None:
        """Return the run of an order that came before, or None."""
        return self._tasks_by_key.get((order.request, order.attempt))

    def start(self, order: WorkOrder, task: asyncio.Task[WorkAnswer]) -> None:
        """Keep a run until some time after its end."""
        key = (order.request, order.attempt)
        self._tasks_by_key[key] = task
        self.in_progress += 1
        task.add_done_callback(lambda done: self._end(key, done))

    def cancel(self, key: OrderKey) -> None:
        """Cancel a run whose caller has left."""
        task = self._tasks_by_key.get(key)
        if task is not None:
            task.cancel()

    def _end(self, key: OrderKey, task: asyncio.Task[WorkAnswer]) -> None:
        self.in_progress -= 1
        size_bytes = 0
        if not task.cancelled() and task.exception() is None:
            answered = task.result().answered
            size_bytes = 0 if answered is None else len(answered.body)
        self._finished.append(_Finished(key, self._clock.now(), size_bytes))
        self._kept_bytes += size_bytes
        self._drop_old()

    def _drop_old(self) -> None:
        oldest = self._clock.now() - _KEPT_SECONDS
        while self._finished and (
            self._finished[0].ended_at < oldest or self._kept_bytes > _KEPT_BYTES
        ):
            finished = self._finished.popleft()
            self._kept_bytes -= finished.size_bytes
            self._tasks_by_key.pop(finished.key, None)
