import asyncio
import dataclasses

from tests.coordination.sidecar.samples import make_entry, make_request, make_route
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.admission import FleetAdmission
from turmericwharf.coordination.sidecar.attempts import AttemptRunner
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.orders import refused_answer, unknown_answer
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.state import Answered, NotRun, OutcomeUnknown, Reason
from turmericwharf.state.sidecar import StoredEntry, WorkAnswer

SUCCESS = WorkAnswer(Answered(200, (), b'ok'), None, None, True, 0, 0, 5)
ERROR = WorkAnswer(Answered(500, (), b''), None, None, True, 0, 0, 5)
BROKEN = unknown_answer(Reason.ANSWER_INCOMPLETE, 'reset')
SHED = dataclasses.replace(refused_answer(Reason.SERVER_SHED, 'full'), reached_server=True)
OPEN = refused_answer(Reason.BREAKER_OPEN, 'open')
FULL = refused_answer(Reason.QUEUE_FULL, 'full')
NEVER = None


class Sender:
    """Gives scripted answers by the number of the attempt; `NEVER` hangs."""

    def __init__(self, *answers) -> None:
        self.answers = list(answers)
        self.sent = []
        self.repeats = []
        self.cancelled = 0

    async def send(self, admitted, entry, *, number, may_try, is_repeat, **times):
        self.repeats.append(is_repeat)
        self.sent.append((entry.instance, may_try))
        answer = self.answers[min(number, len(self.answers)) - 1]
        if answer is NEVER:
            try:
                await asyncio.sleep(times['allowed_seconds'])
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
            return unknown_answer(Reason.ANSWER_TIMEOUT, 'late')
        return answer


class Allowance:
    """Allows so many retries."""

    def __init__(self, retries) -> None:
        self.left = retries

    def record_request(self, service, *, is_server_call) -> None:
        """Requests allow no retries here."""

    async def acquire(self, service):
        self.left -= 1
        return self.left >= 0


def run(sender, *, retries=100.0, servers=6, service='bookings', **route):
    async def main():
        clock = LoopClock()
        directory = NodeDirectory(make_entry('own'), clock)
        for number in range(servers - 1):
            directory.apply(StoredEntry(make_entry(f'n{number}'), 0), source='test')
        rule = make_route(**route)
        admitted = FleetAdmission(
            request=make_request(),
            route=rule,
            service=service,
            organisation='cafe',
            rank=0,
            admitted_at=clock.now(),
            deadline=clock.now() + rule.timeout_seconds,
            target_at=clock.now() + rule.target_seconds,
            version=5,
        )
        runner = AttemptRunner(
            selector=ServerSelector(directory, clock),
            sender=sender,
            allowance=Allowance(retries),
            clock=clock,
        )
        outcome = await runner.run(admitted)
        return outcome, clock.now() - admitted.admitted_at

    return run_in_virtual_time(main())


def test_work_that_must_not_repeat_goes_on_only_after_it_was_not_run():
    """A booking would be made twice after a reset connection."""
    sender = Sender(OPEN, BROKEN, SUCCESS)
    outcome, _ = run(sender)
    assert outcome == OutcomeUnknown(Reason.ANSWER_INCOMPLETE, 'reset')
    assert len({instance for instance, _ in sender.sent}) == 2


def test_idempotent_request_is_repeated_up_to_the_attempts_of_its_route():
    """A read would fail although another server could answer, or reach too many servers."""
    sender = Sender(BROKEN, BROKEN, SUCCESS)
    assert isinstance(run(sender, idempotent=True, attempts=2)[0], OutcomeUnknown)
    assert len(sender.sent) == 2
    sender = Sender(BROKEN, ERROR, SUCCESS)
    assert run(sender, idempotent=True, attempts=3)[0].status == 200


def test_repeats_stop_at_the_budget():
    """Retries would multiply the load when all servers fail."""
    sender = Sender(BROKEN)
    run(sender, idempotent=True, attempts=5, retries=2)
    assert len(sender.sent) == 3


def test_refusals_beside_servers_use_no_budget():
    """Open breakers would use up the retries of requests whose first server failed."""
    sender = Sender(BROKEN, OPEN, OPEN, OPEN, SUCCESS)
    outcome, _ = run(sender, idempotent=True, attempts=2, retries=1)
    assert isinstance(outcome, Answered)
    sender = Sender(SHED, OPEN, SHED, SUCCESS)
    assert isinstance(run(sender, retries=1)[0], NotRun)
    assert len(sender.sent) == 3


def test_rejections_of_servers_use_the_budget_but_not_the_attempts():
    """A request that no server ran would fail after as many rejections as it may run."""
    sender = Sender(SHED, SHED, SHED, SUCCESS)
    assert run(sender, attempts=2)[0].status == 200
    sender = Sender(SHED)
    assert isinstance(run(sender, attempts=2, retries=1)[0], NotRun)
    assert len(sender.sent) == 2


def test_order_says_whether_the_request_has_reached_a_server_before():
    """The calls of a repeated request would not count against the budget."""
    sender = Sender(OPEN, BROKEN, SUCCESS)
    run(sender, idempotent=True, attempts=3)
    assert sender.repeats == [False, False, True]
    sender = Sender(NEVER, SUCCESS)
    run(sender, idempotent=True)
    assert sender.repeats == [False, True]


def test_last_attempt_is_no_trial_of_a_failing_server():
    """A trial would lose the request that has no other server left."""
    sender = Sender(BROKEN, SUCCESS)
    run(sender, idempotent=True, attempts=2)
    assert [may_try for _, may_try in sender.sent] == [True, False]
    sender = Sender(SUCCESS)
    run(sender, idempotent=False)
    assert [may_try for _, may_try in sender.sent] == [False]


def test_silent_server_does_not_hold_an_idempotent_request():
    """A read would wait for its whole time on a server that hangs."""
    sender = Sender(NEVER, SUCCESS)
    outcome, seconds = run(sender, idempotent=True)
    assert outcome.status == 200
    assert seconds < 1.5
    assert sender.cancelled == 1


def test_first_server_may_still_answer_after_the_second_refused():
    """A request at work would be given up although no other server takes it."""

    class Late(Sender):
        async def send(self, admitted, entry, *, number, may_try, **times):
            if number > 1:
                return FULL
            await asyncio.sleep(1.2)
            return SUCCESS

    assert run(Late(), idempotent=True)[0].status == 200


def test_refusal_comes_early_when_all_are_full():
    """A caller would be held up to its deadline for a refusal."""
    sender = Sender(FULL)
    outcome, seconds = run(sender)
    assert isinstance(outcome, NotRun)
    assert seconds < 0.1
    assert len(sender.sent) == 3


def test_servers_that_refuse_for_a_moment_are_asked_again():
    """A request would be lost because all breakers were open for a tenth of a second."""
    sender = Sender(*[OPEN] * 7, SUCCESS)
    assert run(sender)[0].status == 200


def test_service_without_servers_is_refused_soon():
    """A request for a service that has no server would wait for its whole time."""
    sender = Sender(SUCCESS)
    outcome, seconds = run(sender, service='records')
    assert outcome.reason is Reason.NO_CAPACITY
    assert seconds < 0.5
    assert not sender.sent
