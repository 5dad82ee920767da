import dataclasses

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.silent_nodes import SilentNodes
from turmericwharf.coordination.sidecar.store_readers import StoreReaders
from turmericwharf.state.sidecar import ServerPhase, StoredEntry


def make_fleet(count=9, data_centres=1):
    entries = [make_entry(f'n{n}', data_centre=f'place-{n % data_centres}') for n in range(count)]
    directories_by_id = {}
    for local in entries:
        directory = NodeDirectory(local, ManualClock())
        for other in entries:
            directory.apply(StoredEntry(other, 0), source='store')
        directories_by_id[local.instance] = directory
    return directories_by_id


def make_readers(directory):
    silent_nodes = SilentNodes(directory, ManualClock())
    return StoreReaders(directory, DataCentreRanking(directory), silent_nodes)


def reader_names(readers):
    return {entry.instance for entry in readers.upstream_candidates()[:2]}


def test_each_data_centre_has_two_readers_that_its_other_nodes_agree_on():
    """Guards against every node reading the store, and against dependence between data centres."""
    directories_by_id = make_fleet(count=12, data_centres=3)
    polled_by_id = {
        name: reader_names(make_readers(directory)) for name, directory in directories_by_id.items()
    }
    all_readers = {name for name, polled in polled_by_id.items() if not polled}
    assert len(all_readers) == 6
    for name, polled in polled_by_id.items():
        data_centre = directories_by_id[name].local.data_centre
        local_readers = {
            reader
            for reader in all_readers
            if directories_by_id[reader].local.data_centre == data_centre
        }
        assert polled in (set(), local_readers)


def test_next_node_reads_when_a_reader_is_suspected_or_stops():
    """Guards against a data centre without updates after its readers stop."""
    directories_by_id = make_fleet()
    readers_by_id = {name: make_readers(directory) for name, directory in directories_by_id.items()}
    first, second = (name for name, readers in readers_by_id.items() if not reader_names(readers))
    other = next(name for name, readers in readers_by_id.items() if reader_names(readers))
    directories_by_id[other].suspect(first)
    assert first not in reader_names(readers_by_id[other])
    entry = directories_by_id[other].find(second)
    stopping = dataclasses.replace(entry, phase=ServerPhase.STOPPING, revision=1)
    directories_by_id[other].apply(StoredEntry(stopping, 1), source='store')
    assert second not in reader_names(readers_by_id[other])


def test_no_two_nodes_poll_each_other_whichever_nodes_they_suspect():
    """Guards against two nodes that poll each other, since neither would read the store."""
    directories_by_id = make_fleet(count=5)
    for number, (name, directory) in enumerate(directories_by_id.items()):
        for other in list(directories_by_id)[number : number + 2]:
            if other != name:
                directory.suspect(other)
    polled_by_id = {
        name: {entry.instance for entry in make_readers(directory).upstream_candidates()}
        for name, directory in directories_by_id.items()
    }
    for name, polled in polled_by_id.items():
        assert all(name not in polled_by_id[other] for other in polled)
