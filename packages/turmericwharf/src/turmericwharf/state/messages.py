"""Messages between nodes, as immutable values independent of their encoding."""

import dataclasses
from typing import TypeAlias

from turmericwharf.state.configuration import Importance
from turmericwharf.state.control import ControlState
from turmericwharf.state.failures import Reason
from turmericwharf.state.frames import FramePart
from turmericwharf.state.identifiers import (
    ClaimId,
    DataCentreId,
    IncarnationId,
    InstanceId,
    KeyDigest,
    OrganisationId,
    RequestId,
    ServiceId,
    SliceId,
)
from turmericwharf.state.membership import Member, ServerReport
from turmericwharf.state.outcomes import Answered, Headers, NotRun, OutcomeUnknown

from turmericwharf.state.sidecar.messages import FleetMessage


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First frame of a connection, sent by the accepting side."""

    nonce: bytes
    instance: InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Answer of the connecting side, which proves that it holds the fleet secret.

    Parameters
    ----------
    member
        The connecting node; its host must be the remote address of the connection.
    proof
        Digest over both nonces and the names and addresses of both sides.
    """

    nonce: bytes
    member: Member
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Proof of the accepting side; completes the handshake."""

    incarnation: IncarnationId
    data_centre: DataCentreId
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReference:
    """Identifies the claim of an idempotency key by a request."""

    fingerprint: str
    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Run a request on the backend server beside the receiving node.

    Parameters
    ----------
    key_digest
        Digest of the request's API key; empty for lookups between services.
    idempotent
        Whether the request may be aborted at the server when the caller disconnects.
    remaining_milliseconds
        Time until the deadline when the message was created.
    sent_at
        Unix time in seconds when the message was created, from which the receiver computes how
        long it was in transit or waited for a paused process; None if it was not sent.
    claim
        Claim of the request's idempotency key, or None.
    incarnation
        Incarnation of the executing node that the message is meant for; None if any may run it.
    """

    request: RequestId
    organisation: OrganisationId
    key_digest: KeyDigest
    service: ServiceId
    importance: Importance
    idempotent: bool
    remaining_milliseconds: float
    method: str
    target: str
    headers: Headers
    body: bytes
    sent_at: float | None = None
    claim: ClaimReference | None = None
    incarnation: IncarnationId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The caller disconnected or the deadline passed."""

    request: RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Claim an idempotency key for a request with this content digest."""

    partition: int
    fingerprint: str
    claim: ClaimId
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRelease:
    """Release a claim because its request certainly did not run."""

    partition: int
    fingerprint: str
    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFinish:
    """Record that the claimed request was answered, and which node stores the answer."""

    partition: int
    fingerprint: str
    claim: ClaimId
    status: int
    kept_by: InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claim is the first one of its key in the log."""

    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTaken:
    """An earlier claim holds the key; `status` and `kept_by` are set once it has finished."""

    claim: ClaimId
    content: str
    status: int | None = None
    kept_by: InstanceId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailed:
    """Nothing is known about the key, or the claim that held it was released."""

    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOutcomeRequest:
    """Request the outcome of the claim that holds a key, and wait for it for a limited time."""

    partition: int
    fingerprint: str
    wait_milliseconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswerRequest:
    """Request the stored answer of a claimed request from the node that ran it."""

    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequest:
    """Request a loan of the shares of partitions that a holder has.

    Parameters
    ----------
    borrower, incarnation
        Requesting node; a replacement of the borrower does not inherit its loans.
    """

    partitions: tuple[int, ...]
    borrower: InstanceId
    incarnation: IncarnationId


@dataclasses.dataclass(frozen=True, slots=True)
class LoanGranted:
    """Shares that are lent for a time that starts with the borrower's request.

    Parameters
    ----------
    partitions, shares
        Requested partitions that are lent, and the share of each; the others are refused.
    """

    partitions: tuple[int, ...]
    shares: tuple[float, ...]
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRefused:
    """No requested share is lent: they are in use, lent elsewhere or not settled."""

    partitions: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SliceReport:
    """Unspent tokens of a slice that the entry node no longer uses."""

    slice_id: SliceId
    unspent: int


@dataclasses.dataclass(frozen=True, slots=True)
class SliceRequest:
    """Request tokens of one organisation from a holder.

    Parameters
    ----------
    wanted
        Number of tokens; zero if the message only delivers reports.
    needed
        Number of these tokens for which requests are waiting; the others are for requests that
        are expected soon.
    reports
        Slices of this holder that ended at the entry node since its last request.
    """

    organisation: OrganisationId
    wanted: int
    needed: int
    reports: tuple[SliceReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SliceGranted:
    """Tokens for a time that starts with the request; zero tokens is a refusal.

    Parameters
    ----------
    seconds
        Time for which the tokens may be spent or, after a refusal, until the entry node may send
        another request.
    share
        Share of the rate that the holder uses; below 1, a refusal may occur although the
        organisation is within its rate.
    """

    organisation: OrganisationId
    slice_id: SliceId
    tokens: int
    seconds: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class GossipRequest:
    """Request the state that a peer knows; the answer is dated to the time of the request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction:
    """A node that the log's membership does not list yet.

    Parameters
    ----------
    age
        Time since the node was last known to be alive, as in `Gossip.ages`.
    """

    member: Member
    age: int


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """Answer to `GossipRequest`: ages of the members, and recent changes.

    Parameters
    ----------
    informed
        Whether the sender has read the end of the log or the state of a majority since its
        start. Otherwise it does not count towards a majority, because it may not know a version
        that its previous incarnation had in force.
    membership_version
        Version of the membership that defines the order of `ages`.
    ages
        Time since each member was last known to be alive: one byte per member in the order of
        instance ids, in units of 0.02 s; 255 is unknown.
    newest_version
        Newest control version that the sender knows.
    confirmed_version
        Newest membership version that the sender knows to have reached a majority.
    report_digest
        Digest of all reports that the sender has.
    reports
        Reports of backend servers that changed recently.
    introductions
        Live nodes that the log's membership does not list yet.
    """

    instance: InstanceId
    incarnation: IncarnationId
    informed: bool
    membership_version: int
    ages: bytes
    newest_version: int
    confirmed_version: int
    report_digest: int
    reports: tuple[ServerReport, ...]
    introductions: tuple[Introduction, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class ReportsRequest:
    """Request the reports in which two nodes differ.

    Parameters
    ----------
    bucket_digests
        Digest of each bucket of the sender's reports, four bytes per bucket.
    """

    bucket_digests: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reports:
    """Reports of backend servers; the receiver ignores those older than its own."""

    reports: tuple[ServerReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OutlierHint:
    """The sender has ejected a backend server; the receiver still needs evidence of its own."""

    service: ServiceId
    instance: InstanceId
    incarnation: IncarnationId


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIntroduction:
    """Address of the sender, which is not yet in the log's membership."""

    member: Member


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Request the control state of a peer if it is newer than `version`."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSnapshot:
    """Configuration and membership; None if not newer than the version in the request."""

    state: ControlState | None


@dataclasses.dataclass(frozen=True, slots=True)
class InForceRequest:
    """Request the control version that a node applies."""


@dataclasses.dataclass(frozen=True, slots=True)
class InForceAnswer:
    """Control version that the node applies, and whether it accepts callers."""

    instance: InstanceId
    version: int
    standing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledged:
    """The message was processed and has no other answer."""


Message: TypeAlias = (
    Challenge
    | Proof
    | Welcome
    | FramePart
    | Execute
    | Cancel
    | Answered
    | NotRun
    | OutcomeUnknown
    | ClaimRequest
    | ClaimRelease
    | ClaimFinish
    | ClaimGranted
    | ClaimTaken
    | ClaimFailed
    | ClaimOutcomeRequest
    | KeptAnswerRequest
    | LoanRequest
    | LoanGranted
    | LoanRefused
    | SliceRequest
    | SliceGranted
    | GossipRequest
    | Gossip
    | ReportsRequest
    | Reports
    | OutlierHint
    | PeerIntroduction
    | SnapshotRequest
    | ControlSnapshot
    | InForceRequest
    | InForceAnswer
    | Acknowledged
    | FleetMessage
)
