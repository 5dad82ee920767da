"""Entry point of requests: validation, rate limit, attempts on servers, final outcome."""

import collections
import dataclasses

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.admission import (
    NO_ORGANISATION,
    AdmittedFleetRequest,
    RequestValidator,
)
from turmericwharf.coordination.sidecar.attempts import AttemptRunner
from turmericwharf.coordination.sidecar.quota import FleetRateLimiter
from turmericwharf.coordination.sidecar.retry_times import with_retry_time
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import (
    SHUTDOWN,
    Answered,
    NotRun,
    OrganisationId,
    Outcome,
    Reason,
    RequestFailure,
)
from turmericwharf.state.sidecar import EntryPointDump, FleetRequest

# A node that refuses an order because of a newer configuration sends that one on request.
_CONFIGURATION_WAIT_SECONDS = 0.3


class RequestEntryPoint:
    """Serves the requests of callers: clients, and the backend server on the local machine.

    Parameters
    ----------
    request_validator
        Validates requests against the configuration.
    rate_limiter
        Enforces the rates of organisations.
    attempts
        Sends admitted requests to servers.
    clock
        Clock of the node.
    """

    def __init__(
        self,
        request_validator: RequestValidator,
        rate_limiter: FleetRateLimiter,
        attempts: AttemptRunner,
        clock: Clock,
    ) -> None:
        self._request_validator = request_validator
        self._rate_limiter = rate_limiter
        self._attempts = attempts
        self._clock = clock
        self.outcomes_by_name: collections.Counter[str] = collections.Counter()
        self.in_progress = 0
        self.is_closed = False

    async def serve(self, request: FleetRequest) -> Outcome:
        """Return the outcome of a request."""
        self.in_progress += 1
        try:
            outcome = await self._serve(request)
        finally:
            self.in_progress -= 1
        self.outcomes_by_name[name_outcome(outcome)] += 1
        return outcome

    async def _serve(self, request: FleetRequest) -> Outcome:
        admitted = SHUTDOWN if self.is_closed else self._request_validator.admit(request)
        if isinstance(admitted, RequestFailure):
            refusal = NotRun(admitted.reason, admitted.detail)
            return _refuse(request, refusal, NO_ORGANISATION)
        rate_refusal = await self._rate_limiter.acquire(admitted)
        if rate_refusal is not None:
            return _refuse(request, rate_refusal, admitted.organisation)
        self._attempts.record_request(admitted)
        outcome = await self._attempts.run(admitted)
        if _is_outdated(outcome):
            admitted, outcome = await self._run_again(admitted, outcome)
        if isinstance(outcome, NotRun):
            outcome = with_retry_time(outcome, admitted.route.priority)
        logger.bind(
            request=request.request,
            route=admitted.route.route,
            service=admitted.service,
            organisation=admitted.organisation,
            version=admitted.version,
            seconds=round(self._clock.now() - admitted.admitted_at, 3),
            outcome=name_outcome(outcome),
        ).info('request_ended')
        return outcome

    async def _run_again(
        self,
        admitted: AdmittedFleetRequest,
        outcome: Outcome,
    ) -> tuple[AdmittedFleetRequest, Outcome]:
        """Admit a request again that only a newer configuration forbade, and run it.

        The refusal is final if that configuration does not arrive in time, or does not allow it.
        """
        await self._request_validator.wait_for_newer(admitted.version, _CONFIGURATION_WAIT_SECONDS)
        readmitted = self._request_validator.admit(admitted.request)
        if (
            isinstance(readmitted, RequestFailure)
            or readmitted.version <= admitted.version
            or readmitted.organisation != admitted.organisation
        ):
            return admitted, outcome
        elapsed_seconds = readmitted.admitted_at - admitted.admitted_at
        readmitted = dataclasses.replace(
            readmitted,
            admitted_at=admitted.admitted_at,
            deadline=readmitted.deadline - elapsed_seconds,
            latency_target_at=readmitted.latency_target_at - elapsed_seconds,
        )
        return readmitted, await self._attempts.run(readmitted)


def _is_outdated(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason is Reason.CONFIGURATION_OUTDATED


def _refuse(
    request: FleetRequest,
    refusal: NotRun,
    organisation: OrganisationId,
) -> NotRun:
    refusal = with_retry_time(refusal)
    logger.bind(
        request=request.request,
        reason=refusal.reason.value,
        host=request.host,
        target=request.target,
        organisation=organisation,
        retry_seconds=refusal.retry_seconds,
    ).info('request_refused')
    return refusal


def name_outcome(outcome: Outcome) -> str:
    """Return the short name of an outcome for logs and counters."""
    if isinstance(outcome, Answered):
        return f'answered_{outcome.status}'
    kind = 'not_run' if isinstance(outcome, NotRun) else 'unknown'
    return f'{kind}_{outcome.reason.value}'


@describe.register
def _(entry_point: RequestEntryPoint) -> EntryPointDump:
    return EntryPointDump(
        in_progress=entry_point.in_progress, outcomes_total=dict(entry_point.outcomes_by_name)
    )
