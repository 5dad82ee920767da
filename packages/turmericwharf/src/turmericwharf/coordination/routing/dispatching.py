"""Dispatch of admitted requests to executing nodes, with retries where they are safe."""

import asyncio
import dataclasses

from loguru import logger

from turmericwharf.coordination.execution.execution import Executor, not_run
from turmericwharf.coordination.routing.in_flight import StartedAttempt
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.clock import Clock, WallClock
from turmericwharf.coordination.ports import PeerLinks
from turmericwharf.coordination.routing.retries import RetryBudget, RetryLimits, is_retryable
from turmericwharf.coordination.routing.server_selection import Router
from turmericwharf.state import (
    CALLER_LEFT,
    DEADLINE_PASSED,
    NO_CAPACITY,
    PEER_LINK_LOST,
    AdmittedRequest,
    Answered,
    Cancel,
    Execute,
    IncarnationId,
    InstanceId,
    KeyDigest,
    LimitSettings,
    LinkFailure,
    DeliveryUnknown,
    Message,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
    RequestId,
)

_MILLISECONDS_PER_SECOND = 1000
_PROBE_TIMEOUT_FRACTION = 0.5
# The executing node times out before the entry node, so that its answer distinguishes a slow
# server from a faulty network path.
_EXECUTION_TIMEOUT_FRACTION = 0.95
# Time for which the outcome of a claimed request is asked for after its connection was lost, and
# the delay before each time. A claim whose request did not run would block its key.
_ASK_AGAIN_SECONDS = 20.0
_ASK_AGAIN_INTERVAL_SECONDS = 0.5
_ASK_AGAIN_TIMEOUT_SECONDS = 3.0


