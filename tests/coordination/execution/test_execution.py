"""The executing node: at-most-once execution, accurate rejections, cancellation and deadlines."""

import asyncio
import dataclasses
from types import SimpleNamespace

from tests.coordination.fakes import ManualClock, ManualServer, members, order
from turmericwharf.coordination import Executor
from turmericwharf.state import (
    NO_STANDING,
    Answered,
    ClaimId,
    ClaimReference,
    LimitSettings,
    NotRun,
    OutcomeUnknown,
    Reason,
    RequestId,
    ServerState,
    ServiceId,
)


class Check:
    failure = None

    def refusal(self, order):
        return self.failure


class Setup:
    def __init__(self, slots: int = 1) -> None:
        self.clock, self.server, self.check = ManualClock(), ManualServer(), Check()
        self.executor = Executor(
            server=self.server,
            members=members(self.clock),
            check=self.check,
            claims=None,
            limits=LimitSettings(),
            clock=self.clock,
            wall_clock=self.clock,
        )
        self.executor.record_announcement(ServiceId('bookings'), slots, ServerState.READY)

    def execute(self, message) -> asyncio.Task:
        return asyncio.create_task(self.executor.execute(message))


async def _settle() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


async def test_run_that_outlives_its_deadline_keeps_its_slot():
    """Guards against exceeding the slots of a server, and against reporting not-run wrongly.

    A run that continues after its deadline still holds its slot, and its outcome is unknown.
    """
    setup = Setup()
    outcome = await setup.executor.execute(order('late', seconds=0.05))
    assert isinstance(outcome, OutcomeUnknown)
    waiting = setup.execute(order('next'))
    await _settle()
    assert list(setup.server.runs_by_id) == ['late']
    assert not setup.server.cancelled
    setup.server.finish('late')
    await _settle()
    setup.server.finish('next')
    assert isinstance(await waiting, Answered)


async def test_cancelled_work_is_dropped_from_the_queue_or_cancelled_at_the_server():
    """Guards against work for disconnected callers, and against cancelling a started booking.

    Queued requests are dropped, started idempotent ones are cancelled at the server, and other
    started requests run to completion.
    """
    setup = Setup(slots=2)
    running = [setup.execute(order('book')), setup.execute(order('read', idempotent=True))]
    queued = setup.execute(order('queued'))
    await _settle()
    for request in ('book', 'read', 'queued'):
        setup.executor.cancel(RequestId(request))
    assert (await queued).reason is Reason.CALLER_LEFT
    await _settle()
    assert setup.server.cancelled == ['read']
    for request in ('book', 'read'):
        setup.server.finish(request)
    answers = await asyncio.gather(*running)
    assert all(isinstance(answer, Answered) for answer in answers)
    assert set(setup.server.runs_by_id) == {'book', 'read'}
    assert setup.executor.in_progress == 0


async def test_disconnected_caller_does_not_end_a_started_booking():
    """Guards against aborting a started run when the caller's connection task is cancelled."""
    setup = Setup()
    disconnecting = setup.execute(order('book'))
    await _settle()
    disconnecting.cancel()
    await _settle()
    assert setup.executor.in_progress == 1
    setup.server.finish('book')
    await _settle()
    assert setup.executor.in_progress == 0


async def test_second_copy_of_a_frame_does_not_run():
    """Guards against running a duplicate frame, and against keeping request ids forever."""
    setup = Setup(slots=2)
    first = setup.execute(order('one', seconds=1.0))
    await _settle()
    second = await setup.executor.execute(order('one', seconds=1.0))
    assert isinstance(second, OutcomeUnknown)
    assert second.reason is Reason.DUPLICATE_REQUEST
    setup.server.finish('one')
    await first
    assert setup.executor.remembered_request_count == 1
    setup.clock.at += 60
    for number in range(3):
        await setup.executor.execute(order(f'old-{number}', seconds=-1.0))
        setup.clock.at += 60
    assert setup.executor.remembered_request_count == 1


async def test_old_work_does_not_run_after_a_pause():
    """Guards against running a frame that waited in a socket until after its deadline."""
    setup = Setup()
    old = await setup.executor.execute(order('old', seconds=2.0, sent_at=setup.clock.at - 10))
    assert isinstance(old, NotRun)
    assert old.reason is Reason.DEADLINE_PASSED
    setup.check.failure = NO_STANDING
    rejected = await setup.executor.execute(order('unsure'))
    assert isinstance(rejected, NotRun)
    assert not setup.server.runs_by_id


async def test_draining_server_stays_draining():
    """Guards against new work for a server that announces ready while its node shuts down."""
    setup = Setup()
    setup.executor.drain()
    setup.executor.record_announcement(ServiceId('bookings'), 1, ServerState.READY)
    refused = await setup.executor.execute(order('new'))
    assert isinstance(refused, NotRun)
    assert refused.reason is Reason.SERVER_DRAINING


def claimed_order(request, *, seconds=1.0, incarnation='a'):
    claim = ClaimReference('fingerprint', ClaimId(f'claim-of-{request}'))
    return dataclasses.replace(
        order(request, seconds=seconds), claim=claim, incarnation=incarnation
    )


async def test_second_copy_of_a_claimed_order_gets_the_refusal_of_the_first():
    """Guards against keys that stay blocked because a refusal was lost with its connection."""
    setup = Setup()
    late = claimed_order('late', seconds=-1)
    refused = await setup.execute(late)
    assert refused.reason is Reason.DEADLINE_PASSED
    assert await setup.execute(late) == refused
    assert not setup.server.runs_by_id


async def test_second_copy_of_a_claimed_order_joins_the_run_of_the_first():
    """Guards against a second run, and against a refusal of what runs."""
    setup = Setup()
    first = setup.execute(claimed_order('book'))
    await _settle()
    second = setup.execute(claimed_order('book'))
    await _settle()
    assert list(setup.server.runs_by_id) == ['book']
    setup.executor._claims = SimpleNamespace(finish=lambda claim, answer: None)
    setup.server.finish('book')
    assert await first == await second
    assert isinstance(await setup.execute(claimed_order('book')), OutcomeUnknown)


async def test_order_for_a_replaced_process_has_an_unknown_outcome():
    """Guards against "not run" from a process that cannot know what its predecessor ran."""
    setup = Setup()
    late = claimed_order('late', seconds=-1, incarnation='replaced')
    outcome = await setup.execute(late)
    assert isinstance(outcome, OutcomeUnknown)
    assert outcome.reason is Reason.PROCESS_REPLACED
