"""Sends an admitted request to servers until it has a final outcome."""

import asyncio
import dataclasses

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.admission import AdmittedFleetRequest
from turmericwharf.coordination.sidecar.attempt_progress import AttemptProgress
from turmericwharf.coordination.sidecar.order_sender import OrderSender, OrderTerms
from turmericwharf.coordination.sidecar.placement import Course
from turmericwharf.coordination.sidecar.remote_placement import PlacementNeeds, RemotePlacement
from turmericwharf.coordination.sidecar.retry_budget import FleetRetryBudget
from turmericwharf.coordination.sidecar.route_sizes import RouteSizes
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.state import (
    DEADLINE_PASSED,
    NO_CAPACITY,
    Answered,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
)
from turmericwharf.state.sidecar import NodeEntry, WorkAnswer

_MIN_SERVER_ERROR_STATUS = 500
# Delay before servers that refused are tried again; it doubles each time.
_RETRY_DELAY_SECONDS = 0.06
_MAX_RETRY_DELAY_SECONDS = 0.5
_MIN_REMAINING_SECONDS = 0.01
# A request that no server has accepted is refused after this fraction of its latency target: soon
# if all servers are full or gone, later if some failed, since others may have a free slot.
_MAX_OVERLOADED_FRACTION = 0.35
_MAX_PENDING_FRACTION = 0.7
_MAX_REFUSALS = 12
# Refusals that every other server of the fleet would return as well.
_NON_RETRYABLE_REASONS = frozenset((Reason.KEY_WITHDRAWN, Reason.CONFIGURATION_OUTDATED))
# An idempotent request without an answer is hedged after this fraction of its remaining time.
_HEDGE_DELAY_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """A work order in flight, and the load by which its server was selected."""

    entry: NodeEntry
    attempt_number: int
    load: int
    load_age: float | None
    started_at: float
    may_wait: bool
    task: asyncio.Task[WorkAnswer]


