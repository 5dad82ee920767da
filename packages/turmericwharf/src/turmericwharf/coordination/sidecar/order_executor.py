"""Runs work orders on the backend server beside the node."""

import asyncio
import collections
import contextlib
from collections.abc import Iterator

from loguru import logger

from turmericwharf.coordination.execution.fair_queue import FairQueue
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.backlog import Backlog
from turmericwharf.coordination.sidecar.breaker import CircuitBreaker
from turmericwharf.coordination.sidecar.cold_start import ColdStartGate
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_validator import OrderValidator
from turmericwharf.coordination.sidecar.order_deduplicator import OrderDeduplicator, OrderKey
from turmericwharf.coordination.sidecar.overdue_runs import OVERDUE_FACTOR, OverdueRuns
from turmericwharf.coordination.sidecar.ports import ServerConnection
from turmericwharf.coordination.sidecar.route_shares import RouteShares
from turmericwharf.coordination.sidecar.run_times import RunTimes
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import (
    BREAKER_OPEN,
    CALLER_LEFT,
    DATA_CENTRE_EVACUATED,
    DEADLINE_PASSED,
    MEMORY_EXHAUSTED,
    PROCESS_REPLACED,
    QUEUE_FULL,
    SERVER_BUSY,
    SERVER_COLD,
    SERVER_DRAINING,
    SERVER_UNKNOWN,
    Answered,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
    RequestFailure,
    MemoryLimits,
)
from turmericwharf.state.sidecar import (
    ProcessId,
    ServerGateDump,
    ServerPhase,
    SlotReply,
    SlotRequest,
    WorkAnswer,
    WorkCancel,
    WorkOrder,
)

_QUEUE_LENGTH = 64
# Lower bound of the run time that is assumed for a route. An order is not started with less time
# left.
_MIN_RUN_SECONDS = 0.02
# Accepted wait beyond the useful time, in mean run times, so that a short queue does not lead to a
# refusal.
_LATE_TOLERANCE_RUNS = 0.5
# The wait is underestimated when server calls overtake queued requests.
_WAIT_SAFETY_FACTOR = 0.6
_LOAD_REASONS = frozenset((Reason.SERVER_BUSY, Reason.QUEUE_FULL, Reason.DEADLINE_PASSED))

_NO_LIMITS = MemoryLimits()


