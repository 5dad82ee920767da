"""What a process has to know before it may act for the fleet."""

import asyncio

from loguru import logger

from turmericwharf.coordination.state_dump import describe
from turmericwharf.state.sidecar import StartupKnowledgeDump


class StartupKnowledge:
    """Whether this process knows the other nodes and what its predecessor published.

    A process starts without state, and no machine has a disk. Until it has received the entries of
    all nodes, from the store or from a node that has them, it does only what is safe in any state
    of the fleet: it refuses, and it stops using a server. It does not grant tokens or retries,
    use its server, publish it as ready, or tell callers that it is ready.

    Attributes
    ----------
    knows_predecessor
        Whether the store was read, which has the last entry of the previous process. A store that
        came back from an older copy may have lost it, so reading that one proves nothing.
    has_asked_peers
        Whether other nodes were asked for what the store may have lost.
    """

    def __init__(self) -> None:
        self._known = asyncio.Event()
        self._may_know_peers = asyncio.Event()
        self._needs_inquiry = asyncio.Event()
        self.knows_predecessor = False
        self.has_asked_peers = False

    @property
    def knows_fleet(self) -> bool:
        """Whether this process has received the entries of all nodes since it started."""
        return self._known.is_set()

    async def wait_until_known(self) -> None:
        """Wait until this process knows the fleet."""
        await self._known.wait()

    async def wait_until_inquiry_needed(self) -> None:
        """Wait until other nodes have to be asked, and this process knows which ones there are."""
        await self._needs_inquiry.wait()
        await self._may_know_peers.wait()

    def request_inquiry(self) -> None:
        """Ask other nodes for what the store may have lost, unless this was done before."""
        if not self.has_asked_peers:
            self._needs_inquiry.set()

    def record_store_read(self, era: int = 0) -> None:
        """Record that the newest entries of the store are applied.

        Parameters
        ----------
        era
            Era of the store; above 0, the store may have lost entries, and they count as those of
            the whole fleet only after other nodes were asked.
        """
        self._may_know_peers.set()
        if era == 0:
            self.knows_predecessor = True
        if era == 0 or self.has_asked_peers:
            self.record_fleet(source='store')
        elif not self.knows_fleet:
            self.request_inquiry()

    def record_peers_asked(self) -> None:
        """Record that other nodes were asked, after the newest entries of the store were read."""
        self.has_asked_peers = True
        self._needs_inquiry.clear()
        self.record_fleet(source='store')

    def record_fleet(self, *, source: str) -> None:
        """Record that all entries of a node that knows the fleet are applied."""
        self._may_know_peers.set()
        if not self.knows_fleet:
            self._known.set()
            logger.bind(source=source).info('fleet_known')


@describe.register
def _(part: StartupKnowledge) -> StartupKnowledgeDump:
    return StartupKnowledgeDump(
        knows_fleet=part.knows_fleet, knows_predecessor=part.knows_predecessor
    )
