"""Which incarnation of a node runs in each slot, by the log and by introductions."""

from collections.abc import Mapping

from turmericwharf.coordination.ports import Clock
from turmericwharf.state import IncarnationId, InstanceId, Member, Membership, TimingSettings


class SlotView:
    """Members by the log, and later incarnations that the log does not name yet.

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
        self.own = own
        self._timing = timing
        self._clock = clock
        self._membership = Membership()
        self._ordered: list[InstanceId] = []
        self._was_joined = False
        self._superseded_by: Member | None = None
        self._introduced_by_id: dict[InstanceId, Member] = {}
        self._introduced_at_by_id: dict[InstanceId, float] = {}
        self._first_seen_at_by_id: dict[InstanceId, float] = {}

    @property
    def membership(self) -> Membership:
        """Members by the log's records."""
        return self._membership

    @property
    def ordered_instances(self) -> list[InstanceId]:
        """Members by the log in the order of their ids, which is that of age vectors."""
        return self._ordered

    @property
    def superseded_by(self) -> Member | None:
        """Later incarnation in the node's own slot, or None."""
        return self._superseded_by

    @property
    def is_joined(self) -> bool:
        """Whether the log's membership names this incarnation of the node."""
        return self._membership.members_by_id.get(self.own.instance) == self.own

    def apply(self, membership: Membership) -> None:
        """Take over a newer membership from the log or from a peer."""
        if membership.version <= self._membership.version:
            return
        before = self._membership.members_by_id
        self._membership = membership
        self._ordered = sorted(membership.members_by_id)
        self._note_removals(before)
        for instance, member in membership.members_by_id.items():
            self._note_member(instance, before.get(instance), member)
        self._note_own_slot(membership.members_by_id.get(self.own.instance))

    def introduce(self, member: Member) -> bool:
        """Note a node that the log does not name; return whether it is the latest in its slot."""
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
        """Whether a later incarnation than this one is known in the slot."""
        known = self.find_member(instance)
        return known is not None and incarnation < known.incarnation

    def is_current(self, instance: InstanceId, incarnation: IncarnationId) -> bool:
        """Whether the log names this incarnation as the instance's present one."""
        member = self._membership.members_by_id.get(instance)
        return member is not None and member.incarnation == incarnation

    def peers(self) -> list[InstanceId]:
        """Return all other nodes in the order of their ids."""
        known = self._membership.members_by_id.keys() | self._introduced_by_id.keys()
        return sorted(known - {self.own.instance})

    def first_seen_at(self, instance: InstanceId) -> float:
        """Return when the log's membership first named an incarnation here."""
        return self._first_seen_at_by_id.get(instance, self._clock.now())

    def _note_removals(self, before: Mapping[InstanceId, Member]) -> None:
        for gone in before.keys() - self._membership.members_by_id.keys():
            self._first_seen_at_by_id.pop(gone, None)

    def _note_member(self, instance: InstanceId, earlier: Member | None, named: Member) -> None:
        if earlier == named:
            return
        self._first_seen_at_by_id[instance] = self._clock.now()
        introduced = self._introduced_by_id.get(instance)
        # The log's order comes before the order of incarnation ids, which follow wall clocks.
        if introduced and (earlier is not None or named.incarnation >= introduced.incarnation):
            self._forget_introduction(instance)

    def _note_own_slot(self, named: Member | None) -> None:
        if named == self.own:
            self._was_joined = True
            return
        # Before the own join, another incarnation in the log is the one that this node replaces.
        if self._was_joined and named is not None and named.incarnation > self.own.incarnation:
            self._superseded_by = named

    def _forget_introduction(self, instance: InstanceId) -> None:
        self._introduced_by_id.pop(instance, None)
        self._introduced_at_by_id.pop(instance, None)
