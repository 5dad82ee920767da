"""Follows the control stream of the log and holds the resulting control state."""

import asyncio
import dataclasses
from collections.abc import Callable

from loguru import logger

from turmericwharf.coordination.configuration.control_fold import fold_record
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.ports import LogService, SnapshotCodec
from turmericwharf.coordination.routing.route_index import RouteIndex
from turmericwharf.coordination.configuration.snapshot_reading import read_newest_snapshot
from turmericwharf.coordination.membership.standing import Standing
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import (
    CONTROL_STREAM,
    Configuration,
    ControlDump,
    ControlState,
    Joined,
    Left,
    LogFailure,
    LogPage,
    Removed,
    SnapshotWritten,
    TimingSettings,
)

_RETRY_DELAY_SECONDS = 0.2
# Used after the records that follow the newest snapshot have expired. Only a newer snapshot or the
# state of a peer can help then.
_GAP_RETRY_DELAY_SECONDS = 1.0


class ControlLog:
    """Holds the control state of this node.

    Parameters
    ----------
    log
        The platform's log.
    codec
        Snapshot codec.
    standing
        Updated with the freshness of the state.
    members
        Updated with the membership.
    timing
        Coordination intervals and timeouts.
    clock
        Monotonic clock.
    """

    def __init__(
        self,
        *,
        log: LogService,
        codec: SnapshotCodec,
        standing: Standing,
        members: MembershipView,
        timing: TimingSettings,
        clock: Clock,
    ) -> None:
        self._log = log
        self._codec = codec
        self._standing = standing
        self._members = members
        self._timing = timing
        self._clock = clock
        self._state = ControlState()
        self._routes = RouteIndex()
        self._changed = asyncio.Event()
        self._needs_snapshot = True
        self._applied_at = clock.now()
        self.is_ready = False

    @property
    def state(self) -> ControlState:
        """The control state in force at this node."""
        return self._state

    @property
    def configuration(self) -> Configuration:
        """The configuration in force at this node."""
        return self._state.configuration

    @property
    def routes(self) -> RouteIndex:
        """The routes in force at this node."""
        return self._routes

    @property
    def in_force_seconds(self) -> float:
        """Seconds for which the state has been in force at this node."""
        return self._clock.now() - self._applied_at

    @property
    def has_standing(self) -> bool:
        """Whether the configuration in force is fresh enough to act on."""
        return self.is_ready and self._standing.has_standing

    def adopt(self, state: ControlState) -> None:
        """Replace the state by a newer one; an older one or one of the same version is ignored."""
        if state.version <= self._state.version:
            return
        if state.configuration.routes_by_id is not self.configuration.routes_by_id:
            self._routes = RouteIndex(state.configuration.routes_by_id.values())
        self._state = state
        self._applied_at = self._clock.now()
        self._members.apply(state.membership)
        self._standing.record_applied_version(state.version)
        self._standing.record_majority_contact(self._members.majority_contact_at())
        if self._members.superseded_by is not None:
            self._standing.end()
        self._notify_waiting()

    async def follow(self) -> None:
        """Read the newest snapshot, then follow the control stream until cancelled."""
        is_at_end = False
        while True:
            if self._needs_snapshot:
                await self._read_snapshot()
            else:
                is_at_end = await self._read_once(is_at_end)

    async def append_record(
        self,
        record: Joined | Left | Removed | SnapshotWritten,
    ) -> int | LogFailure:
        """Append a membership or snapshot record to the control stream."""
        return await self._log.append(CONTROL_STREAM, (record,))

    async def wait_until(self, condition: Callable[[], bool], timeout_seconds: float) -> bool:
        """Wait until a condition holds; return False on timeout.

        The condition is evaluated at once, and again whenever the state changes or the end of the
        log is reached.
        """
        try:
            async with asyncio.timeout(timeout_seconds):
                while not condition():
                    await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def _read_snapshot(self) -> None:
        state = await read_newest_snapshot(self._log, self._codec)
        if isinstance(state, LogFailure):
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
            return
        if state is not None:
            self.adopt(state)
        self._needs_snapshot = False

    async def _read_once(self, is_at_end: bool) -> bool:
        """Read one page and return whether it was empty."""
        requested_at = self._clock.now()
        offset = self._state.version + 1
        page = await self._log.read(
            CONTROL_STREAM,
            offset=offset,
            # Only a read at the end of the log waits. If a read after records waited too, records
            # that arrive faster than the wait time would keep the node from ever reaching the end.
            wait_seconds=self._timing.log_wait_seconds if is_at_end else 0,
        )
        if isinstance(page, LogFailure):
            logger.bind(reason=page.reason.value, detail=page.detail).debug('log_read_failed')
            await asyncio.sleep(_RETRY_DELAY_SECONDS)
            return False
        if page.earliest_offset > offset:
            await self._handle_gap(page)
            return False
        return self._apply_page(page, requested_at)

    async def _handle_gap(self, page: LogPage) -> None:
        # A newer state may have been fetched from a peer while the read was in flight.
        if page.earliest_offset <= self._state.version + 1:
            return
        self.is_ready = False
        self._needs_snapshot = True
        logger.bind(version=self._state.version, earliest=page.earliest_offset).warning(
            'control_records_expired',
        )
        await asyncio.sleep(_GAP_RETRY_DELAY_SECONDS)

    def _apply_page(self, page: LogPage, requested_at: float) -> bool:
        state = self._state
        for stored in page.records:
            state = fold_record(state, stored)
            # Confirming a membership needs a majority of each one since the last confirmed one, so
            # none may be skipped.
            self._members.apply(state.membership, is_consecutive=True)
        # Skip records that could not be decoded, or they would be read again and again.
        version = max(state.version, page.next_offset - 1)
        if version > self._state.version:
            self.adopt(dataclasses.replace(state, version=version))
            return False
        # An empty page means that the end was reached at the time of the request or later.
        self._standing.record_log_read(requested_at)
        self._members.is_caught_up = True
        self.is_ready = True
        self._notify_waiting()
        return True

    def _notify_waiting(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


@describe.register
def _(part: ControlLog) -> ControlDump:
    configuration = part.configuration
    return ControlDump(
        is_ready=part.is_ready,
        version=part.state.version,
        configuration_version=configuration.version,
        in_force_seconds=part.in_force_seconds,
        snapshot_written_at=part.state.snapshot_written_at,
        organisations=len(configuration.organisations_by_id),
        keys=len(configuration.keys_by_digest),
        classes=len(configuration.classes_by_id),
        services=len(configuration.services_by_id),
        routes=len(configuration.routes_by_id),
    )
