"""The configuration of a fleet that is published in whole versions."""

import dataclasses
from collections.abc import Mapping

from turmericwharf.state.identifiers import KeyDigest, OrganisationId, RouteId, ServiceId

NO_FLEET_VERSION = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service and its share of the requests of a route, relative to the other shares."""

    service: ServiceId
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRule:
    """Requests of one host and path prefix, and how they may be served.

    Parameters
    ----------
    attempts
        Most servers that one request may reach.
    timeout_seconds
        Time after which the caller gets a final answer.
    target_seconds
        Time within which an answer is as good as it can be.
    priority
        Rank among routes; 0 is the highest.
    """

    route: RouteId
    host: str
    path_prefix: str
    destinations: tuple[Destination, ...]
    idempotent: bool
    public: bool
    attempts: int
    timeout_seconds: float
    target_seconds: float
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class OrganisationRule:
    """An organisation with its keys and its rate.

    Parameters
    ----------
    rate_per_second, burst
        Requests a second and requests; both 0 if the organisation has no limit.
    priority
        Rank that goes before the rank of the route; None if the route decides.
    """

    organisation: OrganisationId
    key_digests: tuple[KeyDigest, ...]
    rate_per_second: float
    burst: float
    priority: int | None = None

    @property
    def is_limited(self) -> bool:
        """Whether the organisation has a rate."""
        return self.rate_per_second > 0


@dataclasses.dataclass(frozen=True, slots=True)
class ClientLimits:
    """What a client may send, in bytes, and how long it may take, in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One version of all rules."""

    version: int = NO_FLEET_VERSION
    routes: tuple[RouteRule, ...] = ()
    health_paths_by_service: Mapping[ServiceId, str] = dataclasses.field(default_factory=dict)
    organisations_by_id: Mapping[OrganisationId, OrganisationRule] = dataclasses.field(
        default_factory=dict,
    )
    has_organisations: bool = False
    limits: ClientLimits = ClientLimits()
