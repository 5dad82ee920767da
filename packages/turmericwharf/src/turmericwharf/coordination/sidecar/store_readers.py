"""Which nodes read the entries of nodes from the store for their data centre."""

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.state.sidecar import NodeEntry

# One reader may be cut off from the store or end at any time.
_READERS = 2
_DUTY = 'store-readers'


class StoreReaders:
    """Ranks the nodes of the own data centre; the first ones that answer are its readers.

    Views of two nodes may differ for a while. Each node that is not a reader asks only nodes that
    rank above it, so that no two nodes wait for each other.

    Parameters
    ----------
    directory
        Known nodes.
    near
        Nodes of the own data centre.
    """

    def __init__(self, directory: NodeDirectory, near: DataCentreRanking) -> None:
        self._directory = directory
        self._near = near

    def upstream_readers(self) -> list[NodeEntry]:
        """Return the readers to ask, none if this node is a reader itself."""
        readers = self._near.ranked_nodes(_DUTY)[:_READERS]
        if self._directory.local.instance in readers:
            return []
        found = (self._directory.find(one) for one in readers)
        return [entry for entry in found if entry is not None]
