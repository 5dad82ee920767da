"""Checks a client's request and says who it runs for, where and until when."""

import dataclasses

from turmericwharf.coordination.ports import Clock
from turmericwharf.coordination.sidecar.configuration_holder import ConfigurationHolder
from turmericwharf.coordination.sidecar.routes import choose_service
from turmericwharf.state import (
    KEY_MISSING,
    KEY_UNKNOWN,
    NO_CAPACITY,
    NOT_READY,
    ROUTE_UNKNOWN,
    OrganisationId,
    RequestFailure,
    ServiceId,
)
from turmericwharf.state.sidecar import FleetRequest, OrganisationRule, RouteRule

NO_ORGANISATION = OrganisationId('')
# A server's own call holds up the request that it serves, so it goes before all client requests.
_CALL_RANK = 1_000
_HASTE_STEPS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class FleetAdmission:
    """A request that passed the checks of the configuration.

    Parameters
    ----------
    rank
        Order in queues; higher goes first.
    deadline, target_at
        Moments on the node's clock: the final answer is due, and an answer is worth less.
    version
        Configuration by which the request was checked.
    """

    request: FleetRequest
    route: RouteRule
    service: ServiceId
    organisation: OrganisationId
    rank: int
    admitted_at: float
    deadline: float
    target_at: float
    version: int

    @property
    def is_server_call(self) -> bool:
        """Whether a server made the request while it runs another one."""
        return self.organisation == NO_ORGANISATION


class RequestChecks:
    """Checks requests against the configuration in force.

    Parameters
    ----------
    holder
        Configuration in force.
    clock
        Clock of the node.
    """

    def __init__(self, holder: ConfigurationHolder, clock: Clock) -> None:
        self._holder = holder
        self._clock = clock

    def admit(self, request: FleetRequest) -> FleetAdmission | RequestFailure:
        """Return the admitted request, or why it is refused."""
        if not self._holder.is_known:
            return NOT_READY
        route = self._holder.routes.find(request.host, request.target)
        if route is None:
            return ROUTE_UNKNOWN
        organisation = self.find_organisation(request, route)
        if isinstance(organisation, RequestFailure):
            return organisation
        service = choose_service(route.destinations)
        if service is None:
            return NO_CAPACITY
        return self._make_admission(request, route, service, organisation)

    def find_organisation(
        self,
        request: FleetRequest,
        route: RouteRule,
    ) -> OrganisationRule | RequestFailure | None:
        """Return the organisation of a request, None if it needs none, or why it is refused."""
        if route.public or not self._holder.current.has_organisations:
            return None
        if request.key_digest is None:
            return KEY_MISSING
        return self._holder.find_organisation(request.key_digest) or KEY_UNKNOWN

    def _make_admission(
        self,
        request: FleetRequest,
        route: RouteRule,
        service: ServiceId,
        organisation: OrganisationRule | None,
    ) -> FleetAdmission:
        now = self._clock.now()
        remaining = route.timeout_seconds
        if request.remaining_seconds is not None:
            remaining = min(remaining, request.remaining_seconds)
        return FleetAdmission(
            request=request,
            route=route,
            service=service,
            organisation=NO_ORGANISATION if organisation is None else organisation.organisation,
            rank=_rank(route, organisation),
            admitted_at=now,
            deadline=now + remaining,
            target_at=now + min(route.target_seconds, remaining),
            version=self._holder.version,
        )


def _rank(route: RouteRule, organisation: OrganisationRule | None) -> int:
    if organisation is None:
        return _CALL_RANK - route.priority
    priority = route.priority if organisation.priority is None else organisation.priority
    # Among equals, the request that becomes late first goes first.
    haste = round(_HASTE_STEPS / (1 + route.target_seconds))
    return haste - (_HASTE_STEPS + 1) * priority
