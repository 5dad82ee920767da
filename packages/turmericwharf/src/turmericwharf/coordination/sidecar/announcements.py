"""Applies the announcements of the local backend server."""

import dataclasses

from loguru import logger

from turmericwharf.coordination.sidecar.local_node_publisher import LocalNodePublisher
from turmericwharf.coordination.sidecar.order_executor import OrderExecutor
from turmericwharf.coordination.sidecar.server_record import ServerRecord
from turmericwharf.state.sidecar import AnnouncedServer, NodeEntry, ServerPhase

# The backend server ignores an acknowledgement that takes longer than 1 s, so the write to the
# store gets less than that.
_WRITE_TIMEOUT_SECONDS = 0.5


class AnnouncementService:
    """Applies announcements of the backend server before they are acknowledged.

    Parameters
    ----------
    record
        Current state of the backend server.
    executor
        Runs orders on the server; its queue and circuit breaker follow the announcements.
    publisher
        Publishes the local entry to the fleet.
    """

    def __init__(
        self,
        record: ServerRecord,
        executor: OrderExecutor,
        publisher: LocalNodePublisher,
    ) -> None:
        self._record = record
        self._executor = executor
        self._publisher = publisher
        self._previous_entry: NodeEntry | None = None
        self.is_stopping = False

    async def apply_announcement(self, server: AnnouncedServer) -> None:
        """Apply an announcement; the caller may acknowledge it after this returns."""
        if self._left_under_previous_process(server):
            server = dataclasses.replace(server, phase=ServerPhase.LEAVING)
        previous = self._record.current
        if not self._record.apply(server):
            return
        if (previous.server, previous.born) != (server.server, server.born):
            self._executor.breaker.reset()
        self._executor.queue.resize(max(server.slots, 1))
        await self._publish_and_confirm()

    async def apply_leave_notice(self, server: AnnouncedServer) -> None:
        """Apply the notice that a server has stopped or is about to stop."""
        if self._record.mark_leaving(server):
            await self._publish_and_confirm()

    def record_previous_entry(self, entry: NodeEntry) -> None:
        """Record the entry that the previous process of this node published."""
        if self._previous_entry is not None:
            return
        self._previous_entry = entry
        if self._left_under_previous_process(self._record.current):
            self._record.mark_leaving(self._record.current)
        if self._record.current.phase is ServerPhase.ABSENT:
            # Published again for the next process, in case this one ends before the server
            # announces itself.
            has_left = entry.phase is ServerPhase.LEAVING
            self._publisher.publish_server(
                dataclasses.replace(
                    _server_from_entry(entry),
                    phase=ServerPhase.LEAVING if has_left else ServerPhase.STOPPING,
                ),
            )
        else:
            self._publish()

    def recoverable_server(self) -> AnnouncedServer | None:
        """Return the server that the previous process of this node served.

        Returns
        -------
        AnnouncedServer or None
            None if no entry of the previous process is known, if the server was leaving, or if a
            server has been announced to this process.
        """
        previous = self._previous_entry
        if previous is None or self._record.current.phase is not ServerPhase.ABSENT:
            return None
        return None if previous.phase is ServerPhase.LEAVING else _server_from_entry(previous)

    def _left_under_previous_process(self, server: AnnouncedServer) -> bool:
        # True for a server that announces itself as ready although it began to leave while the
        # previous process ran; such a server must not become ready again.
        previous = self._previous_entry
        return (
            previous is not None
            and previous.phase is ServerPhase.LEAVING
            and (previous.server, previous.born) == (server.server, server.born)
            and server.phase is ServerPhase.READY
        )

    async def _publish_and_confirm(self) -> None:
        self._publish()
        is_leaving = self._record.current.phase is ServerPhase.LEAVING
        if is_leaving and not await self._publisher.wait_until_written(_WRITE_TIMEOUT_SECONDS):
            logger.bind(server=self._record.current.server).warning('leaving_not_written')

    def _publish(self) -> None:
        if not self.is_stopping:
            self._publisher.publish_server(self._record.current)


def _server_from_entry(entry: NodeEntry) -> AnnouncedServer:
    return AnnouncedServer(
        server=entry.server,
        service=entry.service,
        slots=entry.slots,
        phase=ServerPhase.READY,
        born=entry.born,
    )
