"""Selects the nodes that read the store for their data centre, and keeps the one in use."""

import asyncio

from loguru import logger

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import NodeEntry

# A reader may lose the store or stop at any time.
_READER_COUNT = 2
# Nodes that are asked, the readers included, before a node reads the store itself.
CANDIDATE_COUNT = 4
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
        self._source: NodeEntry | None = None
        self._has_source = asyncio.Event()

    def use_source(self, entry: NodeEntry | None) -> None:
        """Record the node that last reported that it is current, or None.

        There is none while this node reads the store itself.
        """
        if entry != self._source:
            logger.bind(instance=_name(entry), previous=_name(self._source)).info(
                'store_source_changed'
            )
        self._source = entry
        if entry is None:
            self._has_source.clear()
        else:
            self._has_source.set()

    async def wait_for_source(self) -> NodeEntry:
        """Wait until there is a source, and return it."""
        while self._source is None:
            await self._has_source.wait()
        return self._source

    def upstream_candidates(self) -> list[NodeEntry]:
        """Return the nodes to poll, in this order; empty if this node is a reader itself.

        The nodes behind the readers read the store while no node above them is connected to it, so
        that the rest of the data centre does not have to.
        """
        ranked = self._ranking.ranked_nodes(_ROLE)
        local = self._directory.local.instance
        position = ranked.index(local) if local in ranked else len(ranked)
        if position < _READER_COUNT:
            return []
        readers, substitutes = ranked[:_READER_COUNT], ranked[_READER_COUNT:position]
        # The nodes are spread over the readers.
        first = position % _READER_COUNT
        readers = readers[first:] + readers[:first]
        return self._find_entries((readers + substitutes)[:CANDIDATE_COUNT])

    def second_reader(self) -> NodeEntry | None:
        """Return the reader that this node does not follow; for a reader, the other one."""
        candidates = self.upstream_candidates()[:_READER_COUNT]
        if not candidates:
            local = self._directory.local.instance
            readers = self._ranking.ranked_nodes(_ROLE)[:_READER_COUNT]
            candidates = self._find_entries([name for name in readers if name != local])
        return candidates[-1] if candidates else None

    def _find_entries(self, instances: list[InstanceId]) -> list[NodeEntry]:
        entries = (self._directory.find(instance) for instance in instances)
        return [entry for entry in entries if entry is not None]


def _name(entry: NodeEntry | None) -> InstanceId | None:
    return None if entry is None else entry.instance
