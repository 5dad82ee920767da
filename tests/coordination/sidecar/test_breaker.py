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
    """A server that resets connections must not receive more non-idempotent requests."""
    breaker = open_breaker(ManualClock())
    assert breaker.is_open
    assert not breaker.allows(may_be_trial=False)


def test_only_single_requests_with_an_alternative_server_are_trials():
    """A failed trial would lose a request that cannot be sent to another server."""
    clock = ManualClock()
    breaker = open_breaker(clock)
    clock.at += 1
    assert not breaker.allows(may_be_trial=False)
    assert breaker.allows(may_be_trial=True)
    assert not breaker.allows(may_be_trial=True)


def test_closes_after_enough_successful_trials():
    """One answer in seven requests must not close the breaker of a failing server."""
    breaker = open_breaker(ManualClock())
    breaker.record(SUCCESS, is_overdue=False)
    breaker.record(SUCCESS, is_overdue=False)
    breaker.record(BROKEN, is_overdue=False)
    breaker.record(SUCCESS, is_overdue=False)
    breaker.record(SUCCESS, is_overdue=False)
    assert breaker.is_open
    breaker.record(SUCCESS, is_overdue=False)
    assert not breaker.is_open


def test_stays_closed_on_single_errors_and_expected_timeouts():
    """A healthy server must stay in use when a route has a short timeout."""
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
    """A server that passes its health check but answers with errors must not stay in use."""
    breaker = CircuitBreaker(ManualClock())
    for _ in range(4):
        breaker.record(ERROR, is_overdue=False)
    assert breaker.is_open


def test_opens_when_requests_hang():
    """A server that never answers must not stay in use."""
    breaker = CircuitBreaker(ManualClock())
    for _ in range(4):
        breaker.record(TIMEOUT, is_overdue=True)
    assert breaker.is_open


SHED = NotRun(Reason.SERVER_SHED)


def test_opens_when_the_server_rejects_all_requests():
    """Rejections by a server that accepts nothing would use up the retries of its service."""
    clock = ManualClock()
    breaker = CircuitBreaker(clock)
    for _ in range(10):
        breaker.record(SHED, is_overdue=False)
    assert breaker.is_open
    clock.at += 1
    # A rejected request has not run, so any request may be a trial.
    assert breaker.allows(may_be_trial=False)
    assert not breaker.allows(may_be_trial=False)
    breaker.record(SUCCESS, is_overdue=False)
    assert not breaker.is_open


def test_stays_closed_when_the_server_rejects_two_of_three_requests():
    """An open breaker would remove the remaining third of the capacity of the server."""
    breaker = CircuitBreaker(ManualClock())
    for _ in range(20):
        breaker.record(SHED, is_overdue=False)
        breaker.record(SHED, is_overdue=False)
        breaker.record(SUCCESS, is_overdue=False)
        assert not breaker.is_open


def test_trials_must_be_idempotent_after_a_rejecting_server_breaks_a_connection():
    """A booking must not be lost as a trial of a server that resets connections."""
    clock = ManualClock()
    breaker = CircuitBreaker(clock)
    for _ in range(10):
        breaker.record(SHED, is_overdue=False)
    breaker.record(BROKEN, is_overdue=False)
    for _ in range(5):
        breaker.record(SHED, is_overdue=False)
    clock.at += 1
    assert not breaker.allows(may_be_trial=False)
    assert breaker.allows(may_be_trial=True)


def test_trials_of_a_server_that_stays_broken_become_rarer():
    """Guards against a retry budget that is used up by trials, one for each broken server.

    The requests of all callers then fail at the first fault, since no retry is left for them.
    """
    clock = ManualClock()
    breaker = open_breaker(clock)
    opened_at = clock.at
    trials = []
    for _ in range(100):
        clock.at += 0.1
        if breaker.allows(may_be_trial=True):
            trials.append(round(clock.at, 1))
            breaker.record(BROKEN, is_overdue=False)
    assert len(trials) <= 7
    assert trials[0] - opened_at < 1


def test_a_success_makes_trials_frequent_again():
    """Guards against a repaired server that stays out of use for many seconds."""
    clock = ManualClock()
    breaker = open_breaker(clock)
    for _ in range(40):
        clock.at += 0.1
        if breaker.allows(may_be_trial=True):
            breaker.record(BROKEN, is_overdue=False)
    started_at = clock.at
    while breaker.is_open:
        clock.at += 0.1
        if breaker.allows(may_be_trial=True):
            breaker.record(SUCCESS, is_overdue=False)
    assert clock.at - started_at < 4


def test_the_time_until_the_next_trial_is_known():
    """Guards against callers and entry nodes that return while each request is refused."""
    clock = ManualClock()
    breaker = open_breaker(clock)
    assert 0 < breaker.seconds_until_trial < 1
    clock.at += breaker.seconds_until_trial
    assert breaker.allows(may_be_trial=True)
    assert breaker.seconds_until_trial > 1
    breaker.reset()
    assert breaker.seconds_until_trial == 0


def test_a_foreign_answer_counts_as_an_error_only():
    """Guards against one odd request that takes each server that it reaches out of use."""
    breaker = CircuitBreaker(ManualClock())
    foreign = OutcomeUnknown(Reason.ANSWER_FOREIGN)
    breaker.record(foreign, is_overdue=False)
    assert not breaker.is_open
    for _ in range(4):
        breaker.record(foreign, is_overdue=False)
    assert breaker.is_open


def test_responses_that_the_node_cut_for_want_of_memory_do_not_open_it():
    """Guards against a sound server that gets no requests because other clients hold the memory."""
    breaker = CircuitBreaker(ManualClock())
    for _ in range(20):
        breaker.record(OutcomeUnknown(Reason.MEMORY_EXHAUSTED), is_overdue=False)
    assert not breaker.is_open
