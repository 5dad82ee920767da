"""Requests at the entry node: authentication, route matching, rate limits, claims, dispatch."""

import asyncio
import dataclasses

from turmericwharf.coordination.claims.claims import ClaimClient, content_digest_of, fingerprint_of
from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.routing.dispatching import Dispatcher
from turmericwharf.coordination.execution.execution import not_run
from turmericwharf.coordination.execution.pause_detector import PauseDetector
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.rates.rate_limits import RateLimiter
from turmericwharf.coordination.membership.standing import Standing
from turmericwharf.state import (
    ALREADY_RUN,
    CLAIM_IN_PROGRESS,
    CLAIM_LOG_UNAVAILABLE,
    DEADLINE_PASSED,
    IDEMPOTENCY_KEY_REUSED,
    KEY_MISPLACED,
    KEY_MISSING,
    KEY_UNKNOWN,
    KEY_WITHDRAWN,
    NO_STANDING,
    NOT_READY,
    RATE_EXCEEDED,
    ROUTE_INTERNAL,
    ROUTE_UNKNOWN,
    AdmittedRequest,
    Audience,
    CallerRequest,
    ClaimFailed,
    ClaimGranted,
    ClaimId,
    ClaimReference,
    ClaimTaken,
    NotRun,
    Organisation,
    Outcome,
    OutcomeUnknown,
    Reason,
    RequestFailure,
    Route,
    ExecutionSemantics,
    new_identifier,
)

_MILLISECONDS_PER_SECOND = 1000
_MAX_CLAIM_ATTEMPTS = 3
_CLAIM_IN_PROGRESS_OUTCOME = not_run(CLAIM_IN_PROGRESS)
_CLAIM_RELEASED = NotRun(
    Reason.CLAIM_RELEASED, 'the claim that held the idempotency key was released'
)


