from tests.coordination.fakes import ManualClock
from turmericwharf.coordination.sidecar.breaker import CircuitBreaker
from turmericwharf.state import Answered, NotRun, OutcomeUnknown, Reason

BROKEN = OutcomeUnknown(Reason.ANSWER_INCOMPLETE)
TIMEOUT = OutcomeUnknown(Reason.ANSWER_TIMEOUT)
SUCCESS = Answered(200, (), b'')
ERROR = Answered(500, (), b'')


def open_breaker(clock):
    breaker = CircuitBreaker(clock)
    breaker.record(BROKEN, is_overdue=False)
    return breaker


def test_opens_at_the_first_broken_connection():
    """More requests that cannot repeat would be lost to a server that resets connections."""
    breaker = open_breaker(ManualClock())
    assert breaker.is_open
    assert not breaker.allows(may_try=False)


def test_trials_are_single_and_only_of_requests_that_can_go_elsewhere():
    """A trial would lose a request that has no other server left."""
    clock = ManualClock()
    breaker = open_breaker(clock)
    clock.at += 1
    assert not breaker.allows(may_try=False)
    assert breaker.allows(may_try=True)
    assert not breaker.allows(may_try=True)


def test_closes_after_successes_in_a_row():
    """A server that answers one request in seven would get all its work back."""
    breaker = open_breaker(ManualClock())
    breaker.record(SUCCESS, is_overdue=False)
    breaker.record(SUCCESS, is_overdue=False)
    breaker.record(BROKEN, is_overdue=False)
    breaker.record(SUCCESS, is_overdue=False)
    breaker.record(SUCCESS, is_overdue=False)
    assert breaker.is_open
    breaker.record(SUCCESS, is_overdue=False)
    assert not breaker.is_open


def test_single_errors_and_usual_timeouts_keep_it_closed():
    """A sound server would lose its work because a route has a short time limit."""
    breaker = CircuitBreaker(ManualClock())
    for _ in range(20):
        breaker.record(TIMEOUT, is_overdue=False)
        breaker.record(NotRun(Reason.SERVER_SHED), is_overdue=False)
        breaker.record(OutcomeUnknown(Reason.CALLER_LEFT), is_overdue=False)
        breaker.record(ERROR, is_overdue=False)
        breaker.record(SUCCESS, is_overdue=False)
        breaker.record(SUCCESS, is_overdue=False)
    assert not breaker.is_open


def test_opens_when_most_answers_fail():
    """A server whose health check is good but whose answers are errors would keep its work."""
    breaker = CircuitBreaker(ManualClock())
    for _ in range(4):
        breaker.record(ERROR, is_overdue=False)
    assert breaker.is_open


def test_opens_when_requests_hang():
    """A server that never answers would keep its work."""
    breaker = CircuitBreaker(ManualClock())
    for _ in range(4):
        breaker.record(TIMEOUT, is_overdue=True)
    assert breaker.is_open


SHED = NotRun(Reason.SERVER_SHED)


def test_opens_when_the_server_rejects_what_it_is_sent():
    """Rejections of a server that takes nothing would use up the retries of its service."""
    clock = ManualClock()
    breaker = CircuitBreaker(clock)
    for _ in range(10):
        breaker.record(SHED, is_overdue=False)
    assert breaker.is_open
    clock.at += 1
    # A rejected request has not run, so any request may try.
    assert breaker.allows(may_try=False)
    assert not breaker.allows(may_try=False)
    breaker.record(SUCCESS, is_overdue=False)
    assert not breaker.is_open


def test_server_that_rejects_two_of_three_keeps_its_work():
    """A third of the capacity of a service that rejects in part would be lost as well."""
    breaker = CircuitBreaker(ManualClock())
    for _ in range(20):
        breaker.record(SHED, is_overdue=False)
        breaker.record(SHED, is_overdue=False)
        breaker.record(SUCCESS, is_overdue=False)
        assert not breaker.is_open


def test_rejecting_server_that_breaks_a_connection_is_tried_with_idempotent_requests_only():
    """A booking would be lost as the trial of a server that resets connections."""
    clock = ManualClock()
    breaker = CircuitBreaker(clock)
    for _ in range(10):
        breaker.record(SHED, is_overdue=False)
    breaker.record(BROKEN, is_overdue=False)
    for _ in range(5):
        breaker.record(SHED, is_overdue=False)
    clock.at += 1
    assert not breaker.allows(may_try=False)
    assert breaker.allows(may_try=True)
