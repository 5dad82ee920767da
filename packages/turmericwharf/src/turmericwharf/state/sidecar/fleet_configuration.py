"""The configuration of a fleet, which is published as complete versions."""

import dataclasses
from collections.abc import Mapping

from turmericwharf.state.identifiers import KeyDigest, OrganisationId, RouteId, ServiceId

NO_FLEET_VERSION = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service, and its share of the requests of a route relative to the other destinations."""

    service: ServiceId
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRule:
    """Rule by which requests of one host and path prefix are served.

    Parameters
    ----------
    attempts
        Maximum number of servers that one request may reach.
    timeout_seconds
        Time after which the caller gets a final answer.
    target_seconds
        Latency target; an answer before this time has its full value.
    priority
        Priority among routes; 0 is the highest.
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
    """An organisation, with its API keys and its rate.

    Parameters
    ----------
    rate_per_second, burst
        Rate in requests per second and burst in requests; both are 0 if the organisation has no
        limit.
    priority
        Priority that replaces that of the route; None if the priority of the route applies.
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
    """Limits on what a client may send, in bytes, and on the time that it may take, in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 67_108_864
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdLimit:
    """What a cold server of a service can take.

    Parameters
    ----------
    start_seconds
        Time after its start for which a server is cold.
    requests_per_second
        Requests that a cold server takes per second; above 0.
    """

    start_seconds: float
    requests_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class FleetConfiguration:
    """One version of the complete configuration.

    Parameters
    ----------
    cold_limits_by_service
        Limits for cold servers; a service without one has no limit.
    """

    version: int = NO_FLEET_VERSION
    routes: tuple[RouteRule, ...] = ()
    health_paths_by_service: Mapping[ServiceId, str] = dataclasses.field(default_factory=dict)
    organisations_by_id: Mapping[OrganisationId, OrganisationRule] = dataclasses.field(
        default_factory=dict,
    )
    has_organisations: bool = False
    limits: ClientLimits = ClientLimits()
    cold_limits_by_service: Mapping[ServiceId, ColdLimit] = dataclasses.field(default_factory=dict)
