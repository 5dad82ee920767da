"""Execution of requests on the local backend server."""

import asyncio
import collections
import dataclasses

from loguru import logger

from turmericwharf.coordination.claims.claims import ClaimClient
from turmericwharf.coordination.execution.fair_queue import FairQueue
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.memory import AnswerRoom, MemoryBudget
from turmericwharf.coordination.clock import Clock, WallClock
from turmericwharf.coordination.ports import BackendServer
from turmericwharf.coordination.execution.run_check import RunCheck
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import (
    CALLER_LEFT,
    DEADLINE_PASSED,
    DUPLICATE_REQUEST,
    MEMORY_EXHAUSTED,
    PROCESS_REPLACED,
    SERVER_DRAINING,
    SERVER_UNKNOWN,
    Answered,
    Execute,
    ExecutorDump,
    LimitSettings,
    MemoryLimits,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
    RequestFailure,
    RequestId,
    ServerReport,
    ServerState,
    ServiceId,
)

_MILLISECONDS_PER_SECOND = 1000
# Request ids are kept this long after the deadline. A duplicate frame that arrives later is
# rejected because its deadline has passed.
_DEDUPLICATION_SECONDS = 5.0
# Longer than the time for which an entry node asks for the outcome of a claimed request.
_CLAIMED_DEDUPLICATION_SECONDS = 30.0
# Longest time that a second copy of a claimed request waits for the first one to end.
_JOIN_SECONDS = 2.0


def not_run(failure: RequestFailure) -> NotRun:
    """Return the outcome of a request that was rejected before it ran."""
    return NotRun(failure.reason, failure.detail)


@dataclasses.dataclass(frozen=True, slots=True)
class InProgressRequest:
    """A request in progress, and its deadline on the node's clock."""

    order: Execute
    deadline: float


