"""The incarnation of the node that runs in each slot, from the log and from introductions."""

from collections.abc import Mapping

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import IncarnationId, InstanceId, Member, Membership, TimingSettings


class SlotView:
    """Members listed in the log, and later incarnations that the log does not list yet.

    Parameters
    ----------
    own
        The local node.
    timing
        Coordination intervals and timeouts.
    clock
        Monotonic clock.
    """

    def __init__(self, own: Member, timing: TimingSettings, clock: Clock) -> None:
        self.own = own
        self._timing = timing
        self._clock = clock
        self._membership = Membership()
        self._ordered: list[InstanceId] = []
        self._has_joined = False
        self._superseded_by: Member | None = None
        self._introduced_by_id: dict[InstanceId, Member] = {}
        self._introduced_at_by_id: dict[InstanceId, float] = {}
        self._first_seen_at_by_id: dict[InstanceId, float] = {}

    @property
    def membership(self) -> Membership:
        """Membership according to the log."""
        return self._membership

    @property
    def ordered_instances(self) -> list[InstanceId]:
        """Members listed in the log, sorted by id, as in the age vectors of gossip."""
        return self._ordered

    @property
    def superseded_by(self) -> Member | None:
        """Later incarnation in the local node's slot, or None."""
        return self._superseded_by

    @property
    def is_joined(self) -> bool:
        """Whether the log lists this incarnation of the local node."""
        return self._membership.members_by_id.get(self.own.instance) == self.own

    def apply(self, membership: Membership) -> None:
        """Apply a newer membership from the log or from a peer."""
        if membership.version <= self._membership.version:
            return
        members_before = self._membership.members_by_id
        self._membership = membership
        self._ordered = sorted(membership.members_by_id)
        self._record_removals(members_before)
        for instance, member in membership.members_by_id.items():
            self._record_member(instance, members_before.get(instance), member)
        self._record_own_slot(membership.members_by_id.get(self.own.instance))

    def introduce(self, member: Member) -> bool:
        """Record a node that the log does not list; return whether it is the latest in its slot."""
        if member.instance == self.own.instance:
            if member.incarnation > self.own.incarnation:
                self._superseded_by = member
            return member == self.own
        known = self.find_member(member.instance)
        if known is not None and known.incarnation >= member.incarnation:
            return member == known
        self._introduced_by_id[member.instance] = member
        self._introduced_at_by_id[member.instance] = self._clock.now()
        return True

    def find_member(self, instance: InstanceId) -> Member | None:
        """Return the latest incarnation in a slot, or None if none is known."""
        if instance == self.own.instance:
            return self.own
        introduced = self._introduced_by_id.get(instance)
        return introduced or self._membership.members_by_id.get(instance)

    def is_outdated(self, instance: InstanceId, incarnation: IncarnationId) -> bool:
        """Whether a later incarnation is known in the slot."""
        known = self.find_member(instance)
        return known is not None and incarnation < known.incarnation

    def is_current(self, instance: InstanceId, incarnation: IncarnationId) -> bool:
        """Whether the log lists this incarnation as the instance's current one."""
        member = self._membership.members_by_id.get(instance)
        return member is not None and member.incarnation == incarnation

    def peers(self) -> list[InstanceId]:
        """Return all other known nodes, sorted by id."""
        known = self._membership.members_by_id.keys() | self._introduced_by_id.keys()
        return sorted(known - {self.own.instance})

    def first_seen_at(self, instance: InstanceId) -> float:
        """Return the time at which the membership applied here first listed the incarnation.

        The current time is returned for an instance that the log does not list.
        """
        return self._first_seen_at_by_id.get(instance, self._clock.now())

    def _record_removals(self, members_before: Mapping[InstanceId, Member]) -> None:
        for removed in members_before.keys() - self._membership.members_by_id.keys():
            self._first_seen_at_by_id.pop(removed, None)

    def _record_member(self, instance: InstanceId, earlier: Member | None, listed: Member) -> None:
        if earlier == listed:
            return
        self._first_seen_at_by_id[instance] = self._clock.now()
        introduced = self._introduced_by_id.get(instance)
        # The order of the log takes precedence over the order of incarnation ids, which depend on
        # wall clocks.
        if introduced and (earlier is not None or listed.incarnation >= introduced.incarnation):
            self._discard_introduction(instance)

    def _record_own_slot(self, listed: Member | None) -> None:
        if listed == self.own:
            self._has_joined = True
            return
        # Before this node has joined, another incarnation in the log is the one it replaces.
        if self._has_joined and listed is not None and listed.incarnation > self.own.incarnation:
            self._superseded_by = listed

    def _discard_introduction(self, instance: InstanceId) -> None:
        self._introduced_by_id.pop(instance, None)
        self._introduced_at_by_id.pop(instance, None)