class OrderExecutor:
    """Runs orders in the slots of the server, and refuses orders that would not finish in time.

    Parameters
    ----------
    server
        Connection to the backend server.
    order_validator
        Final checks before an order runs.
    directory
        Holds the entry of the local node.
    clock
        Clock of the node.
    cold_start
        Holds orders back while the server is cold.
    memory_limits
        Limits of the process.
    """

    def __init__(
        self,
        *,
        server: ServerConnection,
        order_validator: OrderValidator,
        directory: NodeDirectory,
        clock: Clock,
        cold_start: ColdStartGate,
        memory_limits: MemoryLimits = _NO_LIMITS,
    ) -> None:
        self._server = server
        self._order_validator = order_validator
        self._directory = directory
        self._clock = clock
        self._run_times = RunTimes()
        self._overdue_runs = OverdueRuns()
        self.cold_start = cold_start
        self.orders = OrderDeduplicator(clock, memory_limits.retained_bytes)
        self.breaker = CircuitBreaker(clock)
        self.queue = FairQueue(1, _QUEUE_LENGTH, clock)
        self.backlog = Backlog()
        self.route_shares = RouteShares(clock)
        self._running_by_is_repeat: collections.Counter[bool] = collections.Counter()

    async def serve(self, order: WorkOrder, version: int, *, is_local: bool = False) -> WorkAnswer:
        """Run an order, or join an earlier run of the same order.

        Parameters
        ----------
        is_local
            Whether the order comes from this process.
        """
        try:
            answer = await self.orders.join(
                order, lambda: self._run(order, version), is_local=is_local
            )
        except Exception:
            # The order may have reached the server before the error.
            logger.bind(request=order.request, attempt=order.attempt).exception('order_failed')
            return self._answer(
                OutcomeUnknown(Reason.ANSWER_INCOMPLETE, 'internal error'),
                version,
                reached_server=True,
            )
        return answer or self._answer(NotRun(CALLER_LEFT.reason, CALLER_LEFT.detail), version)

    @property
    def retry_share(self) -> float:
        """Share of the running orders whose request had reached another server before."""
        running = sum(self._running_by_is_repeat.values())
        return self._running_by_is_repeat[True] / running if running else 0

    def cancel(self, message: WorkCancel) -> None:
        """Cancel the order of a caller that has left."""
        self.orders.cancel((message.request, message.attempt))

    def find_slot(self, request: SlotRequest, version: int) -> SlotReply:
        """Tell whether an order would run at once; an open breaker is tried by orders only."""
        local = self._directory.local
        cold_wait_seconds = self.cold_start.expected_wait_seconds(local.service)
        rules = (
            (request.process != local.process, PROCESS_REPLACED),
            (request.server != local.server, SERVER_UNKNOWN),
            (local.phase is not ServerPhase.READY, SERVER_DRAINING),
            (self._order_validator.is_evacuated(local), DATA_CENTRE_EVACUATED),
            (self.breaker.is_open, BREAKER_OPEN),
            (cold_wait_seconds > 0, SERVER_COLD),
            (not self.queue.has_free_slot, SERVER_BUSY),
            (self._overdue_runs.hold_most_slots(self.queue.slots), SERVER_BUSY),
        )
        refusal = next((failure for is_violated, failure in rules if is_violated), None)
        return SlotReply(
            refused=None
            if refusal is None
            else NotRun(refusal.reason, refusal.detail, cold_wait_seconds or None),
            running=self.queue.in_progress,
            waiting=self.queue.waiting,
            version=version,
        )

    def refuse_unread(self, key: OrderKey, process: ProcessId, version: int) -> WorkAnswer | None:
        """Refuse an order for which the node has no memory; None if it was received before."""
        if process != self._directory.local.process:
            return self._answer(NotRun(PROCESS_REPLACED.reason, PROCESS_REPLACED.detail), version)
        # Nodes of earlier builds do not know the reason of a lack of memory.
        answer = self._answer(NotRun(Reason.QUEUE_FULL, MEMORY_EXHAUSTED.detail), version)
        return answer if self.orders.refuse(key, answer) else None

    async def _run(self, order: WorkOrder, version: int) -> WorkAnswer:
        received_at = self._clock.now()
        refusal = self._order_validator.find_refusal(order, self._directory.local)
        is_trial = self.breaker.is_open
        if refusal is None and not self.breaker.allows(may_be_trial=order.may_try):
            refusal = BREAKER_OPEN
        run_seconds = max(self._run_times.mean_seconds(order.route), _MIN_RUN_SECONDS)
        refusal = refusal or self.cold_start.find_refusal(order, run_seconds=run_seconds)
        if refusal is not None:
            return self._refuse(order, refusal, version)
        with self.cold_start.queued(order):
            refusal = await self._acquire(order)
        if refusal is not None:
            return self._refuse(order, refusal, version)
        try:
            refusal = await self.cold_start.wait_for_permit(
                order, run_seconds=run_seconds, waited_seconds=self._clock.now() - received_at
            )
            if refusal is not None:
                return self._refuse(order, refusal, version)
            return await self._run_in_slot(order, received_at, version, is_trial=is_trial)
        finally:
            self.queue.release(order.organisation)

    async def _acquire(self, order: WorkOrder) -> RequestFailure | None:
        if not order.max_wait_seconds and not self.queue.has_free_slot:
            return SERVER_BUSY
        is_last_resort = order.max_wait_seconds >= order.target_seconds
        if not is_last_resort and self._overdue_runs.hold_most_slots(self.queue.slots):
            return SERVER_BUSY
        run_seconds = max(self._run_times.mean_seconds(order.route), _MIN_RUN_SECONDS)
        # An answer after the latency target is worth less than the queue slot that it occupies.
        useful_seconds = max(order.target_seconds - run_seconds, 0) * _WAIT_SAFETY_FACTOR
        useful_seconds += _LATE_TOLERANCE_RUNS * run_seconds
        wait_seconds = min(
            order.remaining_seconds - run_seconds, useful_seconds, order.max_wait_seconds
        )
        rank = self.route_shares.queue_rank(order.route, order.rank)
        if self.backlog.expected_wait_seconds(rank, self.queue) > wait_seconds:
            # Reported as a full queue also if few requests wait: the expected wait is too long.
            return QUEUE_FULL
        with (
            self.backlog.waiting(rank, run_seconds),
            self.route_shares.reserved(order.route, run_seconds),
        ):
            return await self.queue.acquire(order.organisation, rank, max(wait_seconds, 0))

    async def _run_in_slot(
        self,
        order: WorkOrder,
        received_at: float,
        version: int,
        *,
        is_trial: bool,
    ) -> WorkAnswer:
        # The server may have left, or the key may have been withdrawn, while the order waited.
        refusal = self._order_validator.find_refusal(order, self._directory.local)
        if refusal is None and self.breaker.is_open and not (is_trial or order.may_try):
            refusal = BREAKER_OPEN
        started_at = self._clock.now()
        remaining = order.remaining_seconds - (started_at - received_at)
        if refusal is None and remaining < _MIN_RUN_SECONDS:
            # The process may have been suspended while the order waited.
            refusal = DEADLINE_PASSED
        if refusal is not None:
            return self._refuse(order, refusal, version)
        self.orders.mark_sent(order)
        mean_seconds = self._run_times.mean_seconds(order.route)
        with (
            self.backlog.running(mean_seconds),
            self._count_running(order),
            self._overdue_runs.watch(mean_seconds),
        ):
            outcome = await self._run_on_server(order, remaining)
        ran_seconds = self._clock.now() - started_at
        self.route_shares.charge(order.route, ran_seconds)
        is_overdue = ran_seconds > OVERDUE_FACTOR * self._run_times.mean_seconds(order.route)
        self.breaker.record(outcome, is_overdue=is_overdue)
        self.cold_start.record_outcome(outcome)
        if isinstance(outcome, Answered):
            self._run_times.record(order.route, ran_seconds)
        logger.bind(
            request=order.request,
            attempt=order.attempt,
            waited=round(started_at - received_at, 3),
            ran=round(ran_seconds, 3),
            outcome=_status_or_reason(outcome),
        ).info('order_ran')
        return self._answer(outcome, version, reached_server=True)

    async def _run_on_server(self, order: WorkOrder, remaining_seconds: float) -> Outcome:
        try:
            return await self._server.run(order, remaining_seconds=remaining_seconds)
        except asyncio.CancelledError:
            # The request was sent, so its outcome is unknown and must not be reported as not run.
            return OutcomeUnknown(CALLER_LEFT.reason, CALLER_LEFT.detail)

    @contextlib.contextmanager
    def _count_running(self, order: WorkOrder) -> Iterator[None]:
        self._running_by_is_repeat[order.is_repeat] += 1
        try:
            yield
        finally:
            self._running_by_is_repeat[order.is_repeat] -= 1

    def _refuse(self, order: WorkOrder, failure: RequestFailure, version: int) -> WorkAnswer:
        expected_wait_seconds = self.backlog.expected_wait_seconds(order.rank, self.queue)
        logger.bind(
            request=order.request,
            attempt=order.attempt,
            reason=failure.reason.value,
            running=self.queue.in_progress,
            waiting=self.queue.waiting,
            expected_wait=round(expected_wait_seconds, 3),
            breaker_open=self.breaker.is_open,
            version=version,
            order_version=order.version,
        ).info('order_refused')
        retry_seconds = None
        if failure.reason in _LOAD_REASONS:
            # The request could start once the work before it is done.
            retry_seconds = expected_wait_seconds
        elif failure.reason is Reason.BREAKER_OPEN:
            retry_seconds = self.breaker.seconds_until_trial
        elif failure.reason is Reason.SERVER_COLD:
            retry_seconds = self.cold_start.expected_wait_seconds(order.service, order.rank)
        return self._answer(NotRun(failure.reason, failure.detail, retry_seconds), version)

    def _answer(
        self,
        outcome: Outcome,
        version: int,
        *,
        reached_server: bool = False,
    ) -> WorkAnswer:
        return WorkAnswer(
            answered=outcome if isinstance(outcome, Answered) else None,
            refused=outcome if isinstance(outcome, NotRun) else None,
            unknown=outcome if isinstance(outcome, OutcomeUnknown) else None,
            reached_server=reached_server,
            running=self.queue.in_progress,
            waiting=self.queue.waiting,
            version=version,
        )


def _status_or_reason(outcome: Outcome) -> str:
    if isinstance(outcome, Answered):
        return str(outcome.status)
    return outcome.reason.value


@describe.register
def _(executor: OrderExecutor) -> ServerGateDump:
    return ServerGateDump(
        running=executor.queue.in_progress,
        waiting=executor.queue.waiting,
        orders_in_progress=executor.orders.in_progress,
        breaker_open=executor.breaker.is_open,
        share_by_route=executor.route_shares.share_by_route,
    )
