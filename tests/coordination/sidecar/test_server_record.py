import dataclasses

from turmericwharf.coordination.sidecar.server_record import ServerRecord
from turmericwharf.state.sidecar import AnnouncedServer, ServerPhase

READY = AnnouncedServer('s1', 'bookings', 3, ServerPhase.READY, born=10, sequence=4)
LEAVING = dataclasses.replace(READY, phase=ServerPhase.LEAVING, sequence=5)


def test_stale_announcement_does_not_revert_leaving():
    """A delayed announcement must not send requests to a server that is leaving."""
    record = ServerRecord()
    record.apply(READY)
    record.apply(LEAVING)
    record.apply(dataclasses.replace(READY, sequence=3))
    record.apply(dataclasses.replace(READY, sequence=9))
    assert record.current.phase is ServerPhase.LEAVING


def test_announcement_of_an_earlier_start_is_ignored():
    """A heartbeat delayed by a network partition must not replace the current server."""
    record = ServerRecord()
    record.apply(dataclasses.replace(READY, server='s2', born=20, sequence=1))
    record.apply(dataclasses.replace(READY, sequence=99))
    assert record.current.server == 's2'


def test_restart_under_the_same_identifier_is_ready_again():
    """A server that restarts under its identifier must receive requests again."""
    record = ServerRecord()
    record.apply(LEAVING)
    record.apply(dataclasses.replace(READY, born=30, sequence=1))
    assert record.current.phase is ServerPhase.READY


def test_leave_notice_of_another_server_is_ignored():
    """The notice of a stopped server must not take the current one out of service."""
    record = ServerRecord()
    record.apply(READY)
    assert not record.mark_leaving(AnnouncedServer('s0', phase=ServerPhase.LEAVING))
    assert not record.mark_leaving(AnnouncedServer('s1', phase=ServerPhase.LEAVING, born=5))
    assert record.current == READY
    assert record.mark_leaving(AnnouncedServer('s1', phase=ServerPhase.LEAVING, born=10))
    record.apply(dataclasses.replace(READY, sequence=50))
    assert record.current.phase is ServerPhase.LEAVING
