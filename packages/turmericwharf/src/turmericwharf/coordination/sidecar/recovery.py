"""Finds the backend server again after a restart of the node beside it."""

import asyncio

from loguru import logger

from turmericwharf.coordination.sidecar.announcements import AnnouncementService
from turmericwharf.coordination.sidecar.configuration_holder import ConfigurationHolder
from turmericwharf.coordination.sidecar.ports import ServerConnection

_POLL_SECONDS = 0.1
# After this time the server has announced itself.
_LIMIT_SECONDS = 3.0
_IDENTIFY_SECONDS = 0.5


class ServerRecovery:
    """Asks the server who it is, instead of waiting for its next announcement.

    Parameters
    ----------
    announcements
        Knows what the process before this one wrote.
    holder
        Configuration with the health path of the service.
    server
        The backend server.
    """

    def __init__(
        self,
        announcements: AnnouncementService,
        holder: ConfigurationHolder,
        server: ServerConnection,
    ) -> None:
        self._announcements = announcements
        self._holder = holder
        self._server = server

    async def run(self) -> None:
        """Try until the server is known or has had time to announce itself, then wait."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _LIMIT_SECONDS
        while loop.time() < deadline and not await self._try_once():
            await asyncio.sleep(_POLL_SECONDS)
        await asyncio.Event().wait()

    async def _try_once(self) -> bool:
        server = self._announcements.recoverable_server()
        if server is None:
            return False
        path = self._holder.current.health_paths_by_service.get(server.service)
        if path is None:
            return False
        found = await self._server.identify(path, timeout_seconds=_IDENTIFY_SECONDS)
        is_same = found == server.server
        logger.bind(server=server.server, found=found).info('server_identified')
        if is_same and self._announcements.recoverable_server() == server:
            await self._announcements.announce(server)
        return True
