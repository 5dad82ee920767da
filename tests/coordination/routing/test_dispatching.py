"""Attempts made by the entry node: accurate not-run outcomes, and cancellation."""

import asyncio
import dataclasses
from types import SimpleNamespace

import pytest

from tests.coordination.fakes import ManualClock, NoLinks, members
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination import Dispatcher
from turmericwharf.state import (
    PEER_LINK_LOST,
    PEER_TIMEOUT,
    PEER_UNREACHABLE,
    AdmittedRequest,
    CallerRequest,
    Cancel,
    ClaimId,
    ClaimReference,
    Importance,
    LimitSettings,
    Member,
    NotRun,
    OutcomeUnknown,
    Reason,
)


class Router:
    def choose(self, admitted, excluded):
        instance = next((node for node in ('node-2', 'node-3') if node not in excluded), None)
        return SimpleNamespace(instance=instance, probe=False) if instance else None

    def record_outcome(self, admitted, attempt, outcome): ...

    def record_abandoned(self, attempt): ...


class Links(NoLinks):
    def __init__(self, *answers) -> None:
        super().__init__()
        self.answers = list(answers)
        self.sent: list = []

    async def request(self, instance, message, *, timeout_seconds):
        self.sent.append((instance, message.request))
        if not self.answers:
            await asyncio.Event().wait()
        return self.answers.pop(0)


def _dispatcher(links, clock=None) -> Dispatcher:
    clock = clock or ManualClock()
    return Dispatcher(
        executor=None,
        members=members(clock),
        router=Router(),
        links=links,
        limits=LimitSettings(),
        clock=clock,
        wall_clock=clock,
    )


def _request(*, idempotent: bool) -> AdmittedRequest:
    request = CallerRequest('request', 'GET', '/bookings', (), b'')
    return AdmittedRequest(
        request, 'org', 'route', 'bookings', Importance.NORMAL, idempotent, 1010.0
    )


async def test_attempt_that_may_have_run_is_not_reported_as_not_run():
    """Guards against reporting not-run when an earlier attempt may have run.

    The first attempt times out and the second is rejected before it runs.
    """
    links = Links(PEER_TIMEOUT, NotRun(Reason.QUEUE_FULL))
    outcome = await _dispatcher(links).dispatch(_request(idempotent=True))
    assert [instance for instance, _ in links.sent] == ['node-2', 'node-3']
    assert outcome == OutcomeUnknown(PEER_TIMEOUT.reason, PEER_TIMEOUT.detail)


async def test_non_idempotent_request_is_sent_again_only_after_not_run():
    """Guards against a second run of a non-idempotent request after an unknown outcome."""
    links = Links(NotRun(Reason.SERVER_DRAINING), PEER_TIMEOUT)
    outcome = await _dispatcher(links).dispatch(_request(idempotent=False))
    assert isinstance(outcome, OutcomeUnknown)
    links = Links(PEER_TIMEOUT, NotRun(Reason.QUEUE_FULL))
    assert isinstance(await _dispatcher(links).dispatch(_request(idempotent=False)), OutcomeUnknown)
    assert len(links.sent) == 1
    # The entry node cancels the attempt at the executing node, since nobody waits for it any more.
    assert links.notified == [('node-2', Cancel('request-0'))]


@pytest.mark.parametrize('task_is_cancelled', [True, False])
async def test_attempt_is_cancelled_when_the_caller_disconnects(task_is_cancelled):
    """Guards against executing nodes that keep working for disconnected callers.

    The attempt must be cancelled if the caller's task or the request itself is cancelled.
    """
    links = Links()
    dispatcher = _dispatcher(links)
    dispatching = asyncio.create_task(dispatcher.dispatch(_request(idempotent=True)))
    while not links.sent:
        await asyncio.sleep(0)
    if task_is_cancelled:
        dispatching.cancel()
    else:
        dispatcher.cancel('request')
    await asyncio.sleep(0)
    assert links.notified == [('node-2', Cancel('request-0'))]
    dispatching.cancel()


def dispatch_claimed(*answers, knows_incarnation=True):
    """Dispatch a claimed request; return its outcome and the messages that were sent."""

    async def main():
        links, clock = Links(*answers), LoopClock()
        dispatcher = _dispatcher(links, clock)
        if knows_incarnation:
            dispatcher._members.introduce(Member('node-2', 'b', '127.0.0.1', 2, 'dc-1'))
        claimed = dataclasses.replace(
            _request(idempotent=False),
            claim=ClaimReference('fingerprint', ClaimId('claim')),
            deadline=1.0,
        )
        return await dispatcher.dispatch(claimed), links.sent

    return run_in_virtual_time(main())


def test_the_outcome_of_a_claimed_request_is_asked_for_after_a_lost_connection():
    """Guards against keys that stay blocked after a pause of the executing node.

    The paused node is taken for lost, and its refusals cannot be delivered when it goes on.
    """
    refusal = NotRun(Reason.DEADLINE_PASSED)
    outcome, sent = dispatch_claimed(PEER_LINK_LOST, PEER_UNREACHABLE, PEER_LINK_LOST, refusal)
    assert outcome == refusal
    assert sent == [('node-2', 'request-0')] * 4


def test_a_claimed_request_stays_unknown_if_its_process_does_not_come_back():
    """Guards against "not run" for a request that a killed process may have run."""
    outcome, sent = dispatch_claimed(PEER_LINK_LOST, *[PEER_UNREACHABLE] * 100)
    assert isinstance(outcome, OutcomeUnknown)
    assert {instance for instance, _ in sent} == {'node-2'}
    # A process of unknown identity is not asked, as its answer would mean nothing.
    outcome, sent = dispatch_claimed(
        PEER_LINK_LOST, NotRun(Reason.DEADLINE_PASSED), knows_incarnation=False
    )
    assert isinstance(outcome, OutcomeUnknown)
    assert len(sent) == 1
