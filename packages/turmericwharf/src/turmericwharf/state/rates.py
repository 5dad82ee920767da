"""Rate limiting: shares of rates, token buckets and slices, as immutable values."""

import dataclasses

from turmericwharf.state.identifiers import IncarnationId, InstanceId, SliceId


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSegment:
    """Share of a partition that the node uses from `starts_at` on."""

    starts_at: float
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class BorrowedShare:
    """A share that another holder lends to this node until a time on this node's clock."""

    share: float
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class LentShare:
    """Loan of this node's share until a time on this node's clock."""

    borrower: InstanceId
    incarnation: IncarnationId
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionShares:
    """Shares of a partition that a node uses.

    Parameters
    ----------
    segments
        Share over time, oldest segment first, without gaps.
    borrowed_by_id
        Loans to this node, by lender.
    lent
        Loan of this node's share, or None.
    slices_end_at
        Time from which the last slice that this node granted for the partition can no longer be
        spent.
    """

    segments: tuple[ShareSegment, ...]
    borrowed_by_id: dict[InstanceId, BorrowedShare] = dataclasses.field(default_factory=dict)
    lent: LentShare | None = None
    slices_end_at: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class OpenSlice:
    """Tokens at an entry node that count against the bucket's capacity until they are reported."""

    slice_id: SliceId
    tokens: int
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bucket:
    """Tokens of one organisation at a time on the node's clock, and its open slices."""

    tokens: float
    filled_at: float
    open_slices: tuple[OpenSlice, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSlice:
    """Tokens that an entry node may spend until a time on its own clock."""

    holder: InstanceId
    slice_id: SliceId
    tokens: int
    ends_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Request arrivals of an organisation at an entry node.

    Parameters
    ----------
    arrivals, since
        Number of requests in the current window, and its start.
    per_slice
        Number of requests in the lifetime of a slice, according to the previous window.
    asked_at
        Time of the last token request to a holder.
    """

    arrivals: int
    since: float
    per_slice: float
    asked_at: float = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class RateCounters:
    """Counters of an entry node since its start, and gauges of the same node as a share holder.

    Parameters
    ----------
    admitted
        Requests that took a token.
    admitted_without_question
        Admitted requests that did not wait for another node.
    refused_above_rate
        Requests refused by a holder that used the whole rate, which were therefore above it.
    refused_on_partial_share
        Requests refused while the queried holders used only a part of the rate; these may have
        been within the rate.
    refused_unanswered
        Requests refused because no holder answered; these may have been within the rate.
    questions
        Slice requests sent to other nodes.
    partitions_owned
        Partitions of which this node uses the whole rate.
    buckets
        Buckets in memory.
    """

    admitted: int = 0
    admitted_without_question: int = 0
    refused_above_rate: int = 0
    refused_on_partial_share: int = 0
    refused_unanswered: int = 0
    questions: int = 0
    partitions_owned: int = 0
    buckets: int = 0