class AttemptRunner:
    """Tries servers within the deadline, the attempt limit of the route and the retry budget.

    Parameters
    ----------
    selector
        Selects servers.
    sender
        Sends a work order and returns its answer.
    retry_budget
        Grants the retries for further servers.
    clock
        Clock of the node.
    """

    def __init__(
        self,
        *,
        selector: ServerSelector,
        sender: OrderSender,
        retry_budget: FleetRetryBudget,
        clock: Clock,
    ) -> None:
        self._selector = selector
        self._sender = sender
        self._retry_budget = retry_budget
        self._clock = clock
        self._route_sizes = RouteSizes()
        self.remote_placement = RemotePlacement(clock)

    def record_request(self, admitted: AdmittedFleetRequest) -> None:
        """Count a request for the retry budget, once for all its attempts."""
        self._retry_budget.record_request(
            admitted.service, has_no_organisation=admitted.has_no_organisation
        )

    async def run(self, admitted: AdmittedFleetRequest) -> Outcome:
        """Return the final outcome of a request."""
        progress = AttemptProgress()
        is_final = False
        while not is_final and self._remaining_seconds(admitted) > _MIN_REMAINING_SECONDS:
            entry = self._select(admitted, progress)
            if entry is None:
                is_final = not await self._wait_for_retry(admitted, progress)
            else:
                is_final = await self._run_attempts(admitted, entry, progress)
        return progress.outcome or NotRun(DEADLINE_PASSED.reason, DEADLINE_PASSED.detail)

    def _select(
        self, admitted: AdmittedFleetRequest, progress: AttemptProgress
    ) -> NodeEntry | None:
        """Return the next server to ask, from the current step of the placement on."""
        needs = self._needs(admitted)
        while True:
            if progress.placement.needs_course:
                progress.placement.follow(self._choose_course(admitted, needs))
            step = progress.placement.step
            entry = self._selector.select(
                admitted.service,
                progress.unusable,
                step.reach,
                needs=needs,
                may_wait=step.wait_fraction > 0,
            )
            if entry is not None or not progress.placement.advance():
                return entry

    def _choose_course(self, admitted: AdmittedFleetRequest, needs: PlacementNeeds) -> Course:
        costs = self._selector.place_costs(admitted.service, needs)
        leaves = self.remote_placement.should_leave(admitted.service, needs.route, costs)
        if not leaves:
            return Course.STAY
        logger.bind(
            request=admitted.request.request,
            local_seconds=round(costs.local_seconds, 3),
            remote_seconds=round(costs.remote_seconds, 3),
            price_seconds=round(costs.price_seconds, 3),
            kilobytes=round(needs.kilobytes, 1),
        ).info('request_leaves_data_centre')
        return Course.LEAVE

    def _needs(self, admitted: AdmittedFleetRequest) -> PlacementNeeds:
        route = admitted.route.route
        return PlacementNeeds(
            route=route,
            kilobytes=self._route_sizes.kilobytes(route, admitted.request),
            target_seconds=self._remaining_target_seconds(admitted),
            deadline_seconds=self._remaining_seconds(admitted),
            route_target_seconds=admitted.route.target_seconds,
        )

    def _remaining_seconds(self, admitted: AdmittedFleetRequest) -> float:
        return admitted.deadline - self._clock.now()

    async def _wait_for_retry(
        self, admitted: AdmittedFleetRequest, progress: AttemptProgress
    ) -> bool:
        """Wait before all servers are tried again; return False if the request should fail now."""
        if progress.outcome is None:
            progress.outcome = NotRun(NO_CAPACITY.reason, NO_CAPACITY.detail)
        if not isinstance(progress.outcome, NotRun) or self._should_give_up(admitted, progress):
            return False
        delay_seconds = min(_RETRY_DELAY_SECONDS * 2**progress.restarts, _MAX_RETRY_DELAY_SECONDS)
        await asyncio.sleep(min(delay_seconds, self._remaining_seconds(admitted)))
        progress.restart_placement()
        return True

    def _should_give_up(self, admitted: AdmittedFleetRequest, progress: AttemptProgress) -> bool:
        # An early refusal leaves the caller time to fall back to an alternative.
        useful_seconds = _useful_until(admitted) - admitted.admitted_at
        pending_seconds = self._clock.now() - admitted.admitted_at
        max_fraction = (
            _MAX_OVERLOADED_FRACTION if progress.is_refused_fleet_wide else _MAX_PENDING_FRACTION
        )
        return (
            progress.is_overload
            or progress.refusals >= _MAX_REFUSALS
            or pending_seconds > max_fraction * useful_seconds
        )

    async def _run_attempts(
        self,
        admitted: AdmittedFleetRequest,
        entry: NodeEntry,
        progress: AttemptProgress,
    ) -> bool:
        first = self._start(admitted, entry, progress)
        attempts = [first]
        try:
            if (
                self._has_attempts_left(admitted, progress, in_flight=1)
                and admitted.route.idempotent
            ):
                await self._hedge(admitted, attempts, progress)
            return await self._await_attempts(admitted, attempts, progress)
        finally:
            for attempt in attempts:
                attempt.task.cancel()
                self._selector.end(attempt.entry.instance, admitted.route.route)

    def _start(
        self,
        admitted: AdmittedFleetRequest,
        entry: NodeEntry,
        progress: AttemptProgress,
        *,
        in_flight: int = 0,
    ) -> _Attempt:
        progress.last_attempt_number += 1
        progress.excluded.add(entry.instance)
        target_seconds = self._remaining_target_seconds(admitted)
        # A hedge is sent because the first server does not answer, and may wait for a slot.
        wait_fraction = 1 if in_flight else progress.placement.step.wait_fraction
        self._selector.start(entry.instance, admitted.route.route)
        # A hedge must not be sent as a trial through an open circuit breaker.
        may_be_trial = not in_flight and self._has_attempts_left(admitted, progress, in_flight=1)
        terms = OrderTerms(
            attempt_number=progress.last_attempt_number,
            allowed_seconds=self._remaining_seconds(admitted),
            target_seconds=target_seconds,
            may_be_trial=may_be_trial and admitted.route.idempotent,
            is_repeat=progress.servers_reached + in_flight > 0,
            max_wait_seconds=wait_fraction * target_seconds,
        )
        sending = self._sender.send(admitted, entry, terms)
        load, load_age = self._selector.last_reported_load(entry.instance)
        return _Attempt(
            entry=entry,
            attempt_number=progress.last_attempt_number,
            load=load,
            load_age=load_age,
            started_at=self._clock.now(),
            may_wait=wait_fraction > 0,
            task=asyncio.create_task(sending),
        )

    def _remaining_target_seconds(self, admitted: AdmittedFleetRequest) -> float:
        return max(_useful_until(admitted) - self._clock.now(), 0)

    async def _hedge(
        self,
        admitted: AdmittedFleetRequest,
        attempts: list[_Attempt],
        progress: AttemptProgress,
    ) -> None:
        """Send an unanswered request to a second server as well; the first attempt continues."""
        first = attempts[0]
        await asyncio.wait(
            [first.task], timeout=self._remaining_seconds(admitted) * _HEDGE_DELAY_FRACTION
        )
        if first.task.done():
            return
        self._selector.deprioritise(first.entry.instance)
        entry = self._selector.select(
            admitted.service, progress.excluded, needs=self._needs(admitted)
        )
        if entry is not None and await self._acquire_retry(admitted, progress, in_flight=1):
            progress.attempts_run += 1
            attempts.append(self._start(admitted, entry, progress, in_flight=1))
            logger.bind(
                request=admitted.request.request,
                waiting_for=first.entry.instance,
                instance=entry.instance,
            ).info('request_hedged')

    async def _await_attempts(
        self,
        admitted: AdmittedFleetRequest,
        attempts: list[_Attempt],
        progress: AttemptProgress,
    ) -> bool:
        """Record answers as they arrive; return whether the outcome is final."""
        if len(attempts) > 1:
            # The hedge counted an attempt in advance. Both attempts are counted when they end, so
            # the advance is taken back.
            progress.attempts_run -= 1
        attempts_by_task = {attempt.task: attempt for attempt in attempts}
        is_final = False
        while attempts_by_task and not is_final:
            done, _ = await asyncio.wait(attempts_by_task, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                ended = attempts_by_task.pop(task)
                is_last = await self._record_outcome(
                    admitted, ended, progress, in_flight=len(attempts_by_task)
                )
                is_final = is_last or is_final
        return is_final

    async def _record_outcome(
        self,
        admitted: AdmittedFleetRequest,
        ended: _Attempt,
        progress: AttemptProgress,
        *,
        in_flight: int,
    ) -> bool:
        answer = ended.task.result()
        self._record_answer(admitted, ended, answer)
        outcome = _extract_outcome(answer)
        progress.servers_reached += answer.reached_server and not _is_unconnected(outcome)
        progress.attempts_run += not isinstance(outcome, NotRun)
        if isinstance(outcome, NotRun):
            progress.record_refusal(ended.entry.instance, outcome)
        if not isinstance(outcome, NotRun) or isinstance(progress.outcome, NotRun | None):
            # The outcome at a server takes precedence over a later refusal by another node.
            progress.outcome = outcome
        is_success = isinstance(outcome, Answered) and outcome.status < _MIN_SERVER_ERROR_STATUS
        is_final = is_success
        if not is_success and not in_flight:
            is_final = not await self._acquire_retry_after(admitted, outcome, progress)
        logger.bind(
            request=admitted.request.request,
            attempt=ended.attempt_number,
            instance=ended.entry.instance,
            server=ended.entry.server,
            outcome=_status_or_reason(outcome),
            load=ended.load,
            load_age=ended.load_age,
            final=is_final,
        ).info('attempt_ended')
        return is_final

    def _record_answer(
        self, admitted: AdmittedFleetRequest, ended: _Attempt, answer: WorkAnswer
    ) -> None:
        """Record what an answer tells of the server and of the route."""
        route = admitted.route.route
        self._selector.record_answer(ended.entry.instance, answer, route)
        if answer.answered is None or answer.answered.status >= _MIN_SERVER_ERROR_STATUS:
            # An error is often shorter, and sooner complete, than a response.
            return
        self._route_sizes.record(route, answer.answered)
        if not answer.run_seconds and not ended.may_wait:
            self._selector.loads.record_run(
                ended.entry.instance, route, self._clock.now() - ended.started_at
            )

    async def _acquire_retry_after(
        self,
        admitted: AdmittedFleetRequest,
        outcome: Outcome,
        progress: AttemptProgress,
    ) -> bool:
        if not self._has_attempts_left(admitted, progress, in_flight=0):
            return False
        if isinstance(outcome, NotRun):
            is_final = outcome.reason in _NON_RETRYABLE_REASONS or self._should_give_up(
                admitted, progress
            )
            return not is_final and await self._acquire_retry(admitted, progress)
        return admitted.route.idempotent and await self._acquire_retry(admitted, progress)

    def _has_attempts_left(
        self, admitted: AdmittedFleetRequest, progress: AttemptProgress, *, in_flight: int
    ) -> bool:
        return progress.attempts_run + in_flight < admitted.route.attempts

    async def _acquire_retry(
        self,
        admitted: AdmittedFleetRequest,
        progress: AttemptProgress,
        *,
        in_flight: int = 0,
    ) -> bool:
        """Return whether the request may reach one more server.

        A granted retry stays available until the request has reached that server.
        """
        if progress.retries_granted >= progress.servers_reached + in_flight:
            return True
        is_granted = await self._retry_budget.acquire(admitted.service)
        progress.retries_granted += is_granted
        return is_granted


def _useful_until(admitted: AdmittedFleetRequest) -> float:
    # The request of a calling backend server fails with its call, and occupies a slot meanwhile, so
    # a call may wait until its deadline. Client requests without an organisation may do so too.
    return admitted.deadline if admitted.has_no_organisation else admitted.latency_target_at


def _extract_outcome(answer: WorkAnswer) -> Outcome:
    outcome = answer.answered or answer.refused or answer.unknown
    return outcome or OutcomeUnknown(Reason.FRAME_MALFORMED, 'the work answer contains no outcome')


def _is_unconnected(outcome: Outcome) -> bool:
    """Return whether the node could not connect to its server, which no request reached then."""
    return isinstance(outcome, NotRun) and outcome.reason is Reason.SERVER_UNREACHABLE


def _status_or_reason(outcome: Outcome) -> str:
    return str(outcome.status) if isinstance(outcome, Answered) else outcome.reason.value
