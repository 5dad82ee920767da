import pytest

from tests.simulated_fleet import Faults, SimulatedFleet
from tests.virtual_time import run_in_virtual_time

NODES = 6


@pytest.mark.parametrize(
    'faults',
    [
        Faults(truncated_share=1),
        Faults(truncated_share=1, first_byte_seconds=0.3),
        Faults(unreachable=True),
    ],
    ids=['half answers', 'slow half answers', 'unreachable'],
)
def test_no_retry_storm_when_every_server_is_gray(faults):
    """Guards against retries that multiply the load on a service while all its servers fail."""

    async def scenario() -> None:
        fleet = SimulatedFleet(NODES, slots=3, seed=9)
        for node in fleet.nodes.values():
            node.server.faults = faults
        await fleet.load(20, rate=40)
        requests = len(fleet.results)
        reports = [node.dispatcher.budget.reports()[0] for node in fleet.nodes.values()]
        attempts = sum(node.server.attempts for node in fleet.nodes.values())
        retries = attempts - requests
        assert sum(report.refused for report in reports) > 0
        # The run spans two windows of 10 s; each node may make 3 extra retries in each.
        assert 0 < retries <= requests * 0.1 + 2 * 3 * NODES

    run_in_virtual_time(scenario())
