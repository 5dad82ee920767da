"""Pull-based gossip of member ages, configuration versions and backend server reports.

A node timestamps each answer with the time of its request on the local clock. Whatever delays
the answer (a slow link, a buffer behind a network partition, a pause of either process), its
content is at least as recent as the request, so an age is never underestimated.
"""

import asyncio
import random

from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.ports import PeerLinks
from turmericwharf.coordination.membership.standing import Standing
from turmericwharf.state import (
    ControlSnapshot,
    Gossip,
    GossipRequest,
    InstanceId,
    Introduction,
    Member,
    Reports,
    ReportsRequest,
    ServerReport,
    SnapshotRequest,
    TimingSettings,
)

# Rounding errors accumulate over the hops; units of 0.1 s added about 0.5 s at 500 nodes. Ages
# above 254 units are too old to count within the standing time and are sent as unknown.
_AGE_UNIT_SECONDS = 0.02
_AGE_UNKNOWN = 255
# Neighbours are kept, since a new connection costs more bytes than three answers.
_MAX_NEIGHBOURS = 8
# After this many pulls one neighbour is replaced by a random node, which reconnects a fleet after a
# network partition.
_PULLS_PER_ROTATION = 45
_RECENT_REPORT_SECONDS = 4.0
_MAX_RECENT_REPORTS = 32
_MAX_INTRODUCTIONS = 8
# A change reaches all nodes within a few rounds; digests that still differ indicate a lost change.
_MISMATCHES_BEFORE_SYNC = 4
_MAX_EXCHANGED_REPORTS = 2048


