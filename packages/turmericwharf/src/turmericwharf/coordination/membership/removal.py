"""Removes members that have been unreachable for the removal time."""

import asyncio

from loguru import logger

from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.membership.rendezvous import rank_instances
from turmericwharf.coordination.membership.standing import Standing
from turmericwharf.state import InstanceId, LogFailure, Member, Removed, TimingSettings

_POLL_INTERVAL_SECONDS = 1.0


class Remover:
    """Appends `Removed` for unreachable members, one at a time.

    A node counts the silence of others only while it can read the log and a majority is alive,
    and only from the time at which both became true. So a node that is isolated or was paused
    removes nobody.
    """

    def __init__(
        self,
        *,
        members: MembershipView,
        control_log: ControlLog,
        standing: Standing,
        timing: TimingSettings,
        clock: Clock,
    ) -> None:
        self._members = members
        self._control_log = control_log
        self._standing = standing
        self._timing = timing
        self._clock = clock
        self._checked_at = clock.now()
        self._observing_since = clock.now()

    async def run(self) -> None:
        """Remove unreachable members until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
            await self.remove_most_overdue()

    async def remove_most_overdue(self) -> Member | None:
        """Remove the member that has been overdue for longest; return it if there is one."""
        self._update_observation()
        overdue = self._overdue_members()
        # The membership must be in force at a majority before it is changed again. Otherwise two
        # disjoint groups could each hold a majority.
        if not overdue or not self._standing.has_majority:
            return None
        member = min(overdue, key=lambda candidate: self._last_contact_with(candidate.instance))
        logger.bind(instance=member.instance).info('member_removed')
        version = self._members.membership.version
        answer = await self._control_log.append_record(
            Removed(member.instance, member.incarnation, self._members.own.instance, version),
        )
        if isinstance(answer, LogFailure):
            logger.bind(detail=answer.detail).debug('removal_not_confirmed')
        return member

    def _update_observation(self) -> None:
        now = self._clock.now()
        was_paused = now - self._checked_at > self._timing.standing_seconds
        if was_paused or not self._standing.has_log or not self._members.has_live_majority():
            self._observing_since = now
        self._checked_at = now

    def _overdue_members(self) -> list[Member]:
        own = self._members.own.instance
        return [
            member
            for instance, member in self._members.membership.members_by_id.items()
            if instance != own and self._is_overdue(instance)
        ]

    def _is_overdue(self, instance: InstanceId) -> bool:
        silent_since = max(self._last_contact_with(instance), self._observing_since)
        silent_seconds = self._clock.now() - silent_since
        if silent_seconds <= self._timing.removal_seconds:
            return False
        # The first live member by rank acts first; the others only if it fails to.
        ranked = rank_instances(f'removal/{instance}', self._members.live_members())
        own = self._members.own.instance
        rank = ranked.index(own) if own in ranked else len(ranked)
        rank_delay_seconds = rank * self._timing.standing_seconds
        return silent_seconds > self._timing.removal_seconds + rank_delay_seconds

    def _last_contact_with(self, instance: InstanceId) -> float:
        # The silence of a member that was never in contact counts from its join.
        return max(self._members.first_seen_at(instance), self._members.last_contact_at(instance))
