"""Keeps snapshots of the control state in the log, where only a starting node reads them."""

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

# A snapshot covers the control stream for the whole retention; writing it at a third of that
# leaves two more chances if the log is away.
_DUE_FRACTION = 1 / 3
# Members look at different moments within this part of the retention, so that usually only
# one of them finds the snapshot due.
_LOOK_FRACTION = 1 / 12
_RETRY_SECONDS = 1.0


class SnapshotWriter:
    """Appends a snapshot when the last one is old; two nodes that do it at once do no harm.

    Parameters
    ----------
    log
        The platform's log.
    codec
        Encoding of snapshots.
    control_log
        Owner of the control state.
    standing
        Whether the log's tail was read a short time ago.
    settings
        How long the log keeps records.
    wall_clock
        Unix time in seconds; errors of minutes do not matter against the retention.
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
        """Whether the last snapshot that this node knows of is old."""
        age_seconds = self._wall_clock() - self._control_log.state.snapshot_written_at
        return age_seconds > self._settings.retention_seconds * _DUE_FRACTION

    async def run(self) -> None:
        """Look after the snapshots for as long as the node runs."""
        longest_pause = self._settings.retention_seconds * _LOOK_FRACTION
        while True:
            await asyncio.sleep(random.uniform(0, longest_pause))
            while self.is_due and not await self.write():
                await asyncio.sleep(_RETRY_SECONDS)

    async def write(self) -> bool:
        """Append a snapshot; return whether the log took all of it."""
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
