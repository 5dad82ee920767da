"""Validates requests against the configuration; derives service, queue priority and deadline."""

import dataclasses
import re

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.routes import choose_service
from turmericwharf.state import (
    KEY_MISSING,
    KEY_UNKNOWN,
    NO_CAPACITY,
    NOT_READY,
    REQUEST_ID_INVALID,
    ROUTE_UNKNOWN,
    OrganisationId,
    RequestFailure,
    ServiceId,
)
from turmericwharf.state.sidecar import FleetRequest, OrganisationRule, RouteRule

NO_ORGANISATION = OrganisationId('')
# A call from a backend server blocks the request that the server is processing, so it precedes all
# requests of organisations. Requests of public routes, and all requests while the configuration has
# no organisations, are ranked in the same way, since they have no organisation either.
_NO_ORGANISATION_PRIORITY = 1_000
# A request is known by its identifier when it is sent again, and its response when it arrives. So a
# missing one would mix up requests, and one that a server does not return unchanged would make each
# server that it reaches look faulty.
_VALID_ID = re.compile('[!-~]{1,256}')
# Smaller than the distance between two priorities, so urgency orders requests only within one.
_MAX_URGENCY = 20


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedFleetRequest:
    """A request that passed validation against the configuration.

    Parameters
    ----------
    queue_priority
        Priority in the queue of the server, which serves higher values first. `WorkOrder` carries
        it as `rank`.
    deadline, latency_target_at
        Times on the node's clock: when the final answer is due, and when the latency target of
        the route is reached, after which an answer is worth less.
    version
        Configuration version that the request was validated against.
    """

    request: FleetRequest
    route: RouteRule
    service: ServiceId
    organisation: OrganisationId
    queue_priority: int
    admitted_at: float
    deadline: float
    latency_target_at: float
    version: int

    @property
    def has_no_organisation(self) -> bool:
        """Whether the request is exempt from API keys and rates.

        True for calls that a backend server sends while it processes another request, for public
        routes, and for all requests if the configuration has no organisations.
        """
        return self.organisation == NO_ORGANISATION


class RequestValidator:
    """Validates requests against the current configuration.

    Parameters
    ----------
    configuration
        Configuration in force.
    clock
        Clock of the node.
    """

    def __init__(self, configuration: ActiveConfiguration, clock: Clock) -> None:
        self._configuration = configuration
        self._clock = clock

    def admit(self, request: FleetRequest) -> AdmittedFleetRequest | RequestFailure:
        """Return the admitted request, or the reason for refusing it."""
        if not self._configuration.is_known:
            return NOT_READY
        if _VALID_ID.fullmatch(request.request) is None:
            return REQUEST_ID_INVALID
        route = self._configuration.routes.find(request.host, request.target)
        if route is None:
            return ROUTE_UNKNOWN
        organisation = self.find_organisation(request, route)
        if isinstance(organisation, RequestFailure):
            return organisation
        service = choose_service(route.destinations)
        if service is None:
            return NO_CAPACITY
        return self._build_admission(request, route, service, organisation)

    async def wait_for_newer(self, version: int, timeout_seconds: float) -> None:
        """Wait until a configuration above the given version is in force, or until the timeout."""
        await self._configuration.wait_for_newer(version, timeout_seconds)

    def find_organisation(
        self,
        request: FleetRequest,
        route: RouteRule,
    ) -> OrganisationRule | RequestFailure | None:
        """Return the organisation of a request, or the reason for refusing the request.

        Returns None if the request needs no organisation.
        """
        if route.public or not self._configuration.current.has_organisations:
            return None
        if request.key_digest is None:
            return KEY_MISSING
        return self._configuration.find_organisation(request.key_digest) or KEY_UNKNOWN

    def _build_admission(
        self,
        request: FleetRequest,
        route: RouteRule,
        service: ServiceId,
        organisation: OrganisationRule | None,
    ) -> AdmittedFleetRequest:
        now = self._clock.now()
        remaining = route.timeout_seconds
        if request.remaining_seconds is not None:
            remaining = min(remaining, request.remaining_seconds)
        return AdmittedFleetRequest(
            request=request,
            route=route,
            service=service,
            organisation=NO_ORGANISATION if organisation is None else organisation.organisation,
            queue_priority=_queue_priority(route, organisation),
            admitted_at=now,
            deadline=now + remaining,
            latency_target_at=now + min(route.target_seconds, remaining),
            version=self._configuration.version,
        )


def _queue_priority(route: RouteRule, organisation: OrganisationRule | None) -> int:
    if organisation is None:
        return _NO_ORGANISATION_PRIORITY - route.priority
    priority = route.priority if organisation.priority is None else organisation.priority
    # Lower configured priorities come first; within one, requests with shorter latency targets do.
    urgency = round(_MAX_URGENCY / (1 + route.target_seconds))
    return urgency - (_MAX_URGENCY + 1) * priority
