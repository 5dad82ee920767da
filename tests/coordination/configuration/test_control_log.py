"""Following the control stream under a steady flow of records and after records expired."""

import asyncio

from tests.coordination.configuration.test_control_fold import publish, start
from turmericwharf.coordination import ControlLog, MembershipView, Standing
from turmericwharf.coordination.configuration import control_log as control_log_module
from turmericwharf.protocol import SnapshotEncoding
from turmericwharf.state import (
    CONTROL_STREAM,
    ControlState,
    LogPage,
    Member,
    StoredRecord,
    TimingSettings,
)

TIMING = TimingSettings()
RECORD_SECONDS = 0.7


class FakeClock:
    def __init__(self):
        self.moment = 100.0

    def now(self):
        return self.moment


class FakeLog:
    """Control stream to which a record is appended every `RECORD_SECONDS`."""

    def __init__(self, clock, earliest=0):
        self.clock = clock
        self.earliest = earliest
        self.started_at = clock.now()

    @property
    def next_offset(self):
        return self.earliest + 1 + int((self.clock.now() - self.started_at) / RECORD_SECONDS)

    async def read(self, stream, *, offset, wait_seconds):
        await asyncio.sleep(0)
        if stream != CONTROL_STREAM:
            return LogPage((), 0, offset)
        if offset >= self.next_offset and wait_seconds:
            self.clock.moment += min(wait_seconds, RECORD_SECONDS)
        self.clock.moment += 0.001
        offsets = range(max(offset, self.earliest), self.next_offset)
        records = tuple(StoredRecord(one, publish(f'p{one}', one - 1)) for one in offsets)
        return LogPage(records, self.earliest, max(offset, self.next_offset))


def make_control_log(earliest=0):
    clock = FakeClock()
    standing = Standing(TIMING, clock)
    members = MembershipView(Member('one', 'incarnation', '127.0.0.1', 1, 'dc'), TIMING, clock)
    control_log = ControlLog(
        log=FakeLog(clock, earliest),
        codec=SnapshotEncoding(),
        standing=standing,
        members=members,
        timing=TIMING,
        clock=clock,
    )
    return control_log, standing, clock


async def follow_until(control_log, condition):
    task = asyncio.create_task(control_log.follow())
    try:
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0)
    finally:
        task.cancel()


async def test_a_steady_flow_of_records_keeps_standing():
    """Guards against a node that rejects callers because it never reads an empty page."""
    control_log, standing, clock = make_control_log()
    had_standing = []

    def is_done():
        if control_log.is_ready:
            had_standing.append(standing.has_log)
        return clock.now() > 130.0

    await follow_until(control_log, is_done)
    assert len(had_standing) > 40
    assert all(had_standing)


async def test_a_node_is_not_ready_past_a_gap_until_a_newer_state_comes(monkeypatch):
    """Guards against a configuration that lacks the changes in expired records."""
    monkeypatch.setattr(control_log_module, '_GAP_RETRY_DELAY_SECONDS', 0)
    control_log, standing, clock = make_control_log(earliest=10)
    await follow_until(control_log, lambda: control_log.is_ready or clock.now() > 100.1)
    assert not control_log.is_ready
    assert not standing.has_log
    assert control_log.state == ControlState()
    state = start()
    control_log.adopt(ControlState(9, state.configuration, state.membership))
    await follow_until(control_log, lambda: control_log.is_ready)
    assert control_log.state.version >= 10
    assert control_log.configuration.organisations_by_id


async def test_an_older_state_is_ignored():
    """Guards against a configuration that reverts to the older state of a slow peer."""
    control_log, _standing, _clock = make_control_log()
    newer = ControlState(5, start().configuration)
    control_log.adopt(newer)
    control_log.adopt(ControlState(4))
    control_log.adopt(ControlState(5))
    assert control_log.state is newer
    assert control_log.routes.find('GET', '/catalogue/1').route == 'catalogue-read'
