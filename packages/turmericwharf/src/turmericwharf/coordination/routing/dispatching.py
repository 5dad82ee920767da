"""Sends admitted requests to executing nodes, with retries where they are safe."""

import asyncio

from loguru import logger

from turmericwharf.coordination.execution.execution import Executor, not_run
from turmericwharf.coordination.routing.in_flight import Choice
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.ports import Clock, PeerLinks, WallClock
from turmericwharf.coordination.routing.retries import RetryBudget, RetryLimits, is_retryable
from turmericwharf.coordination.routing.routing import Router
from turmericwharf.state import (
    CALLER_LEFT,
    DEADLINE_PASSED,
    NO_CAPACITY,
    AdmittedRequest,
    Answered,
    Cancel,
    Execute,
    InstanceId,
    KeyDigest,
    LimitSettings,
    LinkFailure,
    LinkUncertain,
    Message,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
    RequestId,
)

_MILLISECONDS = 1000
_PROBE_SHARE_OF_DEADLINE = 0.5
# The executing node gives up first, so that its answer tells a slow server from a bad path.
_EXECUTION_SHARE_OF_DEADLINE = 0.95


class Dispatcher:
    """Owner of the attempts of one node's requests."""

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
        self._attempts_by_id: dict[RequestId, tuple[InstanceId, RequestId]] = {}
        self.budget = RetryBudget(lambda: RetryLimits(limits.retry_fraction), clock)

    async def dispatch(self, admitted: AdmittedRequest) -> Outcome:
        """Try a request on one server after another, as far as that is safe."""
        tried: set[InstanceId] = set()
        outcome: Outcome = not_run(NO_CAPACITY)
        self.budget.record_request(admitted.service)
        for attempt in range(self._limits.attempts):
            choice = self._choose(admitted, tried)
            if choice is None:
                break
            tried.add(choice.instance)
            latest = await self._attempt(admitted, choice, attempt)
            outcome = _combine(outcome, latest)
            if not is_retryable(latest, idempotent=admitted.idempotent):
                break
        return outcome

    def cancel(self, request: RequestId) -> bool:
        """Start no further attempt of a request, and cancel the one that is under way.

        Returns
        -------
        bool
            Whether an attempt is under way; without one the request does not run any more.
        """
        self._cancelled.add(request)
        attempt = self._attempts_by_id.get(request)
        if attempt is None:
            return False
        self._cancel_attempt(*attempt)
        return True

    def discard_cancellation(self, request: RequestId) -> None:
        """Forget that a request was cancelled, after its end."""
        self._cancelled.discard(request)

    def _choose(self, admitted: AdmittedRequest, tried: set[InstanceId]) -> Choice | None:
        if tried and not self.budget.allows(admitted.service):
            return None
        choice = self._router.choose(admitted, tried)
        if tried and choice is not None:
            self.budget.record_retry(admitted.service)
        return choice

    async def _attempt(
        self,
        admitted: AdmittedRequest,
        choice: Choice,
        attempt: int,
    ) -> Outcome:
        outcome: Outcome | None = None
        try:
            outcome = await self._send_in_time(admitted, choice, attempt)
        finally:
            if outcome is None:
                self._router.record_abandoned(choice)
            else:
                self._router.record_outcome(admitted, choice, outcome)
        logger.bind(
            request=admitted.request.request,
            instance=choice.instance,
            attempt=attempt,
            outcome=type(outcome).__name__,
        ).debug('request_attempted')
        return outcome

    async def _send_in_time(
        self,
        admitted: AdmittedRequest,
        choice: Choice,
        attempt: int,
    ) -> Outcome:
        request = admitted.request.request
        if request in self._cancelled:
            return not_run(CALLER_LEFT)
        remaining = admitted.deadline - self._clock.now()
        if remaining <= 0:
            return not_run(DEADLINE_PASSED)
        if choice.probe:
            # Leaves time for another server after a probe that gets no answer.
            remaining *= _PROBE_SHARE_OF_DEADLINE
        order = self._make_order(admitted, remaining * _EXECUTION_SHARE_OF_DEADLINE, attempt)
        self._attempts_by_id[request] = (choice.instance, order.request)
        try:
            return await self._send(
                choice.instance,
                order,
                self._wait_seconds(admitted, remaining),
            )
        finally:
            self._attempts_by_id.pop(request, None)

    async def _send(self, instance: InstanceId, order: Execute, wait_seconds: float) -> Outcome:
        if instance == self._members.own.instance:
            return await self._executor.execute(order)
        try:
            answer = await self._links.request(instance, order, timeout_seconds=wait_seconds)
        except asyncio.CancelledError:
            self._cancel_attempt(instance, order.request)
            raise
        if isinstance(answer, LinkUncertain):
            self._cancel_attempt(instance, order.request)
        return _as_outcome(answer)

    def _wait_seconds(self, admitted: AdmittedRequest, remaining: float) -> float:
        # A claimed request is waited for after its deadline, when its caller has been answered:
        # a late refusal frees the key for the next try.
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
        attempt: int,
    ) -> Execute:
        request = admitted.request
        return Execute(
            # Each attempt has an id of its own, so that a late answer reaches no other attempt.
            request=RequestId(f'{request.request}-{attempt}'),
            organisation=admitted.organisation,
            key_digest=request.key_digest or KeyDigest(''),
            service=admitted.service,
            importance=admitted.importance,
            idempotent=admitted.idempotent,
            remaining_milliseconds=remaining * _MILLISECONDS,
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
            sent_at=self._wall_clock.now(),
            claim=admitted.claim,
        )


def _combine(earlier: Outcome, latest: Outcome) -> Outcome:
    # An attempt that may have run is not undone by a later one that did not.
    if isinstance(earlier, OutcomeUnknown) and isinstance(latest, NotRun):
        return earlier
    return latest


def _as_outcome(answer: Message | LinkFailure | LinkUncertain) -> Outcome:
    if isinstance(answer, Answered | NotRun | OutcomeUnknown):
        return answer
    if isinstance(answer, LinkFailure):
        return NotRun(answer.reason, answer.detail)
    if isinstance(answer, LinkUncertain):
        return OutcomeUnknown(answer.reason, answer.detail)
    return OutcomeUnknown(Reason.FRAME_TYPE_UNKNOWN, f'unexpected {type(answer).__name__}')
