"""Decides whether an announcement as ready may put the backend server to use."""

import asyncio

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.state.sidecar import AnnouncedServer, NodeEntry, ServerId, ServerPhase

# An announcement may arrive some seconds after it was sent. A server that still announces itself
# after this time has not left.
_MAX_ANNOUNCEMENT_DELAY_SECONDS = 6.0


class ServerConfirmation:
    """Holds back announcements that may have been sent before the server began to leave.

    The previous process on this machine may have acknowledged that the server leaves without being
    able to write it to the store, and an announcement may arrive seconds late. So the first server
    that a restarted process hears of is used only after it has confirmed, by its health check, that
    it does not leave, or after it has continued to announce itself.

    Parameters
    ----------
    knowledge
        Whether this process knows what its predecessor published.
    clock
        Clock of the node.
    """

    def __init__(self, knowledge: StartupKnowledge, clock: Clock) -> None:
        self._knowledge = knowledge
        self._clock = clock
        self._is_confirmed = False
        self._held_since = 0.0
        self._left_starts: set[tuple[ServerId, int]] = set()
        self.previous_entry: NodeEntry | None = None
        self.held: AnnouncedServer | None = None
        # Set when there may be a server to confirm.
        self.changed = asyncio.Event()

    async def wait_until_fleet_known(self) -> None:
        """Wait until this process may know enough to use a server."""
        await self._knowledge.wait_until_known()

    async def wait_for_change(self, timeout_seconds: float) -> bool:
        """Wait until there may be another server to confirm; return False on a timeout."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self.changed.wait()
        except TimeoutError:
            return False
        return True

    @property
    def may_use_server(self) -> bool:
        """Whether a server that is announced as ready may be used at once."""
        if not self._knowledge.knows_fleet:
            return False
        is_first_process = self._knowledge.knows_predecessor and self.previous_entry is None
        return self._is_confirmed or is_first_process

    def record_previous_entry(self, entry: NodeEntry) -> bool:
        """Record an entry of an earlier process on this machine; return whether it is the first."""
        is_first = self.previous_entry is None
        if entry.phase is ServerPhase.LEAVING:
            self._left_starts.add((entry.server, entry.born))
            self.drop(entry.server, born=entry.born)
            self.previous_entry = entry
        elif is_first:
            self.previous_entry = entry
        self.changed.set()
        return is_first

    def has_left(self, server: AnnouncedServer) -> bool:
        """Whether a server began to leave while an earlier process ran."""
        return server.start in self._left_starts

    def hold(self, server: AnnouncedServer) -> None:
        """Hold an announcement back unless it is older than the one that is held.

        A server that has announced itself for long enough counts as confirmed.
        """
        held = self.held
        if held is not None and (server.born, server.sequence) <= (held.born, held.sequence):
            return
        if held is None or held.start != server.start:
            self._held_since = self._clock.now()
            logger.bind(server=server.server, born=server.born).info('server_held_back')
        self.held = server
        held_seconds = self._clock.now() - self._held_since
        if self._knowledge.knows_fleet and held_seconds >= _MAX_ANNOUNCEMENT_DELAY_SECONDS:
            self._is_confirmed = True
        self.changed.set()

    def drop(self, server: ServerId, *, born: int) -> None:
        """Drop the held announcement of a server that leaves; `born` is 0 if it is unknown."""
        held = self.held
        if held is not None and held.server == server and born in {0, held.born}:
            self.held = None

    def confirm(self) -> None:
        """Record that this process knows the state of its server from the server itself."""
        self._is_confirmed = True
        self.held = None
