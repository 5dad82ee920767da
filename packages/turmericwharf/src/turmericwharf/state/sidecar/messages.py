"""Requests on their way to a backend server, and the messages between nodes."""

import dataclasses

from turmericwharf.state.identifiers import (
    InstanceId,
    KeyDigest,
    OrganisationId,
    RequestId,
    RouteId,
    ServiceId,
)
from turmericwharf.state.outcomes import Answered, Headers, NotRun, OutcomeUnknown
from turmericwharf.state.sidecar.nodes import NodeEntry, ProcessId, ServerId, StoredEntry


@dataclasses.dataclass(frozen=True, slots=True)
class FleetRequest:
    """A client's request as the decisions see it.

    Parameters
    ----------
    key_digest
        Digest of the organisation's key, or None if none came.
    remaining_seconds
        Time that the client still waits, or None if it does not say.
    """

    request: RequestId
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    key_digest: KeyDigest | None = None
    remaining_seconds: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAnswer:
    """What a backend server sent, before it is judged.

    Parameters
    ----------
    request
        Request that the server names, or None.
    is_stamped
        Whether the server signed the answer.
    is_not_executed
        Whether the server says that it did not run the request.
    is_encoded
        Whether the body has an encoding that nobody asked for.
    """

    status: int
    headers: Headers
    body: bytes
    request: RequestId | None
    is_stamped: bool
    is_not_executed: bool
    is_encoded: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WorkOrder:
    """Run a request on the backend server beside the receiving node.

    Parameters
    ----------
    attempt
        Number of the attempt for this request; with the request it names the order.
    process
        Process that is meant; another one cannot know whether the order has run.
    rank
        Order in the queue; higher goes first.
    may_try
        Whether the request could go to another server if it fails on this one.
    is_repeat
        Whether the request has reached another server before.
    remaining_seconds
        Time until the caller's deadline, from the moment of sending.
    target_seconds
        Time until an answer is worth less, from the moment of sending.
    version
        Configuration by which the request was admitted.
    """

    request: RequestId
    attempt: int
    process: ProcessId
    server: ServerId
    service: ServiceId
    route: RouteId
    organisation: OrganisationId
    key_digest: KeyDigest | None
    rank: int
    idempotent: bool
    may_try: bool
    is_repeat: bool
    remaining_seconds: float
    target_seconds: float
    version: int
    caller_service: ServiceId
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class WorkAnswer:
    """Outcome of a work order; exactly one of the first three fields is set.

    Parameters
    ----------
    reached_server
        Whether the order was sent to the backend server.
    running, waiting
        Requests at the server and in the node's queue after this one.
    version
        Newest configuration that the node knows.
    """

    answered: Answered | None
    refused: NotRun | None
    unknown: OutcomeUnknown | None
    reached_server: bool
    running: int
    waiting: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkCancel:
    """The caller of a work order has left."""

    request: RequestId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Greeting:
    """First message on a connection in both directions."""

    node: NodeEntry
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Ask for the newest configuration if it is above a version."""

    above: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """A configuration as it was published; empty if there is no newer one."""

    encoded: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryRequest:
    """Ask a node for the entries that it has learned since an earlier reply.

    Parameters
    ----------
    process, after
        Process that gave the earlier reply, and the count of changes in it.
    wait_seconds
        How long the reply may wait for a change.
    """

    process: ProcessId
    after: int
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryReply:
    """Entries that a node has learned since an earlier reply.

    Parameters
    ----------
    process, changes
        What the next request names.
    is_current
        Whether the node reads the entries from the store now.
    """

    process: ProcessId
    changes: int
    nodes: tuple[StoredEntry, ...]
    is_current: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Ask for one token of an organisation's rate."""

    organisation: OrganisationId
    asker: InstanceId
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReply:
    """Whether a token was granted, and else when to ask again."""

    granted: bool
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRequest:
    """Ask for one retry of a service's budget beyond the ratio of its requests."""

    service: ServiceId


@dataclasses.dataclass(frozen=True, slots=True)
class RetryReply:
    """Whether a retry was granted."""

    granted: bool


FleetMessage = (
    WorkOrder
    | WorkAnswer
    | WorkCancel
    | Greeting
    | ConfigurationRequest
    | ConfigurationReply
    | DirectoryRequest
    | DirectoryReply
    | TokenRequest
    | TokenReply
    | RetryRequest
    | RetryReply
)
