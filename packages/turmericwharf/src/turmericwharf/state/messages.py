"""Messages between nodes, as frozen values without any encoding."""

import dataclasses
from typing import TypeAlias

from turmericwharf.state.configuration import Importance
from turmericwharf.state.control import ControlState
from turmericwharf.state.failures import Reason
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
    """First frame of the accepting side of a connection."""

    nonce: bytes
    instance: InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Answer of the connecting side; proves that it holds the fleet secret.

    Parameters
    ----------
    member
        The connecting node; its host must be the address that the connection comes from.
    proof
        Digest over both nonces and both sides' names and addresses.
    """

    nonce: bytes
    member: Member
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FramePart:
    """A piece of a large encoded frame, so that small frames can go out between two pieces.

    Parameters
    ----------
    frame
        Number of the large frame on its connection.
    place
        Number of the piece in its frame, from 0.
    last
        Whether the frame is complete with this piece.
    """

    frame: int
    place: int
    last: bool
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """Proof of the accepting side; ends the handshake."""

    incarnation: IncarnationId
    data_centre: DataCentreId
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReference:
    """Claim of an idempotency key by one request."""

    fingerprint: str
    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class Execute:
    """Run one request on the backend server beside the receiver.

    Parameters
    ----------
    key_digest
        Digest of the key that came with the request; empty for lookups between services.
    idempotent
        Whether the request may be cut at the server when the caller leaves.
    remaining_milliseconds
        Time left until the deadline when the message was made.
    sent_at
        Time of day in seconds when the message was made, so that the receiver can tell how long
        it was on its way or waited for a paused process; None if it was not sent.
    claim
        Claim of the request's idempotency key, or None.
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


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The caller left or the deadline passed."""

    request: RequestId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Claim an idempotency key for one request with this content digest."""

    partition: int
    fingerprint: str
    claim: ClaimId
    content: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRelease:
    """Give a claim back, since its request certainly did not run."""

    partition: int
    fingerprint: str
    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFinish:
    """Record that the claimed request has an answer, and which node keeps it."""

    partition: int
    fingerprint: str
    claim: ClaimId
    status: int
    kept_by: InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claim is the first one in the log."""

    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimTaken:
    """Another claim came first; status and kept_by are set once it has finished."""

    claim: ClaimId
    content: str
    status: int | None = None
    kept_by: InstanceId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFailed:
    """Nothing is known about the key, or the claim that held it was given back."""

    reason: Reason


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimOutcomeRequest:
    """Ask for the outcome of the claim that holds a key, and wait a while for it."""

    partition: int
    fingerprint: str
    wait_milliseconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswerRequest:
    """Ask the node that ran a claimed request for the answer that it keeps."""

    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRequest:
    """Ask a holder to lend its shares of partitions.

    Parameters
    ----------
    borrower, incarnation
        Who asks; a replacement of the borrower does not inherit its loans.
    """

    partitions: tuple[int, ...]
    borrower: InstanceId
    incarnation: IncarnationId


@dataclasses.dataclass(frozen=True, slots=True)
class LoanGranted:
    """Shares are lent for a time that runs from the borrower's request.

    Parameters
    ----------
    partitions, shares
        The asked partitions that are lent, and the share of each; the others are refused.
    """

    partitions: tuple[int, ...]
    shares: tuple[float, ...]
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoanRefused:
    """No asked share is lent: they are in use, lent elsewhere or not settled."""

    partitions: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SliceReport:
    """A slice that the entry node no longer spends from."""

    slice_id: SliceId
    unspent: int


@dataclasses.dataclass(frozen=True, slots=True)
class SliceRequest:
    """Ask a holder for tokens of one organisation.

    Parameters
    ----------
    wanted
        Number of tokens; zero only reports.
    needed
        How many of them requests wait for; the rest is for requests that are expected soon.
    reports
        Slices of this holder that ended at the entry node since its last request.
    """

    organisation: OrganisationId
    wanted: int
    needed: int
    reports: tuple[SliceReport, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SliceGranted:
    """Tokens for a time that runs from the request; zero tokens is a refusal.

    Parameters
    ----------
    seconds
        How long the tokens may be spent, or after how long a refused entry node may ask again.
    share
        Share of the rate that the holder uses; below 1, a refusal may be inside the rate.
    """

    organisation: OrganisationId
    slice_id: SliceId
    tokens: int
    seconds: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class GossipRequest:
    """Ask a peer for what it knows; the answer is dated by the moment of asking."""


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction:
    """A node that the log's membership does not name yet.

    Parameters
    ----------
    age
        Time since the node was last known to be alive, as in `Gossip.ages`.
    """

    member: Member
    age: int


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """Answer to `GossipRequest`: ages of the members and what changed lately.

    Parameters
    ----------
    informed
        Whether the sender has read the log's tail or a majority's state since its start. An
        uninformed node does not count towards a majority, since it may not know a version that
        its earlier incarnation had in force.
    membership_version
        Version of the membership that orders `ages`.
    ages
        One byte a member in the order of instance ids, in units of 0.02 s; 255 is unknown.
    newest_version
        Newest configuration version that the sender knows of.
    confirmed_version
        Newest membership version that is known to be known to a majority.
    report_digest
        Digest of all reports that the sender knows.
    reports
        Reports of backend servers that changed lately.
    introductions
        Live nodes that the log's membership does not name yet.
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
    """Ask for the reports in which two nodes differ.

    Parameters
    ----------
    bucket_digests
        Digest of each bucket of the sender's reports, four bytes a bucket.
    """

    bucket_digests: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Reports:
    """Reports of backend servers; older ones than the receiver knows are ignored."""

    reports: tuple[ServerReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OutlierHint:
    """The sender ejected a backend server; the receiver still needs evidence of its own."""

    service: ServiceId
    instance: InstanceId
    incarnation: IncarnationId


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIntroduction:
    """Address of the sender, which is not yet in the log's membership."""

    member: Member


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """Ask a peer for its control state if it is newer than `version`."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSnapshot:
    """Configuration and membership; None if not newer than asked."""

    state: ControlState | None


@dataclasses.dataclass(frozen=True, slots=True)
class InForceRequest:
    """Ask a node which configuration it applies."""


@dataclasses.dataclass(frozen=True, slots=True)
class InForceAnswer:
    """Version in force, and whether the node takes callers."""

    instance: InstanceId
    version: int
    standing: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Acknowledged:
    """The message was handled and has no other answer."""


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
