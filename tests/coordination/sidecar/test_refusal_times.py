from tests.coordination.fakes import ManualClock
from turmericwharf.coordination.sidecar.refusal_times import RefusalTimes, Availability
from turmericwharf.state import NotRun, Reason


def test_a_full_server_is_full_until_the_time_that_it_named():
    """Guards against offers that the server has already said it would refuse."""
    clock = ManualClock()
    refusals = RefusalTimes(clock)
    refusals.record('n', 'r', NotRun(Reason.SERVER_BUSY), 0.5, is_expensive=False)
    clock.at += 0.3
    assert refusals.availability('n', 'r') is Availability.FULL
    clock.at += 0.21
    assert refusals.availability('n', 'r') is Availability.OPEN


def test_a_refused_wait_binds_only_its_route():
    """Guards against urgent requests that avoid a queue in which they would go first."""
    refusals = RefusalTimes(ManualClock())
    refusals.record('n', 'upload', NotRun(Reason.QUEUE_FULL), 0.5, is_expensive=False)
    assert refusals.availability('n', 'upload') is Availability.SATURATED
    assert refusals.availability('n', 'fetch') is Availability.FULL


def count_questions(*, is_expensive):
    clock = ManualClock()
    refusals, questions = RefusalTimes(clock), 0
    for _ in range(400):
        clock.at += 0.05
        if refusals.availability('n', 'r') is Availability.OPEN:
            questions += 1
            refusals.record('n', 'r', NotRun(Reason.SERVER_BUSY), 0.1, is_expensive=is_expensive)
    return questions


def test_refusals_in_other_data_centres_become_rare():
    """Guards against a question, and its bytes, for each request while all servers are full."""
    assert count_questions(is_expensive=True) <= 12
    assert count_questions(is_expensive=False) > 100


def test_an_answered_request_ends_the_refusals():
    refusals = RefusalTimes(ManualClock())
    refusals.record('n', 'r', NotRun(Reason.BREAKER_OPEN, '', 0.8), 0, is_expensive=True)
    assert refusals.availability('n', 'r') is Availability.FAILING
    refusals.clear('n')
    assert refusals.availability('n', 'r') is Availability.OPEN
