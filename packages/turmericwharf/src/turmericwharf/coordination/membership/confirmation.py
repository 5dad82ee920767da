"""Confirms that enough nodes apply a membership for rate shares to be based on it."""

import asyncio

from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.ports import PeerLinks
from turmericwharf.coordination.membership.rendezvous import rank_instances
from turmericwharf.state import InForceAnswer, InForceRequest, InstanceId, TimingSettings

_CHECK_INTERVAL_SECONDS = 0.5
# Delay for each node that ranks before this one, so that usually only the first one acts.
_RANK_DELAY_SECONDS = 1.0


class MembershipConfirmer:
    """Queries the members for their applied version after each membership change.

    One live member sends the queries, and gossip spreads the result. The ranking is the same
    for all versions, so that only a few nodes ever connect to all others.
    """

    def __init__(
        self,
        *,
        members: MembershipView,
        control_log: ControlLog,
        links: PeerLinks,
        timing: TimingSettings,
        clock: Clock,
    ) -> None:
        self._members = members
        self._control_log = control_log
        self._links = links
        self._timing = timing
        self._clock = clock
        self._unconfirmed_since: float | None = None

    async def run(self) -> None:
        """Confirm memberships until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            await self.confirm_once()

    async def confirm_once(self) -> None:
        """Query the members if the newest membership is unconfirmed and it is this node's turn."""
        members, settling = self._members, self._members.settling
        version = members.membership.version
        if settling.confirmed_version >= version:
            self._unconfirmed_since = None
            return
        if not self._is_turn():
            return
        up_to_date = await self._query_members(version)
        # The answers only count for the membership whose version was queried.
        if members.membership.version == version and settling.is_confirmed_by(up_to_date):
            settling.confirm(version)

    def _is_turn(self) -> bool:
        now = self._clock.now()
        since = now if self._unconfirmed_since is None else self._unconfirmed_since
        self._unconfirmed_since = since
        ranking = rank_instances('confirm', self._members.live_members())
        own = self._members.own.instance
        return own in ranking and now - since >= ranking.index(own) * _RANK_DELAY_SECONDS

    async def _query_members(self, version: int) -> frozenset[InstanceId]:
        own = self._members.own.instance
        others = self._members.membership.members_by_id.keys() - {own}
        answers = await asyncio.gather(*(self._query_member(other) for other in sorted(others)))
        up_to_date = {answer.instance for answer in answers if answer and answer.version >= version}
        if self._control_log.state.version >= version:
            up_to_date.add(own)
        return frozenset(up_to_date)

    async def _query_member(self, instance: InstanceId) -> InForceAnswer | None:
        answer = await self._links.request(
            instance,
            InForceRequest(),
            timeout_seconds=self._timing.peer_timeout_seconds,
        )
        return answer if isinstance(answer, InForceAnswer) else None
