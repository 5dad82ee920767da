"""Writes snapshots of the control state to the log; nodes read them at start and after a gap."""

import asyncio
import random
import time
from collections.abc import Callable

from loguru import logger

from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.ports import LogService, SnapshotCodec
from turmericwharf.coordination.membership.standing import Standing
from turmericwharf.state import (
    SNAPSHOT_STREAM,
    LogFailure,
    LogSettings,
    SnapshotWritten,
    new_identifier,
)

# A snapshot stays in the log for the retention time. Writing the next one after a third of that
# time leaves two more chances if the log is unreachable.
_DUE_FRACTION = 1 / 3
# Members check at random times within this fraction of the retention time, so that usually only one
# of them finds the snapshot due.
_CHECK_FRACTION = 1 / 12
_RETRY_DELAY_SECONDS = 1.0


class SnapshotWriter:
    """Appends a snapshot when the next one is due; concurrent writes by two nodes are harmless.

    Parameters
    ----------
    log
        The platform's log.
    codec
        Snapshot codec.
    control_log
        Holder of the control state.
    standing
        Whether the end of the log was reached within the standing time.
    settings
        Retention time of the log.
    wall_clock
        Unix time in seconds; errors of minutes are negligible against the retention time.
    """

    def __init__(
        self,
        *,
        log: LogService,
        codec: SnapshotCodec,
        control_log: ControlLog,
        standing: Standing,
        settings: LogSettings,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._log = log
        self._codec = codec
        self._control_log = control_log
        self._standing = standing
        self._settings = settings
        self._wall_clock = wall_clock

    @property
    def is_due(self) -> bool:
        """Whether the last known snapshot is older than a third of the retention time."""
        age_seconds = self._wall_clock() - self._control_log.state.snapshot_written_at
        return age_seconds > self._settings.retention_seconds * _DUE_FRACTION

    async def run(self) -> None:
        """Write snapshots when they are due, until cancelled."""
        max_delay_seconds = self._settings.retention_seconds * _CHECK_FRACTION
        while True:
            await asyncio.sleep(random.uniform(0, max_delay_seconds))
            while self.is_due and not await self.write():
                await asyncio.sleep(_RETRY_DELAY_SECONDS)

    async def write(self) -> bool:
        """Append a snapshot; return whether all of it was appended."""
        if not self._control_log.is_ready or not self._standing.has_log:
            return False
        state = self._control_log.state
        snapshot = new_identifier()
        written_at = self._wall_clock()
        for part in self._codec.encode(state, snapshot):
            if isinstance(await self._log.append(SNAPSHOT_STREAM, (part,)), LogFailure):
                return False
        logger.bind(version=state.version).info('snapshot_written')
        record = SnapshotWritten(snapshot, state.version, written_at)
        return not isinstance(await self._control_log.append_record(record), LogFailure)
