"""Decides which connection gives way to a new one when a listener has as many as it may.

Load pattern: clients open many connections and send nothing, or a part of a request, until the
process has no descriptor left for the connections of ordinary clients.
"""

import dataclasses
import enum
from collections.abc import Sequence

# A connection that has sent and read nothing for this long may give way. It is longer than the
# pause of a client between two requests that follow each other.
_QUIET_SECONDS = 1.0


class ConnectionUse(enum.IntEnum):
    """What a connection is used for; the lowest gives way first."""

    PARTIAL_REQUEST = 0
    NO_REQUEST = 1
    BUSY = 2


@dataclasses.dataclass(frozen=True, slots=True)
class OpenConnection:
    """A connection as the decision sees it.

    Parameters
    ----------
    number
        Number of the connection at its listener.
    progress_at
        When the client last sent or read something.
    """

    number: int
    use: ConnectionUse
    progress_at: float


def choose_closed(connections: Sequence[OpenConnection], now: float) -> int | None:
    """Return the number of the connection that gives way, or None if the new one is closed.

    A connection with requests that are being run never gives way.
    """
    quiet = [
        connection
        for connection in connections
        if connection.use is not ConnectionUse.BUSY
        and now - connection.progress_at >= _QUIET_SECONDS
    ]
    if not quiet:
        return None
    return min(quiet, key=lambda connection: (connection.use, connection.progress_at)).number
