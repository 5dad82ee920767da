"""What the node knows of the backend server beside it."""

from loguru import logger

from turmericwharf.coordination.state_dump import describe
from turmericwharf.state.sidecar import NO_SERVER, AnnouncedServer, RecordDump, ServerPhase


class ServerRecord:
    """The newest announcement; late ones of earlier starts or earlier moments change nothing."""

    def __init__(self) -> None:
        self.current = AnnouncedServer()

    def apply(self, announced: AnnouncedServer) -> bool:
        """Take an announcement; return whether it changed what the fleet must know."""
        current = self.current
        if self._is_late(announced):
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
        """Take the notice that a server leaves; return whether it is the known one."""
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

    def _is_late(self, announced: AnnouncedServer) -> bool:
        current = self.current
        if announced.born != current.born:
            return announced.born < current.born
        if announced.server != current.server:
            return False
        if current.phase is ServerPhase.LEAVING and announced.phase is ServerPhase.READY:
            # One start never becomes ready again after it began to leave.
            return True
        return announced.sequence < current.sequence


@describe.register
def _(part: ServerRecord) -> RecordDump:
    return RecordDump(server=part.current)
