"""Reads the newest complete snapshot of the control state from the log."""

from loguru import logger

from turmericwharf.coordination.ports import LogService, SnapshotCodec
from turmericwharf.state import (
    SNAPSHOT_STREAM,
    ControlState,
    LogFailure,
    SnapshotPart,
)


async def read_newest_snapshot(
    log: LogService,
    codec: SnapshotCodec,
) -> ControlState | LogFailure | None:
    """Return the state of the newest complete snapshot, or None if the log holds none."""
    parts_by_snapshot: dict[str, list[SnapshotPart]] = {}
    offset = 0
    while True:
        page = await log.read(SNAPSHOT_STREAM, offset=offset, wait_seconds=0)
        if isinstance(page, LogFailure):
            return page
        for stored in page.records:
            if isinstance(stored.record, SnapshotPart):
                parts_by_snapshot.setdefault(stored.record.snapshot, []).append(stored.record)
        if page.next_offset <= offset:
            return _decode_newest(codec, list(parts_by_snapshot.values()))
        offset = page.next_offset


def _decode_newest(
    codec: SnapshotCodec,
    snapshots: list[list[SnapshotPart]],
) -> ControlState | None:
    # A snapshot is incomplete if some parts have expired or its writer stopped half-way.
    for parts in sorted(snapshots, key=lambda snapshot: snapshot[0].version, reverse=True):
        state = codec.decode(parts)
        if isinstance(state, ControlState):
            return state
        logger.bind(version=parts[0].version, detail=state.detail).info('snapshot_skipped')
    return None
