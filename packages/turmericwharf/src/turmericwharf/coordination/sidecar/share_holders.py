"""Selects the nodes that hold the fixed shares of the rates of organisations."""

import collections
import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.membership.rendezvous import partition_of, rank_instances
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.state import DataCentreId, InstanceId, OrganisationId
from turmericwharf.state.sidecar import NodeEntry, ServerPhase

# A failed holder makes at most one of this many shares of a rate unavailable.
_MIN_SHARES = 3
_PHASES_WITHOUT_SHARE = frozenset((ServerPhase.LEAVING, ServerPhase.STOPPING))


class FixedShareHolders:
    """Selects the nodes that hold shares of an organisation's rate.

    The holders of a partition are kept until a node joins or leaves its data centre, and then only
    the partitions that this node holds, or outranks a holder of, are selected again. So the cost of
    a change of one node does not grow with the product of nodes and organisations.

    Parameters
    ----------
    directory
        Known nodes; a node whose server is leaving holds no share.
    configuration
        Configuration in force.
    clock
        Clock of the node.
    knowledge
        Whether this node knows the fleet; before, it holds no share.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        configuration: ActiveConfiguration,
        clock: Clock,
        knowledge: StartupKnowledge,
    ) -> None:
        self._directory = directory
        self._configuration = configuration
        self._clock = clock
        self._knowledge = knowledge
        # Change number of the directory and version of the configuration.
        self._applied_versions = (-1, -1)
        self._partitions: frozenset[int] = frozenset()
        self._groups_by_data_centre: dict[DataCentreId, _HolderGroup] = {}
        self._held_since_by_partition: dict[int, float] = {}
        self.share_count = 1

    def holders_by_data_centre(
        self, organisation: OrganisationId
    ) -> Mapping[DataCentreId, tuple[InstanceId, ...]]:
        """Return the holders of an organisation's shares in each data centre."""
        self.refresh()
        partition = partition_of(organisation)
        return MappingProxyType(
            {
                data_centre: group.select_holders(partition)
                for data_centre, group in self._groups_by_data_centre.items()
            }
        )

    def share_held_since(self, organisation: OrganisationId) -> float | None:
        """Return the time since which this node has held a share, or None."""
        self.refresh()
        return self._held_since_by_partition.get(partition_of(organisation))

    def refresh(self) -> None:
        """Update the holders after a change of the nodes or of the configuration.

        The number of shares follows from the number of nodes, so a node that knows only some of
        them would hold too large a share.
        """
        if not self._knowledge.knows_fleet:
            return
        versions = (self._directory.change_number, self._configuration.version)
        if versions == self._applied_versions:
            return
        has_new_configuration = versions[1] != self._applied_versions[1]
        if has_new_configuration:
            organisations = self._configuration.current.organisations_by_id
            # Organisations of one partition have the same holders, so the cost of a change of the
            # nodes does not depend on the number of organisations.
            self._partitions = frozenset(partition_of(name) for name in organisations)
        self._applied_versions = versions
        changed = self._update_groups()
        if has_new_configuration or self._directory.local.data_centre in changed:
            self._update_held_shares()

    def _update_groups(self) -> set[DataCentreId]:
        """Apply the current nodes; return the data centres whose holders may have changed."""
        entries = self._directory.entries
        sizes = collections.Counter(entry.data_centre for entry in entries)
        holder_count = math.ceil(_MIN_SHARES / len(sizes))
        self.share_count = sum(min(holder_count, size) for size in sizes.values())
        previous = self._groups_by_data_centre
        self._groups_by_data_centre = {
            data_centre: _keep_group(previous.get(data_centre), holder_count)
            for data_centre in sizes
        }
        instances_by_data_centre = _group_instances(entries)
        return {
            data_centre
            for data_centre, group in self._groups_by_data_centre.items()
            if group.update(frozenset(instances_by_data_centre.get(data_centre, ())))
        }

    def _update_held_shares(self) -> None:
        local, now = self._directory.local, self._clock.now()
        group = self._groups_by_data_centre[local.data_centre]
        self._held_since_by_partition = {
            partition: self._held_since_by_partition.get(partition, now)
            for partition in self._partitions
            if local.instance in group.select_holders(partition)
        }


class _HolderGroup:
    """Nodes of one data centre that may hold shares, and the holders of each partition.

    Parameters
    ----------
    holder_count
        Number of holders of each partition, fewer if the data centre has fewer nodes.
    """

    def __init__(self, holder_count: int) -> None:
        self.holder_count = holder_count
        self._instances: frozenset[InstanceId] = frozenset()
        self._holders_by_partition: dict[int, tuple[InstanceId, ...]] = {}

    def update(self, instances: frozenset[InstanceId]) -> bool:
        """Replace the nodes; return whether they differ from the previous ones."""
        removed, added = self._instances - instances, instances - self._instances
        self._instances = instances
        for partition, holders in tuple(self._holders_by_partition.items()):
            if not removed.isdisjoint(holders):
                self._holders_by_partition.pop(partition)
            elif added:
                # Only a new node can outrank the holders.
                self._holders_by_partition[partition] = self._rank(partition, added.union(holders))
        return bool(removed or added)

    def select_holders(self, partition: int) -> tuple[InstanceId, ...]:
        """Return the holders of a partition."""
        holders = self._holders_by_partition.get(partition)
        if holders is None:
            holders = self._rank(partition, self._instances)
            self._holders_by_partition[partition] = holders
        return holders

    def _rank(self, partition: int, instances: frozenset[InstanceId]) -> tuple[InstanceId, ...]:
        return tuple(rank_instances(f'rates/{partition}', instances)[: self.holder_count])


def _keep_group(group: _HolderGroup | None, holder_count: int) -> _HolderGroup:
    if group is None or group.holder_count != holder_count:
        return _HolderGroup(holder_count)
    return group


def _group_instances(entries: Iterable[NodeEntry]) -> dict[DataCentreId, list[InstanceId]]:
    """Return the instances that may hold shares, by data centre."""
    instances_by_data_centre: dict[DataCentreId, list[InstanceId]] = {}
    for entry in entries:
        if entry.phase not in _PHASES_WITHOUT_SHARE:
            instances_by_data_centre.setdefault(entry.data_centre, []).append(entry.instance)
    return instances_by_data_centre
