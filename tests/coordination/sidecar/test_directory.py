import dataclasses

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_entry
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.state.sidecar import ServerPhase


def make_directory():
    clock = ManualClock()
    return NodeDirectory(make_entry('own'), clock), clock


def test_older_revision_of_a_process_changes_nothing():
    """A late record would bring a leaving server back."""
    directory, _ = make_directory()
    ready = make_entry('peer')
    leaving = dataclasses.replace(ready, phase=ServerPhase.LEAVING, revision=2)
    directory.update(leaving, source='store')
    directory.update(ready, source='store')
    assert directory.find('peer').phase is ServerPhase.LEAVING
    assert [one.instance for one in directory.servers_of('bookings')] == ['own']


def test_process_that_a_connection_leads_to_wins_over_the_store():
    """Orders would go to a process that the store still names after a restart."""
    directory, _ = make_directory()
    old, new = make_entry('peer', process='old'), make_entry('peer', process='new')
    directory.update(old, source='store')
    directory.meet(new)
    directory.update(old, source='store')
    assert directory.find('peer').process == 'new'
    directory.part('peer')
    directory.update(make_entry('peer', process='newer'), source='store')
    assert directory.find('peer').process == 'newer'


def test_suspicion_grows_and_ends_with_an_answer():
    """A node that is down would be asked by each request."""
    directory, clock = make_directory()
    directory.update(make_entry('peer'), source='store')
    directory.suspect('peer')
    assert directory.is_suspected('peer')
    clock.at += 0.3
    assert not directory.is_suspected('peer')
    directory.suspect('peer')
    clock.at += 0.3
    assert directory.is_suspected('peer')
    directory.trust('peer')
    assert not directory.is_suspected('peer')


def test_learned_entry_does_not_replace_a_known_one():
    """Second-hand news would replace what the store or a connection said."""
    directory, _ = make_directory()
    known = make_entry('peer')
    directory.update(known, source='store')
    directory.learn(dataclasses.replace(known, process='other'))
    assert directory.find('peer') == known
