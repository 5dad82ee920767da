"""Applies the announcements of the local backend server."""

import dataclasses

from loguru import logger

from turmericwharf.coordination.sidecar.local_node_publisher import LocalNodePublisher
from turmericwharf.coordination.sidecar.order_executor import OrderExecutor
from turmericwharf.coordination.sidecar.server_confirmation import ServerConfirmation
from turmericwharf.coordination.sidecar.server_record import ServerRecord
from turmericwharf.state.sidecar import AnnouncedServer, NodeEntry, ServerPhase

# The backend server ignores an acknowledgement that takes longer than 1 s, so the write to the
# store gets less than that.
_WRITE_TIMEOUT_SECONDS = 0.5


class AnnouncementService:
    """Applies announcements of the backend server before they are acknowledged.

    A leave is acknowledged only if this process does not use the server any more, and can still
    write the leave to the store, so that the next process on the machine knows it too.

    Parameters
    ----------
    record
        Current state of the backend server.
    executor
        Runs orders on the server; its queue and circuit breaker follow the announcements.
    publisher
        Publishes the local entry to the fleet.
    confirmation
        Holds back announcements as ready that may be outdated.
    """

    def __init__(
        self,
        record: ServerRecord,
        executor: OrderExecutor,
        publisher: LocalNodePublisher,
        confirmation: ServerConfirmation,
    ) -> None:
        self._record = record
        self._executor = executor
        self._publisher = publisher
        self._confirmation = confirmation
        # Set when the process begins to stop: the server is not published as ready any more.
        self.is_stopping = False
        # Set when the process ends: nothing is written any more.
        self.is_closed = False

    async def apply_announcement(self, server: AnnouncedServer) -> bool:
        """Apply an announcement.

        Returns
        -------
        bool
            Whether the announcement may be acknowledged.
        """
        if self._confirmation.has_left(server):
            server = dataclasses.replace(server, phase=ServerPhase.LEAVING)
        if server.phase is ServerPhase.READY and not self._confirmation.may_use_server:
            self._confirmation.hold(server)
            return True
        return await self._apply(server)

    async def apply_leave_notice(self, server: AnnouncedServer) -> bool:
        """Apply the notice that a server has stopped or is about to stop.

        Returns
        -------
        bool
            Whether the notice may be acknowledged.
        """
        self._confirmation.drop(server.server, born=server.born)
        if self._record.mark_leaving(server):
            return await self._publish_and_confirm()
        return not self._uses(server)

    async def confirm(self, server: AnnouncedServer) -> None:
        """Put a server to use that has confirmed by its health check that it is not leaving."""
        waiting = self.unconfirmed_server()
        if waiting is not None and waiting.start == server.start:
            await self._apply(dataclasses.replace(waiting, cold_seconds=server.cold_seconds))

    def record_previous_entry(self, entry: NodeEntry) -> None:
        """Record an entry that an earlier process of this node published."""
        is_first = self._confirmation.record_previous_entry(entry)
        has_left = entry.phase is ServerPhase.LEAVING
        current = self._record.current
        if self._confirmation.has_left(current):
            self._record.mark_leaving(current)
        if current.phase is not ServerPhase.ABSENT:
            self._publish()
        elif is_first or has_left:
            # Published again for the next process, in case this one ends before the server
            # announces itself.
            self._publisher.publish_server(
                dataclasses.replace(
                    _server_from_entry(entry),
                    phase=ServerPhase.LEAVING if has_left else ServerPhase.STOPPING,
                ),
            )

    def unconfirmed_server(self) -> AnnouncedServer | None:
        """Return the server that may be used once it has confirmed that it is not leaving.

        Returns
        -------
        AnnouncedServer or None
            The server that was announced last, else the one that the previous process served. None
            if a server is known already, or if that one was leaving.
        """
        held, previous = self._confirmation.held, self._confirmation.previous_entry
        is_known = self._record.current.phase is not ServerPhase.ABSENT
        if held is not None or previous is None or is_known:
            return held
        return None if previous.phase is ServerPhase.LEAVING else _server_from_entry(previous)

    async def release_held(self) -> None:
        """Apply the held announcement if the process has learned that it may use the server."""
        held = self._confirmation.held
        if held is not None and self._confirmation.may_use_server:
            await self.apply_announcement(held)

    async def _apply(self, server: AnnouncedServer) -> bool:
        previous = self._record.current
        if server.phase is ServerPhase.READY:
            self._confirmation.confirm()
        else:
            self._confirmation.drop(server.server, born=server.born)
        has_changed = self._record.apply(server)
        has_become_cold = (
            server.phase is ServerPhase.READY
            and self._record.current is server
            and self._executor.cold_start.record_announcement(server)
        )
        if not has_changed and not has_become_cold:
            return server.phase is ServerPhase.READY or not self._uses(server)
        if previous.start != server.start:
            self._executor.breaker.reset()
        self._executor.queue.resize(max(server.slots, 1))
        return await self._publish_and_confirm()

    def _uses(self, server: AnnouncedServer) -> bool:
        """Whether orders for a server still run, as after a leave of one of its earlier starts."""
        current = self._record.current
        return current.server == server.server and current.phase is ServerPhase.READY

    async def _publish_and_confirm(self) -> bool:
        self._publish()
        is_leaving = self._record.current.phase is ServerPhase.LEAVING
        if not is_leaving or await self._publisher.wait_until_written(_WRITE_TIMEOUT_SECONDS):
            return True
        logger.bind(
            server=self._record.current.server,
            acknowledged=not self.is_closed,
        ).warning('leaving_not_written')
        return not self.is_closed

    def _publish(self) -> None:
        server = self._record.current
        # A stopping node has published that it accepts no work, but the next process must know a
        # leave.
        if not self.is_stopping or server.phase is ServerPhase.LEAVING:
            cold_seconds = self._executor.cold_start.cold_seconds
            self._publisher.publish_server(dataclasses.replace(server, cold_seconds=cold_seconds))


def _server_from_entry(entry: NodeEntry) -> AnnouncedServer:
    return AnnouncedServer(
        server=entry.server,
        service=entry.service,
        slots=entry.slots,
        phase=ServerPhase.READY,
        born=entry.born,
    )
