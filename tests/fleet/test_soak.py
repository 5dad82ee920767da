"""A short seeded run of the fault soak."""

import random
from types import SimpleNamespace

import pytest

from tests.soak import WITHDRAWN_KEY, Soak, play
from tests.soak_records import RequestRecord

# Add every seed that fails, with a line that gives its cause.
# 204: a server left while its node stopped, and the next process used it.
SEEDS = (2, 204)


@pytest.mark.parametrize('seed', SEEDS)
async def test_promises_hold_under_random_faults(seed):
    """Guards against violations of the node's guarantees that need overlapping faults.

    The soak injects random faults at random times; the seed makes their sequence repeatable.
    """
    report = await play(seed)
    assert report['broken'] == [], '\n'.join(report['timeline'])
    assert report['requests'] > 200


def test_run_for_a_withdrawn_key_is_found():
    """Guards against a soak that passes although a withdrawn key still works.

    The check has to report a run that began after the withdrawal was in force, and no earlier one.
    """
    soak = Soak(SimpleNamespace(runs=lambda request: 1), random.Random(1), withdrawn_at=10.0)
    soak.records = [
        RequestRecord(name, WITHDRAWN_KEY, True, at, 200, b'', name)
        for name, at in (('early', 12.0), ('late', 16.0))
    ]
    assert [*soak.find_runs_after_withdrawal(ended_at=9.0)] == ['late ran for a withdrawn key']
    assert not [*soak.find_runs_after_withdrawal(ended_at=14.0)]
