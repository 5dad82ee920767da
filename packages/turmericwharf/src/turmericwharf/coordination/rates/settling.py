"""Decides which nodes may use rate shares, and among which members a rate is divided."""

import dataclasses
from collections.abc import Set as AbstractSet

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import NO_VERSION, InstanceId, Member, Membership, TimingSettings

# Upper bound of the relative drift between the clocks of two machines.
MAX_CLOCK_DRIFT_RATIO = 0.02
# Shares are updated once in this period, so a node may use a share for this long after it lost
# its standing.
SHARE_TICK_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """A membership version that was confirmed no later than `learned_at` on the local clock."""

    version: int
    learned_at: float


def effective_settle_seconds(timing: TimingSettings) -> float:
    """Return the delay between the confirmation of a membership and its effect on shares.

    A node without the membership keeps its standing for at most `standing_seconds`. A share
    that it used until then may still be lent, and tokens granted from that share may still be
    spent.
    """
    needed = (
        timing.standing_seconds + timing.loan_seconds + timing.slice_seconds + SHARE_TICK_SECONDS
    )
    return max(timing.settle_seconds, needed * (1 + MAX_CLOCK_DRIFT_RATIO))


class MembershipSettling:
    """Tracks memberships until every node with standing has them.

    A version is *confirmed* once a majority of each membership since the last confirmed version
    is known to have it. A node that does not have it loses its standing within `standing_seconds`.
    The version is *settled* once `effective_settle_seconds` have passed since its confirmation.

    Parameters
    ----------
    local_member
        Member entry of this node.
    timing
        Timing settings of the node.
    clock
        Clock of the node.
    """

    def __init__(self, local_member: Member, timing: TimingSettings, clock: Clock) -> None:
        self._local_member = local_member
        self._timing = timing
        self._clock = clock
        self._membership = Membership()
        # Memberships since the last confirmed one, oldest first, with no version missing.
        self._unconfirmed: tuple[Membership, ...] = (self._membership,)
        self._first_version_after_gap = NO_VERSION
        self._confirmations: tuple[Confirmation, ...] = ()
        self._joined_version_by_instance: dict[InstanceId, int] = {}
        self._removed_version_by_instance: dict[InstanceId, int] = {}

    @property
    def confirmed_version(self) -> int:
        """Newest membership version that is known to be confirmed."""
        return self._confirmations[-1].version if self._confirmations else NO_VERSION

    @property
    def settled_version(self) -> int:
        """Newest membership version confirmed at least `effective_settle_seconds` ago."""
        settled_at = self._clock.now() - effective_settle_seconds(self._timing)
        settled = [each.version for each in self._confirmations if each.learned_at <= settled_at]
        return max(settled, default=NO_VERSION)

    @property
    def is_settled(self) -> bool:
        """Whether this incarnation's join and the first version after a gap have settled.

        All nodes that use shares then have a membership that includes this node, and this node
        knows all members that may use shares.
        """
        known = self._membership.members_by_id.get(self._local_member.instance)
        if known is None or known.incarnation != self._local_member.incarnation:
            return False
        return self.settled_version >= self._first_version_after_gap and self.has_settled(
            known.instance
        )

    def has_settled(self, instance: InstanceId) -> bool:
        """Whether the join of a member's current incarnation has settled."""
        joined_version = self._joined_version_by_instance.get(instance)
        return joined_version is not None and joined_version <= self.settled_version

    def members_with_shares(self) -> list[InstanceId]:
        """Return the members that may use rate shares, as far as this node knows.

        Removed members are included until their removal has settled.
        """
        settled = self.settled_version
        removed = [
            instance
            for instance, version in self._removed_version_by_instance.items()
            if version > settled
        ]
        return [*self._membership.members_by_id, *removed]

    def apply_membership(self, membership: Membership, *, is_consecutive: bool) -> None:
        """Replace the membership by a newer one.

        Parameters
        ----------
        membership
            The newer membership.
        is_consecutive
            Whether no version between the current membership and the newer one was missed.
        """
        self._replace(membership)
        if is_consecutive:
            self._unconfirmed = (*self._unconfirmed, membership)
            return
        self._unconfirmed = (membership,)
        self._first_version_after_gap = membership.version

    def confirm(self, version: int) -> None:
        """Record that a membership version is confirmed."""
        if version <= self.confirmed_version:
            return
        settled = self.settled_version
        kept = tuple(each for each in self._confirmations if each.version >= settled)
        self._confirmations = (*kept, Confirmation(version, self._clock.now()))
        self._removed_version_by_instance = {
            instance: removed_version
            for instance, removed_version in self._removed_version_by_instance.items()
            if removed_version > settled
        }
        older = [each for each in self._unconfirmed if each.version <= version][:-1]
        self._unconfirmed = self._unconfirmed[len(older) :]

    def is_confirmed_by(self, instances_with_version: AbstractSet[InstanceId]) -> bool:
        """Whether the current membership is confirmed, given the instances known to have it.

        They must include a majority of each membership since the last confirmed one: a node that
        still has one of these memberships is updated by one of the instances or loses its
        standing. A node that knows no confirmation, as after a restart of the whole fleet, needs
        all current members.
        """
        has_no_gap = self._unconfirmed[0].version <= self.confirmed_version
        if has_no_gap and all(
            _is_majority(instances_with_version, each) for each in self._unconfirmed
        ):
            return True
        members = self._membership.members_by_id.keys()
        return not self._confirmations and members <= instances_with_version

    def _replace(self, membership: Membership) -> None:
        known_by_instance = self._membership.members_by_id
        for removed_instance in known_by_instance.keys() - membership.members_by_id.keys():
            self._removed_version_by_instance[removed_instance] = membership.version
            self._joined_version_by_instance.pop(removed_instance, None)
        for instance, member in membership.members_by_id.items():
            known = known_by_instance.get(instance)
            if known is None or known.incarnation != member.incarnation:
                self._removed_version_by_instance.pop(instance, None)
                self._joined_version_by_instance[instance] = membership.version
        self._membership = membership


def _is_majority(instances_with_version: AbstractSet[InstanceId], membership: Membership) -> bool:
    members = membership.members_by_id.keys()
    return not members or 2 * len(instances_with_version & members) > len(members)