class Executor:
    """Runs requests on the local backend server and tracks those in progress.

    Each request is served in its own task. If the caller disconnects, a queued request is dropped
    and a started idempotent request is cancelled at the server. Any other started request runs to
    completion and holds its slot until it ends.
    """

    def __init__(
        self,
        *,
        server: BackendServer,
        members: MembershipView,
        check: RunCheck,
        claims: ClaimClient,
        limits: LimitSettings,
        clock: Clock,
        wall_clock: WallClock,
    ) -> None:
        self._server = server
        self._members = members
        self._check = check
        self._claims = claims
        self._limits = limits
        self._clock = clock
        self._wall_clock = wall_clock
        self._queue = FairQueue(0, limits.queue_length, clock)
        self._report: ServerReport | None = None
        self._draining = False
        self._requests = _RequestTable(clock)
        # Without a limit on the memory of the process, there is room for every answer.
        self.answer_room = AnswerRoom(MemoryBudget(MemoryLimits(), clock), limits.answer_body_bytes)

    @property
    def report(self) -> ServerReport | None:
        """Latest report of the local backend server, or None before the first announcement."""
        return self._report

    @property
    def in_progress(self) -> int:
        """Number of requests that are queued for the backend server or run on it."""
        return len(self._requests.tasks_by_id)

    @property
    def remembered_request_count(self) -> int:
        """Number of request ids kept to reject duplicate frames."""
        return self._requests.remembered_request_count

    def find_in_progress(self, request: RequestId) -> InProgressRequest | None:
        """Return a queued or running request that was not cancelled, or None."""
        requests = self._requests
        return None if request in requests.cancelled else requests.requests_by_id.get(request)

    def record_announcement(self, service: ServiceId, slots: int, state: ServerState) -> None:
        """Update the report of the local backend server from its announcement."""
        # The server keeps announcing that it is ready while its node shuts down.
        announced = (service, slots, ServerState.DRAINING if self._draining else state)
        latest = self._report
        if latest is not None and (latest.service, latest.slots, latest.state) == announced:
            return
        self._report = ServerReport(
            instance=self._members.own.instance,
            incarnation=self._members.own.incarnation,
            sequence=latest.sequence + 1 if latest else 1,
            service=service,
            slots=slots,
            state=announced[-1],
        )
        self._queue.resize(slots)
        self._members.record_report(self._report)
        logger.bind(service=service, slots=slots, state=announced[-1].value).info(
            'server_announced'
        )

    def drain(self) -> None:
        """Stop accepting new work for the local backend server."""
        self._draining = True
        if self._report is not None:
            self.record_announcement(self._report.service, self._report.slots, ServerState.DRAINING)

    def cancel(self, request: RequestId) -> None:
        """Drop a request that has not started; cancel a started idempotent one at the server."""
        requests = self._requests
        in_progress = requests.requests_by_id.get(request)
        if in_progress is None or request in requests.cancelled:
            return
        requests.cancelled.add(request)
        waiting = requests.waiting_by_id.get(request)
        if waiting is not None:
            waiting.cancel()
        elif request in requests.started and in_progress.order.idempotent:
            requests.hold_reference(asyncio.create_task(self._server.cancel(in_progress.order)))

    async def execute(self, order: Execute) -> Outcome:
        """Run one request, or reject it before any byte is sent to the backend server."""
        remaining_seconds = (
            order.remaining_milliseconds / _MILLISECONDS_PER_SECOND - self._transit_seconds(order)
        )
        deadline = self._clock.now() + remaining_seconds
        if order.incarnation not in {None, self._members.own.incarnation}:
            # The replaced process may have run it.
            return OutcomeUnknown(PROCESS_REPLACED.reason, PROCESS_REPLACED.detail)
        if self._requests.has_seen(order.request):
            return await self._join(order)
        is_claimed = order.claim is not None
        kept_seconds = _CLAIMED_DEDUPLICATION_SECONDS if is_claimed else _DEDUPLICATION_SECONDS
        self._requests.remember(order.request, deadline + kept_seconds)
        task = self._requests.start(order, deadline, self._serve(order, deadline))
        try:
            async with asyncio.timeout(max(remaining_seconds, 0)):
                return await asyncio.shield(task)
        except TimeoutError:
            return self._outcome_at_deadline(order, task)
        except asyncio.CancelledError:
            self.cancel(order.request)
            raise

    async def _join(self, order: Execute) -> Outcome:
        """Return the outcome of the first copy of an order, which is not run again."""
        task = self._requests.tasks_by_id.get(order.request)
        if order.claim is not None and task is not None:
            await asyncio.wait([task], timeout=_JOIN_SECONDS)
            if task.done():
                return task.result()
        refusal = self._requests.refusals_by_id.get(order.request)
        # Without a refusal the first copy may have run, so `NotRun` would be wrong.
        return refusal or OutcomeUnknown(DUPLICATE_REQUEST.reason, DUPLICATE_REQUEST.detail)

    def _outcome_at_deadline(self, order: Execute, task: asyncio.Task[Outcome]) -> Outcome:
        if task.done():
            return task.result()
        # `cancel` prevents a queued request from starting, so it certainly does not run.
        has_started = order.request in self._requests.started
        self.cancel(order.request)
        if has_started:
            return OutcomeUnknown(
                Reason.ANSWER_TIMEOUT, 'the request is still running after its deadline'
            )
        return not_run(DEADLINE_PASSED)

    def _transit_seconds(self, order: Execute) -> float:
        if order.sent_at is None:
            return 0
        age_seconds = self._wall_clock.now() - order.sent_at
        return max(age_seconds - self._limits.clock_skew_seconds, 0)

    async def _serve(self, order: Execute, deadline: float) -> Outcome:
        refusal = self._refusal(order, deadline)
        if refusal is not None:
            return not_run(refusal)
        queued_at = self._clock.now()
        refusal = await self._acquire_slot(order, deadline)
        if refusal is not None:
            return not_run(refusal)
        waited_seconds = self._clock.now() - queued_at
        try:
            outcome = await self._run_with_room(order, deadline)
        finally:
            self._queue.release(order.organisation)
        if not isinstance(outcome, Answered):
            return outcome
        # The local request count replaces the load reported by the server, which lags or misleads.
        return dataclasses.replace(
            outcome,
            load=self._queue.load,
            waited_milliseconds=waited_seconds * _MILLISECONDS_PER_SECOND,
        )

    async def _acquire_slot(self, order: Execute, deadline: float) -> RequestFailure | None:
        waiting = asyncio.create_task(
            self._queue.acquire(
                order.organisation,
                order.importance,
                deadline - self._clock.now(),
            ),
        )
        self._requests.waiting_by_id[order.request] = waiting
        try:
            return await waiting
        except asyncio.CancelledError:
            return CALLER_LEFT
        finally:
            self._requests.waiting_by_id.pop(order.request, None)

    async def _run_with_room(self, order: Execute, deadline: float) -> Outcome:
        with self.answer_room.reserved() as has_room:
            if has_room:
                return await self._run(order, deadline)
        return not_run(MEMORY_EXHAUSTED)

    async def _run(self, order: Execute, deadline: float) -> Outcome:
        # No other task runs between this last check and the call of the server's client.
        refusal = self._refusal(order, deadline)
        if refusal is not None:
            return not_run(refusal)
        self._requests.started.add(order.request)
        try:
            outcome = await self._server.run(
                order,
                remaining_seconds=deadline - self._clock.now(),
            )
        except Exception:
            # Bytes may have been written, so the outcome of the request is unknown.
            logger.bind(request=order.request).exception('run_failed')
            return OutcomeUnknown(Reason.ANSWER_INCOMPLETE, 'internal error')
        if order.claim is not None and isinstance(outcome, Answered):
            self._claims.finish(order.claim, outcome)
        return outcome

    def _refusal(self, order: Execute, deadline: float) -> RequestFailure | None:
        if order.request in self._requests.cancelled:
            return CALLER_LEFT
        if self._clock.now() >= deadline:
            return DEADLINE_PASSED
        if self._report is None or self._report.service != order.service:
            return SERVER_UNKNOWN
        if self._report.state is not ServerState.READY:
            return SERVER_DRAINING
        return self._check.refusal(order)


