"""Attempts made by the entry node: accurate not-run outcomes, and cancellation."""

import asyncio
from types import SimpleNamespace

import pytest

from tests.coordination.fakes import ManualClock, NoLinks, members
from turmericwharf.coordination import Dispatcher
from turmericwharf.state import (
    PEER_TIMEOUT,
    AdmittedRequest,
    CallerRequest,
    Cancel,
    Importance,
    LimitSettings,
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


def _dispatcher(links) -> Dispatcher:
    clock = ManualClock()
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
