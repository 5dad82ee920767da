import asyncio
import dataclasses
from types import SimpleNamespace

from tests.coordination.fakes import ManualClock, NoLinks
from tests.coordination.sidecar.samples import make_configuration, make_entry, make_request
from turmericwharf.coordination.sidecar.admission import RequestValidator
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.quota import FixedShareBuckets, FleetRateLimiter
from turmericwharf.coordination.sidecar.share_holders import FixedShareHolders
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.protocol import to_http
from turmericwharf.state import Reason
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
    """Token buckets of nodes that all know the same entries."""

    def __init__(self, entries, *, overage=0.0, slack=0.0, knows_fleet=True) -> None:
        self.clock = ManualClock()
        self.buckets_by_id = {}
        self.directories = []
        for local in entries:
            directory = NodeDirectory(local, self.clock)
            for other in entries:
                directory.apply(StoredEntry(other, 0), source='test')
            active_configuration = ActiveConfiguration(lambda encoded: make_configuration())
            active_configuration.apply_if_newer(b'', source='test')
            knowledge = StartupKnowledge()
            if knows_fleet:
                knowledge.record_store_read()
            holders = FixedShareHolders(directory, active_configuration, self.clock, knowledge)
            holders.refresh()
            self.directories.append(directory)
            self.buckets_by_id[local.instance] = FixedShareBuckets(
                holders,
                active_configuration,
                self.clock,
                make_bounds(overage=overage, slack=slack),
            )

    def drain_tokens(self) -> int:
        """Take tokens from all nodes until none is left; return their number."""
        taken = 0
        for buckets in self.buckets_by_id.values():
            while buckets.grant('cafe').granted:
                taken += 1
        return taken


def make_nodes(count: int = 9, data_centres: int = 3):
    return [make_entry(f'n{n}', data_centre=f'place-{n % data_centres}') for n in range(count)]


def test_shares_of_all_nodes_stay_within_rate_and_burst():
    """The shares of the data centres must not add up to more than the rate."""
    fleet = Fleet(make_nodes())
    fleet.clock.at += 60
    assert fleet.drain_tokens() == RATE
    fleet.clock.at += 1
    assert RATE - 3 <= fleet.drain_tokens() <= RATE


def test_restart_does_not_grant_a_second_burst():
    """A holder that restarts must not grant its organisation another burst."""
    fleet = Fleet(make_nodes())
    assert fleet.drain_tokens() == 0


def test_two_restarts_of_all_nodes_stay_within_the_permitted_overage():
    """Killing all processes twice in one rate window must not exceed the permitted overage."""
    overage, slack = 0.1, 20
    allowed = (RATE * WINDOW_SECONDS + RATE) * (1 + overage) + slack
    fleet = Fleet(make_nodes(), overage=overage, slack=slack)
    fleet.clock.at += 60
    ran = fleet.drain_tokens()
    for _ in range(2):
        restarted = Fleet(make_nodes(), overage=overage, slack=slack)
        granted_at_start = restarted.drain_tokens()
        assert granted_at_start > 10
        restarted.clock.at += WINDOW_SECONDS / 2
        ran += granted_at_start + restarted.drain_tokens()
    assert ran <= allowed


def test_new_holder_starts_with_an_empty_bucket():
    """A change of holders must not grant the burst of a share twice in one window."""
    nodes = make_nodes()
    fleet = Fleet(nodes)
    fleet.clock.at += 60
    fleet.drain_tokens()
    holders = {
        node.instance
        for node in nodes
        if fleet.buckets_by_id[node.instance].holders.share_held_since('cafe') is not None
    }
    for directory in fleet.directories:
        for leaving in nodes:
            if leaving.instance in holders and leaving.instance != directory.local.instance:
                stopping = dataclasses.replace(leaving, phase=ServerPhase.STOPPING, revision=1)
                directory.apply(StoredEntry(stopping, 0), source='test')
            elif leaving.instance in holders:
                directory.local = dataclasses.replace(
                    leaving, phase=ServerPhase.STOPPING, revision=1
                )
    for buckets in fleet.buckets_by_id.values():
        buckets.holders.refresh()
    assert fleet.drain_tokens() == 0
    fleet.clock.at += 0.5
    assert 1 <= fleet.drain_tokens() <= RATE / 2


def test_unlimited_organisation_has_no_bucket():
    """Guards against a division by zero for a rate of 0."""
    fleet = Fleet(make_nodes())
    buckets = fleet.buckets_by_id['n0']
    rule = OrganisationRule('free', (), 0, 0)
    configuration = make_configuration(6, organisations_by_id={'free': rule})
    buckets._configuration._decode = lambda encoded: configuration
    buckets._configuration.apply_if_newer(b'', source='test')
    assert not buckets.grant('free').granted


def test_a_node_that_knows_only_itself_grants_nothing():
    """Guards against the whole rate at each of the nodes that were killed while the store was away.

    Each of them would be the only holder that it knows of.
    """
    fleet = Fleet(make_nodes(), knows_fleet=False)
    fleet.clock.at += 60
    assert fleet.drain_tokens() == 0


def test_a_request_at_a_node_that_does_not_know_the_holders_is_refused_as_not_run():
    """Guards against 429, which tells a caller inside its rate that it exceeds it."""
    knowledge = StartupKnowledge()
    configuration = ActiveConfiguration(lambda encoded: make_configuration())
    configuration.apply_if_newer(b'', source='test')
    limiter = FleetRateLimiter(None, NoLinks(), None, configuration, knowledge)
    admitted = RequestValidator(configuration, ManualClock()).admit(make_request())
    refusal = asyncio.run(limiter.acquire(admitted))
    assert refusal.reason is Reason.FLEET_UNKNOWN
    assert to_http(refusal).status == 503