class _RequestTable:
    """Requests in progress, and recently received request ids for deduplication."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._expiry_by_id: collections.OrderedDict[RequestId, float] = collections.OrderedDict()
        self._background: set[asyncio.Task[None]] = set()
        self.requests_by_id: dict[RequestId, InProgressRequest] = {}
        self.refusals_by_id: dict[RequestId, NotRun] = {}
        self.tasks_by_id: dict[RequestId, asyncio.Task[Outcome]] = {}
        self.waiting_by_id: dict[RequestId, asyncio.Task[RequestFailure | None]] = {}
        self.started: set[RequestId] = set()
        self.cancelled: set[RequestId] = set()

    @property
    def remembered_request_count(self) -> int:
        """Number of request ids kept for deduplication."""
        return len(self._expiry_by_id)

    def has_seen(self, request: RequestId) -> bool:
        """Return whether this request id was received before and is still kept."""
        return request in self._expiry_by_id

    def remember(self, request: RequestId, until: float) -> None:
        """Keep a request id until the given time, and evict expired ids."""
        now = self._clock.now()
        expiry_by_id = self._expiry_by_id
        while expiry_by_id and next(iter(expiry_by_id.values())) < now:
            expired, _ = expiry_by_id.popitem(last=False)
            self.refusals_by_id.pop(expired, None)
        expiry_by_id[request] = until

    def start(
        self,
        order: Execute,
        deadline: float,
        coroutine: collections.abc.Coroutine[object, object, Outcome],
    ) -> asyncio.Task[Outcome]:
        """Register a request and run its coroutine in a new task."""
        self.requests_by_id[order.request] = InProgressRequest(order, deadline)
        task = asyncio.create_task(coroutine)
        self.tasks_by_id[order.request] = task
        task.add_done_callback(lambda ended: self._end(order.request, ended))
        return task

    def hold_reference(self, task: asyncio.Task[None]) -> None:
        """Keep a reference to a background task until it ends."""
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _end(self, request: RequestId, task: asyncio.Task[Outcome]) -> None:
        if not task.cancelled() and task.exception() is None:
            outcome = task.result()
            if isinstance(outcome, NotRun):
                self.refusals_by_id[request] = outcome
        self.requests_by_id.pop(request, None)
        self.tasks_by_id.pop(request, None)
        self.started.discard(request)
        self.cancelled.discard(request)


@describe.register
def _(part: Executor) -> ExecutorDump:
    return ExecutorDump(in_progress=part.in_progress, report=part.report)
