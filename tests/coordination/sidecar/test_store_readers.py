import dataclasses

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.store_readers import StoreReaders
from turmericwharf.state.sidecar import ServerPhase, StoredEntry


def make_fleet(count=9, places=1):
    entries = [make_entry(f'n{n}', data_centre=f'place-{n % places}') for n in range(count)]
    directories_by_id = {}
    for own in entries:
        directory = NodeDirectory(own, ManualClock())
        for other in entries:
            directory.apply(StoredEntry(other, 0), source='store')
        directories_by_id[own.instance] = directory
    return directories_by_id


def make_readers(directory):
    return StoreReaders(directory, DataCentreRanking(directory))


def names(readers):
    return {entry.instance for entry in readers.upstream_readers()}


def test_two_nodes_of_each_data_centre_read_and_the_others_agree_on_them():
    """Each node would read the store, or a data centre would depend on another one."""
    directories_by_id = make_fleet(count=12, places=3)
    asked_by_id = {name: names(make_readers(one)) for name, one in directories_by_id.items()}
    own_readers = {name for name, asked in asked_by_id.items() if not asked}
    assert len(own_readers) == 6
    for name, asked in asked_by_id.items():
        place = directories_by_id[name].local.data_centre
        near = {one for one in own_readers if directories_by_id[one].local.data_centre == place}
        assert asked in (set(), near)


def test_next_node_reads_when_a_reader_is_suspected_or_stops():
    """A data centre would hear nothing after its readers have ended."""
    directories_by_id = make_fleet()
    readers_by_id = {name: make_readers(one) for name, one in directories_by_id.items()}
    first, second = (name for name, one in readers_by_id.items() if not names(one))
    other = next(name for name, one in readers_by_id.items() if names(one))
    directories_by_id[other].suspect(first)
    assert first not in names(readers_by_id[other])
    entry = directories_by_id[other].find(second)
    stopping = dataclasses.replace(entry, phase=ServerPhase.STOPPING, revision=1)
    directories_by_id[other].apply(StoredEntry(stopping, 1), source='store')
    assert second not in names(readers_by_id[other])


def test_no_two_nodes_wait_for_each_other_whatever_they_suspect():
    """Two nodes that ask each other would both stop to read the store."""
    directories_by_id = make_fleet(count=5)
    for number, (name, directory) in enumerate(directories_by_id.items()):
        for other in list(directories_by_id)[number : number + 2]:
            if other != name:
                directory.suspect(other)
    asked_by_id = {name: names(make_readers(one)) for name, one in directories_by_id.items()}
    for name, asked in asked_by_id.items():
        assert all(name not in asked_by_id[other] for other in asked)
