import asyncio
from types import SimpleNamespace

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.retry_allowance import RetryAllowance, RetryPool
from turmericwharf.state import PEER_UNREACHABLE
from turmericwharf.state.sidecar import RetryReply, SidecarBounds, StoredEntry

RATIO, EXTRA, WINDOW_SECONDS = 0.2, 60, 10
BOUNDS = SidecarBounds(
    retry_ratio=RATIO,
    retry_extra=EXTRA,
    retry_window_seconds=WINDOW_SECONDS,
    grace_seconds=6,
    rate_window_seconds=5,
    rate_overage=0.1,
    rate_slack=20,
)


class Fleet:
    """Allowances of nodes that reach each other in memory."""

    def __init__(self, count=9, places=3) -> None:
        self.clock = ManualClock()
        self.cut = set()
        self.repeated_share = 0.0
        entries = [make_entry(f'n{n}', data_centre=f'place-{n % places}') for n in range(count)]
        self.nodes_by_id = {}
        for own in entries:
            directory = NodeDirectory(own, self.clock)
            for place, other in enumerate(entries):
                directory.apply(StoredEntry(other, place), source='store')
            self.start(own.instance, directory)

    def start(self, name, directory):
        bounds = SimpleNamespace(current=BOUNDS)
        pool = RetryPool(directory, DataCentreRanking(directory), bounds, self.clock)
        self.nodes_by_id[name] = RetryAllowance(
            pool=pool,
            links=self,
            directory=directory,
            bounds=bounds,
            clock=self.clock,
            repeated_share=lambda: self.repeated_share,
        )

    async def request(self, peer, message, *, timeout_seconds):
        if peer.instance in self.cut:
            return PEER_UNREACHABLE
        return RetryReply(self.nodes_by_id[peer.instance].pool.grant(message.service))

    def take_all(self, names=None) -> int:
        """Take retries at some nodes until none has one; return how many there were."""

        async def main():
            taken = 0
            for name in names or self.nodes_by_id:
                while await self.nodes_by_id[name].acquire('bookings'):
                    taken += 1
            return taken

        return asyncio.run(main())


def test_one_node_may_use_what_its_data_centre_has():
    """A node whose calls meet a failing server would run out while the fleet has retries left."""
    fleet = Fleet()
    fleet.take_all()
    fleet.clock.at += WINDOW_SECONDS + 1
    assert fleet.take_all(['n0']) == EXTRA / 3 * 0.6


def test_all_nodes_together_keep_to_the_budget():
    """Retries would multiply the load on a service that fails as a whole."""
    fleet = Fleet()
    fleet.take_all()
    fleet.clock.at += WINDOW_SECONDS + 1
    requests = 0
    for number, allowance in enumerate(fleet.nodes_by_id.values()):
        for _ in range(10 * number):
            allowance.record_request('bookings', is_server_call=False)
            requests += 1
    taken = fleet.take_all()
    assert 0.5 * EXTRA < taken <= EXTRA + RATIO * requests
    fleet.clock.at += WINDOW_SECONDS / 2
    assert fleet.take_all() == 0


def test_change_of_the_granting_nodes_stays_inside_the_budget():
    """Each new process would grant the whole part again in the same window."""
    fleet = Fleet()
    fleet.take_all()
    fleet.clock.at += WINDOW_SECONDS + 1
    taken = fleet.take_all()
    for name, allowance in tuple(fleet.nodes_by_id.items()):
        fleet.start(name, allowance.pool._directory)
    taken += fleet.take_all()
    assert taken <= EXTRA


def test_node_that_is_not_the_granting_one_refuses():
    """Nodes with different views would each grant a part."""
    fleet = Fleet(count=4, places=1)
    granting = fleet.nodes_by_id['n0'].pool.granting_node('bookings')
    others = [name for name in fleet.nodes_by_id if name != granting]
    assert not any(fleet.nodes_by_id[name].pool.grant('bookings') for name in others)
    fleet.cut.add(granting)
    assert fleet.take_all(others) == 0


def test_calls_of_repeated_requests_count_as_repeats():
    """Pages that are repeated call other services again, beyond the budget of those services."""
    fleet = Fleet(count=1, places=1)
    allowance = fleet.nodes_by_id['n0']
    fleet.take_all()
    fleet.clock.at += WINDOW_SECONDS + 1
    fleet.repeated_share = 1.0
    for _ in range(100):
        allowance.record_request('bookings', is_server_call=True)
    # All of the ratio is used, and the calls of clients' requests use nothing.
    assert fleet.take_all() <= EXTRA
    fleet.clock.at += WINDOW_SECONDS + 1
    for _ in range(100):
        allowance.record_request('bookings', is_server_call=False)
    assert fleet.take_all() > 0.5 * RATIO * 100 + 0.5 * EXTRA
