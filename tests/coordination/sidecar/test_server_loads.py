import dataclasses

import pytest

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from turmericwharf.coordination.sidecar.order_sender import refused_answer, unknown_answer
from turmericwharf.coordination.sidecar.server_loads import ServerLoads
from turmericwharf.state import Answered, Reason
from turmericwharf.state.sidecar import WorkAnswer

ANSWERED = WorkAnswer(Answered(200, (), b''), None, None, True, 1, 0, 5)


def make_loads():
    clock = ManualClock()
    return ServerLoads(clock), clock


def record(loads, instance, route, **report):
    loads.start(instance, route)
    loads.record_answer(instance, route, dataclasses.replace(ANSWERED, **report))
    loads.end(instance, route)


def test_the_reported_wait_is_used_for_its_route():
    """Guards against estimates from counts where the server knows better."""
    loads, _ = make_loads()
    entry = make_entry('n', slots=2)
    record(loads, 'n', 'call', running=2, waiting=9, wait_seconds=0.3, run_seconds=1.0)
    assert loads.estimate_waits([entry], 'call')['n'] == pytest.approx(0.3)
    assert loads.estimate_waits([entry], 'upload')['n'] == pytest.approx(4.5)


def test_a_server_held_by_long_runs_has_a_longer_wait():
    """Guards against short requests behind long runs, which a count of requests does not show."""
    loads, _ = make_loads()
    entries = [make_entry('long', slots=1), make_entry('short', slots=1)]
    record(loads, 'long', 'captions', run_seconds=4.5)
    record(loads, 'short', 'call', run_seconds=0.3)
    loads.start('long', 'captions')
    loads.start('short', 'call')
    waits = loads.estimate_waits(entries, 'call')
    assert waits['long'] > 5 * waits['short'] > 0


def test_a_server_without_a_report_is_assumed_to_be_as_loaded_as_the_others_of_its_data_centre():
    """Guards against a full data centre that looks idle wherever a node has not asked."""
    loads, clock = make_loads()
    entries = [
        make_entry(name, slots=1, data_centre=name[:4]) for name in ('east1', 'east2', 'west1')
    ]
    record(loads, 'east1', 'call', running=2, waiting=3, run_seconds=0.4)
    waits = loads.estimate_waits(entries, 'call')
    assert waits['east2'] == waits['east1'] > 1
    assert waits['west1'] == 0
    clock.at += 30
    assert not any(loads.estimate_waits(entries, 'call').values())


def test_one_run_says_little_of_the_speed_of_a_server():
    """Guards against requests that crowd at the server that happened to have a short run."""
    loads, _ = make_loads()
    for _ in range(20):
        loads.record_run('usual', 'call', 1.0)
    loads.record_run('lucky', 'call', 0.1)
    assert loads.run_seconds('lucky', 'call') > 0.8
    for _ in range(30):
        loads.record_run('fast', 'call', 0.1)
    assert loads.run_seconds('fast', 'call') < 0.7 * loads.run_seconds('usual', 'call')


def test_a_broken_server_does_not_make_its_data_centre_look_idle():
    """Guards against requests that stay or leave because refusals report free slots."""
    loads, _ = make_loads()
    entries = [make_entry(name, slots=1) for name in ('full', 'broken', 'gone')]
    record(loads, 'full', 'call', running=2, waiting=3, run_seconds=0.4)
    wait = loads.estimate_waits(entries, 'call')['full']
    loads.record_answer('broken', 'call', refused_answer(Reason.BREAKER_OPEN, 'open'))
    loads.record_answer('gone', 'call', unknown_answer(Reason.PEER_LINK_LOST, 'lost'))
    assert set(loads.estimate_waits(entries, 'call').values()) == {wait}
