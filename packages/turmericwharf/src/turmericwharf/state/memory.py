"""Memory and connections that a process may use, and what a connection holds of them."""

import dataclasses
from collections.abc import Mapping


@dataclasses.dataclass(frozen=True, slots=True)
class MachineLimits:
    """Limits of the machine; 0 if a limit is not known.

    Parameters
    ----------
    memory_megabytes
        Memory of the process, in millions of bytes.
    descriptors
        Open file descriptors of the process.
    """

    memory_megabytes: float = 0
    descriptors: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Limits of a process, derived from those of its machine.

    Parameters
    ----------
    capacity_bytes
        What all connections may hold together; None if there is no limit.
    reserved_bytes
        Part of it that is kept for connections that hold little.
    retained_bytes
        What answers of finished orders may take.
    client_connections, internal_connections
        Open connections of clients, and at each of the other addresses; None if there is no limit.
    """

    capacity_bytes: int | None = None
    reserved_bytes: int = 0
    retained_bytes: int = 24_000_000
    client_connections: int | None = None
    internal_connections: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HeldBytes:
    """Bytes that are held for one connection.

    Parameters
    ----------
    reading
        Requests or frames that have been received in part.
    running
        Requests that are being run; they are not given up.
    unread
        Responses that the other side has not read yet.
    """

    reading: int = 0
    running: int = 0
    unread: int = 0

    @property
    def total(self) -> int:
        """All bytes."""
        return self.reading + self.running + self.unread

    @property
    def releasable(self) -> int:
        """Bytes that become free when the connection is refused or closed."""
        return self.reading + self.unread


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
