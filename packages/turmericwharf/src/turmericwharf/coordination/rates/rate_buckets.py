"""Token buckets of a holder of rate shares, and the slices that it grants to entry nodes."""

import dataclasses
import itertools
import math

from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.ports import Clock
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

# Sums of small fractions of a token come out slightly below the whole token.
_TOKEN_TOLERANCE = 1e-6
# Slices count against the capacity for this many times their life, so that reports of unspent
# tokens arrive before the tokens are given up.
_OPEN_TIMES = 2
_MINIMUM_WAIT_SECONDS = 0.005
_EMPTY = Bucket(0, float('-inf'))


class RateBuckets:
    """Buckets of the organisations of which this node uses a share.

    A bucket that is not in memory is empty at the start of the oldest share that is kept, and
    has filled since.
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
        self._buckets_by_id: dict[OrganisationId, Bucket] = {}

    def __len__(self) -> int:
        """Return the number of buckets in memory."""
        return len(self._buckets_by_id)

    def try_acquire(self, organisation: Organisation) -> bool:
        """Spend one token here; return whether there was one."""
        bucket, _ = self._filled(organisation)
        has_token = bucket.tokens >= 1 - _TOKEN_TOLERANCE
        if has_token:
            bucket = dataclasses.replace(bucket, tokens=max(bucket.tokens - 1, 0))
        self._buckets_by_id[organisation.organisation] = bucket
        return has_token

    def grant(self, request: SliceRequest) -> SliceGranted:
        """Grant tokens to an entry node."""
        organisation = self._control_log.configuration.organisations_by_id.get(request.organisation)
        if organisation is None:
            # The entry node has read a newer configuration than this node.
            return self._refusal(request.organisation, self._timing.slice_seconds, 0)
        bucket, share = self._filled(organisation)
        bucket = _with_reports(bucket, request, organisation.burst * share)
        granted = _grantable(bucket.tokens, request)
        if not granted:
            self._buckets_by_id[organisation.organisation] = bucket
            missing = 1 - bucket.tokens
            wait = missing / max(organisation.rate_per_second * share, _TOKEN_TOLERANCE)
            return self._refusal(organisation.organisation, wait, share)
        return self._open_slice(organisation.organisation, bucket, granted, share)

    def drop_idle(self) -> None:
        """Drop the buckets that a new bucket would equal, and those of deleted organisations."""
        organisations_by_id = self._control_log.configuration.organisations_by_id
        for organisation_id in tuple(self._buckets_by_id):
            organisation = organisations_by_id.get(organisation_id)
            if organisation is None or self._is_idle(organisation):
                self._buckets_by_id.pop(organisation_id)

    def _is_idle(self, organisation: Organisation) -> bool:
        kept, _ = self._filled(organisation)
        segments = self._loans.segments(partition_of(organisation.organisation))
        new = refill_bucket(_EMPTY, segments, organisation, self._clock.now())
        return not kept.open_slices and kept.tokens >= new.tokens

    def _filled(self, organisation: Organisation) -> tuple[Bucket, float]:
        segments = self._loans.segments(partition_of(organisation.organisation))
        now = self._clock.now()
        bucket = self._buckets_by_id.get(organisation.organisation, _EMPTY)
        # Slices that ended since the last look count against the capacity up to now.
        bucket = refill_bucket(bucket, segments, organisation, now)
        still_open = tuple(one for one in bucket.open_slices if one.ends_at > now)
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
        opened = OpenSlice(slice_id, tokens, now + seconds * _OPEN_TIMES)
        self._buckets_by_id[organisation] = Bucket(
            max(bucket.tokens - tokens, 0),
            bucket.filled_at,
            (*bucket.open_slices, opened),
        )
        self._loans.record_slice(partition_of(organisation), now + seconds)
        return SliceGranted(organisation, slice_id, tokens, seconds, share)

    def _refusal(self, organisation: OrganisationId, wait: float, share: float) -> SliceGranted:
        wait = min(max(wait, _MINIMUM_WAIT_SECONDS), self._timing.slice_seconds)
        return SliceGranted(organisation, SliceId(0), 0, wait, share)


def refill_bucket(
    bucket: Bucket,
    segments: tuple[ShareSegment, ...],
    organisation: Organisation,
    now: float,
) -> Bucket:
    """Return a bucket after the shares up to now; open slices count against its capacity."""
    tokens, filled_at = bucket.tokens, bucket.filled_at
    if filled_at < segments[0].starts_at:
        tokens, filled_at = 0, segments[0].starts_at
    taken = sum(one.tokens for one in bucket.open_slices)
    ends = (*(one.starts_at for one in segments[1:]), now)
    for segment, ends_at in zip(segments, ends, strict=True):
        if ends_at < filled_at:
            continue
        added = (ends_at - filled_at) * organisation.rate_per_second * segment.share
        tokens = min(tokens + added, max(organisation.burst * segment.share - taken, 0))
        filled_at = ends_at
    return dataclasses.replace(bucket, tokens=tokens, filled_at=filled_at)


def _with_reports(bucket: Bucket, request: SliceRequest, capacity: float) -> Bucket:
    """Close the reported slices; unspent tokens return if the slice still counted."""
    unspent_by_id = {report.slice_id: report.unspent for report in request.reports}
    returned = sum(
        min(unspent_by_id[one.slice_id], one.tokens)
        for one in bucket.open_slices
        if one.slice_id in unspent_by_id
    )
    still_open = tuple(one for one in bucket.open_slices if one.slice_id not in unspent_by_id)
    room = max(capacity - sum(one.tokens for one in still_open), 0)
    return Bucket(min(bucket.tokens + returned, room), bucket.filled_at, still_open)


def _grantable(tokens: float, request: SliceRequest) -> int:
    """Return whole tokens: all that requests wait for, and at most half of the rest."""
    available = math.floor(tokens + _TOKEN_TOLERANCE)
    needed = min(request.needed, available)
    expected = max(request.wanted - request.needed, 0)
    return needed + min(expected, (available - needed) // 2)
