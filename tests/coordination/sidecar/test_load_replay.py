"""Waits and refusals of requests under replayed loads.

The run times and targets are those of a fleet whose servers have one slot: a call that one server
makes to another has 210 ms for 43 ms of work.
"""

import pytest

from tests.coordination.sidecar.load_replay import Load, replay

CALL_TARGET_SECONDS = 0.210
CALL_RUN_SECONDS = 0.043
USEFUL_CAPACITY_FRACTION = 0.9


@pytest.mark.parametrize('used', [0.33, 0.6])
def test_a_request_seldom_waits_while_servers_are_idle(used):
    """Guards against requests that queue behind others because their entry node knows no loads.

    Many entry nodes with few requests each choose among servers with one slot.
    """
    result = replay(Load(used=used))
    assert result.wait_at(0.9) < CALL_TARGET_SECONDS - CALL_RUN_SECONDS
    assert result.failed == 0


def test_remaining_servers_are_used_when_half_are_lost_in_a_burst():
    """Guards against retries and refusals that use up the capacity that is left.

    Half of the servers reset each request, while 1.7 times the usual load arrives. The share of the
    remaining slot time that serves requests is averaged over several seeds.
    """
    shares = []
    for seed in range(1, 7):
        load = Load(used=1.7 * 0.33, cut_servers=8, requests=3000, seed=seed)
        result = replay(load)
        remaining_servers = load.servers - load.cut_servers
        shares.append(result.run_seconds / (remaining_servers * result.elapsed_seconds))
    assert sum(shares) / len(shares) >= USEFUL_CAPACITY_FRACTION


def test_servers_of_another_data_centre_are_used_when_the_local_ones_are_full():
    """Guards against refusals in one data centre while the servers of another are idle."""
    load = Load(data_centres=2, servers=16, entry_nodes=2, used=0.6, requests=1500)
    result = replay(load)
    assert result.refused <= 0.02 * load.requests


def test_a_request_that_no_server_can_run_is_refused_before_its_target():
    """Guards against requests that wait for a slot until their answer is worth less."""
    load = Load(used=1.7)
    assert replay(load).latest_refusal_seconds < load.target_seconds
