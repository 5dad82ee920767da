"""Times at which requests may be sent to a server that may be cold."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.coordination.sidecar.samples import make_bounds
from turmericwharf.coordination.sidecar.cold_permit import ColdPermit, cold_rate, warm_rate
from turmericwharf.state.sidecar import ColdLimit

LIMIT = ColdLimit(start_seconds=4, requests_per_second=7.5)
BOUNDS = make_bounds()
BOUND = 1.5 * 7.5 + 8
DEMAND = st.lists(
    st.tuples(st.floats(0, 0.4), st.booleans()),
    min_size=20,
    max_size=120,
)


def most_in_a_second(times) -> int:
    """Return the most requests in any second, both ends included."""
    return max(sum(start <= at <= start + 1 for at in times) for start in times)


def send_eagerly(permit, demand, limit, bounds) -> list[float]:
    """Send as soon as the permit allows after each pause; the server is cold where it says so."""
    now, sent_at = 0.0, []
    for pause, is_cold in demand:
        now += pause
        rate = (cold_rate if is_cold else warm_rate)(limit, bounds)
        now += permit.seconds_until(rate, now)
        permit.record(now, cold_rate(limit, bounds), warm_rate(limit, bounds))
        sent_at.append(now)
    return sent_at


@settings(deadline=None, derandomize=True)
@given(
    DEMAND,
    st.floats(0.2, 40),
    st.floats(1, 2),
    st.floats(0, 10),
)
def test_the_bound_holds_in_any_second_however_the_server_changes(demand, rate, overage, slack):
    """Guards against a second with too many requests, at any alignment, around a change from warm
    to cold and back.
    """
    limit, bounds = ColdLimit(4, rate), make_bounds(cold_overage=overage, cold_slack=slack)
    sent_at = send_eagerly(ColdPermit(0.0), demand, limit, bounds)
    assert most_in_a_second(sent_at) <= max(rate * overage + slack, 1)


@settings(deadline=None, derandomize=True)
@given(DEMAND, DEMAND)
def test_the_bound_holds_across_a_restart(before, after):
    """Guards against a process that does not count what its predecessor has just sent."""
    first = send_eagerly(ColdPermit(0.0), before, LIMIT, BOUNDS)
    restarted_at = first[-1]
    second = send_eagerly(ColdPermit(0.0), after, LIMIT, BOUNDS)
    assert second[0] >= 1
    assert most_in_a_second([*first, *(restarted_at + at for at in second)]) <= BOUND


def test_a_cold_server_gets_its_rate_and_none_of_the_tolerance():
    """Guards against a rate that uses up the tolerance of the bound, or wastes what a cold server
    can take.
    """
    sent_at = send_eagerly(ColdPermit(-10.0), [(0.0, True)] * 600, LIMIT, BOUNDS)
    assert 7.4 < len(sent_at) / sent_at[-1] < 7.7
    assert most_in_a_second(sent_at) == 8


def test_the_wait_counts_the_requests_ahead():
    """Guards against orders that are accepted although many others wait for the permit."""
    permit, rate = ColdPermit(-10.0), cold_rate(LIMIT, BOUNDS)
    assert permit.seconds_until(rate, 0.0, ahead=7) == 0
    assert 1 < permit.seconds_until(rate, 0.0, ahead=8) < 1.1
    assert 4 < permit.seconds_until(rate, 0.0, ahead=32) < 4.4


def test_a_warm_server_has_no_ceiling_without_a_bound():
    """Guards against a rate for warm servers in deployments whose settings name no bound."""
    assert warm_rate(LIMIT, make_bounds(cold_overage=0, cold_slack=0)) is None
