"""Settings of a node that runs beside one backend server."""

import dataclasses

from turmericwharf.state.identifiers import DataCentreId, InstanceId, ServiceId
from turmericwharf.state.memory import MachineLimits


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarListen:
    """Listen addresses for clients, readiness checks, announcements, peers and metrics."""

    clients: Address
    readiness: Address
    announcements: Address
    peers: Address
    operators: Address


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarBounds:
    """Limits that the operators guarantee for the whole fleet.

    Parameters
    ----------
    retry_ratio, retry_extra, retry_window_seconds
        Maximum number of retries of requests to a service in a window of `retry_window_seconds`:
        `retry_ratio` times its requests, plus `retry_extra`.
    grace_seconds
        Time between the stop signal and the forced termination of the process.
    rate_window_seconds, rate_overage, rate_slack
        Requests that an organisation may run beyond its rate and burst in a window of
        `rate_window_seconds`: the share `rate_overage` of what they allow, plus `rate_slack`.
    configuration_seconds
        Time within which a published configuration must be in force at all nodes.
    cold_overage, cold_slack
        Requests that may reach a server in any second while it is cold: `cold_overage` times the
        rate of its service for cold servers, plus `cold_slack`. Both are 0 if there is no bound.
    evacuation_seconds
        Time within which no request reaches a server of an evacuated data centre any more.
    """

    retry_ratio: float
    retry_extra: float
    retry_window_seconds: float
    grace_seconds: float
    rate_window_seconds: float
    rate_overage: float
    rate_slack: float
    configuration_seconds: float = 2
    cold_overage: float = 0
    cold_slack: float = 0
    evacuation_seconds: float = 5


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Location of the store."""

    address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLimits:
    """Limits on the responses of the backend server, in bytes.

    A response beyond a limit is cut, and its outcome is unknown.

    Parameters
    ----------
    body_bytes
        Maximum size of the body of one response.
    total_bytes
        Maximum size of the bodies of all responses that are being read at the same time.
    """

    body_bytes: int = 8_388_608
    total_bytes: int = 33_554_432


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Settings of one node.

    Parameters
    ----------
    service
        Service of the backend server beside the node.
    link_megabits
        Bandwidth of the machine's network link in Mbit/s; 0 if it is unknown.
    machine
        Limits of the machine on memory and descriptors.
    """

    instance: InstanceId
    data_centre: DataCentreId
    service: ServiceId
    server: Address
    listen: SidecarListen
    store: StoreSettings
    bounds: SidecarBounds
    responses: ResponseLimits = ResponseLimits()
    link_megabits: float = 0
    machine: MachineLimits = MachineLimits()
