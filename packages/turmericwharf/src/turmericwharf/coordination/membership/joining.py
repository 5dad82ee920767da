"""Keeps the node in the membership; introduces it to peers while the log is unreachable."""

import asyncio
import random

from loguru import logger

from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.membership.gossip import Gossiper
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.ports import PeerLinks
from turmericwharf.coordination.membership.standing import Standing
from turmericwharf.state import Joined, LogFailure, Member, NodeSettings, PeerIntroduction

_POLL_INTERVAL_SECONDS = 0.5
_JOIN_TIMEOUT_SECONDS = 3.0
_MAX_INTRODUCTION_PEERS = 3


class Joiner:
    """Joins while the log does not list the node; through peers if the log is unreachable."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        members: MembershipView,
        control_log: ControlLog,
        standing: Standing,
        gossiper: Gossiper,
        links: PeerLinks,
    ) -> None:
        self._settings = settings
        self._members = members
        self._control_log = control_log
        self._standing = standing
        self._gossiper = gossiper
        self._links = links

    async def run(self) -> None:
        """Join whenever needed, until another incarnation runs in the node's slot."""
        while self._members.superseded_by is None:
            if not self._members.is_joined:
                await self._join()
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def _join(self) -> None:
        if self._standing.has_log:
            await self._join_by_log()
        else:
            await self._join_by_peers()

    async def _join_by_log(self) -> None:
        # This also rejoins a node that was removed while it was unreachable.
        answer = await self._control_log.append_record(Joined(self._members.own))
        if isinstance(answer, LogFailure):
            logger.bind(detail=answer.detail).debug('join_not_confirmed')
        await self._control_log.wait_until(lambda: self._members.is_joined, _JOIN_TIMEOUT_SECONDS)

    async def _join_by_peers(self) -> None:
        if not self._members.peers():
            await self._connect_to_seeds()
        peers = self._members.peers()
        for peer in random.sample(peers, min(len(peers), _MAX_INTRODUCTION_PEERS)):
            self._links.notify(peer, PeerIntroduction(self._members.own))

    async def _connect_to_seeds(self) -> None:
        for seed in self._settings.seeds:
            result = await self._links.connect_to_seed(seed)
            if isinstance(result, Member):
                self._gossiper.introduce(result)
            else:
                logger.bind(seed=seed.instance, reason=result.reason.value).debug('seed_not_met')
