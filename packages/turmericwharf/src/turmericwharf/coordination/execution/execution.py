"""Runs requests on the backend server beside this node."""

import asyncio
import collections
import dataclasses

from loguru import logger

from turmericwharf.coordination.claims.claims import ClaimClient
from turmericwharf.coordination.execution.fair_queue import FairQueue
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.ports import BackendServer, Clock, WallClock
from turmericwharf.coordination.execution.run_check import RunCheck
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import (
    CALLER_LEFT,
    DEADLINE_PASSED,
    DUPLICATE_REQUEST,
    SERVER_DRAINING,
    SERVER_UNKNOWN,
    Answered,
    Execute,
    ExecutorDump,
    LimitSettings,
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

_MILLISECONDS = 1000
# A copy of a frame that arrives later than this after the deadline is refused for its age.
_REMEMBER_SECONDS = 5.0


def not_run(failure: RequestFailure) -> NotRun:
    """Return the outcome of a request that was refused before it ran."""
    return NotRun(failure.reason, failure.detail)


@dataclasses.dataclass(frozen=True, slots=True)
class InProgressRequest:
    """A request in progress, and the moment on the node's clock at which it must be answered."""

    order: Execute
    deadline: float


class Executor:
    """Owner of the requests in progress on the own backend server.

    Each request is served in a task of its own. Whoever waits for it may leave: queued work is
    then dropped, idempotent work is cut at the server, and other work that has started is left to
    finish and keeps its slot until it ends.
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
        self._leaving = False
        self._progress = _Progress(clock)

    @property
    def report(self) -> ServerReport | None:
        """Latest report of the own backend server, or None before its first one."""
        return self._report

    @property
    def in_progress(self) -> int:
        """Requests that wait for the backend server or run on it."""
        return len(self._progress.tasks_by_id)

    @property
    def remembered_request_count(self) -> int:
        """Request ids that are remembered so that a second copy of a frame does not run."""
        return self._progress.remembered_request_count

    def find_in_progress(self, request: RequestId) -> InProgressRequest | None:
        """Return a request that waits or runs here and was not cancelled, or None."""
        progress = self._progress
        return None if request in progress.cancelled else progress.requests_by_id.get(request)

    def record_announcement(self, service: ServiceId, slots: int, state: ServerState) -> None:
        """Take over what the backend server says of itself."""
        # The server goes on to say that it is ready while the node beside it shuts down.
        announced = (service, slots, ServerState.DRAINING if self._leaving else state)
        known = self._report
        if known is not None and (known.service, known.slots, known.state) == announced:
            return
        self._report = ServerReport(
            instance=self._members.own.instance,
            incarnation=self._members.own.incarnation,
            sequence=known.sequence + 1 if known else 1,
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
        """Take no new work for the own backend server from now on."""
        self._leaving = True
        if self._report is not None:
            self.record_announcement(self._report.service, self._report.slots, ServerState.DRAINING)

    def cancel(self, request: RequestId) -> None:
        """Drop a request that has not started; cut an idempotent one at the server."""
        progress = self._progress
        known = progress.requests_by_id.get(request)
        if known is None or request in progress.cancelled:
            return
        progress.cancelled.add(request)
        waiting = progress.waiting_by_id.get(request)
        if waiting is not None:
            waiting.cancel()
        elif request in progress.started and known.order.idempotent:
            progress.keep(asyncio.create_task(self._server.cancel(known.order)))

    async def execute(self, order: Execute) -> Outcome:
        """Run one request, or refuse it before any byte reaches the backend server."""
        remaining = order.remaining_milliseconds / _MILLISECONDS - self._delay_of(order)
        deadline = self._clock.now() + remaining
        if self._progress.has_seen(order.request):
            # The first copy may be running, so this is no proof that nothing ran.
            return OutcomeUnknown(DUPLICATE_REQUEST.reason, DUPLICATE_REQUEST.detail)
        self._progress.remember(order.request, deadline + _REMEMBER_SECONDS)
        serving = self._progress.start(order, deadline, self._serve(order, deadline))
        try:
            async with asyncio.timeout(max(remaining, 0)):
                return await asyncio.shield(serving)
        except TimeoutError:
            return self._end_at_deadline(order, serving)
        except asyncio.CancelledError:
            self.cancel(order.request)
            raise

    def _end_at_deadline(self, order: Execute, serving: asyncio.Task[Outcome]) -> Outcome:
        if serving.done():
            return serving.result()
        # A request that has not started by now is dropped, since `cancel` keeps it from starting.
        has_started = order.request in self._progress.started
        self.cancel(order.request)
        if has_started:
            return OutcomeUnknown(Reason.ANSWER_TIMEOUT, 'the run goes on after the deadline')
        return not_run(DEADLINE_PASSED)

    def _delay_of(self, order: Execute) -> float:
        if order.sent_at is None:
            return 0
        age = self._wall_clock.now() - order.sent_at
        return max(age - self._limits.clock_skew_seconds, 0)

    async def _serve(self, order: Execute, deadline: float) -> Outcome:
        refusal = self._refusal(order, deadline)
        if refusal is not None:
            return not_run(refusal)
        queued_at = self._clock.now()
        refusal = await self._acquire_slot(order, deadline)
        if refusal is not None:
            return not_run(refusal)
        waited = self._clock.now() - queued_at
        try:
            outcome = await self._run(order, deadline)
        finally:
            self._queue.release(order.organisation)
        if not isinstance(outcome, Answered):
            return outcome
        # The own count of requests replaces what the server reports, which lags or misleads.
        return dataclasses.replace(
            outcome,
            load=self._queue.load,
            waited_milliseconds=waited * _MILLISECONDS,
        )

    async def _acquire_slot(self, order: Execute, deadline: float) -> RequestFailure | None:
        waiting = asyncio.create_task(
            self._queue.acquire(
                order.organisation,
                order.importance,
                deadline - self._clock.now(),
            ),
        )
        self._progress.waiting_by_id[order.request] = waiting
        try:
            return await waiting
        except asyncio.CancelledError:
            return CALLER_LEFT
        finally:
            self._progress.waiting_by_id.pop(order.request, None)

    async def _run(self, order: Execute, deadline: float) -> Outcome:
        # From the last check to the server's client nothing else runs in between.
        refusal = self._refusal(order, deadline)
        if refusal is not None:
            return not_run(refusal)
        self._progress.started.add(order.request)
        try:
            outcome = await self._server.run(
                order,
                remaining_seconds=deadline - self._clock.now(),
            )
        except Exception:
            # Bytes may have been written, so nothing else can be said about the request.
            logger.bind(request=order.request).exception('run_failed')
            return OutcomeUnknown(Reason.ANSWER_INCOMPLETE, 'internal error')
        if order.claim is not None and isinstance(outcome, Answered):
            self._claims.finish(order.claim, outcome)
        return outcome

    def _refusal(self, order: Execute, deadline: float) -> RequestFailure | None:
        if order.request in self._progress.cancelled:
            return CALLER_LEFT
        if self._clock.now() >= deadline:
            return DEADLINE_PASSED
        if self._report is None or self._report.service != order.service:
            return SERVER_UNKNOWN
        if self._report.state is not ServerState.READY:
            return SERVER_DRAINING
        return self._check.refusal(order)


class _Progress:
    """Tables of the requests in progress, and of the request ids that were received."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._remembered_until_by_id: collections.OrderedDict[RequestId, float] = (
            collections.OrderedDict()
        )
        self._background: set[asyncio.Task[None]] = set()
        self.requests_by_id: dict[RequestId, InProgressRequest] = {}
        self.tasks_by_id: dict[RequestId, asyncio.Task[Outcome]] = {}
        self.waiting_by_id: dict[RequestId, asyncio.Task[RequestFailure | None]] = {}
        self.started: set[RequestId] = set()
        self.cancelled: set[RequestId] = set()

    @property
    def remembered_request_count(self) -> int:
        """Number of request ids that are remembered."""
        return len(self._remembered_until_by_id)

    def has_seen(self, request: RequestId) -> bool:
        """Whether this request id was received before."""
        return request in self._remembered_until_by_id

    def remember(self, request: RequestId, until: float) -> None:
        """Remember a request id until a moment, and forget those that are due."""
        now = self._clock.now()
        deadlines = self._remembered_until_by_id
        while deadlines and next(iter(deadlines.values())) < now:
            deadlines.popitem(last=False)
        deadlines[request] = until

    def start(
        self,
        order: Execute,
        deadline: float,
        serving: collections.abc.Coroutine[object, object, Outcome],
    ) -> asyncio.Task[Outcome]:
        """Serve a request in a task of its own."""
        self.requests_by_id[order.request] = InProgressRequest(order, deadline)
        task = asyncio.create_task(serving)
        self.tasks_by_id[order.request] = task
        task.add_done_callback(lambda _: self._end(order.request))
        return task

    def keep(self, task: asyncio.Task[None]) -> None:
        """Hold a task until it ends."""
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _end(self, request: RequestId) -> None:
        self.requests_by_id.pop(request, None)
        self.tasks_by_id.pop(request, None)
        self.started.discard(request)
        self.cancelled.discard(request)


@describe.register
def _(part: Executor) -> ExecutorDump:
    return ExecutorDump(in_progress=part.in_progress, report=part.report)
