"""Ranks the nodes of the local data centre, which assigns roles without coordination."""

from turmericwharf.coordination.membership.rendezvous import rank_instances
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import ServerPhase


class DataCentreRanking:
    """Ranking of the nodes of the local data centre for each role.

    The other nodes of the data centre depend on the one that is responsible for a role, so nodes
    with a faster network link come first. Among equal ones, rendezvous hashing spreads the roles.

    Parameters
    ----------
    directory
        Known nodes.
    """

    def __init__(self, directory: NodeDirectory) -> None:
        self._directory = directory
        self._ranked_at_change_number = -1
        self._ranked_by_role: dict[str, list[InstanceId]] = {}

    def ranked_nodes(self, role: str) -> list[InstanceId]:
        """Return the running, unsuspected nodes, the one responsible for a role first."""
        if self._ranked_at_change_number != self._directory.change_number:
            self._ranked_at_change_number = self._directory.change_number
            self._ranked_by_role.clear()
        ranked = self._ranked_by_role.get(role)
        if ranked is None:
            ranked = self._rank(role)
            self._ranked_by_role[role] = ranked
        return [instance for instance in ranked if not self._directory.is_suspected(instance)]

    def _rank(self, role: str) -> list[InstanceId]:
        local = self._directory.local
        megabits_by_instance = {
            entry.instance: entry.link_megabits
            for entry in self._directory.entries
            if entry.data_centre == local.data_centre and entry.phase is not ServerPhase.STOPPING
        }
        return sorted(
            rank_instances(role, megabits_by_instance),
            key=megabits_by_instance.__getitem__,
            reverse=True,
        )
