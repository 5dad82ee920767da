"""Which nodes may use rate shares, and which must be counted when a rate is divided."""

import dataclasses
from collections.abc import Set as AbstractSet

from turmericwharf.coordination.ports import Clock
from turmericwharf.state import NO_VERSION, InstanceId, Member, Membership, TimingSettings

# Clocks of two machines drift apart by less than this fraction.
CLOCK_DRIFT = 0.02
# Shares are looked at once in this time, so a node may use one that long after it lost standing.
SHARE_TICK_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmation:
    """A membership version that was confirmed by `learned_at` on the own clock."""

    version: int
    learned_at: float


def settle_seconds(timing: TimingSettings) -> float:
    """Return how long a confirmed membership must wait before shares follow it.

    A node that lacks it has standing for `standing_seconds` at most. A share that it used then
    may still be lent, and tokens granted from that share may still be spent.
    """
    needed = (
        timing.standing_seconds + timing.loan_seconds + timing.slice_seconds + SHARE_TICK_SECONDS
    )
    return max(timing.settle_seconds, needed * (1 + CLOCK_DRIFT))


class MembershipSettling:
    """Follows the memberships until no node with standing can lack them.

    A version is *confirmed* once a majority of each membership since the last confirmed version
    is known to know it. A node that lacks it loses its standing within `standing_seconds`. The
    version is *settled* once it was confirmed `settle_seconds` ago.

    Parameters
    ----------
    own
        The node itself.
    timing
        Times of the coordination.
    clock
        Clock of the node.
    """

    def __init__(self, own: Member, timing: TimingSettings, clock: Clock) -> None:
        self._own = own
        self._timing = timing
        self._clock = clock
        self._membership = Membership()
        # Memberships since the last confirmed one, oldest first, without a gap.
        self._unconfirmed: tuple[Membership, ...] = (self._membership,)
        self._gap_version = NO_VERSION
        self._confirmations: tuple[Confirmation, ...] = ()
        self._joined_version_by_id: dict[InstanceId, int] = {}
        self._removed_version_by_id: dict[InstanceId, int] = {}

    @property
    def confirmed_version(self) -> int:
        """Newest membership version that is known to be confirmed."""
        return self._confirmations[-1].version if self._confirmations else NO_VERSION

    @property
    def settled_version(self) -> int:
        """Newest membership version that was confirmed at least the settle time ago."""
        settled_at = self._clock.now() - settle_seconds(self._timing)
        settled = [one.version for one in self._confirmations if one.learned_at <= settled_at]
        return max(settled, default=NO_VERSION)

    @property
    def is_settled(self) -> bool:
        """Whether all nodes that use shares count this one, and this one counts all of them."""
        known = self._membership.members_by_id.get(self._own.instance)
        if known is None or known.incarnation != self._own.incarnation:
            return False
        return self.settled_version >= self._gap_version and self.has_settled(known.instance)

    def has_settled(self, instance: InstanceId) -> bool:
        """Whether the join of a member's present incarnation has settled."""
        joined_version = self._joined_version_by_id.get(instance)
        return joined_version is not None and joined_version <= self.settled_version

    def members_with_shares(self) -> list[InstanceId]:
        """Return the members that may use rate shares, by this node's knowledge."""
        settled = self.settled_version
        removed = [one for one, version in self._removed_version_by_id.items() if version > settled]
        return [*self._membership.members_by_id, *removed]

    def apply_membership(self, membership: Membership, *, is_consecutive: bool) -> None:
        """Take over a newer membership; `follows` if none between it and the present was missed."""
        self._replace(membership)
        if is_consecutive:
            self._unconfirmed = (*self._unconfirmed, membership)
            return
        self._unconfirmed = (membership,)
        self._gap_version = membership.version

    def confirm(self, version: int) -> None:
        """Note that a membership version is confirmed."""
        if version <= self.confirmed_version:
            return
        settled = self.settled_version
        kept = tuple(one for one in self._confirmations if one.version >= settled)
        self._confirmations = (*kept, Confirmation(version, self._clock.now()))
        self._removed_version_by_id = {
            instance: removed_version
            for instance, removed_version in self._removed_version_by_id.items()
            if removed_version > settled
        }
        older = [one for one in self._unconfirmed if one.version <= version][:-1]
        self._unconfirmed = self._unconfirmed[len(older) :]

    def is_confirmed_by(self, informed: AbstractSet[InstanceId]) -> bool:
        """Whether informed instances prove that the present membership is confirmed.

        They are a majority of each membership since the last confirmed one: a node that still
        has one of these hears from one of them, or loses its standing. A node that knows of no
        confirmation, as after a restart of the whole fleet, needs all present members.
        """
        has_chain = self._unconfirmed[0].version <= self.confirmed_version
        if has_chain and all(_is_majority(informed, one) for one in self._unconfirmed):
            return True
        members = self._membership.members_by_id.keys()
        return not self._confirmations and members <= informed

    def _replace(self, membership: Membership) -> None:
        known_by_id = self._membership.members_by_id
        for gone in known_by_id.keys() - membership.members_by_id.keys():
            self._removed_version_by_id[gone] = membership.version
            self._joined_version_by_id.pop(gone, None)
        for instance, member in membership.members_by_id.items():
            known = known_by_id.get(instance)
            if known is None or known.incarnation != member.incarnation:
                self._removed_version_by_id.pop(instance, None)
                self._joined_version_by_id[instance] = membership.version
        self._membership = membership


def _is_majority(informed: AbstractSet[InstanceId], membership: Membership) -> bool:
    members = membership.members_by_id.keys()
    return not members or 2 * len(informed & members) > len(members)
