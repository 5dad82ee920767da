"""Handling of lookups that a backend server sends to other services through the local node."""

import dataclasses

from turmericwharf.coordination.routing.entry_service import EntryService
from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.execution.execution import Executor, not_run
from turmericwharf.coordination.clock import Clock
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
    ExecutionSemantics,
)

_MILLISECONDS_PER_SECOND = 1000
_NO_ORGANISATION = OrganisationId('')


@dataclasses.dataclass(frozen=True, slots=True)
class _Origin:
    """Organisation, importance and deadline that a lookup inherits."""

    organisation: OrganisationId
    importance: Importance
    deadline: float


class LookupService:
    """Runs lookups on behalf of the requests that they serve.

    A lookup that names a request in progress on the local backend server inherits its
    organisation, importance and deadline. Any other lookup runs as background work without an
    organisation, and only on internal routes between services. Lookups are not rate limited; only
    the original request counts towards the rate.
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
        """Run a lookup, or return the reason why it was rejected."""
        route = self._control_log.routes.find(request.method, request.target)
        if route is None:
            return not_run(ROUTE_UNKNOWN)
        origin = self._find_origin(request)
        rejection = self._find_rejection(request, route, origin)
        if rejection is not None:
            return not_run(rejection)
        return await self._entry.serve_admitted(self._admit(request, route, origin))

    def _find_origin(self, request: CallerRequest) -> _Origin | None:
        if request.serves is None:
            return None
        served = self._executor.find_in_progress(request.serves)
        if served is None:
            return None
        order = served.order
        return _Origin(order.organisation, order.importance, served.deadline)

    def _find_rejection(
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
            # A route open to callers is served only for a request in progress of an organisation.
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
        target_seconds = work_class.answer_within_milliseconds / _MILLISECONDS_PER_SECOND
        now = self._clock.now()
        allowed_seconds = target_seconds
        if request.remaining_milliseconds is not None:
            allowed_seconds = min(
                allowed_seconds, request.remaining_milliseconds / _MILLISECONDS_PER_SECOND
            )
        if origin is None:
            origin = _Origin(_NO_ORGANISATION, Importance.BACKGROUND, now + allowed_seconds)
        return AdmittedRequest(
            # A backend server has no API key of its own; a key that it sends is ignored.
            request=dataclasses.replace(request, key_digest=None),
            organisation=origin.organisation,
            route=route.route,
            service=route.service,
            importance=origin.importance,
            idempotent=ExecutionSemantics.AT_MOST_ONCE not in {work_class.run, request.run},
            deadline=min(origin.deadline, now + allowed_seconds),
            target_seconds=target_seconds,
        )
