"""Last known state of the backend server beside the node."""

from loguru import logger

from turmericwharf.coordination.state_dump import describe
from turmericwharf.state.sidecar import NO_SERVER, AnnouncedServer, ServerRecordDump, ServerPhase


class ServerRecord:
    """Keeps the newest announcement; ignores stale ones by start time and sequence number."""

    def __init__(self) -> None:
        self.current = AnnouncedServer()

    def apply(self, announced: AnnouncedServer) -> bool:
        """Apply an announcement; return whether it changed the published state of the server."""
        current = self.current
        if self._is_stale(announced):
            logger.bind(
                server=announced.server,
                born=announced.born,
                sequence=announced.sequence,
                known_server=current.server,
                known_sequence=current.sequence,
            ).info('announcement_late')
            return False
        self.current = announced
        before = (current.server, current.born, current.phase, current.slots, current.service)
        after = (
            announced.server,
            announced.born,
            announced.phase,
            announced.slots,
            announced.service,
        )
        if before != after:
            logger.bind(
                server=announced.server,
                phase=announced.phase.value,
                born=announced.born,
                sequence=announced.sequence,
            ).info('server_changed')
        return before != after

    def mark_leaving(self, leaving: AnnouncedServer) -> bool:
        """Apply the notice that a server is leaving; return whether it is the known server."""
        current = self.current
        if current.server not in {leaving.server, NO_SERVER}:
            return False
        if leaving.born and leaving.born < current.born:
            return False
        self.current = AnnouncedServer(
            server=leaving.server,
            service=current.service,
            slots=current.slots,
            phase=ServerPhase.LEAVING,
            born=max(leaving.born, current.born),
            sequence=max(leaving.sequence, current.sequence),
        )
        logger.bind(server=leaving.server).info('server_leaving')
        return True

    def _is_stale(self, announced: AnnouncedServer) -> bool:
        current = self.current
        if announced.born != current.born:
            return announced.born < current.born
        if announced.server != current.server:
            return False
        if current.phase is ServerPhase.LEAVING and announced.phase is ServerPhase.READY:
            # A server that began to leave does not become ready again before its next start.
            return True
        return announced.sequence < current.sequence


@describe.register
def _(record: ServerRecord) -> ServerRecordDump:
    return ServerRecordDump(server=record.current)
