import collections
import dataclasses
import itertools

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_sender import refused_answer
from turmericwharf.coordination.sidecar.placement import Reach
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.state import Answered, Reason
from turmericwharf.state.sidecar import StoredEntry, WorkAnswer

SUCCESS = WorkAnswer(Answered(200, (), b''), None, None, True, 0, 0, 5)
OPEN = refused_answer(Reason.BREAKER_OPEN, 'open')


def make_selector(servers):
    clock = ManualClock()
    directory = NodeDirectory(make_entry('own', service='other'), clock)
    for number in range(servers):
        directory.apply(StoredEntry(make_entry(f'n{number}'), number), source='test')
    return ServerSelector(directory, clock), clock


def test_an_idle_server_with_an_open_breaker_is_not_the_first_choice():
    """Guards against requests that first ask a broken server, because it is idle.

    With a third of the servers broken, nearly every request would do so at each return.
    """
    selector, clock = make_selector(12)
    broken = {'n0', 'n1', 'n2', 'n3'}
    asked = collections.Counter()
    for _ in range(200):
        clock.at += 0.1
        excluded = set()
        while True:
            entry = selector.select('bookings', excluded)
            asked[entry.instance in broken] += 1
            selector.record_answer(entry.instance, OPEN if entry.instance in broken else SUCCESS)
            if entry.instance not in broken:
                break
            excluded.add(entry.instance)
    assert asked[True] < 0.2 * asked[False]


def test_a_server_with_an_open_breaker_is_asked_if_the_others_are_excluded():
    """Guards against a repaired server that stays idle while all others are busy."""
    selector, _ = make_selector(3)
    selector.record_answer('n0', OPEN)
    assert selector.select('bookings', {'n1', 'n2'}).instance == 'n0'
    busy = dataclasses.replace(refused_answer(Reason.SERVER_BUSY, 'busy'), running=1)
    selector.record_answer('n1', busy)
    assert selector.select('bookings', {'n2'}).instance == 'n1'


def select_remote(own, entries, times):
    """Select servers of other data centres again and again; return the instances."""
    clock = ManualClock()
    directory = NodeDirectory(make_entry(own, service='other'), clock)
    for position, entry in enumerate(entries):
        directory.apply(StoredEntry(entry, position), source='test')
    selector = ServerSelector(directory, clock)
    return [selector.select('bookings', set(), Reach.REMOTE).instance for _ in range(times)]


def test_a_node_asks_few_nodes_of_other_data_centres():
    """Guards against connections between all nodes of all data centres.

    Each costs its two nodes as much processor time as several requests, and a day of 234 nodes
    opened some hundred at each.
    """
    entries = [make_entry(f'n{number}', data_centre='west') for number in range(64)]
    asked_by_own = {f'own-{n}': set(select_remote(f'own-{n}', entries, 50)) for n in range(47)}
    assert {len(asked) for asked in asked_by_own.values()} == {4}
    counts = collections.Counter(itertools.chain.from_iterable(asked_by_own.values()))
    # The load of a data centre without free slots is spread over the others.
    assert len(counts) > 50
    assert max(counts.values()) < 12
