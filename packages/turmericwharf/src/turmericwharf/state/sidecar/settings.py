"""Settings of a node that runs beside one backend server."""

import dataclasses

from turmericwharf.state.identifiers import DataCentreId, InstanceId, ServiceId


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarListen:
    """Where a node listens: for clients, readiness checks, announcements, peers and metrics."""

    clients: Address
    readiness: Address
    announcements: Address
    peers: Address
    operators: Address


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarBounds:
    """Bounds that the operators promise for the whole fleet.

    Parameters
    ----------
    retry_ratio, retry_extra, retry_window_seconds
        Most repeats of requests to a service over its requests, and beyond that, in a window of
        this length.
    grace_seconds
        Time from the signal to stop until the process is killed.
    rate_window_seconds, rate_overage, rate_slack
        In a window of this length an organisation may run this share of its rate and burst, and
        this many requests, more than they allow.
    """

    retry_ratio: float
    retry_extra: float
    retry_window_seconds: float
    grace_seconds: float
    rate_window_seconds: float
    rate_overage: float
    rate_slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSettings:
    """Where the store is and what it takes."""

    address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarSettings:
    """Settings of one node.

    Parameters
    ----------
    service
        Service of the backend server beside the node.
    """

    instance: InstanceId
    data_centre: DataCentreId
    service: ServiceId
    server: Address
    listen: SidecarListen
    store: StoreSettings
    bounds: SidecarBounds
