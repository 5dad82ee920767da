"""Claims in the log: every reader of a partition comes to decisions that fit together."""

from hypothesis import given, settings
from hypothesis import strategies as st

from turmericwharf.coordination import PartitionClaims, fold_claim
from turmericwharf.state import Claimed, Released

HOLD_SECONDS = 100.0
LOG_SECONDS = 3 * HOLD_SECONDS

# Gap to the attempt before, whether the reader lacks dropped records, whether a winner gives back.
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
    """Guards against a reader without the dropped records that grants a key which is held."""
    records: list = []
    now, held_until = 0.0, float('-inf')
    for number, (gap, is_late_reader, gives_back) in enumerate(steps):
        now += gap
        records.append((now, Claimed('key', f'claim-{number}', 'content', now)))
        kept = [one for one in records if one[0] > now - LOG_SECONDS]
        state = _read(kept if is_late_reader else records).find('key')
        if state is None or state.claim != f'claim-{number}' or state.released:
            continue
        assert now >= held_until, f'{number} was granted at {now}, held until {held_until}'
        held_until = now + HOLD_SECONDS
        if gives_back:
            records.append((now, Released('key', f'claim-{number}')))
            held_until = now


def test_claim_made_before_a_long_pause_does_not_win():
    """Guards against a record of a paused coordinator that wins after the real claim is gone."""
    records = [
        (0, Claimed('key', 'first', 'content', 10.0)),
        (0, Claimed('other', 'other', 'content', 10.0 + 3 * HOLD_SECONDS)),
        (0, Claimed('key', 'paused', 'content', 11.0)),
    ]
    assert _read(records).find('key') is None


def test_index_forgets_what_can_no_longer_matter():
    """Guards against an index that grows for as long as the node runs."""
    records = [(0, Claimed(f'key-{at}', f'claim-{at}', 'content', float(at))) for at in range(2000)]
    assert len(_read(records)) <= 2 * HOLD_SECONDS + 1
