import math

import pytest

from tests.coordination.fakes import ManualClock
from turmericwharf.coordination.sidecar.remote_placement import (
    LATE_SECONDS,
    SECONDS_PER_REMOTE_KILOBYTE,
    PlaceCosts,
    PlacementNeeds,
    RemotePlacement,
)

ROUND_TRIP_SECONDS = 0.001
RUN_SECONDS = 0.2


def compare(local_wait, remote_wait=0.0, **needs):
    """Return the fraction of the requests that should leave at these waits."""
    needs = PlacementNeeds(**needs)
    price = needs.price_seconds(ROUND_TRIP_SECONDS)
    return PlaceCosts(
        local_seconds=needs.cost_seconds(local_wait, RUN_SECONDS),
        remote_seconds=needs.cost_seconds(remote_wait, RUN_SECONDS) + price,
        price_seconds=price,
    ).leaving_fraction


def test_requests_stay_while_the_wait_costs_less_than_the_bytes():
    """Guards against bytes between data centres that save hardly any time."""
    price = SECONDS_PER_REMOTE_KILOBYTE + ROUND_TRIP_SECONDS
    assert compare(0.9 * price) == 0
    assert compare(1.5 * price) > 0


def test_small_requests_leave_sooner_than_large_ones():
    """Guards against a data centre that is relieved of uploads instead of short requests."""
    assert compare(1.0, kilobytes=1.0) == 1
    assert compare(1.0, kilobytes=60.0) == 0


def test_no_request_leaves_if_the_other_data_centres_are_as_full():
    """Guards against data centres that send each other their requests while all are full."""
    assert compare(3.0, 3.0) == 0


@pytest.mark.parametrize('kilobytes', [60.0, 360.0])
def test_a_large_body_leaves_if_it_would_fail_here(kilobytes):
    """Guards against uploads that fail in one data centre while another is idle."""
    assert compare(8.0, kilobytes=kilobytes, target_seconds=20, deadline_seconds=30) < 1
    late = {'target_seconds': 8.0, 'deadline_seconds': 30.0}
    assert (compare(9.9, kilobytes=60.0, **late) > 0) is True
    failed = {'target_seconds': 8.0, 'deadline_seconds': 10.0}
    assert compare(25.0, kilobytes=kilobytes, **failed) > 0


def test_a_late_response_costs_more_than_its_time():
    """Guards against requests that wait here until their response is worth less."""
    needs = PlacementNeeds(target_seconds=1.0)
    assert needs.cost_seconds(0.5, RUN_SECONDS) == pytest.approx(0.7)
    assert needs.cost_seconds(1.5, RUN_SECONDS) == pytest.approx(1.7 + LATE_SECONDS)


def test_the_fraction_grows_with_the_excess():
    """Guards against a limit above which all requests leave at once."""
    fractions = [compare(wait, kilobytes=5.0) for wait in (0.4, 0.5, 0.6, 0.7, 0.9)]
    assert fractions == sorted(fractions)
    assert fractions[0] == 0
    assert 0 < fractions[2] < 1
    assert fractions[-1] == 1


def test_requests_leave_a_data_centre_without_servers_and_stay_without_others():
    assert PlaceCosts(math.inf, 1.0, 0.1).leaving_fraction == 1
    assert PlaceCosts(1.0, math.inf, math.inf).leaving_fraction == 0


def test_the_fraction_follows_a_change_with_a_delay():
    """Guards against data centres that send their peaks to each other in turns.

    The reports by which they decide are older than a single decision.
    """
    clock = ManualClock()
    placement = RemotePlacement(clock)
    idle, peak = PlaceCosts(0.2, 0.3, 0.1), PlaceCosts(5.0, 0.3, 0.1)
    fractions = []
    for costs in (idle, *[peak] * 20, *[idle] * 20):
        clock.at += 0.1
        placement.should_leave('bookings', 'r', costs)
        fractions.append(placement.fractions_by_route['r'])
    assert fractions[0] == 0
    assert fractions[1] < 0.25
    assert fractions[20] > 0.9
    assert fractions[21] > 0.7
    assert fractions[40] < 0.1
    assert placement.left_by_route['r'] + placement.stayed_by_route['r'] == 41
