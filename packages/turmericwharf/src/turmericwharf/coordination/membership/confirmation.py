"""Finds out whether a membership is known to so many nodes that shares may follow it."""

import asyncio

from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.ports import Clock, PeerLinks
from turmericwharf.coordination.membership.rendezvous import rank_instances
from turmericwharf.state import InForceAnswer, InForceRequest, InstanceId, TimingSettings

_PERIOD_SECONDS = 0.5
# A node waits this long for each node before it in the ranking to do the work.
_TURN_SECONDS = 1.0


class MembershipConfirmer:
    """Asks the members which version they apply after each change of the membership.

    One live member asks, and gossip spreads the result. The ranking is the same for all
    versions, so that only a few nodes ever connect to all others.
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
        """Confirm memberships for as long as the node runs."""
        while True:
            await asyncio.sleep(_PERIOD_SECONDS)
            await self.confirm_once()

    async def confirm_once(self) -> None:
        """Ask the members if the newest membership is not confirmed and it is this node's turn."""
        members, settling = self._members, self._members.settling
        version = members.membership.version
        if settling.confirmed_version >= version:
            self._unconfirmed_since = None
            return
        if not self._is_own_turn():
            return
        informed = await self._ask_members(version)
        # The informed members prove something about the membership that they were asked for.
        if members.membership.version == version and settling.is_confirmed_by(informed):
            settling.confirm(version)

    def _is_own_turn(self) -> bool:
        now = self._clock.now()
        since = now if self._unconfirmed_since is None else self._unconfirmed_since
        self._unconfirmed_since = since
        ranking = rank_instances('confirm', self._members.live_members())
        own = self._members.own.instance
        return own in ranking and now - since >= ranking.index(own) * _TURN_SECONDS

    async def _ask_members(self, version: int) -> frozenset[InstanceId]:
        own = self._members.own.instance
        others = self._members.membership.members_by_id.keys() - {own}
        answers = await asyncio.gather(*(self._ask(other) for other in sorted(others)))
        informed = {answer.instance for answer in answers if answer and answer.version >= version}
        if self._control_log.state.version >= version:
            informed.add(own)
        return frozenset(informed)

    async def _ask(self, instance: InstanceId) -> InForceAnswer | None:
        answer = await self._links.request(
            instance,
            InForceRequest(),
            timeout_seconds=self._timing.peer_timeout_seconds,
        )
        return answer if isinstance(answer, InForceAnswer) else None
