"""Deduplicates work orders: each runs once while its answer is retained."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, TypeAlias

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import RequestId
from turmericwharf.state.sidecar import WorkAnswer, WorkOrder

OrderKey: TypeAlias = tuple[RequestId, int]

# After a lost connection, an entry node may send an order again until the deadline of the request.
# The retention time is fixed, and answers are evicted earlier if they exceed the size limit. An
# order that is sent again after that runs a second time.
_RETENTION_SECONDS = 20.0
_MAX_RETAINED_BYTES = 24_000_000
_ORPHAN_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Finished:
    """A finished order whose answer is retained, and when it ended."""

    key: OrderKey
    ended_at: float
    size_bytes: int


@dataclasses.dataclass(slots=True)
class _TrackedOrder:
    """The run of an order, with the number of tasks that wait for its answer."""

    task: asyncio.Task[WorkAnswer]
    idempotent: bool
    waiters: int = 0
    is_sent: bool = False


class OrderDeduplicator:
    """Joins an order that was sent again to its first run, or returns the retained answer.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._orders_by_key: dict[OrderKey, _TrackedOrder] = {}
        self._finished: collections.deque[_Finished] = collections.deque()
        self._retained_bytes = 0
        self.in_progress = 0

    async def join(
        self,
        order: WorkOrder,
        run: Callable[[], Coroutine[Any, Any, WorkAnswer]],
    ) -> WorkAnswer | None:
        """Wait for the run of an order; `run` starts it if the order is new.

        Returns
        -------
        WorkAnswer or None
            None if the run was cancelled before the order was sent to the server.
        """
        key = _order_key(order)
        tracked = self._orders_by_key.get(key)
        if tracked is None:
            tracked = _TrackedOrder(asyncio.create_task(run()), order.idempotent)
            self._start(key, tracked)
        tracked.waiters += 1
        try:
            return await asyncio.shield(tracked.task)
        except asyncio.CancelledError:
            if tracked.task.cancelled():
                return None
            self._schedule_orphan_check(key)
            raise
        finally:
            tracked.waiters -= 1

    def mark_sent(self, order: WorkOrder) -> None:
        """Record that an order is about to be sent to the server."""
        tracked = self._orders_by_key.get(_order_key(order))
        if tracked is not None:
            tracked.is_sent = True

    def cancel(self, key: OrderKey) -> None:
        """Cancel an order whose caller has left, unless it was sent and is not idempotent."""
        tracked = self._orders_by_key.get(key)
        if tracked is not None and (tracked.idempotent or not tracked.is_sent):
            tracked.task.cancel()

    def _schedule_orphan_check(self, key: OrderKey) -> None:
        # The entry node may send the order again over a new connection.
        loop = asyncio.get_running_loop()
        loop.call_later(_ORPHAN_TIMEOUT_SECONDS, self._cancel_orphan, key)

    def _cancel_orphan(self, key: OrderKey) -> None:
        tracked = self._orders_by_key.get(key)
        if tracked is not None and not tracked.waiters:
            self.cancel(key)

    def _start(self, key: OrderKey, order: _TrackedOrder) -> None:
        self._orders_by_key[key] = order
        self.in_progress += 1
        order.task.add_done_callback(lambda done: self._finish(key, done))

    def _finish(self, key: OrderKey, task: asyncio.Task[WorkAnswer]) -> None:
        self.in_progress -= 1
        size_bytes = 0
        if not task.cancelled() and task.exception() is None:
            answered = task.result().answered
            size_bytes = 0 if answered is None else len(answered.body)
        self._finished.append(_Finished(key, self._clock.now(), size_bytes))
        self._retained_bytes += size_bytes
        self._evict_finished()

    def _evict_finished(self) -> None:
        oldest = self._clock.now() - _RETENTION_SECONDS
        while self._finished and (
            self._finished[0].ended_at < oldest or self._retained_bytes > _MAX_RETAINED_BYTES
        ):
            finished = self._finished.popleft()
            self._retained_bytes -= finished.size_bytes
            self._orders_by_key.pop(finished.key, None)


def _order_key(order: WorkOrder) -> OrderKey:
    return order.request, order.attempt
