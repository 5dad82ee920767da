"""Token buckets at a holder of rate shares, and the slices that it grants to entry nodes."""

import dataclasses
import itertools
import math

from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.membership.rendezvous import partition_of
from turmericwharf.coordination.rates.share_loans import ShareLoans
from turmericwharf.state import (
    Bucket,
    OpenSlice,
    Organisation,
    OrganisationId,
    ShareSegment,
    SliceGranted,
    SliceId,
    SliceRequest,
    TimingSettings,
)

# Rounding can leave the sum of small fractions of a token slightly below a whole token.
_TOKEN_TOLERANCE = 1e-6
# A slice counts against the capacity for this many slice lifetimes, so that the report of its
# unspent tokens arrives before they are written off.
_OPEN_SLICE_LIFETIMES = 2
_MINIMUM_WAIT_SECONDS = 0.005
_EMPTY_BUCKET = Bucket(0, float('-inf'))


class RateBuckets:
    """Token buckets of the organisations of which this node uses a share.

    A bucket that is not in memory counts as empty at the start of the oldest share segment that
    is kept, and as refilled since then.
    """

    def __init__(
        self,
        *,
        loans: ShareLoans,
        control_log: ControlLog,
        timing: TimingSettings,
        clock: Clock,
    ) -> None:
        self._loans = loans
        self._control_log = control_log
        self._timing = timing
        self._clock = clock
        self._slice_numbers = itertools.count(1)
        self._buckets_by_organisation: dict[OrganisationId, Bucket] = {}

    def __len__(self) -> int:
        """Return the number of buckets in memory."""
        return len(self._buckets_by_organisation)

    def try_acquire(self, organisation: Organisation) -> bool:
        """Spend one token of the local bucket; return whether one was available."""
        bucket, _ = self._refilled(organisation)
        has_token = bucket.tokens >= 1 - _TOKEN_TOLERANCE
        if has_token:
            bucket = dataclasses.replace(bucket, tokens=max(bucket.tokens - 1, 0))
        self._buckets_by_organisation[organisation.organisation] = bucket
        return has_token

    def grant(self, request: SliceRequest) -> SliceGranted:
        """Apply an entry node's reports and grant it a slice, or deny it with a waiting time."""
        organisation = self._control_log.configuration.organisations_by_id.get(request.organisation)
        if organisation is None:
            # The entry node has applied a newer configuration than this node.
            return self._denial(request.organisation, self._timing.slice_seconds, 0)
        bucket, share = self._refilled(organisation)
        bucket = _with_reports(bucket, request, organisation.burst * share)
        granted = _grantable_tokens(bucket.tokens, request)
        if not granted:
            self._buckets_by_organisation[organisation.organisation] = bucket
            missing = 1 - bucket.tokens
            wait = missing / max(organisation.rate_per_second * share, _TOKEN_TOLERANCE)
            return self._denial(organisation.organisation, wait, share)
        return self._open_slice(organisation.organisation, bucket, granted, share)

    def drop_idle(self) -> None:
        """Drop buckets that are equivalent to a new one, and those of deleted organisations."""
        organisations_by_id = self._control_log.configuration.organisations_by_id
        for organisation_id in tuple(self._buckets_by_organisation):
            organisation = organisations_by_id.get(organisation_id)
            if organisation is None or self._is_idle(organisation):
                self._buckets_by_organisation.pop(organisation_id)

    def _is_idle(self, organisation: Organisation) -> bool:
        kept, _ = self._refilled(organisation)
        segments = self._loans.segments(partition_of(organisation.organisation))
        new = refill_bucket(_EMPTY_BUCKET, segments, organisation, self._clock.now())
        return not kept.open_slices and kept.tokens >= new.tokens

    def _refilled(self, organisation: Organisation) -> tuple[Bucket, float]:
        segments = self._loans.segments(partition_of(organisation.organisation))
        now = self._clock.now()
        bucket = self._buckets_by_organisation.get(organisation.organisation, _EMPTY_BUCKET)
        # The refill includes slices that ended since the last one; they are removed only after it.
        bucket = refill_bucket(bucket, segments, organisation, now)
        still_open = tuple(each for each in bucket.open_slices if each.ends_at > now)
        return dataclasses.replace(bucket, open_slices=still_open), segments[-1].share

    def _open_slice(
        self,
        organisation: OrganisationId,
        bucket: Bucket,
        tokens: int,
        share: float,
    ) -> SliceGranted:
        now = self._clock.now()
        seconds = self._timing.slice_seconds
        slice_id = SliceId(next(self._slice_numbers))
        opened = OpenSlice(slice_id, tokens, now + seconds * _OPEN_SLICE_LIFETIMES)
        self._buckets_by_organisation[organisation] = Bucket(
            max(bucket.tokens - tokens, 0),
            bucket.filled_at,
            (*bucket.open_slices, opened),
        )
        self._loans.record_slice(partition_of(organisation), now + seconds)
        return SliceGranted(organisation, slice_id, tokens, seconds, share)

    def _denial(self, organisation: OrganisationId, wait: float, share: float) -> SliceGranted:
        wait = min(max(wait, _MINIMUM_WAIT_SECONDS), self._timing.slice_seconds)
        return SliceGranted(organisation, SliceId(0), 0, wait, share)


def refill_bucket(
    bucket: Bucket,
    segments: tuple[ShareSegment, ...],
    organisation: Organisation,
    now: float,
) -> Bucket:
    """Return the bucket refilled up to now; open slices count against its capacity."""
    tokens, filled_at = bucket.tokens, bucket.filled_at
    if filled_at < segments[0].starts_at:
        tokens, filled_at = 0, segments[0].starts_at
    reserved = sum(each.tokens for each in bucket.open_slices)
    ends = (*(segment.starts_at for segment in segments[1:]), now)
    for segment, ends_at in zip(segments, ends, strict=True):
        if ends_at < filled_at:
            continue
        added = (ends_at - filled_at) * organisation.rate_per_second * segment.share
        tokens = min(tokens + added, max(organisation.burst * segment.share - reserved, 0))
        filled_at = ends_at
    return dataclasses.replace(bucket, tokens=tokens, filled_at=filled_at)


def _with_reports(bucket: Bucket, request: SliceRequest, capacity: float) -> Bucket:
    """Close the reported slices and return the unspent tokens of those that were still open."""
    unspent_by_slice = {report.slice_id: report.unspent for report in request.reports}
    returned = sum(
        min(unspent_by_slice[each.slice_id], each.tokens)
        for each in bucket.open_slices
        if each.slice_id in unspent_by_slice
    )
    still_open = tuple(each for each in bucket.open_slices if each.slice_id not in unspent_by_slice)
    free_capacity = max(capacity - sum(each.tokens for each in still_open), 0)
    return Bucket(min(bucket.tokens + returned, free_capacity), bucket.filled_at, still_open)


def _grantable_tokens(tokens: float, request: SliceRequest) -> int:
    """Return the whole tokens to grant.

    Waiting requests get all they need. Expected requests get at most half of the rest, which leaves
    tokens for other entry nodes.
    """
    available = math.floor(tokens + _TOKEN_TOLERANCE)
    needed = min(request.needed, available)
    expected = max(request.wanted - request.needed, 0)
    return needed + min(expected, (available - needed) // 2)
