"""State of a sidecar node, for the state dump and the metrics."""

import dataclasses
from collections.abc import Mapping

from turmericwharf.state.sidecar.evacuations import Evacuation
from turmericwharf.state.identifiers import InstanceId, RouteId
from turmericwharf.state.sidecar.nodes import AnnouncedServer, NodeEntry


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryDump:
    """Known nodes, and the number of those that are avoided because they are suspected."""

    nodes: tuple[NodeEntry, ...]
    known_nodes: int
    suspected_nodes: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationHolderDump:
    """The configuration in force."""

    version: int
    routes: int
    organisations: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServerGateDump:
    """Requests at the server beside the node, and whether its circuit breaker is open.

    Parameters
    ----------
    share_by_route
        Share of the slot time of the last seconds that each route used.
    """

    running: int
    waiting: int
    orders_in_progress: int
    breaker_open: bool
    share_by_route: Mapping[RouteId, float]


@dataclasses.dataclass(frozen=True, slots=True)
class ColdStartDump:
    """Whether the server beside the node counts as cold, and orders that its permit held back.

    Parameters
    ----------
    is_limited
        Whether the service of the server has a limit for cold servers.
    is_cold
        Whether the server counts as cold; False if it is not limited.
    waiting
        Orders that have a slot and wait for the permit.
    refused_total
        Orders refused since the process started because the permit would come too late.
    """

    is_limited: bool
    is_cold: bool
    waiting: int
    refused_total: int


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsDump:
    """Evacuated data centres, and whether this process knows those of the store or the fleet."""

    is_known: bool
    evacuated: int
    evacuations: tuple[Evacuation, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRecordDump:
    """Recorded state of the server beside the node."""

    server: AnnouncedServer


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPointDump:
    """Requests of the clients on the local machine."""

    in_progress: int
    outcomes_total: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class TopicFollowerDump:
    """Whether the node currently reads a topic of the store, and the era of the last page."""

    is_connected: bool
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StartupKnowledgeDump:
    """What the process has learned since it started."""

    knows_fleet: bool
    knows_predecessor: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StartupInquiryDump:
    """Whether other nodes were asked at the start, and whether a configuration waits for that."""

    has_asked_peers: bool
    holds_configuration: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StoreEraDump:
    """Highest known era of the store, and how often the process has learned of a higher one."""

    current: int
    rises_total: int


@dataclasses.dataclass(frozen=True, slots=True)
class RemotePlacementDump:
    """Requests that found no free server in the local data centre, by route.

    Parameters
    ----------
    leaving_fraction
        Fraction of these requests that currently leave the data centre.
    left_total, stayed_total
        Requests that left, and requests that waited in the local data centre.
    """

    leaving_fraction: Mapping[RouteId, float]
    left_total: Mapping[RouteId, int]
    stayed_total: Mapping[RouteId, int]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreSourceDump:
    """Where the node gets the contents of the store from."""

    state: str
    followed: InstanceId | None
    changes_total: int


@dataclasses.dataclass(frozen=True, slots=True)
class SilentNodesDump:
    """Nodes that are not followed since they did not answer."""

    silent: tuple[InstanceId, ...]
    silences_total: int
