"""Which nodes read the entries of nodes from the store for their data centre."""

from turmericwharf.coordination.membership.rendezvous import rank_instances
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import NodeEntry, ServerPhase

# One reader may be cut off from the store or end at any time.
_READERS = 2
_TOPIC = 'store-readers'


class StoreReaders:
    """Ranks the nodes of the own data centre; the first ones that answer are its readers.

    Views of two nodes may differ for a while. Each node that is not a reader asks only nodes that
    rank above it, so that no two nodes wait for each other.

    Parameters
    ----------
    directory
        Known nodes.
    """

    def __init__(self, directory: NodeDirectory) -> None:
        self._directory = directory
        self._seen = -1
        self._ranked: list[InstanceId] = []

    def above_own(self) -> list[NodeEntry]:
        """Return the readers to ask, none if this node is a reader itself."""
        own = self._directory.own.instance
        readers = [one for one in self._rank() if not self._directory.is_suspected(one)][:_READERS]
        if own in readers:
            return []
        found = (self._directory.find(one) for one in readers)
        return [entry for entry in found if entry is not None]

    def _rank(self) -> list[InstanceId]:
        if self._seen != self._directory.changes:
            self._seen = self._directory.changes
            own = self._directory.own
            near = (
                entry.instance
                for entry in self._directory.entries
                if entry.data_centre == own.data_centre and entry.phase is not ServerPhase.STOPPING
            )
            self._ranked = rank_instances(_TOPIC, near)
        return self._ranked
