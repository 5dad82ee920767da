"""Times after which callers send refused requests again."""

from turmericwharf.coordination.sidecar.retry_times import with_retry_time
from turmericwharf.state import NotRun, Reason


def retry_times(refusal, count=200, **options):
    return [with_retry_time(refusal, **options).retry_seconds for _ in range(count)]


def test_callers_refused_together_return_apart():
    """Guards against a second burst when all callers of the first one return at the same time."""
    times = retry_times(NotRun(Reason.QUEUE_FULL, '', 1.0))
    assert max(times) - min(times) > 0.3
    assert 0.7 < sum(times) / len(times) < 1.3


def test_time_follows_the_refusal():
    """Guards against callers that return while the cause of their refusal lasts."""
    assert min(retry_times(NotRun(Reason.QUEUE_FULL, '', 2.0))) > 1
    assert max(retry_times(NotRun(Reason.QUEUE_FULL, '', 0.2))) < 0.5
    assert min(retry_times(NotRun(Reason.BREAKER_OPEN))) > 0.5


def test_time_is_bounded():
    """Guards against a caller that is sent away for good, or returns at once."""
    assert max(retry_times(NotRun(Reason.RATE_EXCEEDED, '', 1e9))) < 5
    assert min(retry_times(NotRun(Reason.QUEUE_FULL, '', 0.0))) > 0.05


def test_urgent_callers_return_first():
    """Guards against urgent requests that find the queue full of less urgent ones."""
    refusal = NotRun(Reason.QUEUE_FULL, '', 0.3)
    urgent, other = retry_times(refusal, priority=0), retry_times(refusal, priority=3)
    assert sum(urgent) < sum(other)
