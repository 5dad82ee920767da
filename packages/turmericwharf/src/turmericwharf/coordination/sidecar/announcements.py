"""Takes what the backend server beside the node says of itself."""

import dataclasses

from loguru import logger

from turmericwharf.coordination.sidecar.local_entry import LocalEntryPublisher
from turmericwharf.coordination.sidecar.server_gate import ServerGate
from turmericwharf.coordination.sidecar.server_record import ServerRecord
from turmericwharf.state.sidecar import AnnouncedServer, NodeEntry, ServerPhase

# An acknowledgement that comes later than a second does not count, so the store gets less.
_WRITE_SECONDS = 0.5


class AnnouncementService:
    """Applies announcements before they are acknowledged.

    Parameters
    ----------
    record
        The backend server as it is known.
    gate
        Gives work to the server.
    publisher
        Tells the fleet.
    """

    def __init__(
        self,
        record: ServerRecord,
        gate: ServerGate,
        publisher: LocalEntryPublisher,
    ) -> None:
        self._record = record
        self._gate = gate
        self._publisher = publisher
        self._own_before: NodeEntry | None = None
        self.is_stopping = False

    async def announce(self, server: AnnouncedServer) -> None:
        """Take an announcement; on return it may be acknowledged."""
        if self._was_leaving(server):
            server = dataclasses.replace(server, phase=ServerPhase.LEAVING)
        before = self._record.current
        if not self._record.apply(server):
            return
        if (before.server, before.born) != (server.server, server.born):
            self._gate.breaker.reset()
        self._gate.queue.resize(max(server.slots, 1))
        await self._tell_fleet()

    async def leave(self, server: AnnouncedServer) -> None:
        """Take the notice that a server is gone or about to go."""
        if self._record.mark_leaving(server):
            await self._tell_fleet()

    def record_previous_entry(self, entry: NodeEntry) -> None:
        """Note what the process before this one wrote about the server."""
        if self._own_before is not None:
            return
        self._own_before = entry
        if self._was_leaving(self._record.current):
            self._record.mark_leaving(self._record.current)
        if self._record.current.phase is ServerPhase.ABSENT:
            # Kept for the process after this one, in case this one ends before it knows more.
            left = entry.phase is ServerPhase.LEAVING
            self._publisher.publish_server(
                dataclasses.replace(
                    _server_of(entry),
                    phase=ServerPhase.LEAVING if left else ServerPhase.STOPPING,
                ),
            )
        else:
            self._publish()

    def recoverable_server(self) -> AnnouncedServer | None:
        """Return the server that the process before this one gave work to, if none is known."""
        before = self._own_before
        if before is None or self._record.current.phase is not ServerPhase.ABSENT:
            return None
        return None if before.phase is ServerPhase.LEAVING else _server_of(before)

    def _was_leaving(self, server: AnnouncedServer) -> bool:
        # A server that left while the process before this one ran is not ready again.
        before = self._own_before
        return (
            before is not None
            and before.phase is ServerPhase.LEAVING
            and (before.server, before.born) == (server.server, server.born)
            and server.phase is ServerPhase.READY
        )

    async def _tell_fleet(self) -> None:
        self._publish()
        is_leaving = self._record.current.phase is ServerPhase.LEAVING
        if is_leaving and not await self._publisher.wait_until_written(_WRITE_SECONDS):
            logger.bind(server=self._record.current.server).warning('leaving_not_written')

    def _publish(self) -> None:
        if not self.is_stopping:
            self._publisher.publish_server(self._record.current)


def _server_of(entry: NodeEntry) -> AnnouncedServer:
    return AnnouncedServer(
        server=entry.server,
        service=entry.service,
        slots=entry.slots,
        phase=ServerPhase.READY,
        born=entry.born,
    )
