"""State of a sidecar node, for the state dump and the metrics."""

import dataclasses
from collections.abc import Mapping

from turmericwharf.state.identifiers import RouteId
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
    """Requests at the server beside the node, and whether its circuit breaker is open."""

    running: int
    waiting: int
    orders_in_progress: int
    breaker_open: bool


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
    """Whether the node currently reads a topic of the store."""

    is_connected: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StartupKnowledgeDump:
    """What the process has learned since it started."""

    knows_fleet: bool
    knows_predecessor: bool


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
