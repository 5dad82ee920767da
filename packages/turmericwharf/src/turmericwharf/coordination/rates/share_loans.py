"""Rate shares: the part of each partition that a holder uses, and loans to the owner."""

import asyncio
import dataclasses

from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.ports import PeerLinks
from turmericwharf.coordination.rates.settling import MAX_CLOCK_DRIFT_RATIO, SHARE_TICK_SECONDS
from turmericwharf.coordination.rates.share_holders import ShareHolders
from turmericwharf.coordination.membership.standing import Standing
from turmericwharf.state import (
    NO_VERSION,
    BorrowedShare,
    InstanceId,
    LentShare,
    LoanGranted,
    LoanRefused,
    LoanRequest,
    PartitionShares,
    ShareSegment,
    TimingSettings,
)

# Shares are sums of fractions, so rounding can leave a whole rate slightly below 1.
SHARE_TOLERANCE = 1e-9
# A loan is renewed after this fraction of its duration, so that one lost message has no effect.
_RENEWAL_FRACTION = 0.4
# The lenders depend on liveness, which takes seconds to change.
_LENDERS_REFRESH_SECONDS = 1.0
# Older segments are dropped. A bucket that has not been used since then counts as empty at the
# start of the oldest kept segment.
_MAX_SEGMENTS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class _ShareInputs:
    """State on which the shares of all partitions depend."""

    is_usable: bool = False
    membership_version: int = NO_VERSION
    settled_version: int = NO_VERSION


