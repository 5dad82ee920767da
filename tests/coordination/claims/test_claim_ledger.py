"""Claims through two coordinators on one log that fails."""

import asyncio

import pytest

from tests.coordination.fakes import ManualClock, MemoryLog, members
from turmericwharf.coordination import ClaimLedger
from turmericwharf.state import (
    Acknowledged,
    ClaimFailed,
    ClaimFinish,
    ClaimGranted,
    ClaimId,
    ClaimOutcomeRequest,
    ClaimRelease,
    ClaimRequest,
    ClaimTaken,
    LimitSettings,
)


def _ledger(log, clock, appends_per_second: float = 1e6) -> ClaimLedger:
    return ClaimLedger(
        log=log,
        members=members(clock),
        limits=LimitSettings(claim_appends_per_second=appends_per_second),
        clock=clock,
        wall_clock=clock,
    )


@pytest.mark.parametrize('seed', range(20))
async def test_one_grant_for_each_key_with_lost_answers_and_two_coordinators(seed):
    """Guards against two claimers that are both told that they came first."""
    log, clock = MemoryLog(seed), ManualClock()
    log.lost_append_share, log.failed_append_share, log.failed_read_share = 0.3, 0.1, 0.2
    ledgers = [_ledger(log, clock), _ledger(log, clock)]
    granted_by_key: dict[str, list] = {}

    async def claim(number: int) -> None:
        key, claim_id = f'key-{number % 5}', ClaimId(f'claim-{number}')
        request = ClaimRequest(7, key, claim_id, 'content')
        # A claimer whose coordinator failed asks the other one for the same claim.
        for attempt in range(6):
            answer = await ledgers[(number + attempt) % 2].claim(request)
            if not isinstance(answer, ClaimFailed):
                break
        if isinstance(answer, ClaimGranted):
            granted_by_key.setdefault(key, []).append(claim_id)

    await asyncio.gather(*(claim(number) for number in range(60)))
    assert granted_by_key
    assert all(len(claims) == 1 for claims in granted_by_key.values()), granted_by_key


async def test_appends_keep_to_the_budget_with_one_in_flight():
    """Guards against one append for each claim, which would use up the log's appends."""
    log, clock = MemoryLog(), ManualClock()
    ledger = _ledger(log, clock, appends_per_second=50)
    requests = [ClaimRequest(7, f'key-{one}', ClaimId(str(one)), '') for one in range(200)]
    async with asyncio.timeout(3):
        answers = await asyncio.gather(*(ledger.claim(one) for one in requests))
    assert all(isinstance(one, ClaimGranted) for one in answers)
    # The clock stands still, so that only the first turn and one more can have come.
    assert log.appends <= 2
    assert log.max_in_flight == 1


async def test_outcome_is_waited_for_and_a_released_key_is_free():
    """Guards against a retry that is refused although the outcome is about to be known."""
    log, clock = MemoryLog(), ManualClock()
    ledger, other = _ledger(log, clock), _ledger(log, clock)
    await ledger.claim(ClaimRequest(7, 'key', ClaimId('first'), 'content'))
    waiting = asyncio.create_task(other.wait_for_outcome(ClaimOutcomeRequest(7, 'key', 5000)))
    finished = await ledger.finish(ClaimFinish(7, 'key', ClaimId('first'), 201, 'node-1'))
    assert finished == Acknowledged()
    assert await waiting == ClaimTaken('first', 'content', 201, 'node-1')
    await ledger.claim(ClaimRequest(7, 'key-2', ClaimId('second'), 'content'))
    # Only the claim that holds a key can give it back.
    await other.release(ClaimRelease(7, 'key-2', ClaimId('third')))
    taken = await ledger.claim(ClaimRequest(7, 'key-2', ClaimId('third'), 'content'))
    assert isinstance(taken, ClaimTaken)
    await other.release(ClaimRelease(7, 'key-2', ClaimId('second')))
    again = await ledger.claim(ClaimRequest(7, 'key-2', ClaimId('fourth'), 'content'))
    assert isinstance(again, ClaimGranted)
