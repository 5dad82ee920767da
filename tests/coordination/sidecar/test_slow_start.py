from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from turmericwharf.coordination.sidecar.slow_start import SLOW_START_SECONDS, SlowStart


def held_back(slow_start, times=400):
    return sum(slow_start.holds_back('new') for _ in range(times)) / times


def test_a_server_that_joins_gets_its_requests_little_by_little():
    """Guards against many entry nodes that all send their next request to the newest server."""
    clock = ManualClock()
    slow_start = SlowStart(clock)
    slow_start.observe('bookings', [make_entry('old')])
    clock.at += 5
    slow_start.observe('bookings', [make_entry('old'), make_entry('new')])
    assert not slow_start.holds_back('old')
    fractions = []
    for _ in range(4):
        fractions.append(held_back(slow_start))
        clock.at += SLOW_START_SECONDS / 3
    assert fractions == sorted(fractions, reverse=True)
    assert fractions[0] > 0.9
    assert fractions[-1] == 0


def test_the_servers_known_at_first_and_those_that_only_changed_their_node_are_established():
    """Guards against a node that holds back all servers when it starts."""
    clock = ManualClock()
    slow_start = SlowStart(clock)
    slow_start.observe('bookings', [make_entry('new')])
    clock.at += 1
    slow_start.observe('bookings', [make_entry('new', process='other', revision=3)])
    assert not slow_start.holds_back('new')
    slow_start.observe('bookings', [make_entry('new', born=2)])
    assert held_back(slow_start) > 0.9
