"""Finds out whether the local backend server may be used after a restart of the node."""

import asyncio
import dataclasses

from loguru import logger

from turmericwharf.coordination.sidecar.announcements import AnnouncementService
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.cold_start import ColdStartGate
from turmericwharf.coordination.sidecar.ports import ServerConnection
from turmericwharf.coordination.sidecar.server_confirmation import ServerConfirmation
from turmericwharf.state.sidecar import AnnouncedServer

_MIN_BACKOFF_SECONDS = 0.3
_MAX_BACKOFF_SECONDS = 0.8
# A server that has not confirmed itself by this time after its last announcement has stopped or is
# leaving.
_CONFIRMATION_TIMEOUT_SECONDS = 3.0
_IDENTIFY_TIMEOUT_SECONDS = 0.5


class ServerRecovery:
    """Requests the health path of a server that may have begun to leave before the restart.

    A server that is leaving does not pass its health check. If it passes, and reports the expected
    identifier, the node uses it without waiting for its next announcement.

    Parameters
    ----------
    announcements
        Holds the server to confirm.
    confirmation
        Tells when there may be a server to confirm.
    configuration
        Configuration in force, with the health path of the service.
    server
        Connection to the backend server.
    cold_start
        Permits requests to the server, and counts health checks too.
    """

    def __init__(
        self,
        announcements: AnnouncementService,
        confirmation: ServerConfirmation,
        configuration: ActiveConfiguration,
        server: ServerConnection,
        cold_start: ColdStartGate,
    ) -> None:
        self._announcements = announcements
        self._confirmation = confirmation
        self._configuration = configuration
        self._server = server
        self._cold_start = cold_start

    async def run(self) -> None:
        """Confirm servers until cancelled."""
        await self._confirmation.wait_until_fleet_known()
        while True:
            self._confirmation.changed.clear()
            await self._announcements.release_held()
            await self._confirm_server()
            await self._confirmation.changed.wait()

    async def _confirm_server(self) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _CONFIRMATION_TIMEOUT_SECONDS
        backoff_seconds = _MIN_BACKOFF_SECONDS
        while loop.time() < deadline:
            server = self._announcements.unconfirmed_server()
            if server is None or await self._try_once(server):
                return
            if await self._confirmation.wait_for_change(backoff_seconds):
                # Another server may have announced itself, which is tried at once.
                return
            backoff_seconds = min(backoff_seconds * 2, _MAX_BACKOFF_SECONDS)

    async def _try_once(self, server: AnnouncedServer) -> bool:
        path = self._configuration.current.health_paths_by_service.get(server.service)
        if path is None:
            return False
        # A health check is a request that reaches the server.
        if not self._cold_start.acquire_now(server.service):
            return False
        health = await self._server.identify(path, timeout_seconds=_IDENTIFY_TIMEOUT_SECONDS)
        found = None if health is None else health.server
        logger.bind(server=server.server, found=found).info('server_identified')
        if health is None or found != server.server:
            return False
        if health.cold_seconds is not None:
            server = dataclasses.replace(server, cold_seconds=health.cold_seconds)
        await self._announcements.confirm(server)
        return True
