"""Ranks the nodes of the own data centre, so that they divide duties without agreement."""

from turmericwharf.coordination.membership.rendezvous import rank_instances
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import ServerPhase


class DataCentreRanking:
    """The nodes of the own data centre in the order in which they do a duty.

    Parameters
    ----------
    directory
        Known nodes.
    """

    def __init__(self, directory: NodeDirectory) -> None:
        self._directory = directory
        self._seen = -1
        self._ranked_by_duty: dict[str, list[InstanceId]] = {}

    def ranked_nodes(self, duty: str) -> list[InstanceId]:
        """Return the nodes that run and answer, the responsible one first."""
        if self._seen != self._directory.changes:
            self._seen = self._directory.changes
            self._ranked_by_duty.clear()
        ranked_nodes = self._ranked_by_duty.get(duty)
        if ranked_nodes is None:
            ranked_nodes = rank_instances(duty, self._running())
            self._ranked_by_duty[duty] = ranked_nodes
        return [one for one in ranked_nodes if not self._directory.is_suspected(one)]

    def _running(self) -> list[InstanceId]:
        own = self._directory.local
        return [
            entry.instance
            for entry in self._directory.entries
            if entry.data_centre == own.data_centre and entry.phase is not ServerPhase.STOPPING
        ]
