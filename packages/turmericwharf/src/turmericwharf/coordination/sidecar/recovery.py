"""Rediscovers the local backend server after a restart of the node."""

import asyncio

from loguru import logger

from turmericwharf.coordination.sidecar.announcements import AnnouncementService
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.ports import ServerConnection

_POLL_INTERVAL_SECONDS = 0.1
# A running server has announced itself again by this time.
_RECOVERY_TIMEOUT_SECONDS = 3.0
_IDENTIFY_TIMEOUT_SECONDS = 0.5


class ServerRecovery:
    """Requests the health path of the server that the previous process served.

    If the server reports its identifier there, the node uses it without waiting for its next
    announcement.

    Parameters
    ----------
    announcements
        Holds the entry that the previous process of this node published.
    configuration
        Configuration in force, with the health path of the service.
    server
        Connection to the backend server.
    """

    def __init__(
        self,
        announcements: AnnouncementService,
        configuration: ActiveConfiguration,
        server: ServerConnection,
    ) -> None:
        self._announcements = announcements
        self._configuration = configuration
        self._server = server

    async def run(self) -> None:
        """Identify the server once its health path is known, within a time limit.

        Then sleeps until cancelled, as the other long-lived tasks do.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _RECOVERY_TIMEOUT_SECONDS
        while loop.time() < deadline and not await self._try_once():
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        await asyncio.Event().wait()

    async def _try_once(self) -> bool:
        server = self._announcements.recoverable_server()
        if server is None:
            return False
        path = self._configuration.current.health_paths_by_service.get(server.service)
        if path is None:
            return False
        identifier = await self._server.identify(path, timeout_seconds=_IDENTIFY_TIMEOUT_SECONDS)
        is_same = identifier == server.server
        logger.bind(server=server.server, found=identifier).info('server_identified')
        if is_same and self._announcements.recoverable_server() == server:
            await self._announcements.apply_announcement(server)
        return True
