"""Members of the fleet, and the announcements of the backend servers beside them."""

import dataclasses
import enum
from collections.abc import Mapping

from turmericwharf.state.identifiers import DataCentreId, IncarnationId, InstanceId, ServiceId


class ServerState(enum.Enum):
    """State that a backend server announces."""

    COLD = 'cold'
    READY = 'ready'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of a node.

    Parameters
    ----------
    instance
        Identifier of the slot; it does not change when the process is replaced.
    incarnation
        Identifier of the process; a replacement gets a new one.
    host, port
        Address that peers connect to.
    """

    instance: InstanceId
    incarnation: IncarnationId
    host: str
    port: int
    data_centre: DataCentreId


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Members according to the records of the log."""

    version: int = -1
    members_by_id: Mapping[InstanceId, Member] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerReport:
    """Latest announcement of a backend server to the node beside it.

    Parameters
    ----------
    instance, incarnation
        The node beside the server.
    sequence
        Increases with each change within one incarnation.
    slots
        Number of requests that the server processes concurrently.
    """

    instance: InstanceId
    incarnation: IncarnationId
    sequence: int
    service: ServiceId
    slots: int
    state: ServerState


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """State of one peer as observed by this node, for the state dump.

    Parameters
    ----------
    member
        Address and incarnation to which messages are sent.
    by_log
        Whether the log's membership lists this incarnation.
    alive
        Whether there was contact within `TimingSettings.alive_seconds`, later than the last failed
        connection attempt.
    since_seconds
        Time since `alive` last changed; None if there was no contact.
    heard_seconds_ago
        Time since the last contact; None if there was none.
    vouched_seconds_ago
        Time since the last contact that counts towards a majority of the membership in force;
        None if there was none.
    """

    member: Member
    by_log: bool
    alive: bool
    since_seconds: float | None
    heard_seconds_ago: float | None
    vouched_seconds_ago: float | None
