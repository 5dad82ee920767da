"""Selects the nodes that read the store for their data centre."""

from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.silent_nodes import SilentNodes
from turmericwharf.coordination.sidecar.source_selection import READER_COUNT, find_upstream
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import NodeEntry

_ROLE = 'store-readers'


class StoreReaders:
    """Selects the highest-ranked nodes of the local data centre as its readers.

    The views of two nodes may differ temporarily.

    Parameters
    ----------
    directory
        Known nodes.
    ranking
        Ranking of the nodes of the local data centre.
    silent_nodes
        Nodes that do not answer, which are left out.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        ranking: DataCentreRanking,
        silent_nodes: SilentNodes,
    ) -> None:
        self._directory = directory
        self._ranking = ranking
        self.silent_nodes = silent_nodes

    def ranked_nodes(self) -> list[InstanceId]:
        """Return the nodes of the data centre by rank; the first ones are its readers."""
        return [
            instance
            for instance in self._ranking.ranked_nodes(_ROLE)
            if not self.silent_nodes.contains(instance)
        ]

    def upstream_candidates(self, ranked: list[InstanceId] | None = None) -> list[NodeEntry]:
        """Return the nodes that this one may follow, in this order; empty if it is a reader.

        Parameters
        ----------
        ranked
            Ranking to use in place of the one of all nodes.
        """
        if ranked is None:
            ranked = self.ranked_nodes()
        return self._find_entries(find_upstream(ranked, self._directory.local.instance))

    def second_reader(self, followed: NodeEntry | None) -> NodeEntry | None:
        """Return a reader that is not the followed node; for a reader, the other one."""
        others = {self._directory.local.instance}
        if followed is not None:
            others.add(followed.instance)
        readers = self.ranked_nodes()[:READER_COUNT]
        entries = self._find_entries([name for name in readers if name not in others])
        return entries[-1] if entries else None

    def _find_entries(self, instances: list[InstanceId]) -> list[NodeEntry]:
        entries = (self._directory.find(instance) for instance in instances)
        return [entry for entry in entries if entry is not None]