class Dispatcher:
    """Runs and tracks the attempts of the requests that this node admitted."""

    def __init__(
        self,
        *,
        executor: Executor,
        members: MembershipView,
        router: Router,
        links: PeerLinks,
        limits: LimitSettings,
        clock: Clock,
        wall_clock: WallClock,
    ) -> None:
        self._executor = executor
        self._members = members
        self._router = router
        self._links = links
        self._limits = limits
        self._clock = clock
        self._wall_clock = wall_clock
        self._cancelled: set[RequestId] = set()
        self._attempt_by_request: dict[RequestId, tuple[InstanceId, RequestId]] = {}
        self.budget = RetryBudget(lambda: RetryLimits(limits.retry_fraction), clock)

    async def dispatch(self, admitted: AdmittedRequest) -> Outcome:
        """Send a request to one server after another while a retry is safe and within budget."""
        tried: set[InstanceId] = set()
        outcome: Outcome = not_run(NO_CAPACITY)
        self.budget.record_request(admitted.service)
        for attempt_index in range(self._limits.attempts):
            attempt = self._choose(admitted, tried)
            if attempt is None:
                break
            tried.add(attempt.instance)
            latest = await self._attempt(admitted, attempt, attempt_index)
            outcome = _merge_outcomes(outcome, latest)
            if not is_retryable(latest, idempotent=admitted.idempotent):
                break
        return outcome

    def cancel(self, request: RequestId) -> bool:
        """Cancel the attempt in flight, if any, and prevent further attempts of the request.

        Returns
        -------
        bool
            Whether an attempt was in flight. If not, the request will not run after this call.
        """
        self._cancelled.add(request)
        sent_attempt = self._attempt_by_request.get(request)
        if sent_attempt is None:
            return False
        self._cancel_attempt(*sent_attempt)
        return True

    def discard_cancellation(self, request: RequestId) -> None:
        """Remove the cancellation mark of a request that has ended."""
        self._cancelled.discard(request)

    def _choose(self, admitted: AdmittedRequest, tried: set[InstanceId]) -> StartedAttempt | None:
        if tried and not self.budget.allows(admitted.service):
            return None
        attempt = self._router.choose(admitted, tried)
        if tried and attempt is not None:
            self.budget.record_retry(admitted.service)
        return attempt

    async def _attempt(
        self,
        admitted: AdmittedRequest,
        attempt: StartedAttempt,
        attempt_index: int,
    ) -> Outcome:
        outcome: Outcome | None = None
        try:
            outcome = await self._send_before_deadline(admitted, attempt, attempt_index)
        finally:
            if outcome is None:
                self._router.record_abandoned(attempt)
            else:
                self._router.record_outcome(admitted, attempt, outcome)
        logger.bind(
            request=admitted.request.request,
            instance=attempt.instance,
            attempt=attempt_index,
            outcome=type(outcome).__name__,
        ).debug('request_attempted')
        return outcome

    async def _send_before_deadline(
        self,
        admitted: AdmittedRequest,
        attempt: StartedAttempt,
        attempt_index: int,
    ) -> Outcome:
        request = admitted.request.request
        if request in self._cancelled:
            return not_run(CALLER_LEFT)
        remaining = admitted.deadline - self._clock.now()
        if remaining <= 0:
            return not_run(DEADLINE_PASSED)
        if attempt.probe:
            # Leaves time to try another server if the probe is not answered.
            remaining *= _PROBE_TIMEOUT_FRACTION
        order = dataclasses.replace(
            self._make_order(admitted, remaining * _EXECUTION_TIMEOUT_FRACTION, attempt_index),
            incarnation=self._find_incarnation(attempt.instance),
        )
        self._attempt_by_request[request] = (attempt.instance, order.request)
        try:
            return await self._send(
                attempt.instance,
                order,
                self._timeout_seconds(admitted, remaining),
            )
        finally:
            self._attempt_by_request.pop(request, None)

    async def _send(self, instance: InstanceId, order: Execute, timeout_seconds: float) -> Outcome:
        if instance == self._members.own.instance:
            return await self._executor.execute(order)
        try:
            answer = await self._links.request(instance, order, timeout_seconds=timeout_seconds)
            if answer == PEER_LINK_LOST and None not in {order.claim, order.incarnation}:
                answer = await self._ask_again(instance, order)
        except asyncio.CancelledError:
            self._cancel_attempt(instance, order.request)
            raise
        if isinstance(answer, DeliveryUnknown):
            self._cancel_attempt(instance, order.request)
        return _to_outcome(answer)

    async def _ask_again(
        self,
        instance: InstanceId,
        order: Execute,
    ) -> Message | LinkFailure | DeliveryUnknown:
        """Ask for the outcome of an order whose answer was lost with the connection.

        The same process knows whether the order ran, and runs it at most once. Another process at
        that node cannot know it, so the outcome stays unknown.
        """
        sent_at = self._clock.now()
        answer: Message | LinkFailure | DeliveryUnknown = PEER_LINK_LOST
        while isinstance(answer, LinkFailure | DeliveryUnknown):
            await asyncio.sleep(_ASK_AGAIN_INTERVAL_SECONDS)
            elapsed_seconds = self._clock.now() - sent_at
            if elapsed_seconds > _ASK_AGAIN_SECONDS:
                return PEER_LINK_LOST
            # The executing node subtracts the time since `sent_at` from the remaining time.
            answer = await self._links.request(
                instance, order, timeout_seconds=_ASK_AGAIN_TIMEOUT_SECONDS
            )
        return answer

    def _find_incarnation(self, instance: InstanceId) -> IncarnationId | None:
        member = self._members.find_member(instance)
        return None if member is None else member.incarnation

    def _timeout_seconds(self, admitted: AdmittedRequest, remaining: float) -> float:
        # A claimed request is awaited beyond its deadline, although its caller has been answered
        # by then: a late rejection releases the idempotency key for the next retry.
        return remaining if admitted.claim is None else remaining + self._limits.finish_seconds

    def _cancel_attempt(self, instance: InstanceId, request: RequestId) -> None:
        if instance == self._members.own.instance:
            self._executor.cancel(request)
            return
        self._links.notify(instance, Cancel(request))

    def _make_order(
        self,
        admitted: AdmittedRequest,
        remaining: float,
        attempt_index: int,
    ) -> Execute:
        request = admitted.request
        return Execute(
            # Each attempt has its own id, so that a late answer is not taken for another attempt.
            request=RequestId(f'{request.request}-{attempt_index}'),
            organisation=admitted.organisation,
            key_digest=request.key_digest or KeyDigest(''),
            service=admitted.service,
            importance=admitted.importance,
            idempotent=admitted.idempotent,
            remaining_milliseconds=remaining * _MILLISECONDS_PER_SECOND,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            sent_at=self._wall_clock.now(),
            claim=admitted.claim,
        )


def _merge_outcomes(earlier: Outcome, latest: Outcome) -> Outcome:
    # If an earlier attempt may have run, a later one that did not run does not change that.
    if isinstance(earlier, OutcomeUnknown) and isinstance(latest, NotRun):
        return earlier
    return latest


def _to_outcome(answer: Message | LinkFailure | DeliveryUnknown) -> Outcome:
    if isinstance(answer, Answered | NotRun | OutcomeUnknown):
        return answer
    if isinstance(answer, LinkFailure):
        return NotRun(answer.reason, answer.detail)
    if isinstance(answer, DeliveryUnknown):
        return OutcomeUnknown(answer.reason, answer.detail)
    return OutcomeUnknown(
        Reason.FRAME_TYPE_UNKNOWN,
        f'expected Answered, NotRun or OutcomeUnknown, got {type(answer).__name__}',
    )
