import asyncio
from types import SimpleNamespace

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.retry_budget import FleetRetryBudget, ExtraRetryPool
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
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
    """Retry budgets of nodes that are connected in memory."""

    def __init__(self, count=9, data_centres=3, *, knows_fleet=True) -> None:
        self.clock = ManualClock()
        self.unreachable = set()
        self.knowledge = StartupKnowledge()
        if knows_fleet:
            self.knowledge.record_store_read()
        self.retry_share = 0.0
        entries = [
            make_entry(f'n{n}', data_centre=f'place-{n % data_centres}') for n in range(count)
        ]
        self.nodes_by_id = {}
        for local in entries:
            directory = NodeDirectory(local, self.clock)
            for position, other in enumerate(entries):
                directory.apply(StoredEntry(other, position), source='store')
            self.start(local.instance, directory)

    def start(self, name, directory):
        bounds = SimpleNamespace(current=BOUNDS)
        pool = ExtraRetryPool(
            directory, DataCentreRanking(directory), bounds, self.clock, self.knowledge
        )
        self.nodes_by_id[name] = FleetRetryBudget(
            pool=pool,
            links=self,
            directory=directory,
            bounds=bounds,
            clock=self.clock,
            retry_share=lambda: self.retry_share,
        )

    async def request(self, peer, message, *, timeout_seconds):
        if peer.instance in self.unreachable:
            return PEER_UNREACHABLE
        return RetryReply(self.nodes_by_id[peer.instance].pool.grant(message.service))

    def take_all(self, names=None) -> int:
        """Take retries at the named nodes until none is left; return their number."""

        async def main():
            taken = 0
            for name in names or self.nodes_by_id:
                while await self.nodes_by_id[name].acquire('bookings'):
                    taken += 1
            return taken

        return asyncio.run(main())


def test_one_node_may_use_all_extra_retries_of_its_data_centre():
    """A node that calls a failing server must not run out while its data centre has retries."""
    fleet = Fleet()
    fleet.take_all()
    fleet.clock.at += WINDOW_SECONDS + 1
    assert fleet.take_all(['n0']) == EXTRA / 3 * 0.75


def test_all_nodes_together_stay_within_the_budget():
    """Retries must not multiply the load on a service that fails as a whole."""
    fleet = Fleet()
    fleet.take_all()
    fleet.clock.at += WINDOW_SECONDS + 1
    requests = 0
    for number, retry_budget in enumerate(fleet.nodes_by_id.values()):
        for _ in range(10 * number):
            retry_budget.record_request('bookings', has_no_organisation=False)
            requests += 1
    taken = fleet.take_all()
    assert 0.5 * EXTRA < taken <= EXTRA + RATIO * requests
    fleet.clock.at += WINDOW_SECONDS / 2
    assert fleet.take_all() == 0


def test_change_of_the_granting_nodes_stays_within_the_budget():
    """A new process must not grant the whole share again in the same window."""
    fleet = Fleet()
    fleet.take_all()
    fleet.clock.at += WINDOW_SECONDS + 1
    taken = fleet.take_all()
    for name, retry_budget in tuple(fleet.nodes_by_id.items()):
        fleet.start(name, retry_budget.pool._directory)
    taken += fleet.take_all()
    assert taken <= EXTRA


def test_two_restarts_of_all_nodes_stay_within_the_budget():
    """Guards against extra retries that each new process grants, since it knows of none before it.

    All processes are killed twice in one window.
    """
    fleet = Fleet()
    fleet.take_all()
    fleet.clock.at += WINDOW_SECONDS + 1
    taken = fleet.take_all()
    for _ in range(2):
        fleet.clock.at += WINDOW_SECONDS / 3
        for name, retry_budget in tuple(fleet.nodes_by_id.items()):
            fleet.start(name, retry_budget.pool._directory)
        taken += fleet.take_all()
    assert taken <= EXTRA


def test_only_the_granting_node_grants_retries():
    """Nodes with different views of the fleet must not each grant a full share."""
    fleet = Fleet(count=4, data_centres=1)
    granting = fleet.nodes_by_id['n0'].pool.granting_node('bookings')
    others = [name for name in fleet.nodes_by_id if name != granting]
    assert not any(fleet.nodes_by_id[name].pool.grant('bookings') for name in others)
    fleet.unreachable.add(granting)
    assert fleet.take_all(others) == 0


def test_calls_of_retried_requests_count_as_retries():
    """Retried pages call other services again, which must stay within those services' budgets."""
    fleet = Fleet(count=1, data_centres=1)
    retry_budget = fleet.nodes_by_id['n0']
    fleet.take_all()
    fleet.clock.at += WINDOW_SECONDS + 1
    fleet.retry_share = 1.0
    for _ in range(100):
        retry_budget.record_request('bookings', has_no_organisation=True)
    # The sampled calls have used up the ratio; client requests use nothing.
    assert fleet.take_all() <= EXTRA
    fleet.clock.at += WINDOW_SECONDS + 1
    for _ in range(100):
        retry_budget.record_request('bookings', has_no_organisation=False)
    assert fleet.take_all() > 0.5 * RATIO * 100 + 0.5 * EXTRA


def test_nodes_that_know_only_themselves_grant_no_extra_retries():
    """Guards against the extra retries of a whole fleet at each of its nodes.

    Nodes that were killed while the store was away know no other node, so that each would be the
    granting node of the only data centre that it knows of.
    """
    fleet = Fleet(knows_fleet=False)
    for local in [budget.pool._directory.local for budget in fleet.nodes_by_id.values()]:
        fleet.start(local.instance, NodeDirectory(local, fleet.clock))
    fleet.clock.at += WINDOW_SECONDS + 1
    for retry_budget in fleet.nodes_by_id.values():
        for _ in range(100):
            retry_budget.record_request('bookings', has_no_organisation=False)
    assert 0 < fleet.take_all() <= RATIO * 100 * len(fleet.nodes_by_id)
    fleet.knowledge.record_store_read()
    assert fleet.take_all() > 0
