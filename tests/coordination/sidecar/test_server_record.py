import dataclasses

from turmericwharf.coordination.sidecar.server_record import ServerRecord
from turmericwharf.state.sidecar import AnnouncedServer, ServerPhase

READY = AnnouncedServer('s1', 'bookings', 3, ServerPhase.READY, born=10, sequence=4)
LEAVING = dataclasses.replace(READY, phase=ServerPhase.LEAVING, sequence=5)


def test_late_announcement_does_not_undo_leaving():
    """A server that leaves would get work because an earlier announcement came late."""
    record = ServerRecord()
    record.apply(READY)
    record.apply(LEAVING)
    record.apply(dataclasses.replace(READY, sequence=3))
    record.apply(dataclasses.replace(READY, sequence=9))
    assert record.current.phase is ServerPhase.LEAVING


def test_announcement_of_an_earlier_start_changes_nothing():
    """A heartbeat that a cut held up would replace the server that runs now."""
    record = ServerRecord()
    record.apply(dataclasses.replace(READY, server='s2', born=20, sequence=1))
    record.apply(dataclasses.replace(READY, sequence=99))
    assert record.current.server == 's2'


def test_new_start_under_the_same_identifier_is_ready_again():
    """A server that starts again under its identifier would never get work."""
    record = ServerRecord()
    record.apply(LEAVING)
    record.apply(dataclasses.replace(READY, born=30, sequence=1))
    assert record.current.phase is ServerPhase.READY


def test_removal_of_another_server_changes_nothing():
    """The notice of a dead server would take the one that runs now out of service."""
    record = ServerRecord()
    record.apply(READY)
    assert not record.mark_leaving(AnnouncedServer('s0', phase=ServerPhase.LEAVING))
    assert not record.mark_leaving(AnnouncedServer('s1', phase=ServerPhase.LEAVING, born=5))
    assert record.current == READY
    assert record.mark_leaving(AnnouncedServer('s1', phase=ServerPhase.LEAVING, born=10))
    record.apply(dataclasses.replace(READY, sequence=50))
    assert record.current.phase is ServerPhase.LEAVING
