import collections
import dataclasses
import itertools

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.order_sender import refused_answer
from turmericwharf.coordination.sidecar.placement import Reach
from turmericwharf.coordination.sidecar.remote_placement import PlacementNeeds
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.state import Answered, NotRun, Reason
from turmericwharf.state.sidecar import ServerPhase, StoredEntry, WorkAnswer

SUCCESS = WorkAnswer(Answered(200, (), b''), None, None, True, 0, 0, 5)
FULL = dataclasses.replace(
    refused_answer(Reason.SERVER_BUSY, 'busy'),
    refused=NotRun(Reason.SERVER_BUSY, 'busy', 0.7),
    running=3,
)
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


def test_other_servers_of_other_data_centres_come_within_reach_when_the_first_are_full():
    """Guards against idle servers that are never asked, because a node asks few."""
    clock = ManualClock()
    directory = NodeDirectory(make_entry('own', service='other'), clock)
    for number in range(20):
        entry = make_entry(f'n{number}', data_centre='west')
        directory.apply(StoredEntry(entry, number), source='test')
    selector = ServerSelector(directory, clock)
    asked = set()
    for _ in range(20):
        entry = selector.select('bookings', set(), Reach.REMOTE, may_wait=False)
        asked.add(entry.instance)
        selector.record_answer(entry.instance, FULL)
    assert len(asked) == 20


def test_a_full_server_is_not_asked_for_a_free_slot_before_the_time_that_it_named():
    """Guards against offers that cannot succeed, which each request made again."""
    selector, clock = make_selector(2)
    for instance in ('n0', 'n1'):
        selector.record_answer(instance, FULL)
    assert selector.select('bookings', set(), may_wait=False) is None
    assert selector.select('bookings', set(), may_wait=True) is not None
    clock.at += 0.8
    assert selector.select('bookings', set(), may_wait=False) is not None


def test_a_request_waits_here_while_the_others_have_refused_it():
    """Guards against whole requests that cross between data centres only to be refused."""
    clock = ManualClock()
    directory = NodeDirectory(make_entry('own', service='other'), clock)
    directory.apply(StoredEntry(make_entry('here'), 0), source='test')
    directory.apply(StoredEntry(make_entry('there', data_centre='west'), 1), source='test')
    selector = ServerSelector(directory, clock)
    selector.record_answer('there', FULL)
    assert selector.select('bookings', set()).instance == 'here'
    assert selector.select('bookings', {'here'}) is None
    # Without a server here, the request can only wait there.
    directory.apply(
        StoredEntry(make_entry('here', phase=ServerPhase.LEAVING, revision=1), 2), source='test'
    )
    assert selector.select('bookings', set()).instance == 'there'


def test_faster_servers_are_preferred_and_slow_ones_still_get_work():
    """Guards against equal shares for servers that differ by a factor of five."""
    selector, clock = make_selector(4)
    run_seconds = {'n0': 0.2, 'n1': 0.2, 'n2': 1.0, 'n3': 1.0}
    needs = PlacementNeeds(route='r')
    counts = collections.Counter()
    for _ in range(400):
        clock.at += 0.05
        entry = selector.select('bookings', set(), needs=needs)
        counts[entry.instance] += 1
        selector.start(entry.instance, 'r')
        selector.record_answer(
            entry.instance,
            dataclasses.replace(SUCCESS, running=1, run_seconds=run_seconds[entry.instance]),
            'r',
        )
        selector.end(entry.instance, 'r')
    assert counts['n0'] + counts['n1'] > 4 * (counts['n2'] + counts['n3'])
    for instance in ('n0', 'n1'):
        selector.record_answer(instance, FULL, 'r')
    assert selector.select('bookings', set(), needs=needs, may_wait=False).instance in {'n2', 'n3'}


def test_a_server_that_joins_gets_work_within_four_seconds_but_not_all_of_it_at_once():
    """Guards against a new server that all nodes rush to, and against one that stays idle."""
    selector, clock = make_selector(4)
    needs = PlacementNeeds(route='r')
    counts_by_second = [collections.Counter() for _ in range(4)]
    selector.select('bookings', set(), needs=needs)
    selector._directory.apply(StoredEntry(make_entry('new'), 9), source='test')
    for counts in counts_by_second:
        for _ in range(50):
            clock.at += 0.02
            instance = selector.select('bookings', set(), needs=needs, may_wait=False).instance
            counts[instance] += 1
            selector.record_answer(instance, dataclasses.replace(SUCCESS, running=1), 'r')
    assert counts_by_second[0]['new'] < 10
    assert counts_by_second[3]['new'] >= 5
