"""The node's view of the other nodes and of the backend servers beside them."""

import dataclasses
from collections.abc import Iterable

from turmericwharf.coordination.ports import Clock
from turmericwharf.coordination.membership.report_table import ReportTable
from turmericwharf.coordination.rates.settling import MembershipSettling
from turmericwharf.coordination.membership.slots import SlotView
from turmericwharf.coordination.state_dump import describe, seconds_since
from turmericwharf.state import (
    InstanceId,
    Member,
    MembersDump,
    Membership,
    PeerBelief,
    ServerReport,
    ServiceId,
    TimingSettings,
)

_NEVER = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class _Sign:
    """When a peer was last known to be alive, and since when without a gap."""

    last_contact_at: float
    alive_since: float


class MembershipView(SlotView):
    """Members and introduced nodes, when each was last heard from, and their backend servers.

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
        super().__init__(own, timing, clock)
        self.settling = MembershipSettling(own, timing, clock)
        self.is_caught_up = False
        self.report_table = ReportTable()
        self._signs_by_id: dict[InstanceId, _Sign] = {}
        self._unreachable_at_by_id: dict[InstanceId, float] = {}
        # Signs of life given while both sides knew the membership in force here.
        self._vouched_at_by_id: dict[InstanceId, float] = {}

    def apply(self, membership: Membership, *, is_consecutive: bool = False) -> None:
        """Take over a newer membership from the log or from a peer.

        Parameters
        ----------
        follows
            Whether it comes right after the present one, so that none in between was missed.
        """
        if membership.version <= self._membership.version:
            return
        before = {peer: self.find_member(peer) for peer in self.peers()}
        super().apply(membership)
        self.settling.apply_membership(membership, is_consecutive=is_consecutive)
        # A majority of this membership is heard only through signs given under it. Otherwise
        # majorities of two memberships that share no node could both vouch.
        self._vouched_at_by_id.clear()
        for instance, member in before.items():
            if self.find_member(instance) != member:
                self._forget_incarnation(instance)

    def introduce(self, member: Member) -> bool:
        """Note a node that the log does not name; return whether it is the latest in its slot."""
        before = self.find_member(member.instance)
        is_latest = super().introduce(member)
        if before != self.find_member(member.instance):
            self._forget_incarnation(member.instance)
        return is_latest

    def introduced_members(self) -> list[Member]:
        """Return the nodes that the log does not name; those long silent are dropped."""
        silent_since = self._clock.now() - self._timing.removal_seconds
        for instance, introduced_at in tuple(self._introduced_at_by_id.items()):
            if max(introduced_at, self.last_contact_at(instance)) < silent_since:
                self._forget_introduction(instance)
                self._forget_incarnation(instance)
        return list(self._introduced_by_id.values())

    def record_contact(
        self, instance: InstanceId, last_contact_at: float, *, counts_for_quorum: bool = False
    ) -> None:
        """Note that an instance was alive at a moment on the own clock.

        Parameters
        ----------
        vouched
            Whether the instance knew the membership in force here and was informed.
        """
        sign = self._signs_by_id.get(instance) or _Sign(_NEVER, last_contact_at)
        if last_contact_at > sign.last_contact_at:
            is_gap = last_contact_at - sign.last_contact_at > self._timing.alive_seconds
            alive_since = last_contact_at if is_gap else sign.alive_since
            self._signs_by_id[instance] = _Sign(last_contact_at, alive_since)
        if counts_for_quorum:
            latest = self._vouched_at_by_id.get(instance, _NEVER)
            self._vouched_at_by_id[instance] = max(latest, last_contact_at)

    def record_unreachable(self, instance: InstanceId) -> None:
        """Note that no connection to an instance could be made just now.

        Signs of life are dated by when they were given, so only a later one shows that the
        instance is back.
        """
        self._unreachable_at_by_id[instance] = self._clock.now()

    def last_contact_at(self, instance: InstanceId) -> float:
        """Return the latest moment at which an instance is known to have been alive."""
        if instance == self.own.instance:
            return self._clock.now()
        sign = self._signs_by_id.get(instance)
        return sign.last_contact_at if sign else _NEVER

    def quorum_contact_at(self, instance: InstanceId) -> float:
        """Return the latest sign of life that counts towards a majority."""
        if instance == self.own.instance:
            return self._clock.now() if self.is_caught_up else _NEVER
        return self._vouched_at_by_id.get(instance, _NEVER)

    def is_alive(self, instance: InstanceId) -> bool:
        """Whether an instance was heard from lately, and after the last failure to connect."""
        last_contact_at = self.last_contact_at(instance)
        if last_contact_at <= self._unreachable_at_by_id.get(instance, _NEVER):
            return False
        return self._clock.now() - last_contact_at <= self._timing.alive_seconds

    def live_members(self) -> list[InstanceId]:
        """Return the members that were heard from lately."""
        return [one for one in self._membership.members_by_id if self.is_alive(one)]

    def majority_contact_at(self) -> float:
        """Return the moment since which a majority of the members vouched."""
        moments = sorted((self.quorum_contact_at(one) for one in self._ordered), reverse=True)
        return moments[len(moments) // 2] if moments else _NEVER

    def has_live_majority(self) -> bool:
        """Whether a majority of the members is alive, under whichever membership they know."""
        return 2 * len(self.live_members()) > len(self._ordered)

    def record_report(self, report: ServerReport) -> bool:
        """Note a backend server's report; return whether it was newer than the known one.

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

    def dump_peers(self) -> dict[InstanceId, PeerBelief]:
        """Return what the node believes of each peer."""
        members_by_id = {peer: self.find_member(peer) for peer in self.peers()}
        return {
            peer: self._belief_of(member)
            for peer, member in members_by_id.items()
            if member is not None
        }

    def _belief_of(self, member: Member) -> PeerBelief:
        now = self._clock.now()
        sign = self._signs_by_id.get(member.instance)
        alive = self.is_alive(member.instance)
        since = None
        if sign is not None:
            silent_from = sign.last_contact_at + self._timing.alive_seconds
            changed_at = sign.alive_since if alive else silent_from
            since = now - changed_at
        quorum_contact_at = self._vouched_at_by_id.get(member.instance)
        return PeerBelief(
            member=member,
            by_log=self._membership.members_by_id.get(member.instance) == member,
            alive=alive,
            since_seconds=since,
            heard_seconds_ago=None if sign is None else now - sign.last_contact_at,
            vouched_seconds_ago=None if quorum_contact_at is None else now - quorum_contact_at,
        )

    def _forget_incarnation(self, instance: InstanceId) -> None:
        self._signs_by_id.pop(instance, None)
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
            one: seconds_since(now, part.last_contact_at(one)) for one in members_by_id
        },
        beliefs_by_id=part.dump_peers(),
        reports=tuple(part.reports()),
    )
