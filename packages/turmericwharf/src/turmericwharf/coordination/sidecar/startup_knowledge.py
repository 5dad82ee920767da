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
        Whether the store was read, which has the last entry of the previous process. Other nodes
        drop that entry as soon as the new process connects to them.
    """

    def __init__(self) -> None:
        self._known = asyncio.Event()
        self.knows_predecessor = False

    @property
    def knows_fleet(self) -> bool:
        """Whether this process has received the entries of all nodes since it started."""
        return self._known.is_set()

    async def wait_until_known(self) -> None:
        """Wait until this process knows the fleet."""
        await self._known.wait()

    def record_store_read(self) -> None:
        """Record that the newest entries of the store are applied."""
        self.knows_predecessor = True
        self.record_fleet(source='store')

    def record_fleet(self, *, source: str) -> None:
        """Record that all entries of a node that knows the fleet are applied."""
        if not self.knows_fleet:
            self._known.set()
            logger.bind(source=source).info('fleet_known')


@describe.register
def _(part: StartupKnowledge) -> StartupKnowledgeDump:
    return StartupKnowledgeDump(
        knows_fleet=part.knows_fleet, knows_predecessor=part.knows_predecessor
    )
