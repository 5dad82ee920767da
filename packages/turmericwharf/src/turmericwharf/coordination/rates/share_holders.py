"""Which members hold shares of a partition, and who of them owns it."""

from collections import defaultdict

from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.membership.rendezvous import PARTITION_COUNT, rank_instances
from turmericwharf.state import InstanceId

HOLDER_COUNT = 8


class ShareHolders:
    """Holders of all partitions by this node's view.

    A holder *serves* a partition if it is alive and its join has settled; the first that serves
    is the owner.
    """

    def __init__(self, members: MembershipView) -> None:
        self._members = members
        self._holders_by_partition: dict[int, tuple[InstanceId, ...]] = {}

    def invalidate(self) -> None:
        """Rank the holders anew, since the counted members changed."""
        self._holders_by_partition.clear()

    def holders(self, partition: int) -> tuple[InstanceId, ...]:
        """Return the holders of a partition in the order of their ranks."""
        holders = self._holders_by_partition.get(partition)
        if holders is None:
            counted = self._members.settling.members_with_shares()
            holders = tuple(rank_instances(f'rate/{partition}', counted)[:HOLDER_COUNT])
            self._holders_by_partition[partition] = holders
        return holders

    def local_share(self, partition: int) -> float:
        """Return this node's share of a partition, lent or not."""
        holders = self.holders(partition)
        return 1 / len(holders) if self._members.own.instance in holders else 0

    def serving_holders(self, partition: int) -> tuple[InstanceId, ...]:
        """Return the holders that serve a partition, the owner first."""
        return tuple(filter(self._is_serving, self.holders(partition)))

    def may_borrow(self, partition: int, borrower: InstanceId) -> bool:
        """Whether a holder may have this node's share: it ranks higher or is the owner."""
        holders = self.holders(partition)
        own = self._members.own.instance
        if own == borrower or not {own, borrower} <= set(holders):
            return False
        if holders.index(borrower) < holders.index(own):
            return True
        return next(filter(self._is_serving, holders), None) == borrower

    def partitions_by_lender(self) -> dict[InstanceId, list[int]]:
        """Return, by lender, the partitions that this node owns and should borrow."""
        own = self._members.own.instance
        serving_holders = frozenset(filter(self._is_serving, self._members.live_members()))
        partitions_by_lender: defaultdict[InstanceId, list[int]] = defaultdict(list)
        for partition in range(PARTITION_COUNT):
            holders = [holder for holder in self.holders(partition) if holder in serving_holders]
            if holders[:1] == [own]:
                for lender in holders[1:]:
                    partitions_by_lender[lender].append(partition)
        return partitions_by_lender

    def _is_serving(self, holder: InstanceId) -> bool:
        return self._members.is_alive(holder) and self._members.settling.has_settled(holder)
