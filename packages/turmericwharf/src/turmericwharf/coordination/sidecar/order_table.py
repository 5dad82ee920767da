"""Work orders of the recent past, so that each runs at most once."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, TypeAlias

from turmericwharf.coordination.ports import Clock
from turmericwharf.state import RequestId
from turmericwharf.state.sidecar import WorkAnswer, WorkOrder

OrderKey: TypeAlias = tuple[RequestId, int]

# An entry node asks again after a lost connection within the deadline of the request.
_KEPT_SECONDS = 20.0
_KEPT_BYTES = 24_000_000
_ORPHAN_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Finished:
    """An order that ended, and since when its answer is kept."""

    key: OrderKey
    ended_at: float
    size_bytes: int


@dataclasses.dataclass(slots=True)
class _Order:
    """A run of an order; changes as callers come and go."""

    task: asyncio.Task[WorkAnswer]
    idempotent: bool
    callers: int = 0
    is_at_server: bool = False


class OrderTable:
    """Joins a repeated order to its first run, or to the answer that is kept.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._orders_by_key: dict[OrderKey, _Order] = {}
        self._finished: collections.deque[_Finished] = collections.deque()
        self._kept_bytes = 0
        self.in_progress = 0

    async def join(
        self,
        order: WorkOrder,
        run: Callable[[], Coroutine[Any, Any, WorkAnswer]],
    ) -> WorkAnswer | None:
        """Wait for the run of an order, which `run` starts if it is new.

        Returns
        -------
        WorkAnswer or None
            None if the order was cancelled before it reached the server.
        """
        key = _key_of(order)
        known = self._orders_by_key.get(key)
        if known is None:
            known = _Order(asyncio.create_task(run()), order.idempotent)
            self._start(key, known)
        known.callers += 1
        try:
            return await asyncio.shield(known.task)
        except asyncio.CancelledError:
            if known.task.cancelled():
                return None
            self._watch_orphan(key)
            raise
        finally:
            known.callers -= 1

    def mark_sent(self, order: WorkOrder) -> None:
        """Note that an order is about to be sent to the server."""
        known = self._orders_by_key.get(_key_of(order))
        if known is not None:
            known.is_at_server = True

    def cancel(self, key: OrderKey) -> None:
        """Stop an order whose caller has left, unless it is at work and must not repeat."""
        known = self._orders_by_key.get(key)
        if known is not None and (known.idempotent or not known.is_at_server):
            known.task.cancel()

    def _watch_orphan(self, key: OrderKey) -> None:
        # The caller's node may ask again over a new connection.
        loop = asyncio.get_running_loop()
        loop.call_later(_ORPHAN_SECONDS, self._cancel_orphan, key)

    def _cancel_orphan(self, key: OrderKey) -> None:
        known = self._orders_by_key.get(key)
        if known is not None and not known.callers:
            self.cancel(key)

    def _start(self, key: OrderKey, order: _Order) -> None:
        self._orders_by_key[key] = order
        self.in_progress += 1
        order.task.add_done_callback(lambda done: self._end(key, done))

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
            self._orders_by_key.pop(finished.key, None)


def _key_of(order: WorkOrder) -> OrderKey:
    return order.request, order.attempt
