import asyncio
import dataclasses

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from tests.virtual_time import run_in_virtual_time
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.state.sidecar import NOT_STORED, ServerPhase, StoredEntry


def make_directory():
    clock = ManualClock()
    return NodeDirectory(make_entry('own'), clock), clock


def apply(directory, entry, position):
    directory.apply(StoredEntry(entry, position), source='store')


def test_older_revision_of_a_process_changes_nothing():
    """Guards against a late record making a leaving server ready again."""
    directory, _ = make_directory()
    ready = make_entry('peer')
    leaving = dataclasses.replace(ready, phase=ServerPhase.LEAVING, revision=2)
    apply(directory, leaving, 5)
    apply(directory, ready, 4)
    apply(directory, ready, 6)
    assert directory.find('peer').phase is ServerPhase.LEAVING
    assert [entry.instance for entry in directory.nodes_serving('bookings')] == ['own']


def test_connected_process_takes_precedence_over_the_store():
    """Guards against orders to a process that no longer runs.

    After a restart the store may still list the previous process.
    """
    directory, _ = make_directory()
    old, new = make_entry('peer', process='old'), make_entry('peer', process='new')
    apply(directory, old, 1)
    directory.record_connection(new)
    apply(directory, old, 2)
    assert directory.find('peer').process == 'new'
    directory.record_disconnection('peer')
    apply(directory, make_entry('peer', process='newer'), 3)
    assert directory.find('peer').process == 'newer'


def test_suspicion_backs_off_and_ends_with_an_answer():
    """Guards against each request trying a node that is down."""
    directory, clock = make_directory()
    apply(directory, make_entry('peer'), 1)
    directory.suspect('peer')
    assert directory.is_suspected('peer')
    clock.at += 0.3
    assert not directory.is_suspected('peer')
    directory.suspect('peer')
    clock.at += 0.3
    assert directory.is_suspected('peer')
    directory.clear_suspicion('peer')
    assert not directory.is_suspected('peer')


def test_entry_without_a_position_does_not_replace_a_known_process():
    """Guards against a relayed entry overriding one from the store or a connection."""
    directory, _ = make_directory()
    known = make_entry('peer')
    apply(directory, known, 0)
    apply(directory, dataclasses.replace(known, process='other'), NOT_STORED)
    assert directory.find('peer') == known


def test_stale_reader_does_not_restore_an_earlier_process():
    """Guards against orders to the process before a restart, after a switch to a stale reader."""
    directory, _ = make_directory()
    old, new = make_entry('peer', process='old'), make_entry('peer', process='new')
    apply(directory, new, 9)
    apply(directory, old, 8)
    assert directory.find('peer') == new


def test_newer_revision_is_applied_before_it_is_stored():
    """Guards against work for the server of a store reader after it began to leave.

    A reader reports the change of its own entry before the store has it.
    """
    directory, _ = make_directory()
    ready = make_entry('peer')
    apply(directory, ready, 3)
    apply(directory, dataclasses.replace(ready, phase=ServerPhase.LEAVING, revision=1), NOT_STORED)
    assert directory.find('peer').phase is ServerPhase.LEAVING


def test_changes_are_reported_once_and_awaited():
    """Guards against replies that repeat all entries or come late."""

    async def main():
        directory, _ = make_directory()
        apply(directory, make_entry('a'), 1)
        seen = directory.change_number
        waiting = asyncio.create_task(directory.wait_for_change(seen, 5))
        await asyncio.sleep(1)
        assert not waiting.done()
        apply(directory, make_entry('b'), 2)
        await asyncio.wait_for(waiting, 0.1)
        assert directory.entries_changed_after(seen) == (StoredEntry(make_entry('b'), 2),)
        assert not directory.entries_changed_after(directory.change_number)
        await asyncio.wait_for(directory.wait_for_change(directory.change_number, 1), 1.5)

    run_in_virtual_time(main())
