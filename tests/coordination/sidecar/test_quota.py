import dataclasses
from types import SimpleNamespace

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_configuration, make_entry
from turmericwharf.coordination.sidecar.configuration_holder import ConfigurationHolder
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.quota import QuotaBuckets, QuotaHolders
from turmericwharf.state.sidecar import OrganisationRule, ServerPhase, SidecarBounds, StoredEntry

RATE = 30
WINDOW_SECONDS = 5


def make_bounds(*, overage, slack):
    bounds = SidecarBounds(
        retry_ratio=0.2,
        retry_extra=64,
        retry_window_seconds=10,
        grace_seconds=6,
        rate_window_seconds=WINDOW_SECONDS,
        rate_overage=overage,
        rate_slack=slack,
    )
    return SimpleNamespace(current=bounds)


class Fleet:
    """Quota buckets of nodes that all see the same entries."""

    def __init__(self, entries, *, overage=0.0, slack=0.0) -> None:
        self.clock = ManualClock()
        self.buckets_by_id = {}
        self.directories = []
        for own in entries:
            directory = NodeDirectory(own, self.clock)
            for other in entries:
                directory.apply(StoredEntry(other, 0), source='test')
            holder = ConfigurationHolder(lambda encoded: make_configuration())
            holder.apply_if_newer(b'', source='test')
            holders = QuotaHolders(directory, holder, self.clock)
            holders.refresh()
            self.directories.append(directory)
            self.buckets_by_id[own.instance] = QuotaBuckets(
                holders,
                holder,
                self.clock,
                make_bounds(overage=overage, slack=slack),
            )

    def drain(self) -> int:
        """Take tokens at all nodes until none has one; return how many there were."""
        taken = 0
        for buckets in self.buckets_by_id.values():
            while buckets.grant('cafe').granted:
                taken += 1
        return taken


def make_nodes(count: int = 9, places: int = 3):
    return [make_entry(f'n{n}', data_centre=f'place-{n % places}') for n in range(count)]


def test_all_parts_together_keep_to_rate_and_burst():
    """The parts of the data centres would add up to more than the rate."""
    fleet = Fleet(make_nodes())
    fleet.clock.at += 60
    assert fleet.drain() == RATE
    fleet.clock.at += 1
    assert RATE - 3 <= fleet.drain() <= RATE


def test_restart_does_not_grant_the_burst_again():
    """A holder that restarts would give its organisation a second burst."""
    fleet = Fleet(make_nodes())
    assert fleet.drain() == 0


def test_two_restarts_of_all_stay_inside_what_may_run_beyond_the_rate():
    """All processes killed twice in a window would grant an organisation too much."""
    overage, slack = 0.1, 20
    allowed = (RATE * WINDOW_SECONDS + RATE) * (1 + overage) + slack
    fleet = Fleet(make_nodes(), overage=overage, slack=slack)
    fleet.clock.at += 60
    ran = fleet.drain()
    for _ in range(2):
        restarted = Fleet(make_nodes(), overage=overage, slack=slack)
        first = restarted.drain()
        assert first > 10
        restarted.clock.at += WINDOW_SECONDS / 2
        ran += first + restarted.drain()
    assert ran <= allowed


def test_new_holder_starts_empty():
    """A change of holders would grant the burst of a part twice in one window."""
    nodes = make_nodes()
    fleet = Fleet(nodes)
    fleet.clock.at += 60
    fleet.drain()
    holders = {
        one.instance
        for one in nodes
        if fleet.buckets_by_id[one.instance].holders.held_since('cafe') is not None
    }
    for directory in fleet.directories:
        for gone in nodes:
            if gone.instance in holders and gone.instance != directory.local.instance:
                left = dataclasses.replace(gone, phase=ServerPhase.STOPPING, revision=1)
                directory.apply(StoredEntry(left, 0), source='test')
            elif gone.instance in holders:
                directory.local = dataclasses.replace(gone, phase=ServerPhase.STOPPING, revision=1)
    for buckets in fleet.buckets_by_id.values():
        buckets.holders.refresh()
    assert fleet.drain() == 0
    fleet.clock.at += 0.5
    assert 1 <= fleet.drain() <= RATE / 2


def test_unlimited_organisation_has_no_part():
    """A rate of 0 would divide by zero."""
    fleet = Fleet(make_nodes())
    buckets = fleet.buckets_by_id['n0']
    rule = OrganisationRule('free', (), 0, 0)
    configuration = make_configuration(6, organisations_by_id={'free': rule})
    buckets._holder._decode = lambda encoded: configuration
    buckets._holder.apply_if_newer(b'', source='test')
    assert not buckets.grant('free').granted
