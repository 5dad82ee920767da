"""A holder's buckets: what is admitted here or at entry nodes fits its share."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.simulated_rates import find_excess
from turmericwharf.coordination import RateBuckets, refill_bucket
from turmericwharf.state import (
    Bucket,
    Configuration,
    Organisation,
    ShareSegment,
    SliceReport,
    SliceRequest,
    TimingSettings,
)

ORGANISATION = Organisation('org', rate_per_second=40.0, burst=10.0)
TIMING = TimingSettings()


class _Holder:
    """Stands in for the clock, the configuration and the shares of a holder."""

    def __init__(self):
        self.moment = 0.0
        self.share = 1.0
        self.configuration = Configuration(organisations_by_id={'org': ORGANISATION})
        self.buckets = RateBuckets(loans=self, control_log=self, timing=TIMING, clock=self)

    def now(self):
        return self.moment

    def segments(self, partition):
        return (ShareSegment(-100.0, self.share),)

    def record_slice(self, partition, ends_at):
        """The holder lends nothing here."""


class _EntryNode:
    """Asks for tokens, and spends them at once or at the last moment."""

    def __init__(self, holder):
        self.holder = holder
        self.held = []
        self.reports = []
        self.admissions = []

    def ask(self, tokens, *, spends_late):
        request = SliceRequest('org', tokens, tokens, tuple(self.reports))
        self.reports = []
        granted = self.holder.buckets.grant(request)
        if granted.tokens:
            ends_at = self.holder.moment + granted.seconds * (1 - 0.02)
            self.held.append((ends_at, granted))
        if not spends_late:
            self._spend(self.holder.moment)

    def advance(self, seconds):
        while self.held and min(self.held)[0] <= self.holder.moment + seconds:
            self._spend(min(self.held)[0], only=min(self.held))
        self.holder.moment += seconds

    def _spend(self, moment, only=None):
        for held in [only] if only else list(self.held):
            self.held.remove(held)
            granted = held[1]
            self.admissions += [(moment, 'org')] * granted.tokens
            self.reports.append(SliceReport(granted.slice_id, 0))


@settings(deadline=None, derandomize=True, max_examples=300)
@given(
    st.lists(
        st.tuples(st.integers(1, 12), st.booleans(), st.sampled_from((0.0, 0.05, 0.2, 0.24, 1.0))),
        max_size=30,
    )
)
def test_slices_fit_the_capacity(steps):
    """Guards against tokens at entry nodes that add to a bucket which fills up meanwhile."""
    holder = _Holder()
    entries = [_EntryNode(holder), _EntryNode(holder)]
    for number, (tokens, spends_late, seconds) in enumerate(steps):
        entries[number % 2].ask(tokens, spends_late=spends_late)
        moment = holder.moment
        for entry in entries:
            holder.moment = moment
            entry.advance(seconds)
    admissions = entries[0].admissions + entries[1].admissions
    assert find_excess(admissions, rate=40.0, burst=10.0) is None


def test_unspent_tokens_return_once():
    """Guards against refusals inside the rate after a slice was not used, and double returns."""
    holder = _Holder()
    first = holder.buckets.grant(SliceRequest('org', 10, 10))
    report = (SliceReport(first.slice_id, 10),)
    second = holder.buckets.grant(SliceRequest('org', 10, 10, report))
    third = holder.buckets.grant(SliceRequest('org', 10, 10, report))
    assert (first.tokens, second.tokens, third.tokens) == (10, 10, 0)


def test_expected_requests_leave_half_for_other_entry_nodes():
    """Guards against one entry node that holds all tokens while another must refuse."""
    granted = _Holder().buckets.grant(SliceRequest('org', wanted=100, needed=0))
    assert granted.tokens == ORGANISATION.burst / 2


def test_time_without_share_empties_the_bucket():
    """Guards against tokens that both the borrower and the lender of a share count."""
    full = Bucket(tokens=10.0, filled_at=0.0)
    lent = (ShareSegment(0.0, 1.0), ShareSegment(1.0, 0.0), ShareSegment(2.0, 0.5))
    assert refill_bucket(full, lent, ORGANISATION, 2.1).tokens == pytest.approx(0.1 * 40 * 0.5)
    assert refill_bucket(full, lent, ORGANISATION, 9.0).tokens == 5.0


def test_new_bucket_starts_empty():
    """Guards against a replaced node that hands out a burst which its predecessor spent."""
    new = Bucket(tokens=0.0, filled_at=float('-inf'))
    started = (ShareSegment(5.0, 0.25),)
    assert refill_bucket(new, started, ORGANISATION, 5.0).tokens == 0
    assert refill_bucket(new, started, ORGANISATION, 5.1).tokens < 1.1


def test_only_idle_buckets_are_dropped():
    """Guards against memory that grows with each organisation, and drops that add tokens."""
    holder = _Holder()
    assert holder.buckets.try_acquire(ORGANISATION)
    holder.buckets.drop_idle()
    assert len(holder.buckets) == 1
    holder.moment += 0.03
    holder.buckets.drop_idle()
    assert len(holder.buckets) == 0
    assert sum(holder.buckets.try_acquire(ORGANISATION) for _ in range(20)) == ORGANISATION.burst