class EntryService:
    """Handles callers' requests from admission to the outcome."""

    def __init__(
        self,
        *,
        control_log: ControlLog,
        standing: Standing,
        limiter: RateLimiter,
        claims: ClaimClient,
        dispatcher: Dispatcher,
        clock: Clock,
    ) -> None:
        self._control_log = control_log
        self._standing = standing
        self._limiter = limiter
        self._claims = claims
        self._dispatcher = dispatcher
        self.pause_detector = PauseDetector(clock)
        self._clock = clock
        self._detached_tasks: set[asyncio.Task[Outcome]] = set()

    @property
    def in_progress(self) -> int:
        """Number of requests with an idempotency key in progress, also after the caller left."""
        return len(self._detached_tasks)

    @property
    def is_ready(self) -> bool:
        """Whether the node has loaded a configuration and has standing."""
        return self._control_log.is_ready and self._standing.has_standing

    async def serve(self, request: CallerRequest) -> Outcome:
        """Run a caller's request, or return the reason why it was rejected."""
        # A pause of the process may have delayed the request, so the earliest possible arrival
        # time counts.
        received_at = self.pause_detector.earliest_arrival()
        organisation = self._authenticate(request)
        if isinstance(organisation, RequestFailure):
            return not_run(organisation)
        route = self._control_log.routes.find(request.method, request.target)
        if route is None:
            return not_run(ROUTE_UNKNOWN)
        if route.audience is Audience.SERVICES and not request.from_service:
            return not_run(ROUTE_INTERNAL)
        if not await self._limiter.admit(organisation):
            return not_run(RATE_EXCEEDED)
        return await self.serve_admitted(self._admit(request, organisation, route, received_at))

    async def serve_admitted(self, admitted: AdmittedRequest) -> Outcome:
        """Run an admitted request, under a claim if it must run at most once."""
        idempotency_key = admitted.request.idempotency_key
        if idempotency_key is None or admitted.idempotent:
            return await self._dispatcher.dispatch(admitted)
        return await self._serve_detached(admitted)

    def _authenticate(self, request: CallerRequest) -> Organisation | RequestFailure:
        rejection = self._find_rejection(request)
        if rejection is not None:
            return rejection
        configuration = self._control_log.configuration
        if request.key_digest is None:
            return KEY_MISSING
        key = configuration.keys_by_digest.get(request.key_digest)
        if key is None:
            return KEY_UNKNOWN
        if key.withdrawn:
            return KEY_WITHDRAWN
        return configuration.organisations_by_id.get(key.organisation) or KEY_UNKNOWN

    def _find_rejection(self, request: CallerRequest) -> RequestFailure | None:
        checks = (
            (not self._control_log.is_ready, NOT_READY),
            (not self._standing.has_standing, NO_STANDING),
            (request.key_misplaced, KEY_MISPLACED),
        )
        return next((failure for failed, failure in checks if failed), None)

    def _admit(
        self,
        request: CallerRequest,
        organisation: Organisation,
        route: Route,
        received_at: float,
    ) -> AdmittedRequest:
        work_class = self._control_log.configuration.classes_by_id[route.work_class]
        allowed_milliseconds = float(work_class.answer_within_milliseconds)
        if request.remaining_milliseconds is not None:
            allowed_milliseconds = min(allowed_milliseconds, request.remaining_milliseconds)
        return AdmittedRequest(
            request=request,
            organisation=organisation.organisation,
            route=route.route,
            service=route.service,
            importance=work_class.importance,
            idempotent=ExecutionSemantics.AT_MOST_ONCE not in {work_class.run, request.run},
            deadline=received_at + allowed_milliseconds / _MILLISECONDS_PER_SECOND,
            target_seconds=work_class.answer_within_milliseconds / _MILLISECONDS_PER_SECOND,
        )

    async def _serve_detached(self, admitted: AdmittedRequest) -> Outcome:
        # The task continues after the caller disconnects or the deadline expires, so that a late
        # rejection still releases the claim.
        request = admitted.request.request
        serving_task = asyncio.create_task(self._serve_claimed(admitted))
        self._detached_tasks.add(serving_task)
        serving_task.add_done_callback(self._detached_tasks.discard)
        serving_task.add_done_callback(lambda _: self._dispatcher.discard_cancellation(request))
        try:
            async with asyncio.timeout(admitted.deadline - self._clock.now()):
                return await asyncio.shield(serving_task)
        except TimeoutError:
            # Cancelling prevents an attempt that has not been sent yet from being sent.
            if self._dispatcher.cancel(request):
                return OutcomeUnknown(
                    Reason.ANSWER_TIMEOUT, 'no answer was received before the deadline'
                )
            return not_run(DEADLINE_PASSED)
        except asyncio.CancelledError:
            self._dispatcher.cancel(request)
            raise

    async def _serve_claimed(self, admitted: AdmittedRequest) -> Outcome:
        key = admitted.request.idempotency_key or ''
        fingerprint = fingerprint_of(admitted.organisation, admitted.route, key)
        outcome: Outcome = not_run(CLAIM_IN_PROGRESS)
        for _attempt in range(_MAX_CLAIM_ATTEMPTS):
            claim = ClaimReference(fingerprint, ClaimId(new_identifier()))
            remaining = admitted.deadline - self._clock.now()
            answer = await self._claims.claim(claim, content_digest_of(admitted.request), remaining)
            if isinstance(answer, ClaimGranted):
                return await self._run_claimed(admitted, claim)
            if isinstance(answer, ClaimFailed):
                return not_run(CLAIM_LOG_UNAVAILABLE)
            outcome = await self._resolve_existing_claim(admitted, fingerprint, answer)
            if outcome != _CLAIM_RELEASED:
                break
        return outcome

    async def _run_claimed(self, admitted: AdmittedRequest, claim: ClaimReference) -> Outcome:
        outcome = await self._dispatcher.dispatch(dataclasses.replace(admitted, claim=claim))
        if isinstance(outcome, NotRun):
            self._claims.release(claim)
        return outcome

    async def _resolve_existing_claim(
        self,
        admitted: AdmittedRequest,
        fingerprint: str,
        existing: ClaimTaken,
    ) -> Outcome:
        """Return the outcome for a request whose key an earlier one claimed.

        Only the earlier request may run, or have run.
        """
        if existing.content != content_digest_of(admitted.request):
            return not_run(IDEMPOTENCY_KEY_REUSED)
        answer: ClaimTaken | ClaimFailed = existing
        if existing.status is None:
            remaining = admitted.deadline - self._clock.now()
            answer = await self._claims.wait_for_outcome(fingerprint, remaining)
        if isinstance(answer, ClaimFailed):
            return (
                _CLAIM_RELEASED
                if answer.reason is Reason.CLAIM_RELEASED
                else _CLAIM_IN_PROGRESS_OUTCOME
            )
        if answer.status is None:
            return _CLAIM_IN_PROGRESS_OUTCOME
        return await self._claims.fetch_answer(answer) or not_run(ALREADY_RUN)
