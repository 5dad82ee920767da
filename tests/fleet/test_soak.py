"""A short seeded run of the fault soak."""

import random
from types import SimpleNamespace

import pytest

from tests.soak import WITHDRAWN_KEY, RequestRecord, Soak, play

# Add each seed that ever failed, with a line on its cause.
SEEDS = (2,)


@pytest.mark.parametrize('seed', SEEDS)
async def test_promises_hold_under_random_faults(seed):
    """A promise would break only when faults overlap."""
    report = await play(seed)
    assert report['broken'] == [], '\n'.join(report['timeline'])
    assert report['requests'] > 200


def test_run_for_a_withdrawn_key_is_found():
    """The soak would pass although a withdrawn key goes on working."""
    soak = Soak(SimpleNamespace(runs=lambda request: 1), random.Random(1), withdrawn_at=10.0)
    soak.records = [
        RequestRecord(name, WITHDRAWN_KEY, True, at, 200, b'', name)
        for name, at in (('early', 12.0), ('late', 16.0))
    ]
    assert [*soak.find_runs_after_withdrawal(ended_at=9.0)] == ['late ran for a withdrawn key']
    assert not [*soak.find_runs_after_withdrawal(ended_at=14.0)]
