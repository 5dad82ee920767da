import asyncio

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.silent_nodes import SilentNodes
from turmericwharf.state.sidecar import StoredEntry


def make_silent_nodes(*entries):
    clock = ManualClock()
    directory = NodeDirectory(make_entry('local'), clock)
    for entry in entries:
        directory.apply(StoredEntry(entry, 0), source='store')
    return SilentNodes(directory, clock), directory, clock


def test_a_node_stays_silent_until_it_answers():
    """Guards against searches that wait for a silent node again once its suspicion has ended."""
    entry = make_entry('n1')
    silent_nodes, directory, clock = make_silent_nodes(entry)
    silent_nodes.record_silence(entry)
    clock.at += 1000
    assert silent_nodes.contains('n1') and not directory.is_suspected('n1')
    silent_nodes.record_answer('n1')
    assert not silent_nodes.contains('n1')


def test_silent_nodes_are_polled_at_growing_intervals():
    """Guards against polls without end of a machine that is lost for good."""
    entry = make_entry('n1')
    silent_nodes, _, clock = make_silent_nodes(entry)
    polls = 0
    silent_nodes.record_silence(entry)
    for _ in range(200):
        clock.at += 0.5
        for due in silent_nodes.take_due():
            polls += 1
            silent_nodes.record_silence(due)
    assert 10 <= polls <= 20


def test_the_next_process_of_an_instance_is_not_silent():
    """Guards against a restarted node that is left out as long as its lost process would be."""
    entry = make_entry('n1')
    silent_nodes, directory, _ = make_silent_nodes(entry)
    silent_nodes.record_silence(entry)
    directory.apply(StoredEntry(make_entry('n1', process='next'), 1), source='store')
    assert not silent_nodes.contains('n1')
    assert not silent_nodes.take_due()


async def test_a_node_that_was_removed_is_not_waited_for():
    """Guards against a task that never waits again once a silent node was removed."""
    entry = make_entry('n1')
    silent_nodes, directory, _ = make_silent_nodes(entry)
    silent_nodes.record_silence(entry)
    directory.remove('n1')
    assert not silent_nodes.take_due()
    waiting = asyncio.create_task(silent_nodes.wait_for_any())
    await asyncio.sleep(0.01)
    assert not waiting.done()
    waiting.cancel()
