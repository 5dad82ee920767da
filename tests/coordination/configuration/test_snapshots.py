"""Snapshots in the log: due times, concurrent writers and incomplete snapshots."""

import dataclasses

from tests.coordination.configuration.test_control_fold import start
from turmericwharf.coordination import SnapshotWriter, read_newest_snapshot
from turmericwharf.protocol import SnapshotEncoding
from turmericwharf.protocol import snapshots as encoding
from turmericwharf.state import (
    CONTROL_STREAM,
    LOG_UNAVAILABLE,
    SNAPSHOT_STREAM,
    ControlState,
    LogPage,
    LogSettings,
    SnapshotWritten,
    StoredRecord,
)

HOUR_SECONDS = 3600.0


class MemoryLog:
    """In-memory streams that reject all appends after `appends_left`."""

    def __init__(self):
        self.streams = {SNAPSHOT_STREAM: [], CONTROL_STREAM: []}
        self.appends_left = 1000

    async def append(self, stream, records):
        self.appends_left -= 1
        if self.appends_left < 0:
            return LOG_UNAVAILABLE
        self.streams[stream].extend(records)
        return len(self.streams[stream]) - 1

    async def read(self, stream, *, offset, wait_seconds):
        records = self.streams[stream]
        stored = [StoredRecord(number, one) for number, one in enumerate(records)][offset:]
        return LogPage(tuple(stored), 0, max(offset, len(records)))


@dataclasses.dataclass
class FakeControlLog:
    log: MemoryLog
    state: ControlState
    is_ready: bool = True

    async def append_record(self, record):
        return await self.log.append(CONTROL_STREAM, (record,))


@dataclasses.dataclass
class FakeStanding:
    has_log: bool = True


def make_writer(log, state, *, now=0.0, has_log=True):
    return SnapshotWriter(
        log=log,
        codec=SnapshotEncoding(),
        control_log=FakeControlLog(log, state),
        standing=FakeStanding(has_log),
        settings=LogSettings('http://127.0.0.1', retention_seconds=3 * HOUR_SECONDS),
        wall_clock=lambda: now,
    )


async def test_the_newest_complete_snapshot_is_read(monkeypatch):
    """Guards against a node that starts from an older or an incomplete snapshot."""
    monkeypatch.setattr(encoding, '_PART_CHARACTERS', 100)
    log = MemoryLog()
    older, newer = start(), dataclasses.replace(start(), version=7)
    assert await make_writer(log, newer).write()
    assert await make_writer(log, newer).write()
    assert await make_writer(log, older).write()
    log.appends_left = 2
    assert not await make_writer(log, dataclasses.replace(newer, version=9)).write()
    # The first rejected append ended the write, so no record marks the snapshot as complete.
    assert log.appends_left == -1
    assert len(log.streams[CONTROL_STREAM]) == 3
    assert await read_newest_snapshot(log, SnapshotEncoding()) == newer
    assert {type(one) for one in log.streams[CONTROL_STREAM]} == {SnapshotWritten}


async def test_a_snapshot_is_due_after_a_third_of_the_retention():
    """Guards against a snapshot that expires before the next one is written."""
    log = MemoryLog()
    state = dataclasses.replace(start(), snapshot_written_at=1000.0)
    assert not make_writer(log, state, now=1000.0 + HOUR_SECONDS - 1).is_due
    assert make_writer(log, state, now=1000.0 + HOUR_SECONDS + 1).is_due
    assert not await make_writer(log, state, has_log=False).write()
    assert log.streams[SNAPSHOT_STREAM] == []
