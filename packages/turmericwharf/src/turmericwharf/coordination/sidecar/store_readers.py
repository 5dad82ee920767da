"""Selects the nodes that read the entries of nodes from the store for their data centre."""

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.state.sidecar import NodeEntry

# A reader may lose the store or stop at any time.
_READER_COUNT = 2
_ROLE = 'store-readers'


class StoreReaders:
    """Selects the highest-ranked nodes of the local data centre as its readers.

    The views of two nodes may differ temporarily. A node that is not a reader polls only nodes
    ranked above it, so that no two nodes wait for each other.

    Parameters
    ----------
    directory
        Known nodes.
    ranking
        Ranking of the nodes of the local data centre.
    """

    def __init__(self, directory: NodeDirectory, ranking: DataCentreRanking) -> None:
        self._directory = directory
        self._ranking = ranking

    def upstream_readers(self) -> list[NodeEntry]:
        """Return the readers to poll; empty if this node is a reader itself."""
        readers = self._ranking.ranked_nodes(_ROLE)[:_READER_COUNT]
        if self._directory.local.instance in readers:
            return []
        entries = (self._directory.find(instance) for instance in readers)
        return [entry for entry in entries if entry is not None]
