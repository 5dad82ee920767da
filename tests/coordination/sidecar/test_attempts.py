import asyncio
import dataclasses

from tests.coordination.sidecar.samples import make_entry, make_request, make_route
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.admission import NO_ORGANISATION, AdmittedFleetRequest
from turmericwharf.coordination.sidecar.attempt_progress import AttemptProgress
from turmericwharf.coordination.sidecar.attempts import AttemptRunner
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_sender import refused_answer, unknown_answer
from turmericwharf.coordination.sidecar.placement import PLACEMENT_STEPS_BY_COURSE
from turmericwharf.coordination.sidecar.placement import Reach
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.state import Answered, NotRun, OutcomeUnknown, Reason
from turmericwharf.state.sidecar import StoredEntry, WorkAnswer

SUCCESS = WorkAnswer(Answered(200, (), b'ok'), None, None, True, 0, 0, 5)
ERROR = WorkAnswer(Answered(500, (), b''), None, None, True, 0, 0, 5)
BROKEN = unknown_answer(Reason.ANSWER_INCOMPLETE, 'reset')
SHED = dataclasses.replace(refused_answer(Reason.SERVER_SHED, 'full'), reached_server=True)
OPEN = refused_answer(Reason.BREAKER_OPEN, 'open')
UNREACHABLE = refused_answer(Reason.PEER_UNREACHABLE, 'no connection')
FULL = refused_answer(Reason.QUEUE_FULL, 'full')
NO_ANSWER = None


