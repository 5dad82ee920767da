"""Deduplicates work orders: each runs once while its answer is retained."""

import asyncio
import collections
import dataclasses
from collections.abc import Callable, Coroutine
from typing import Any, TypeAlias

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import OutcomeUnknown, Reason, RequestId
from turmericwharf.state.sidecar import WorkAnswer, WorkOrder

OrderKey: TypeAlias = tuple[RequestId, int]

# After a lost connection, an entry node may send an order again until the deadline of the request,
# so an order is remembered for longer than that. Its answer is dropped earlier if all retained ones
# exceed the size limit.
_MIN_RETENTION_SECONDS = 20.0
_RETENTION_MARGIN_SECONDS = 2.0
# The deadline of an order that was not received completely is not known; this is longer than the
# timeouts of routes.
_MAX_RETENTION_SECONDS = 120.0
_MAX_RETAINED_BYTES = 24_000_000
_ORPHAN_TIMEOUT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Finished:
    """A finished order, until when it is remembered, and the size of its answer."""

    key: OrderKey
    expires_at: float
    size_bytes: int


@dataclasses.dataclass(slots=True)
class _TrackedOrder:
    """The run of an order, with the number of tasks that wait for its answer."""

    task: asyncio.Task[WorkAnswer]
    idempotent: bool
    expires_at: float
    is_local: bool
    waiters: int = 0
    is_sent: bool = False


_ANSWER_DROPPED = WorkAnswer(
    answered=None,
    refused=None,
    unknown=OutcomeUnknown(Reason.ALREADY_RUN, 'the order has run and its answer was not kept'),
    reached_server=True,
    running=0,
    waiting=0,
    version=-1,
)


class OrderDeduplicator:
    """Joins an order that was sent again to its first run, or returns the retained answer.

    Parameters
    ----------
    clock
        Clock of the node.
    retained_bytes
        Maximum size of all retained answers.
    """

    def __init__(self, clock: Clock, retained_bytes: int = _MAX_RETAINED_BYTES) -> None:
        self._clock = clock
        self._max_retained_bytes = retained_bytes
        self._orders_by_key: dict[OrderKey, _TrackedOrder] = {}
        # Answers of finished orders. They take a fraction of the memory of the task of the run, and
        # many refusals are remembered during an overload.
        self._answers_by_key: dict[OrderKey, WorkAnswer] = {}
        self._finished: collections.deque[_Finished] = collections.deque()
        self._with_answer: collections.deque[_Finished] = collections.deque()
        # Remembered orders whose answer was dropped.
        self._dropped: set[OrderKey] = set()
        self._retained_bytes = 0
        self.in_progress = 0

    async def join(
        self,
        order: WorkOrder,
        run: Callable[[], Coroutine[Any, Any, WorkAnswer]],
        *,
        is_local: bool = False,
    ) -> WorkAnswer | None:
        """Wait for the run of an order; `run` starts it if the order is new.

        Parameters
        ----------
        is_local
            Whether the order comes from this process, which never sends one again. Its refusal is
            not remembered: an overload brings thousands of them in the time of retention.

        Returns
        -------
        WorkAnswer or None
            None if the run was cancelled before the order was sent to the server. The outcome is
            unknown if the order has run and its answer was dropped.
        """
        key = _order_key(order)
        if key in self._dropped:
            return _ANSWER_DROPPED
        answer = self._answers_by_key.get(key)
        if answer is not None:
            return answer
        tracked = self._orders_by_key.get(key)
        if tracked is None:
            retention_seconds = max(
                order.remaining_seconds + _RETENTION_MARGIN_SECONDS, _MIN_RETENTION_SECONDS
            )
            expires_at = self._clock.now() + retention_seconds
            tracked = _TrackedOrder(
                asyncio.create_task(run()), order.idempotent, expires_at, is_local
            )
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

    def refuse(self, key: OrderKey, answer: WorkAnswer) -> bool:
        """Remember the refusal of an order that was not received completely.

        Returns
        -------
        bool
            False if the order was received before, so that a refusal would not be true.
        """
        if key in self._dropped or key in self._orders_by_key or key in self._answers_by_key:
            return False
        expires_at = self._clock.now() + _MAX_RETENTION_SECONDS
        self._answers_by_key[key] = answer
        self._finished.append(_Finished(key, expires_at, 0))
        return True

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
        order.task.add_done_callback(lambda done: self._finish(key, order))

    def _finish(self, key: OrderKey, order: _TrackedOrder) -> None:
        task = order.task
        self.in_progress -= 1
        if order.is_local and _is_refused(task):
            self._orders_by_key.pop(key, None)
            return
        size_bytes = 0
        if not task.cancelled() and task.exception() is None:
            self._answers_by_key[key] = task.result()
            self._orders_by_key.pop(key, None)
            answered = task.result().answered
            size_bytes = 0 if answered is None else len(answered.body)
        finished = _Finished(key, order.expires_at, size_bytes)
        self._finished.append(finished)
        if size_bytes:
            self._with_answer.append(finished)
            self._retained_bytes += size_bytes
        self._forget_expired()
        self._drop_answers()

    def _forget_expired(self) -> None:
        now = self._clock.now()
        while self._finished and self._finished[0].expires_at < now:
            finished = self._finished.popleft()
            self._dropped.discard(finished.key)
            self._orders_by_key.pop(finished.key, None)
            answer = self._answers_by_key.pop(finished.key, None)
            if answer is not None and finished.size_bytes:
                self._with_answer.remove(finished)
                self._retained_bytes -= finished.size_bytes

    def _drop_answers(self) -> None:
        while self._retained_bytes > self._max_retained_bytes:
            finished = self._with_answer.popleft()
            self._retained_bytes -= finished.size_bytes
            self._answers_by_key.pop(finished.key, None)
            self._dropped.add(finished.key)


def _is_refused(task: asyncio.Task[WorkAnswer]) -> bool:
    if task.cancelled() or task.exception() is not None:
        return False
    return task.result().refused is not None and not task.result().reached_server


def _order_key(order: WorkOrder) -> OrderKey:
    return order.request, order.attempt
