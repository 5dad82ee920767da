import dataclasses
import math
import random

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_configuration, make_entry
from turmericwharf.coordination.membership.rendezvous import partition_of, rank_instances
from turmericwharf.coordination.sidecar import share_holders
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.share_holders import FixedShareHolders
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.state.sidecar import OrganisationRule, ServerPhase, StoredEntry

ORGANISATIONS = [f'organisation-{number}' for number in range(40)]
DATA_CENTRES = ('east', 'west', 'north')


def make_holders(directory):
    configuration = ActiveConfiguration(
        lambda encoded: make_configuration(
            organisations_by_id={
                name: OrganisationRule(name, (), rate_per_second=3, burst=3)
                for name in ORGANISATIONS
            }
        )
    )
    configuration.apply_if_newer(b'', source='test')
    knowledge = StartupKnowledge()
    knowledge.record_store_read()
    return FixedShareHolders(directory, configuration, ManualClock(), knowledge)


def make_nodes(count):
    return [
        make_entry(f'n{number}', data_centre=DATA_CENTRES[number % len(DATA_CENTRES)])
        for number in range(count)
    ]


def rank_all(directory, organisation):
    """Return the holders of each data centre, ranked from all entries."""
    entries = directory.entries
    data_centres = {entry.data_centre for entry in entries}
    count = math.ceil(3 / len(data_centres))
    return {
        data_centre: tuple(
            rank_instances(
                f'rates/{partition_of(organisation)}',
                [
                    entry.instance
                    for entry in entries
                    if entry.data_centre == data_centre and entry.phase is ServerPhase.READY
                ],
            )[:count]
        )
        for data_centre in data_centres
    }


def test_holders_after_each_change_are_those_of_a_complete_ranking():
    """Guards against nodes that disagree on the holders because they saw other changes before.

    Two such nodes would both grant the share of one holder, or neither of them would.
    """
    source = random.Random(4)
    local, *others = make_nodes(30)
    directory = NodeDirectory(local, ManualClock())
    holders = make_holders(directory)
    for revision in range(1, 300):
        entry = source.choice(others)
        phase = source.choice((ServerPhase.READY, ServerPhase.LEAVING, ServerPhase.STOPPING))
        changed = dataclasses.replace(entry, phase=phase, revision=revision)
        if source.random() < 0.1:
            directory.remove(entry.instance)
        else:
            directory.apply(StoredEntry(changed, revision), source='test')
        for organisation in ORGANISATIONS:
            expected = rank_all(directory, organisation)
            assert holders.holders_by_data_centre(organisation) == expected
            is_holder = local.instance in expected[local.data_centre]
            assert (holders.share_held_since(organisation) is not None) == is_holder


def test_a_change_of_one_node_ranks_few_instances(monkeypatch):
    """Guards against a cost of each change that grows with nodes times organisations."""
    ranked = []

    def count_ranked(topic, instances):
        ranked.extend(instances)
        return rank_instances(topic, instances)

    local, *others = make_nodes(240)
    directory = NodeDirectory(local, ManualClock())
    for position, entry in enumerate(others):
        directory.apply(StoredEntry(entry, position), source='test')
    holders = make_holders(directory)
    for organisation in ORGANISATIONS:
        holders.holders_by_data_centre(organisation)
    monkeypatch.setattr(share_holders, 'rank_instances', count_ranked)
    for entry in others:
        leaving = dataclasses.replace(entry, phase=ServerPhase.LEAVING, revision=1)
        directory.apply(StoredEntry(leaving, 1_000), source='test')
        holders.refresh()
        directory.apply(StoredEntry(dataclasses.replace(entry, revision=2), 1_001), source='test')
        holders.refresh()
    # A complete ranking takes 80 instances for each of 40 partitions, at each change.
    assert len(ranked) / (2 * len(others)) < 0.05 * 80 * len(ORGANISATIONS)