class Gossiper:
    """Pulls state from a few peers at a time and merges their answers."""

    def __init__(
        self,
        *,
        members: MembershipView,
        control_log: ControlLog,
        standing: Standing,
        links: PeerLinks,
        timing: TimingSettings,
        clock: Clock,
    ) -> None:
        self._members = members
        self._control_log = control_log
        self._standing = standing
        self._links = links
        self._timing = timing
        self._clock = clock
        self._neighbours: list[InstanceId] = []
        self._pulls = 0
        self._mismatches = _MISMATCHES_BEFORE_SYNC

    async def run(self) -> None:
        """Pull from peers until cancelled."""
        async with asyncio.TaskGroup() as pulls:
            while True:
                self.refresh_standing()
                peer = self.choose_peer()
                if peer is not None:
                    pulls.create_task(self.pull(peer))
                # The jitter desynchronises nodes that start together.
                await asyncio.sleep(self.pull_interval_seconds() * random.uniform(0.8, 1.2))

    def pull_interval_seconds(self) -> float:
        """Return the time between two pulls in seconds.

        Pulls are spread evenly over the gossip period. State received by one pull is then
        forwarded by the next, so with n pulls a second the number of nodes that know a change
        grows by a factor of e**n a second. If all n were sent at once, it would be n + 1.
        """
        pulls_per_period = min(len(self._neighbours), self._timing.gossip_peers)
        return self._timing.gossip_seconds / max(pulls_per_period, 1)

    def choose_peer(self) -> InstanceId | None:
        """Return the peer to pull from next, or None if there is none."""
        peers = self._members.peers()
        self._pulls += 1
        if self._pulls % _PULLS_PER_ROTATION == 0 and self._neighbours:
            self._neighbours.pop(0)
        known = set(peers)
        self._neighbours = [peer for peer in self._neighbours if peer in known]
        others = known.difference(self._neighbours)
        wanted = min(_MAX_NEIGHBOURS - len(self._neighbours), len(others))
        if wanted:
            self._neighbours.extend(random.sample(sorted(others), wanted))
        return random.choice(self._neighbours) if self._neighbours else None

    async def pull(self, peer: InstanceId) -> None:
        """Pull from one peer and merge its answer."""
        requested_at = self._clock.now()
        answer = await self._links.request(
            peer,
            GossipRequest(),
            timeout_seconds=self._timing.standing_seconds,
        )
        if not isinstance(answer, Gossip) or answer.instance != peer:
            if peer in self._neighbours:
                self._neighbours.remove(peer)
            return
        await self.receive(answer, requested_at)

    def broadcast_local_report(self) -> None:
        """Send the local report to every peer at once, without waiting for the next rounds."""
        local_report = self._members.report_table.get(self._members.own.instance)
        if local_report is not None:
            for peer in self._members.peers():
                self._links.notify(peer, Reports((local_report,)))

    def make_gossip(self) -> Gossip:
        """Return the answer to a gossip request."""
        now = self._clock.now()
        members = self._members
        ages = bytes(
            _encode_age(now - members.quorum_contact_at(instance))
            for instance in members.ordered_instances
        )
        return Gossip(
            instance=members.own.instance,
            incarnation=members.own.incarnation,
            informed=members.is_caught_up,
            membership_version=members.membership.version,
            ages=ages,
            newest_version=self._standing.newest_version,
            confirmed_version=members.settling.confirmed_version,
            report_digest=members.report_table.digest,
            reports=members.report_table.changed_since(
                now - _RECENT_REPORT_SECONDS, _MAX_RECENT_REPORTS
            ),
            introductions=self._make_introductions(now),
        )

    def answer_reports(self, request: ReportsRequest) -> Reports:
        """Return the reports of the buckets whose digests differ from the requester's."""
        table = self._members.report_table
        return Reports(table.reports_differing_from(request.bucket_digests, _MAX_EXCHANGED_REPORTS))

    def merge_reports(self, reports: tuple[ServerReport, ...]) -> None:
        """Record the reports that are newer than the known ones."""
        for report in reports:
            self._members.record_report(report)

    def introduce(self, member: Member) -> bool:
        """Record a node that the log does not list; return whether it is the latest in its slot."""
        is_latest = self._members.introduce(member)
        self._end_standing_if_superseded()
        return is_latest

    async def receive(self, message: Gossip, requested_at: float) -> None:
        """Merge the answer of a peer.

        Parameters
        ----------
        message
            The answer.
        requested_at
            Time of the request on the local clock.
        """
        if self._members.is_outdated(message.instance, message.incarnation):
            return
        self._merge_ages(message, requested_at)
        for introduction in message.introductions:
            self._merge_introduction(introduction, requested_at)
        self.merge_reports(message.reports)
        self._members.settling.confirm(message.confirmed_version)
        self._standing.record_peer_version(message.newest_version)
        self.refresh_standing()
        if message.newest_version > self._control_log.state.version:
            await self._fetch_snapshot(message.instance)
        await self._synchronise_reports(message)

    def refresh_standing(self) -> None:
        """Update the majority contact time, and whether a new incarnation has caught up."""
        self._end_standing_if_superseded()
        self._standing.record_majority_contact(self._members.majority_contact_at())
        if self._standing.has_standing and not self._members.is_caught_up:
            # Until it has caught up, a node does not count itself. The majority therefore consists
            # of other nodes, overlaps every other majority and knows every version in force at one.
            self._members.is_caught_up = True
            self._control_log.is_ready = True

    def _end_standing_if_superseded(self) -> None:
        if self._members.superseded_by is not None:
            self._standing.end()

    def _merge_ages(self, message: Gossip, requested_at: float) -> None:
        members = self._members
        is_same_membership = message.membership_version == members.membership.version
        if message.informed:
            members.record_contact(
                message.instance, requested_at, counts_for_quorum=is_same_membership
            )
        if not is_same_membership:
            return
        for instance, age in zip(members.ordered_instances, message.ages, strict=False):
            if age < _AGE_UNKNOWN and instance != members.own.instance:
                members.record_contact(
                    instance, requested_at - age * _AGE_UNIT_SECONDS, counts_for_quorum=True
                )

    def _make_introductions(self, now: float) -> tuple[Introduction, ...]:
        members = self._members
        live = [
            member for member in members.introduced_members() if members.is_alive(member.instance)
        ]
        chosen = random.sample(live, min(len(live), _MAX_INTRODUCTIONS))
        introductions = [
            Introduction(member, _encode_age(now - members.last_contact_at(member.instance)))
            for member in chosen
        ]
        if not members.is_joined:
            # A node that has not caught up is introduced, so that its predecessor stops, but with
            # an unknown age it counts as not alive and gets no work yet.
            local_age = 1 if members.is_caught_up else _AGE_UNKNOWN
            introductions.append(Introduction(members.own, local_age))
        return tuple(introductions)

    def _merge_introduction(self, introduction: Introduction, requested_at: float) -> None:
        member = introduction.member
        if not self.introduce(member) or member.instance == self._members.own.instance:
            return
        if introduction.age < _AGE_UNKNOWN:
            last_contact_at = requested_at - introduction.age * _AGE_UNIT_SECONDS
            self._members.record_contact(member.instance, last_contact_at)

    async def _synchronise_reports(self, message: Gossip) -> None:
        table = self._members.report_table
        if message.membership_version != self._members.membership.version:
            return
        if message.report_digest == table.digest:
            self._mismatches = 0
            return
        self._mismatches += 1
        if self._mismatches < _MISMATCHES_BEFORE_SYNC:
            return
        self._mismatches = 0
        answer = await self._links.request(
            message.instance,
            ReportsRequest(table.bucket_digests),
            timeout_seconds=self._timing.standing_seconds,
        )
        if isinstance(answer, Reports):
            self.merge_reports(answer.reports)

    async def _fetch_snapshot(self, peer: InstanceId) -> None:
        # While the log is reachable, the node reads the records there; peers are the fallback.
        if self._standing.has_log:
            return
        answer = await self._links.request(
            peer,
            SnapshotRequest(version=self._control_log.state.version),
            timeout_seconds=self._timing.standing_seconds,
        )
        if isinstance(answer, ControlSnapshot) and answer.state is not None:
            self._control_log.adopt(answer.state)
            self.refresh_standing()


def _encode_age(age_seconds: float) -> int:
    # Rounded up, so that an age is never underestimated.
    units = age_seconds / _AGE_UNIT_SECONDS
    return _AGE_UNKNOWN if units >= _AGE_UNKNOWN - 1 else int(units) + 1
