"""Answers the polls of the nodes that follow this one.

If every node read the store, the number of calls would grow with the square of the number of
nodes, because each change is read by each node. Therefore two nodes per data centre read the
store, and the others long-poll them. The same nodes read the configuration.
"""

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.store_freshness import StoreFreshness
from turmericwharf.state.sidecar import DirectoryReply, DirectoryRequest, NodeEntry

MAX_WAIT_SECONDS = 3.0


class DirectoryRelay:
    """Replies with the entries that have changed, and with whether they are current.

    Parameters
    ----------
    directory
        Known nodes.
    freshness
        Whether this node may answer for the store.
    knowledge
        Whether this node knows the fleet, which it tells the nodes that poll it.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        freshness: StoreFreshness,
        knowledge: StartupKnowledge,
    ) -> None:
        self._directory = directory
        self._freshness = freshness
        self._knowledge = knowledge

    async def answer(
        self, request: DirectoryRequest, asker: NodeEntry | None = None
    ) -> DirectoryReply:
        """Answer the poll of another node once there are changes, or after the timeout.

        Parameters
        ----------
        asker
            Entry of the node that polls. The first reply to its process says what is known of the
            process before it.
        """
        process = self._directory.local.process
        after = request.after if request.process == process else 0
        await self._freshness.wait_while_current(
            lambda seconds: self._directory.wait_for_change(after, seconds),
            min(request.wait_seconds, MAX_WAIT_SECONDS),
        )
        return DirectoryReply(
            process=process,
            changes=self._directory.change_number,
            nodes=self._directory.entries_changed_after(after),
            is_current=self._freshness.is_current,
            knows_fleet=self._knowledge.knows_fleet,
            era=self._directory.local.era,
            predecessor=None if after else self._find_predecessor(asker),
        )

    def _find_predecessor(self, asker: NodeEntry | None) -> NodeEntry | None:
        # A store without eras still has the entry.
        if asker is None or not self._directory.local.era:
            return None
        return self._directory.predecessors.find(asker, self._directory.find(asker.instance))
