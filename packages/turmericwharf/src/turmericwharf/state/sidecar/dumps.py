"""What a sidecar node believes, for the state dump and the metrics."""

import dataclasses
from collections.abc import Mapping

from turmericwharf.state.sidecar.nodes import AnnouncedServer, NodeEntry


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryDump:
    """Known nodes, and those that are left out for now."""

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
    """Work at the server beside the node."""

    running: int
    waiting: int
    orders_in_progress: int
    breaker_open: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRecordDump:
    """The server beside the node."""

    server: AnnouncedServer


@dataclasses.dataclass(frozen=True, slots=True)
class EntryPointDump:
    """Requests of the clients on the own machine."""

    in_progress: int
    outcomes_total: Mapping[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class TopicFollowerDump:
    """Whether a topic of the store is read."""

    is_connected: bool
