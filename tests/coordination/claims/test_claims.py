"""The claiming node: what it must record reaches the log, and answers are kept within bounds."""

import asyncio

from tests.coordination.fakes import ManualClock, MemoryLog, NoLinks, members
from turmericwharf.coordination import ClaimClient, ClaimLedger, KeptAnswers, partition_of
from turmericwharf.state import (
    Answered,
    ClaimFailed,
    ClaimGranted,
    ClaimReference,
    Finished,
    LimitSettings,
    TimingSettings,
)


class Setup:
    def __init__(self) -> None:
        self.log, self.clock, view = MemoryLog(), ManualClock(), None
        view = members(self.clock)
        limits = LimitSettings(claim_appends_per_second=1e6)
        ledger = ClaimLedger(
            log=self.log,
            members=view,
            limits=limits,
            clock=self.clock,
            wall_clock=self.clock,
        )
        self.claims = ClaimClient(
            ledger=ledger,
            members=view,
            links=NoLinks(),
            timing=TimingSettings(),
            limits=limits,
            clock=self.clock,
        )

    async def claim(self, claim: str):
        return await self.claims.claim(ClaimReference('key', claim), 'content', 5)

    async def wait_until_recorded(self) -> None:
        async with asyncio.timeout(10):
            while self.claims.recording:
                await asyncio.sleep(0.01)


async def test_release_and_outcome_survive_an_outage_of_the_log():
    """Guards against a key that stays taken because one append failed."""
    setup = Setup()
    assert isinstance(await setup.claim('first'), ClaimGranted)
    setup.log.failed_append_share = 1.0
    setup.claims.release(ClaimReference('key', 'first'))
    await asyncio.sleep(0.4)
    setup.log.failed_append_share = 0
    await setup.wait_until_recorded()
    assert isinstance(await setup.claim('second'), ClaimGranted)
    setup.log.lost_append_share = 1.0
    setup.claims.finish(ClaimReference('key', 'second'), Answered(201, (), b'done'))
    await setup.wait_until_recorded()
    records = setup.log.records_by_stream[f'claims-{partition_of("key")}']
    finished = [one.record for one in records if isinstance(one.record, Finished)]
    assert finished == [Finished('key', 'second', 201, 'node-1')]


async def test_claim_without_an_answer_holds_the_key_for_nobody():
    """Guards against a key that stays taken by a request that was refused."""
    setup = Setup()
    setup.log.failed_read_share = 1.0
    assert isinstance(await setup.claim('refused'), ClaimFailed)
    setup.log.failed_read_share = 0
    await setup.wait_until_recorded()
    assert isinstance(await setup.claim('next'), ClaimGranted)


def test_kept_answers_stay_within_their_bytes():
    """Guards against memory that grows with every answered booking."""
    kept = KeptAnswers(LimitSettings(kept_answer_bytes=1000), ManualClock())
    for number in range(100):
        kept.keep(f'claim-{number}', Answered(200, (), b'x' * 300))
    assert [kept.find(f'claim-{one}') is not None for one in (96, 97, 99)] == [False, True, True]