class ShareLoans:
    """Shares that this node uses, lends and borrows.

    Parameters
    ----------
    members, standing
        Determine whether the node may use its shares.
    links
        Connections to the other holders.
    timing
        Timing settings of the node.
    clock
        Clock that includes suspended time, so that loans expire while the node is paused.
    """

    def __init__(
        self,
        *,
        members: MembershipView,
        standing: Standing,
        links: PeerLinks,
        timing: TimingSettings,
        clock: Clock,
    ) -> None:
        self.members = members
        self._standing = standing
        self._links = links
        self._timing = timing
        self._clock = clock
        self._standing_expires_at = float('-inf')
        self._shares_by_partition: dict[int, PartitionShares] = {}
        self._requested_at_by_lender: dict[InstanceId, float] = {}
        self._loan_requests: set[asyncio.Task[None]] = set()
        self._holders = ShareHolders(members)
        self._share_inputs = _ShareInputs()
        self._lenders: dict[InstanceId, list[int]] = {}
        self._lenders_valid_until = float('-inf')

    async def run(self) -> None:
        """Run `tick` periodically until cancelled."""
        while True:
            await asyncio.sleep(SHARE_TICK_SECONDS)
            self.tick()

    def tick(self) -> None:
        """Update all shares and request the loans that are due."""
        self._refresh_shares()
        now = self._clock.now()
        if now >= self._lenders_valid_until:
            self._lenders = (
                self._holders.partitions_by_lender() if self._share_inputs.is_usable else {}
            )
            self._lenders_valid_until = now + _LENDERS_REFRESH_SECONDS
        for lender, partitions in self._lenders.items():
            requested_at = self._requested_at_by_lender.get(lender, float('-inf'))
            if now - requested_at >= self._timing.loan_seconds * _RENEWAL_FRACTION:
                self._requested_at_by_lender[lender] = now
                loan_request = asyncio.create_task(self._borrow(lender, tuple(partitions)))
                self._loan_requests.add(loan_request)
                loan_request.add_done_callback(self._loan_requests.discard)

    def eligible_holders(self, partition: int) -> tuple[InstanceId, ...]:
        """Return the eligible holders of a partition, the owner first."""
        self._refresh_shares()
        return self._holders.eligible_holders(partition)

    def segments(self, partition: int) -> tuple[ShareSegment, ...]:
        """Return the shares of a partition that this node used over time, up to now."""
        self._refresh_shares()
        return self._update_shares(partition, self._clock.now()).segments

    def record_slice(self, partition: int, ends_at: float) -> None:
        """Record the time until which tokens of a granted slice can be spent."""
        shares = self._shares_by_partition[partition]
        self._shares_by_partition[partition] = dataclasses.replace(
            shares,
            slices_end_at=max(ends_at, shares.slices_end_at),
        )

    def lend(self, request: LoanRequest) -> LoanGranted | LoanRefused:
        """Lend this node's shares of the requested partitions where that is allowed."""
        self._refresh_shares()
        shares_by_partition: dict[int, float] = {}
        if self._is_usable() and self.members.is_current(request.borrower, request.incarnation):
            shares_by_partition = {
                partition: share
                for partition in request.partitions
                if (share := self._lend_partition(partition, request)) > 0
            }
        if not shares_by_partition:
            return LoanRefused(request.partitions)
        return LoanGranted(
            partitions=tuple(shares_by_partition),
            shares=tuple(shares_by_partition.values()),
            seconds=self._timing.loan_seconds,
        )

    def count_whole_shares(self) -> int:
        """Return the number of partitions of which this node uses the whole rate."""
        whole = 1 - SHARE_TOLERANCE
        known = tuple(self._shares_by_partition)
        return sum(self.segments(partition)[-1].share >= whole for partition in known)

    def _refresh_shares(self) -> None:
        """Update all shares if the standing or the members with shares changed."""
        now = self._clock.now()
        inputs = _ShareInputs(
            is_usable=self._is_usable(),
            membership_version=self.members.membership.version,
            settled_version=self.members.settling.settled_version,
        )
        has_lapsed = self._standing_expires_at <= now
        if has_lapsed:
            self._end_shares(self._standing_expires_at)
        self._standing_expires_at = self._standing.fresh_until
        if has_lapsed or inputs != self._share_inputs:
            self._share_inputs = inputs
            self._lenders_valid_until = now
            self._holders.invalidate()
            for partition in self._shares_by_partition:
                self._update_shares(partition, now)

    def _end_shares(self, ended_at: float) -> None:
        """Treat the time since the standing was lost as time without shares."""
        for partition, shares in self._shares_by_partition.items():
            kept = tuple(each for each in shares.segments if each.starts_at < ended_at)
            self._shares_by_partition[partition] = dataclasses.replace(
                shares,
                segments=_with_segment(kept or shares.segments[:1], ended_at, 0),
            )

    def _update_shares(self, partition: int, now: float) -> PartitionShares:
        """Update and return a partition's shares, without the loans that ended by now."""
        shares = self._shares_by_partition.get(partition)
        if shares is None:
            shares = PartitionShares((ShareSegment(now, 0),))
        shares = _without_ended_loans(shares, now)
        segments = _with_segment(shares.segments, now, self._current_share(partition, shares))
        if segments is not shares.segments:
            shares = dataclasses.replace(shares, segments=segments)
        self._shares_by_partition[partition] = shares
        return shares

    def _is_usable(self) -> bool:
        return self._standing.has_standing and self.members.settling.is_settled

    def _current_share(self, partition: int, shares: PartitionShares) -> float:
        if not self._share_inputs.is_usable:
            return 0
        borrowed = sum(loan.share for loan in shares.borrowed_by_id.values())
        return borrowed if shares.lent else borrowed + self._holders.local_share(partition)

    def _lend_partition(self, partition: int, request: LoanRequest) -> float:
        now = self._clock.now()
        lent = LentShare(request.borrower, request.incarnation, now + self._timing.loan_seconds)
        shares = self._shares_by_partition.get(partition)
        if shares is None or not _is_renewal(shares.lent, lent, now):
            shares = self._update_shares(partition, now)
            if shares.lent is not None and not _is_renewal(shares.lent, lent, now):
                return 0
            if not self._holders.may_borrow(partition, request.borrower):
                return 0
        is_new = shares.lent is None
        shares = dataclasses.replace(shares, lent=lent)
        self._shares_by_partition[partition] = shares
        if is_new:
            self._update_shares(partition, now)
        # Tokens of this node's slices may still be spent; until they expire, the share is only
        # reserved for the borrower.
        return self._holders.local_share(partition) if shares.slices_end_at <= now else 0

    async def _borrow(self, lender: InstanceId, partitions: tuple[int, ...]) -> None:
        local = self.members.own
        requested_at = self._clock.now()
        answer = await self._links.request(
            lender,
            LoanRequest(partitions, local.instance, local.incarnation),
            timeout_seconds=self._timing.peer_timeout_seconds,
        )
        if not isinstance(answer, LoanGranted):
            return
        # Slices granted from a loan must end before the lender uses the share again.
        seconds = answer.seconds * (1 - MAX_CLOCK_DRIFT_RATIO) - self._timing.slice_seconds
        self._refresh_shares()
        for partition, share in zip(answer.partitions, answer.shares, strict=True):
            self._apply_loan(partition, lender, BorrowedShare(share, requested_at + seconds))

    def _apply_loan(self, partition: int, lender: InstanceId, loan: BorrowedShare) -> None:
        now = self._clock.now()
        if loan.ends_at <= now:
            return
        known = self._shares_by_partition.get(partition)
        old = known.borrowed_by_id.get(lender) if known else None
        if known and old and old.share == loan.share and old.ends_at > now:
            borrowed_by_id = {**known.borrowed_by_id, lender: loan}
            self._shares_by_partition[partition] = dataclasses.replace(
                known,
                borrowed_by_id=borrowed_by_id,
            )
            return
        # Updates the shares first: a loan that ended in the meantime leaves a gap, in which the
        # lender may have used its share.
        shares = self._update_shares(partition, now)
        self._shares_by_partition[partition] = dataclasses.replace(
            shares,
            borrowed_by_id={**shares.borrowed_by_id, lender: loan},
        )
        self._update_shares(partition, now)


def _is_renewal(known: LentShare | None, lent: LentShare, now: float) -> bool:
    if known is None or known.ends_at <= now:
        return False
    return (known.borrower, known.incarnation) == (lent.borrower, lent.incarnation)


def _without_ended_loans(shares: PartitionShares, now: float) -> PartitionShares:
    """Return the shares without the loans from and to other holders that ended by now."""
    segments, lent = shares.segments, shares.lent
    has_ended_loan = lent is not None and lent.ends_at <= now
    ended = [loan for loan in shares.borrowed_by_id.values() if loan.ends_at <= now]
    for loan in sorted(ended, key=lambda borrowed: borrowed.ends_at):
        remaining_share = max(segments[-1].share - loan.share, 0)
        segments = _with_segment(segments, loan.ends_at, remaining_share)
    if not ended and not has_ended_loan:
        return shares
    return dataclasses.replace(
        shares,
        segments=segments,
        borrowed_by_id={
            lender: kept for lender, kept in shares.borrowed_by_id.items() if kept.ends_at > now
        },
        lent=None if has_ended_loan else lent,
    )


def _with_segment(
    segments: tuple[ShareSegment, ...],
    starts_at: float,
    share: float,
) -> tuple[ShareSegment, ...]:
    if segments[-1].share == share:
        return segments
    segment = ShareSegment(max(starts_at, segments[-1].starts_at), share)
    return (*segments, segment)[-_MAX_SEGMENTS:]
