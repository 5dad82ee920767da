"""Entries that nodes publish about themselves and the backend servers beside them."""

import dataclasses
import enum
import ipaddress
import math
from typing import NewType

from turmericwharf.state.identifiers import DataCentreId, InstanceId, ServiceId

ServerId = NewType('ServerId', str)
ProcessId = NewType('ProcessId', str)

# Era of the store and offset in it; ordered by era first.
LogPosition = tuple[int, int]

NO_SERVER = ServerId('')
# Position of an entry that was not read from the store.
NOT_STORED = -1
MAX_SLOTS = 65_536
MAX_ERA = 2**63 - 1
# End of the year 9999, in Unix milliseconds.
MAX_BORN = 253_402_300_799_999
_MAX_PORT = 65_535


class ServerPhase(enum.Enum):
    """Whether a backend server accepts new requests through its node."""

    ABSENT = 'absent'
    READY = 'ready'
    # The server is shutting down and never becomes ready again.
    LEAVING = 'leaving'
    # The node is stopping, has stopped or has just started; its server may be ready.
    STOPPING = 'stopping'


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncedServer:
    """Latest announcement of a backend server.

    Parameters
    ----------
    server
        Identifier of the server, which may be the same after a restart.
    born
        Start time in Unix milliseconds; distinguishes two starts with the same identifier.
    sequence
        Increases with each announcement after the same start.
    cold_seconds
        Time for which the server stays cold, from when it was sent; None if it was not reported.
    """

    server: ServerId = NO_SERVER
    service: ServiceId = ServiceId('')
    slots: int = 0
    phase: ServerPhase = ServerPhase.ABSENT
    born: int = 0
    sequence: int = 0
    cold_seconds: float | None = None

    @property
    def start(self) -> tuple[ServerId, int]:
        """Identifier and start time, which together name one start of a server."""
        return self.server, self.born


@dataclasses.dataclass(frozen=True, slots=True)
class ServerHealth:
    """Answer of a healthy backend server to a health check.

    Parameters
    ----------
    cold_seconds
        Time for which the server stays cold; None if it was not reported.
    """

    server: ServerId
    cold_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NodeEntry:
    """Description of a node that it publishes to the other nodes.

    Parameters
    ----------
    process
        Identifier that changes with each start of the node's process.
    phase
        Whether the node currently accepts requests for its server.
    revision
        Increases with each change that the process makes.
    link_megabits
        Bandwidth of the node's network link in Mbit/s; 0 if it is unknown.
    era
        Highest era of the store that the process knew when it wrote the entry; 0 if the store has
        no eras.
    cold_seconds
        Time from the publication of this entry for which the server stays cold; 0 if it is not
        cold, or if its service has no limit for cold servers.
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
    link_megabits: float = 0
    era: int = 0
    cold_seconds: float = 0

    @property
    def is_usable(self) -> bool:
        """Whether all numbers are in range and the address can be used.

        An entry in the store may come from another writer.
        """
        return all(
            (
                0 < self.peer_port <= _MAX_PORT,
                0 <= self.slots <= MAX_SLOTS,
                0 <= self.born <= MAX_BORN,
                self.revision >= 0,
                0 <= self.link_megabits < math.inf,
                0 <= self.era <= MAX_ERA,
                0 <= self.cold_seconds < math.inf,
                _is_ip_address(self.host),
            )
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StoredEntry:
    """An entry, and its position in the store's log.

    Parameters
    ----------
    position
        Offset of the record; `NOT_STORED` for an entry that was only received over a connection.
    era
        Era of the store in which the record was written. The store assigns offsets again after it
        came back from an older copy, so an offset alone names no record.
    """

    entry: NodeEntry
    position: int
    era: int = 0

    @property
    def log_position(self) -> LogPosition:
        """Era and offset, by which records of an instance are ordered."""
        return self.era, self.position


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
