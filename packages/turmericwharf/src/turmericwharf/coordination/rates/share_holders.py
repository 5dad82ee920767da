"""Selects the members that hold shares of a partition, and the owner among them."""

from collections import defaultdict

from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.membership.rendezvous import PARTITION_COUNT, rank_instances
from turmericwharf.state import InstanceId

# Maximum number of members that hold shares of a partition.
HOLDER_COUNT = 8


class ShareHolders:
    """Holders of all partitions in this node's view of the membership.

    A holder is *eligible* if it is alive and its join has settled. The first eligible holder of a
    partition is its owner.
    """

    def __init__(self, members: MembershipView) -> None:
        self._members = members
        self._holders_by_partition: dict[int, tuple[InstanceId, ...]] = {}

    def invalidate(self) -> None:
        """Discard the cached rankings after the members with shares changed."""
        self._holders_by_partition.clear()

    def holders(self, partition: int) -> tuple[InstanceId, ...]:
        """Return the holders of a partition in rank order."""
        holders = self._holders_by_partition.get(partition)
        if holders is None:
            members = self._members.settling.members_with_shares()
            holders = tuple(rank_instances(f'rate/{partition}', members)[:HOLDER_COUNT])
            self._holders_by_partition[partition] = holders
        return holders

    def local_share(self, partition: int) -> float:
        """Return this node's share of a partition, whether or not it is lent."""
        holders = self.holders(partition)
        return 1 / len(holders) if self._members.own.instance in holders else 0

    def eligible_holders(self, partition: int) -> tuple[InstanceId, ...]:
        """Return the eligible holders of a partition, the owner first."""
        return tuple(filter(self._is_eligible, self.holders(partition)))

    def may_borrow(self, partition: int, borrower: InstanceId) -> bool:
        """Whether a holder may borrow this node's share: it ranks higher or is the owner."""
        holders = self.holders(partition)
        local = self._members.own.instance
        if local == borrower or not {local, borrower} <= set(holders):
            return False
        if holders.index(borrower) < holders.index(local):
            return True
        return next(filter(self._is_eligible, holders), None) == borrower

    def partitions_by_lender(self) -> dict[InstanceId, list[int]]:
        """Return the owned partitions of which this node should borrow shares, by lender."""
        local = self._members.own.instance
        eligible_holders = frozenset(filter(self._is_eligible, self._members.live_members()))
        partitions_by_lender: defaultdict[InstanceId, list[int]] = defaultdict(list)
        for partition in range(PARTITION_COUNT):
            holders = [holder for holder in self.holders(partition) if holder in eligible_holders]
            if holders[:1] == [local]:
                for lender in holders[1:]:
                    partitions_by_lender[lender].append(partition)
        return partitions_by_lender

    def _is_eligible(self, holder: InstanceId) -> bool:
        return self._members.is_alive(holder) and self._members.settling.has_settled(holder)
