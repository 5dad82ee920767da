"""Members of the fleet and the backend servers that they announce."""

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
        Identifier of the slot; it stays when the process is replaced.
    incarnation
        Identifier of this process; a replacement has another one.
    host, port
        Where peers connect.
    data_centre
        Where the instance runs.
    """

    instance: InstanceId
    incarnation: IncarnationId
    host: str
    port: int
    data_centre: DataCentreId


@dataclasses.dataclass(frozen=True, slots=True)
class Membership:
    """Members by the log's records, and those whose removal may be unknown to others."""

    version: int = -1
    members_by_id: Mapping[InstanceId, Member] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerReport:
    """What a backend server announced to the node beside it.

    Parameters
    ----------
    instance, incarnation
        The node beside the server.
    sequence
        Grows with each change within one incarnation.
    service
        Service that the server runs.
    slots
        Requests that the server works on at the same time.
    state
        Announced state.
    """

    instance: InstanceId
    incarnation: IncarnationId
    sequence: int
    service: ServiceId
    slots: int
    state: ServerState


@dataclasses.dataclass(frozen=True, slots=True)
class PeerStatus:
    """What a node believes of one peer, for the state dump.

    Parameters
    ----------
    member
        Address and incarnation that messages go to.
    by_log
        Whether the log's membership names this incarnation.
    alive
        Whether the peer was heard from within the alive time.
    since_seconds
        Time since `alive` last changed; None if the peer was never heard from.
    heard_seconds_ago
        Age of the latest sign of life; None if there was none.
    vouched_seconds_ago
        The same for signs that count towards a majority of the membership in force.
    """

    member: Member
    by_log: bool
    alive: bool
    since_seconds: float | None
    heard_seconds_ago: float | None
    vouched_seconds_ago: float | None
