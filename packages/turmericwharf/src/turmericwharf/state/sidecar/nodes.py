"""What a node publishes about itself and the backend server beside it."""

import dataclasses
import enum
from typing import NewType

from turmericwharf.state.identifiers import DataCentreId, InstanceId, ServiceId

ServerId = NewType('ServerId', str)
ProcessId = NewType('ProcessId', str)

NO_SERVER = ServerId('')
# Position of an entry that does not come from the store.
NOT_STORED = -1


class ServerPhase(enum.Enum):
    """Whether a backend server takes new work through its node."""

    ABSENT = 'absent'
    READY = 'ready'
    # The server leaves and never becomes ready again.
    LEAVING = 'leaving'
    # The node has stopped or just started; its server may be ready.
    STOPPING = 'stopping'


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncedServer:
    """A backend server as it announced itself.

    Parameters
    ----------
    server
        Identifier of the server; it may keep it over a restart.
    born
        Unix milliseconds of its start; tells two starts under one identifier apart.
    sequence
        Grows with each announcement of one start.
    """

    server: ServerId = NO_SERVER
    service: ServiceId = ServiceId('')
    slots: int = 0
    phase: ServerPhase = ServerPhase.ABSENT
    born: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NodeEntry:
    """A node as the other nodes know it.

    Parameters
    ----------
    process
        Changes with each start of the node's process.
    phase
        Whether the node takes work for its server now.
    revision
        Grows with each change that the process makes.
    """

    instance: InstanceId
    process: ProcessId
    host: str
    peer_port: int
    data_centre: DataCentreId
    server: ServerId
    service: ServiceId
    slots: int
    phase: ServerPhase
    born: int = 0
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredEntry:
    """An entry, and where the store's log has it.

    Parameters
    ----------
    position
        Offset of the record, `NOT_STORED` for an entry that only a connection told.
    """

    entry: NodeEntry
    position: int
