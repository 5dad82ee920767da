"""Serves lookups that a backend server sends to other services through its own node."""

import dataclasses

from turmericwharf.coordination.routing.admission import EntryService
from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.execution.execution import Executor, not_run
from turmericwharf.coordination.ports import Clock
from turmericwharf.coordination.membership.standing import Standing
from turmericwharf.state import (
    DEADLINE_PASSED,
    KEY_MISPLACED,
    NO_STANDING,
    NOT_READY,
    ROUTE_INTERNAL,
    ROUTE_UNKNOWN,
    AdmittedRequest,
    Audience,
    CallerRequest,
    Importance,
    OrganisationId,
    Outcome,
    RequestFailure,
    Route,
    RunTarget,
)

_MILLISECONDS = 1000
_NO_ORGANISATION = OrganisationId('')


@dataclasses.dataclass(frozen=True, slots=True)
class _Origin:
    """For whom a lookup runs, and until when."""

    organisation: OrganisationId
    importance: Importance
    deadline: float


class LookupService:
    """Runs lookups for the request that they serve; the rate is charged to that request only.

    A lookup that names a request in progress on the own backend server inherits its
    organisation, importance and deadline. Any other lookup runs as background work for no
    organisation, on routes between services only.
    """

    def __init__(
        self,
        *,
        control_log: ControlLog,
        standing: Standing,
        executor: Executor,
        entry: EntryService,
        clock: Clock,
    ) -> None:
        self._control_log = control_log
        self._standing = standing
        self._executor = executor
        self._entry = entry
        self._clock = clock

    async def serve(self, request: CallerRequest) -> Outcome:
        """Run a lookup, or refuse it with the reason."""
        route = self._control_log.routes.find(request.method, request.target)
        if route is None:
            return not_run(ROUTE_UNKNOWN)
        origin = self._find_origin(request)
        refusal = self._refusal(request, route, origin)
        if refusal is not None:
            return not_run(refusal)
        return await self._entry.serve_admitted(self._admit(request, route, origin))

    def _find_origin(self, request: CallerRequest) -> _Origin | None:
        if request.serves is None:
            return None
        served = self._executor.find_in_progress(request.serves)
        if served is None:
            return None
        order = served.order
        return _Origin(order.organisation, order.importance, served.deadline)

    def _refusal(
        self,
        request: CallerRequest,
        route: Route,
        origin: _Origin | None,
    ) -> RequestFailure | None:
        is_open = route.audience is Audience.OPEN
        checks = (
            (not self._control_log.is_ready, NOT_READY),
            (is_open and not self._standing.has_standing, NO_STANDING),
            (request.key_misplaced, KEY_MISPLACED),
            (is_open and (origin is None or not origin.organisation), ROUTE_INTERNAL),
            (origin is not None and origin.deadline <= self._clock.now(), DEADLINE_PASSED),
        )
        return next((failure for failed, failure in checks if failed), None)

    def _admit(
        self,
        request: CallerRequest,
        route: Route,
        origin: _Origin | None,
    ) -> AdmittedRequest:
        work_class = self._control_log.configuration.classes_by_id[route.work_class]
        target_seconds = work_class.answer_within_milliseconds / _MILLISECONDS
        now = self._clock.now()
        allowed = target_seconds
        if request.remaining_milliseconds is not None:
            allowed = min(allowed, request.remaining_milliseconds / _MILLISECONDS)
        if origin is None:
            origin = _Origin(_NO_ORGANISATION, Importance.BACKGROUND, now + allowed)
        return AdmittedRequest(
            # The server has no key, and a key that it sends counts for nothing.
            request=dataclasses.replace(request, key_digest=None),
            organisation=origin.organisation,
            route=route.route,
            service=route.service,
            importance=origin.importance,
            idempotent=RunTarget.AT_MOST_ONCE not in {work_class.run, request.run},
            deadline=min(origin.deadline, now + allowed),
            target_seconds=target_seconds,
        )
