"""State of a sidecar node, for the state dump and the metrics."""

import dataclasses
from collections.abc import Mapping

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
class MemoryBudgetDump:
    """Memory held for connections in bytes, and the connections that were refused or released.

    Parameters
    ----------
    capacity_bytes
        What all connections may hold together; 0 if there is no limit.
    """

    held_bytes: int
    capacity_bytes: int
    holdings: int
    refusals_total: Mapping[str, int]
    releases_total: Mapping[str, int]
