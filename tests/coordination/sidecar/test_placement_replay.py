"""Waits and bytes between data centres under replayed loads."""

import dataclasses

import pytest

from tests.coordination.sidecar.placement_replay import (
    PlacementLoad,
    Region,
    RouteLoad,
    replay_placement,
)
from turmericwharf.coordination.sidecar.refusal_times import RefusalTimes
from turmericwharf.coordination.sidecar.remote_placement import RemotePlacement

BROWSE = RouteLoad('browse', 23.3, 1.5, 4.4, 10, response_bytes=3000)
UNEVEN = (0.4, 0.5, 0.7, 0.9, 1, 1.3, 2)
# Three data centres whose demands peak in turns, with uneven servers and a long tail of run times.
OUT_OF_PHASE = PlacementLoad(
    routes=(BROWSE,),
    regions=(Region(UNEVEN, 1 / 3),) * 3,
    slots=2,
    one_way_seconds=0.0039,
    swing=0.55,
    tail_share=0.03,
)
FETCH = RouteLoad('fetch', 124, 0.21, 0.86, 2.7, response_bytes=500, is_call=True)
UPLOAD = RouteLoad('upload', 10.8, 1, 8.2, 25, request_bytes=60_000, idempotent=False, priority=2)
# A service with one or two servers in each of four data centres, called by many nodes.
SMALL_SERVICE = PlacementLoad(
    routes=(FETCH, UPLOAD),
    regions=tuple(Region((1,) * servers, 0.25) for servers in (2, 2, 2, 1)),
    slots=5,
    seconds=12,
)


def scaled(load, factor):
    routes = tuple(dataclasses.replace(route, rate=route.rate * factor) for route in load.routes)
    return dataclasses.replace(load, routes=routes)


@pytest.fixture
def replay_unpriced(monkeypatch):
    """Let requests leave whenever they found no free server here, and ask full servers again."""

    def replay(load):
        with monkeypatch.context() as patch:
            patch.setattr(RemotePlacement, 'should_leave', lambda *ignored: True)
            patch.setattr(RefusalTimes, 'record', lambda *ignored, **ignored_options: None)
            return replay_placement(load)

    return replay


def test_idle_servers_elsewhere_relieve_a_data_centre_at_its_peak():
    """Guards against waits and refusals at a peak while other data centres have idle servers."""
    local = replay_placement(dataclasses.replace(OUT_OF_PHASE, remote_allowed=False))
    result = replay_placement(OUT_OF_PHASE)
    assert result.mean_wait < 0.95 * local.mean_wait
    assert 1 - result.served < 0.7 * (1 - local.served)


def test_fewer_bytes_leave_than_without_a_price(replay_unpriced):
    """Guards against bytes between data centres that serve no more requests."""
    result, unpriced = replay_placement(OUT_OF_PHASE), replay_unpriced(OUT_OF_PHASE)
    assert result.remote_bytes < 0.8 * unpriced.remote_bytes
    assert result.served > unpriced.served - 0.02


def test_hardly_a_byte_is_spent_while_all_data_centres_are_full(replay_unpriced):
    """Guards against questions and whole bodies that are sent to servers as full as those here."""
    load = scaled(SMALL_SERVICE, 2)
    result, unpriced = replay_placement(load), replay_unpriced(load)
    local = replay_placement(dataclasses.replace(load, remote_allowed=False))
    assert result.remote_bytes < 0.5 * unpriced.remote_bytes
    assert result.served > local.served - 0.02


def test_short_requests_leave_and_long_bodies_stay():
    """Guards against bytes of uploads where calls could have left instead."""
    result = replay_placement(scaled(SMALL_SERVICE, 0.9))
    uploads = result.requests['upload'] * UPLOAD.request_bytes
    assert result.remote_bytes < 0.1 * uploads
    assert result.served_share('fetch') > 0.99


def test_all_servers_get_work_and_faster_ones_get_more():
    """Guards against servers without work while requests wait, and against even shares."""
    runs = replay_placement(OUT_OF_PHASE).runs_by_instance
    assert len(runs) == len(OUT_OF_PHASE.regions) * len(UNEVEN)
    fastest, slowest = (
        sum(runs[f's{number}-{position}'] for number in range(3)) for position in (6, 0)
    )
    assert fastest > 2 * slowest
