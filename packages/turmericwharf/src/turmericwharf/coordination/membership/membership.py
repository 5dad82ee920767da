"""The node's view of the other nodes and of the backend servers beside them."""

import dataclasses
from collections.abc import Iterable

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.membership.report_table import ReportTable
from turmericwharf.coordination.rates.settling import MembershipSettling
from turmericwharf.coordination.membership.slots import SlotView
from turmericwharf.coordination.state_dump import describe, seconds_since
from turmericwharf.state import (
    InstanceId,
    Member,
    MembersDump,
    Membership,
    PeerStatus,
    ServerReport,
    ServiceId,
    TimingSettings,
)

_NEVER = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class _Liveness:
    """Last contact with a peer, and the start of the current period without a gap."""

    last_contact_at: float
    alive_since: float


class MembershipView(SlotView):
    """Members and introduced nodes, their last contact times, and their backend servers.

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
        super().__init__(own, timing, clock)
        self.settling = MembershipSettling(own, timing, clock)
        self.is_caught_up = False
        self.report_table = ReportTable()
        self._liveness_by_id: dict[InstanceId, _Liveness] = {}
        self._unreachable_at_by_id: dict[InstanceId, float] = {}
        # Contacts made while both sides applied the membership in force at this node.
        self._quorum_contact_at_by_id: dict[InstanceId, float] = {}

    def apply(self, membership: Membership, *, is_consecutive: bool = False) -> None:
        """Apply a newer membership from the log or from a peer.

        Parameters
        ----------
        membership
            The membership; ignored if it is not newer than the current one.
        is_consecutive
            Whether it directly follows the current one, so that none in between was missed.
        """
        if membership.version <= self._membership.version:
            return
        members_before = {peer: self.find_member(peer) for peer in self.peers()}
        super().apply(membership)
        self.settling.apply_membership(membership, is_consecutive=is_consecutive)
        # Only contacts made under this membership count towards its quorum. Otherwise majorities
        # of two memberships that share no node could both confirm freshness.
        self._quorum_contact_at_by_id.clear()
        for instance, member in members_before.items():
            if self.find_member(instance) != member:
                self._discard_incarnation(instance)

    def introduce(self, member: Member) -> bool:
        """Record a node that the log does not list; return whether it is the latest in its slot."""
        member_before = self.find_member(member.instance)
        is_latest = super().introduce(member)
        if member_before != self.find_member(member.instance):
            self._discard_incarnation(member.instance)
        return is_latest

    def introduced_members(self) -> list[Member]:
        """Evict expired introductions and return the nodes that the log does not list."""
        expired_before = self._clock.now() - self._timing.removal_seconds
        for instance, introduced_at in tuple(self._introduced_at_by_id.items()):
            if max(introduced_at, self.last_contact_at(instance)) < expired_before:
                self._discard_introduction(instance)
                self._discard_incarnation(instance)
        return list(self._introduced_by_id.values())

    def record_contact(
        self, instance: InstanceId, last_contact_at: float, *, counts_for_quorum: bool = False
    ) -> None:
        """Record that an instance was alive at a time on the local clock.

        Parameters
        ----------
        instance
            The instance.
        last_contact_at
            Time of the contact.
        counts_for_quorum
            Whether the instance had caught up and applied the membership in force at this node.
        """
        liveness = self._liveness_by_id.get(instance) or _Liveness(_NEVER, last_contact_at)
        if last_contact_at > liveness.last_contact_at:
            is_gap = last_contact_at - liveness.last_contact_at > self._timing.alive_seconds
            alive_since = last_contact_at if is_gap else liveness.alive_since
            self._liveness_by_id[instance] = _Liveness(last_contact_at, alive_since)
        if counts_for_quorum:
            latest = self._quorum_contact_at_by_id.get(instance, _NEVER)
            self._quorum_contact_at_by_id[instance] = max(latest, last_contact_at)

    def record_unreachable(self, instance: InstanceId) -> None:
        """Record that a connection attempt to an instance has just failed.

        Contacts carry the time at which they were made, so only a contact after this failure
        shows that the instance is reachable again.
        """
        self._unreachable_at_by_id[instance] = self._clock.now()

    def last_contact_at(self, instance: InstanceId) -> float:
        """Return the latest time at which an instance is known to have been alive."""
        if instance == self.own.instance:
            return self._clock.now()
        liveness = self._liveness_by_id.get(instance)
        return liveness.last_contact_at if liveness else _NEVER

    def quorum_contact_at(self, instance: InstanceId) -> float:
        """Return the time of the latest contact that counts towards a quorum."""
        if instance == self.own.instance:
            return self._clock.now() if self.is_caught_up else _NEVER
        return self._quorum_contact_at_by_id.get(instance, _NEVER)

    def is_alive(self, instance: InstanceId) -> bool:
        """Whether there was a recent contact, later than the last failed connection attempt."""
        last_contact_at = self.last_contact_at(instance)
        if last_contact_at <= self._unreachable_at_by_id.get(instance, _NEVER):
            return False
        return self._clock.now() - last_contact_at <= self._timing.alive_seconds

    def live_members(self) -> list[InstanceId]:
        """Return the members that are alive."""
        return [instance for instance in self._membership.members_by_id if self.is_alive(instance)]

    def majority_contact_at(self) -> float:
        """Return the oldest contact time in the most recently contacted majority of the members."""
        contact_times = sorted(
            (self.quorum_contact_at(instance) for instance in self._ordered),
            reverse=True,
        )
        return contact_times[len(contact_times) // 2] if contact_times else _NEVER

    def has_live_majority(self) -> bool:
        """Whether a majority of the members is alive, whichever membership they apply."""
        return 2 * len(self.live_members()) > len(self._ordered)

    def record_report(self, report: ServerReport) -> bool:
        """Record a backend server's report; return whether it was newer than the known one.

        Reports of an incarnation that is not the latest known in its slot are dropped.
        """
        member = self.find_member(report.instance)
        if member is None or member.incarnation != report.incarnation:
            return False
        known = self.report_table.get(report.instance)
        if known is not None and known.sequence >= report.sequence:
            return False
        self.report_table.put(report, self._clock.now())
        return True

    def reports(self) -> Iterable[ServerReport]:
        """Return the latest report of each instance."""
        return self.report_table.reports()

    def live_servers_for(self, service: ServiceId) -> list[ServerReport]:
        """Return the reports of a service's backend servers whose nodes are alive."""
        return [
            report
            for report in self.report_table.for_service(service)
            if self.is_alive(report.instance)
        ]

    def dump_peers(self) -> dict[InstanceId, PeerStatus]:
        """Return the liveness view of each peer for the state dump."""
        members_by_id = {peer: self.find_member(peer) for peer in self.peers()}
        return {
            peer: self._dump_peer(member)
            for peer, member in members_by_id.items()
            if member is not None
        }

    def _dump_peer(self, member: Member) -> PeerStatus:
        now = self._clock.now()
        liveness = self._liveness_by_id.get(member.instance)
        alive = self.is_alive(member.instance)
        since = None
        if liveness is not None:
            expired_at = liveness.last_contact_at + self._timing.alive_seconds
            changed_at = liveness.alive_since if alive else expired_at
            since = now - changed_at
        quorum_contact_at = self._quorum_contact_at_by_id.get(member.instance)
        return PeerStatus(
            member=member,
            by_log=self._membership.members_by_id.get(member.instance) == member,
            alive=alive,
            since_seconds=since,
            heard_seconds_ago=None if liveness is None else now - liveness.last_contact_at,
            vouched_seconds_ago=None if quorum_contact_at is None else now - quorum_contact_at,
        )

    def _discard_incarnation(self, instance: InstanceId) -> None:
        self._liveness_by_id.pop(instance, None)
        self._unreachable_at_by_id.pop(instance, None)
        self.report_table.discard(instance)


@describe.register
def _(part: MembershipView) -> MembersDump:
    now = part.last_contact_at(part.own.instance)
    members_by_id = part.membership.members_by_id
    return MembersDump(
        own=part.own,
        membership_version=part.membership.version,
        is_settled=part.settling.is_settled,
        members_by_id=members_by_id,
        heard_seconds_by_id={
            instance: seconds_since(now, part.last_contact_at(instance))
            for instance in members_by_id
        },
        beliefs_by_id=part.dump_peers(),
        reports=tuple(part.reports()),
    )
