"""Spreads ages of members, configuration versions and reports of backend servers.

A node asks and dates the answer by the moment of asking on its own clock. Whatever happens to
the answer on the way (a slow link, a buffer behind a cut, a pause of either process), the
knowledge in it is at least as new as that moment, so an age never looks fresher than it is.
"""

import asyncio
import random

from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.ports import Clock, PeerLinks
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

# Rounding adds up over the hops; units of 0.1 s added about 0.5 s at 500 nodes. Older ages than
# 254 units are of no use for the standing time.
_AGE_UNIT_SECONDS = 0.02
_AGE_UNKNOWN = 255
# Neighbours keep their connections, since a new one costs more bytes than three answers. After
# this many questions one neighbour is replaced at random, which joins parts of a fleet after a cut.
_NEIGHBOUR_COUNT = 8
_ROTATION_PULLS = 45
_NEWS_SECONDS = 4.0
_NEWS_COUNT = 32
_INTRODUCTION_COUNT = 8
# A change reaches all nodes within a few rounds; digests that still differ show a lost one.
_MISMATCH_ROUNDS = 4
_EXCHANGE_COUNT = 2048


class Gossiper:
    """Asks a few peers at a time for their knowledge and merges what they answer."""

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
        self._mismatches = _MISMATCH_ROUNDS

    async def run(self) -> None:
        """Ask peers for as long as the node runs."""
        async with asyncio.TaskGroup() as pulls:
            while True:
                self.refresh_standing()
                peer = self.choose_peer()
                if peer is not None:
                    pulls.create_task(self.pull(peer))
                # The jitter keeps the rounds of nodes that start together apart.
                await asyncio.sleep(self.pull_interval_seconds() * random.uniform(0.8, 1.2))

    def pull_interval_seconds(self) -> float:
        """Return the time between two questions.

        They are spread evenly: knowledge that comes with one goes on with the next, so it
        spreads by e to the power of the questions a second, and not by one more than them.
        """
        asked = min(len(self._neighbours), self._timing.gossip_peers)
        return self._timing.gossip_seconds / max(asked, 1)

    def choose_peer(self) -> InstanceId | None:
        """Return the peer to ask next, or None if there is none."""
        peers = self._members.peers()
        self._pulls += 1
        if self._pulls % _ROTATION_PULLS == 0 and self._neighbours:
            self._neighbours.pop(0)
        known = set(peers)
        self._neighbours = [one for one in self._neighbours if one in known]
        others = known.difference(self._neighbours)
        wanted = min(_NEIGHBOUR_COUNT - len(self._neighbours), len(others))
        if wanted:
            self._neighbours.extend(random.sample(sorted(others), wanted))
        return random.choice(self._neighbours) if self._neighbours else None

    async def pull(self, peer: InstanceId) -> None:
        """Ask one peer and merge its answer."""
        asked_at = self._clock.now()
        answer = await self._links.request(
            peer,
            GossipRequest(),
            timeout_seconds=self._timing.standing_seconds,
        )
        if not isinstance(answer, Gossip) or answer.instance != peer:
            if peer in self._neighbours:
                self._neighbours.remove(peer)
            return
        await self.receive(answer, asked_at)

    def broadcast_local_report(self) -> None:
        """Send the own report to every peer, for news that must not wait for the next rounds."""
        own = self._members.report_table.get(self._members.own.instance)
        if own is not None:
            for peer in self._members.peers():
                self._links.notify(peer, Reports((own,)))

    def make_gossip(self) -> Gossip:
        """Return the answer to a peer that asks."""
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
            reports=members.report_table.changed_since(now - _NEWS_SECONDS, _NEWS_COUNT),
            introductions=self._make_introductions(now),
        )

    def answer_reports(self, request: ReportsRequest) -> Reports:
        """Return the reports in which the asking peer differs."""
        table = self._members.report_table
        return Reports(table.reports_differing_from(request.bucket_digests, _EXCHANGE_COUNT))

    def merge_reports(self, reports: tuple[ServerReport, ...]) -> None:
        """Take over the reports that are newer than the known ones."""
        for report in reports:
            self._members.record_report(report)

    def introduce(self, member: Member) -> bool:
        """Note a node that the log does not name; return whether it is the latest in its slot."""
        is_latest = self._members.introduce(member)
        self._check_own_slot()
        return is_latest

    async def receive(self, message: Gossip, asked_at: float) -> None:
        """Merge the answer of a peer that was asked at a moment on the own clock."""
        if self._members.is_outdated(message.instance, message.incarnation):
            return
        self._merge_signs(message, asked_at)
        for introduction in message.introductions:
            self._merge_introduction(introduction, asked_at)
        self.merge_reports(message.reports)
        self._members.settling.confirm(message.confirmed_version)
        self._standing.record_peer_version(message.newest_version)
        self.refresh_standing()
        if message.newest_version > self._control_log.state.version:
            await self._fetch_snapshot(message.instance)
        await self._compare_reports(message)

    def refresh_standing(self) -> None:
        """Work out the votes of a majority, and whether they inform a new incarnation."""
        self._check_own_slot()
        self._standing.record_majority_contact(self._members.majority_contact_at())
        if self._standing.has_standing and not self._members.is_caught_up:
            # The state of a majority without this node holds every version in force at one.
            self._members.is_caught_up = True
            self._control_log.is_ready = True

    def _check_own_slot(self) -> None:
        if self._members.superseded_by is not None:
            self._standing.end()

    def _merge_signs(self, message: Gossip, asked_at: float) -> None:
        members = self._members
        is_same = message.membership_version == members.membership.version
        if message.informed:
            members.record_contact(message.instance, asked_at, counts_for_quorum=is_same)
        if not is_same:
            return
        for instance, age in zip(members.ordered_instances, message.ages, strict=False):
            if age < _AGE_UNKNOWN and instance != members.own.instance:
                members.record_contact(
                    instance, asked_at - age * _AGE_UNIT_SECONDS, counts_for_quorum=True
                )

    def _make_introductions(self, now: float) -> tuple[Introduction, ...]:
        members = self._members
        live = [one for one in members.introduced_members() if members.is_alive(one.instance)]
        chosen = random.sample(live, min(len(live), _INTRODUCTION_COUNT))
        introductions = [
            Introduction(one, _encode_age(now - members.last_contact_at(one.instance)))
            for one in chosen
        ]
        if not members.is_joined:
            # An uninformed node is named, so that its predecessor stops, but gets no work yet.
            own_age = 1 if members.is_caught_up else _AGE_UNKNOWN
            introductions.append(Introduction(members.own, own_age))
        return tuple(introductions)

    def _merge_introduction(self, introduction: Introduction, asked_at: float) -> None:
        member = introduction.member
        if not self.introduce(member) or member.instance == self._members.own.instance:
            return
        if introduction.age < _AGE_UNKNOWN:
            last_contact_at = asked_at - introduction.age * _AGE_UNIT_SECONDS
            self._members.record_contact(member.instance, last_contact_at)

    async def _compare_reports(self, message: Gossip) -> None:
        table = self._members.report_table
        if message.membership_version != self._members.membership.version:
            return
        if message.report_digest == table.digest:
            self._mismatches = 0
            return
        self._mismatches += 1
        if self._mismatches < _MISMATCH_ROUNDS:
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
        # With the log at hand the node reads the record there; peers serve while it is away.
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
    # Rounded up, so that an age never looks fresher than it is.
    units = age_seconds / _AGE_UNIT_SECONDS
    return _AGE_UNKNOWN if units >= _AGE_UNKNOWN - 1 else int(units) + 1