class ScriptedSender:
    """Returns scripted answers by the number of the attempt; `NO_ANSWER` hangs."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.sent = []
        self.repeats = []
        self.cancelled = 0

    async def send(self, admitted, entry, terms):
        self.repeats.append(terms.is_repeat)
        self.sent.append((entry.instance, terms.may_be_trial))
        answer = self.answers[min(terms.attempt_number, len(self.answers)) - 1]
        if answer is NO_ANSWER:
            try:
                await asyncio.sleep(terms.allowed_seconds)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
            return unknown_answer(Reason.ANSWER_TIMEOUT, 'late')
        return answer


class FixedRetryBudget:
    """Allows a fixed number of retries."""

    def __init__(self, retries) -> None:
        self.remaining = retries

    def record_request(self, service, *, has_no_organisation) -> None:
        """Ignore requests; they add no retries here."""

    async def acquire(self, service):
        self.remaining -= 1
        return self.remaining >= 0


def run(sender, *, retries=100.0, servers=6, service='bookings', organisation='cafe', **route):
    async def main():
        clock = LoopClock()
        directory = NodeDirectory(make_entry('own'), clock)
        for number in range(servers - 1):
            directory.apply(StoredEntry(make_entry(f'n{number}'), 0), source='test')
        rule = make_route(**route)
        admitted = AdmittedFleetRequest(
            request=make_request(),
            route=rule,
            service=service,
            organisation=organisation,
            queue_priority=0,
            admitted_at=clock.now(),
            deadline=clock.now() + rule.timeout_seconds,
            latency_target_at=clock.now() + rule.target_seconds,
            version=5,
        )
        runner = AttemptRunner(
            selector=ServerSelector(directory, clock),
            sender=sender,
            retry_budget=FixedRetryBudget(retries),
            clock=clock,
        )
        outcome = await runner.run(admitted)
        return outcome, clock.now() - admitted.admitted_at

    return run_in_virtual_time(main())


def test_non_idempotent_request_is_retried_only_if_it_was_not_run():
    """A booking must not run twice because it is retried after a connection reset."""
    sender = ScriptedSender(OPEN, BROKEN, SUCCESS)
    outcome, _ = run(sender)
    assert outcome == OutcomeUnknown(Reason.ANSWER_INCOMPLETE, 'reset')
    assert len({instance for instance, _ in sender.sent}) == 2


def test_idempotent_request_is_retried_up_to_the_attempts_of_its_route():
    """A read must not fail while another server can answer, nor reach too many servers."""
    sender = ScriptedSender(BROKEN, BROKEN, SUCCESS)
    assert isinstance(run(sender, idempotent=True, attempts=2)[0], OutcomeUnknown)
    assert len(sender.sent) == 2
    sender = ScriptedSender(BROKEN, ERROR, SUCCESS)
    assert run(sender, idempotent=True, attempts=3)[0].status == 200


def test_retries_stop_at_the_budget():
    """Retries must not multiply the load when all servers fail."""
    sender = ScriptedSender(BROKEN)
    run(sender, idempotent=True, attempts=5, retries=2)
    assert len(sender.sent) == 3


def test_refusals_by_nodes_use_no_budget():
    """Refusals by open breakers must not use up the retries of requests whose server failed."""
    sender = ScriptedSender(BROKEN, OPEN, OPEN, OPEN, SUCCESS)
    outcome, _ = run(sender, idempotent=True, attempts=2, retries=1)
    assert isinstance(outcome, Answered)
    sender = ScriptedSender(SHED, OPEN, SHED, SUCCESS)
    assert isinstance(run(sender, retries=1)[0], NotRun)
    assert len(sender.sent) == 3


def test_rejections_of_servers_use_the_budget_but_not_the_attempts():
    """A request that no server ran must not fail after as many rejections as its attempts."""
    sender = ScriptedSender(SHED, SHED, SHED, SUCCESS)
    assert run(sender, attempts=2)[0].status == 200
    sender = ScriptedSender(SHED)
    assert isinstance(run(sender, attempts=2, retries=1)[0], NotRun)
    assert len(sender.sent) == 2


def test_order_is_marked_as_repeat_once_the_request_has_reached_a_server():
    """Unmarked orders would keep the calls of a retried request from counting as retries."""
    sender = ScriptedSender(OPEN, BROKEN, SUCCESS)
    run(sender, idempotent=True, attempts=3)
    assert sender.repeats == [False, False, True]
    sender = ScriptedSender(NO_ANSWER, SUCCESS)
    run(sender, idempotent=True)
    assert sender.repeats == [False, True]


def test_last_attempt_is_no_trial_of_a_failing_server():
    """A trial that fails would lose a request that has no attempt left."""
    sender = ScriptedSender(BROKEN, SUCCESS)
    run(sender, idempotent=True, attempts=2)
    assert [may_be_trial for _, may_be_trial in sender.sent] == [True, False]
    sender = ScriptedSender(SUCCESS)
    run(sender, idempotent=False)
    assert [may_be_trial for _, may_be_trial in sender.sent] == [False]


def test_idempotent_request_is_hedged_when_a_server_does_not_answer():
    """Without a hedge, a read would wait until its deadline for a server that hangs."""
    sender = ScriptedSender(NO_ANSWER, SUCCESS)
    outcome, seconds = run(sender, idempotent=True)
    assert outcome.status == 200
    assert seconds < 1.5
    assert sender.cancelled == 1


def test_first_attempt_continues_after_the_hedge_was_refused():
    """A running request must not be abandoned because the hedge was refused."""

    class SlowFirstSender(ScriptedSender):
        async def send(self, admitted, entry, terms):
            if terms.attempt_number > 1:
                return FULL
            await asyncio.sleep(1.2)
            return SUCCESS

    assert run(SlowFirstSender(), idempotent=True)[0].status == 200


def test_request_is_refused_early_when_all_servers_are_full():
    """A caller must not wait until its deadline for a refusal.

    Each step of the placement asks one server at most.
    """
    sender = ScriptedSender(FULL)
    outcome, seconds = run(sender, servers=20)
    assert isinstance(outcome, NotRun)
    assert seconds < 0.1
    assert len(sender.sent) <= max(len(steps) for steps in PLACEMENT_STEPS_BY_COURSE.values())


def test_servers_that_refuse_temporarily_are_retried():
    """A request must not fail because all breakers were open for a tenth of a second."""
    sender = ScriptedSender(*[OPEN] * 7, SUCCESS)
    assert run(sender)[0].status == 200


def test_request_for_a_service_without_servers_is_refused_early():
    """A request for a service without servers must not wait until its deadline."""
    sender = ScriptedSender(SUCCESS)
    outcome, seconds = run(sender, service='records')
    assert outcome.reason is Reason.NO_CAPACITY
    assert seconds < 0.5
    assert not sender.sent


def test_another_server_is_asked_after_two_lost_nodes():
    """Guards against a refusal while idle servers remain, because lost nodes took too long.

    After the loss of a rack each node finds the lost ones by its own requests.
    """

    class SlowToFail(ScriptedSender):
        async def send(self, admitted, entry, terms):
            answer = await super().send(admitted, entry, terms)
            if answer is UNREACHABLE:
                await asyncio.sleep(0.15)
            return answer

    sender = SlowToFail(UNREACHABLE, UNREACHABLE, SUCCESS)
    outcome, seconds = run(sender)
    assert outcome.status == 200
    assert seconds < 0.4


def test_a_call_of_a_server_is_not_given_up_while_it_has_time():
    """Guards against requests that fail late because one of their calls was refused early.

    The server that called holds its slot, and has done the work before the call for nothing.
    """

    class FullForAWhile(ScriptedSender):
        async def send(self, admitted, entry, terms):
            answer = await super().send(admitted, entry, terms)
            if answer is FULL:
                await asyncio.sleep(terms.max_wait_seconds)
            return answer

    first_steps = [FULL] * 4
    target = {'target_seconds': 0.2, 'timeout_seconds': 0.6}
    sender = FullForAWhile(*first_steps, SUCCESS)
    assert run(sender, organisation=NO_ORGANISATION, **target)[0].status == 200
    # A client can try again, and its request has used no server yet.
    sender = FullForAWhile(*[FULL] * 20)
    outcome, seconds = run(sender, **target)
    assert outcome.reason is Reason.QUEUE_FULL
    assert seconds < 0.3


def test_refusals_of_an_evacuated_data_centre_lead_to_another_one():
    """Guards against entry nodes that ask each server of a data centre before they hear of its
    evacuation, and then refuse the request.
    """
    progress = AttemptProgress()
    for number in range(4):
        progress.record_refusal(f'n{number}', NotRun(Reason.DATA_CENTRE_EVACUATED))
    assert progress.placement.step.reach is Reach.REMOTE


def test_servers_that_are_gone_cost_an_idempotent_request_no_attempt():
    """Guards against a final response after 24 ms, because the first two servers were gone."""
    refused_connection = dataclasses.replace(
        refused_answer(Reason.SERVER_UNREACHABLE, 'refused'), reached_server=True
    )
    sender = ScriptedSender(refused_connection, UNREACHABLE, refused_connection, SUCCESS)
    outcome, _ = run(sender, idempotent=True, attempts=2, retries=0)
    assert outcome.status == 200
    sender = ScriptedSender(*[UNREACHABLE] * 15, SUCCESS)
    outcome, _ = run(sender, servers=20, idempotent=True, attempts=2)
    assert outcome.status == 200


def test_a_request_waits_for_a_server_to_return():
    """Guards against a refusal while most of the time is left and the servers restart."""
    sender = ScriptedSender(*[UNREACHABLE] * 8, SUCCESS)
    route = {'target_seconds': 4.0, 'timeout_seconds': 20.0}
    outcome, seconds = run(sender, servers=3, idempotent=True, **route)
    assert outcome.status == 200
    assert seconds > 0.1
