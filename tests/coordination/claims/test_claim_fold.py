"""Folding of claim records: all readers of a partition reach consistent decisions."""

from hypothesis import given, settings
from hypothesis import strategies as st

from turmericwharf.coordination import PartitionClaims, fold_claim
from turmericwharf.state import Claimed, Released

HOLD_SECONDS = 100.0
LOG_RETENTION_SECONDS = 3 * HOLD_SECONDS

# Seconds since the previous attempt, whether the reader lacks the records that the log dropped,
# and whether a winner releases its claim.
attempts = st.lists(
    st.tuples(st.sampled_from((0, 30, 60, 90, 110)), st.booleans(), st.sampled_from((0, 0, 0, 1))),
    min_size=10,
    max_size=40,
)


def _read(records: list) -> PartitionClaims:
    claims = PartitionClaims(HOLD_SECONDS)
    for _, record in records:
        fold_claim(record, claims)
    return claims


@settings(max_examples=300, derandomize=True, database=None)
@given(attempts)
def test_two_readers_never_grant_one_key_within_the_hold_time(steps):
    """Guards against granting a held key at a reader that lacks the records the log dropped."""
    records: list = []
    now, held_until = 0.0, float('-inf')
    for number, (gap, is_late_reader, releases) in enumerate(steps):
        now += gap
        records.append((now, Claimed('key', f'claim-{number}', 'content', now)))
        kept = [entry for entry in records if entry[0] > now - LOG_RETENTION_SECONDS]
        state = _read(kept if is_late_reader else records).find('key')
        if state is None or state.claim != f'claim-{number}' or state.released:
            continue
        assert now >= held_until, f'{number} was granted at {now}, held until {held_until}'
        held_until = now + HOLD_SECONDS
        if releases:
            records.append((now, Released('key', f'claim-{number}')))
            held_until = now


def test_claim_made_before_a_long_pause_does_not_win():
    """Guards against a late record of a paused coordinator.

    The record must not win after the claim that came first was evicted.
    """
    records = [
        (0, Claimed('key', 'first', 'content', 10.0)),
        (0, Claimed('other', 'other', 'content', 10.0 + 3 * HOLD_SECONDS)),
        (0, Claimed('key', 'paused', 'content', 11.0)),
    ]
    assert _read(records).find('key') is None


def test_expired_claims_are_evicted():
    """Guards against unbounded growth of the claims in memory."""
    records = [(0, Claimed(f'key-{at}', f'claim-{at}', 'content', float(at))) for at in range(2000)]
    assert len(_read(records)) <= 2 * HOLD_SECONDS + 1
