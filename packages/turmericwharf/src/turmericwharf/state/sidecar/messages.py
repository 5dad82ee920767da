"""Requests of clients, answers of backend servers, and messages between sidecar nodes."""

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
from turmericwharf.state.sidecar.evacuations import Evacuation
from turmericwharf.state.sidecar.nodes import NodeEntry, ProcessId, ServerId, StoredEntry


@dataclasses.dataclass(frozen=True, slots=True)
class FleetRequest:
    """A client's request as the coordination layer sees it.

    Parameters
    ----------
    key_digest
        Digest of the organisation's API key, or None if the request has none.
    remaining_seconds
        Time until the client stops waiting, or None if it sets no deadline.
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
class DecodedResponse:
    """Response of a backend server before it is classified.

    Parameters
    ----------
    request
        Request that the response refers to, or None if it does not state one.
    is_stamped
        Whether the response carries the server's stamp.
    is_not_executed
        Whether the server states that it did not run the request.
    is_encoded
        Whether the body has a content encoding that was not requested.
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
        Number of the attempt for this request; `request` and `attempt` identify the order.
    process
        Process to which the order is addressed; another process cannot know whether the order
        has run.
    rank
        Queue priority; higher ranks are served first.
    may_try
        Whether the request could be sent to another server after a failure on this one.
    is_repeat
        Whether the request has reached another server before.
    max_wait_seconds
        Longest time that the order may wait for a slot; at 0, it is refused if no slot is free.
    remaining_seconds
        Time from sending until the caller's deadline.
    target_seconds
        Time from sending until the latency target, after which an answer is worth less.
    version
        Version of the configuration under which the request was admitted.
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
    max_wait_seconds: float
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
    """Outcome of a work order; exactly one of `answered`, `refused` and `unknown` is set.

    Parameters
    ----------
    reached_server
        Whether the order was sent to the backend server.
    running, waiting
        Number of requests at the server and in the node's queue when the answer was created.
    version
        Newest version of the configuration that the node knows.
    wait_seconds
        Expected wait of one more order of the same route; 0 if it is unknown.
    run_seconds
        Mean run time of the route at the server; 0 if it is unknown.
    """

    answered: Answered | None
    refused: NotRun | None
    unknown: OutcomeUnknown | None
    reached_server: bool
    running: int
    waiting: int
    version: int
    wait_seconds: float = 0
    run_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """Ask whether the server beside a node would run an order at once.

    Sent before an order that goes to another data centre, and before one with a long body. An order
    carries the whole request, and many of these would be refused.

    Parameters
    ----------
    process, server
        Process and server that the order would be sent to.
    """

    process: ProcessId
    server: ServerId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReply:
    """Whether an order would run at once; it takes no slot.

    Parameters
    ----------
    refused
        Why the order would be refused; None if a slot is free.
    running, waiting, version, wait_seconds, run_seconds
        As in `WorkAnswer`.
    """

    refused: NotRun | None
    running: int
    waiting: int
    version: int
    wait_seconds: float = 0
    run_seconds: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkCancel:
    """The caller of a work order has disconnected."""

    request: RequestId
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Greeting:
    """First message in each direction of a connection."""

    node: NodeEntry
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Request the newest configuration if its version is greater than `above`.

    Parameters
    ----------
    wait_seconds
        Maximum time for which the reply may wait for a newer version or evacuation.
    evacuations
        Evacuations and revocations that the sender knows; None if it does not ask for them.
    """

    above: int
    wait_seconds: float = 0
    evacuations: tuple[Evacuation, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """A configuration as it was published, and evacuations that the asking node does not know.

    Parameters
    ----------
    encoded
        The configuration; empty if there is no newer one.
    era
        Highest era of the store that the sender knows.
    evacuations
        Newer evacuations and revocations.
    knows_evacuations
        Whether the sender has learned the evacuations from the store, or from a node that has, so
        that the asking node may rely on it; None from a build that does not know of evacuations.
    """

    encoded: bytes
    era: int = 0
    evacuations: tuple[Evacuation, ...] = ()
    knows_evacuations: bool | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryRequest:
    """Request the entries that a node has received since an earlier reply.

    Parameters
    ----------
    process, after
        Process that sent the earlier reply, and the value of `changes` in that reply.
    wait_seconds
        Maximum time for which the reply may wait for a change.
    era
        Highest era of the store that the sender knows.
    """

    process: ProcessId
    after: int
    wait_seconds: float
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryReply:
    """Entries that a node has received since an earlier reply.

    Parameters
    ----------
    process, changes
        Values of `process` and `after` for the next request.
    is_current
        Whether the node currently reads the entries from the store.
    knows_fleet
        Whether the node has received the entries of all nodes since it started.
    era
        Highest era of the store that the sender knows.
    predecessor
        Last entry of the process that ran before the asking one on its machine; None if the sender
        knows of none. Sent in the first reply to a process only.
    """

    process: ProcessId
    changes: int
    nodes: tuple[StoredEntry, ...]
    is_current: bool
    knows_fleet: bool = False
    era: int = 0
    predecessor: NodeEntry | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Request one token of an organisation's rate."""

    organisation: OrganisationId
    asker: InstanceId
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenReply:
    """Whether a token was granted, and otherwise after how long to request it again."""

    granted: bool
    wait_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class RetryRequest:
    """Request one retry of a service's budget beyond the ratio of its requests."""

    service: ServiceId


@dataclasses.dataclass(frozen=True, slots=True)
class RetryReply:
    """Whether a retry was granted."""

    granted: bool


FleetMessage = (
    WorkOrder
    | WorkAnswer
    | WorkCancel
    | SlotRequest
    | SlotReply
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
