"""Rates of organisations, divided into fixed parts that single nodes hold.

Each data centre has holders for each organisation, found by rendezvous hashing. Each grants its
fixed part of the rate, so the sum over all holders stays inside the rate without agreement,
whatever part of the fleet is cut off.
"""

import asyncio
import collections
import dataclasses
import math

from loguru import logger

from turmericwharf.coordination.ports import Clock
from turmericwharf.coordination.membership.rendezvous import partition_of, rank_instances
from turmericwharf.coordination.sidecar.admission import NO_ORGANISATION, FleetAdmission
from turmericwharf.coordination.sidecar.bounds import ReloadableBounds
from turmericwharf.coordination.sidecar.configuration_holder import ConfigurationHolder
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.ports import FleetLinks
from turmericwharf.state import (
    RATE_EXCEEDED,
    DataCentreId,
    InstanceId,
    OrganisationId,
    RequestFailure,
)
from turmericwharf.state.sidecar import (
    OrganisationRule,
    ServerPhase,
    TokenReply,
    TokenRequest,
)

_ASK_SECONDS = 0.2
# A holder that begins this soon after the start of its process held the part before.
_START_SECONDS = 3.0
# Two starts of all processes inside one window stay within what may run beyond the rate.
_START_SHARE = 0.45
_MOST_WAIT_SECONDS = 0.1
# A holder that is down takes at most this part of a rate with it.
_LEAST_PARTS = 3
_WITHOUT_PARTS = frozenset((ServerPhase.LEAVING, ServerPhase.STOPPING))


@dataclasses.dataclass(frozen=True, slots=True)
class _Level:
    """Tokens of a bucket at one moment."""

    tokens: float
    at: float


class QuotaHolders:
    """Which nodes hold parts of an organisation's rate.

    Parameters
    ----------
    directory
        Known nodes; one whose server leaves holds no part.
    holder
        Configuration in force.
    clock
        Clock of the node.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        holder: ConfigurationHolder,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._holder = holder
        self._clock = clock
        self._seen = (-1, -1)
        self._partitions: frozenset[int] = frozenset()
        self._holders_by_partition: dict[int, dict[DataCentreId, list[InstanceId]]] = {}
        self._held_since_by_partition: dict[int, float] = {}
        self._instances_by_place: dict[DataCentreId, list[InstanceId]] = {}
        self._each = 1
        self.parts = 1

    def of(self, organisation: OrganisationId) -> dict[DataCentreId, list[InstanceId]]:
        """Return the holders in each data centre."""
        self.refresh()
        partition = partition_of(organisation)
        holders = self._holders_by_partition.get(partition)
        if holders is None:
            holders = {place: self._rank(partition, place) for place in self._instances_by_place}
            self._holders_by_partition[partition] = holders
        return holders

    def held_since(self, organisation: OrganisationId) -> float | None:
        """Return since when this node holds a part, or None."""
        self.refresh()
        return self._held_since_by_partition.get(partition_of(organisation))

    def refresh(self) -> None:
        """Follow a change of the nodes or of the configuration."""
        seen = (self._directory.changes, self._holder.version)
        if seen == self._seen:
            return
        if seen[1] != self._seen[1]:
            names = self._holder.current.organisations_by_id
            # Organisations of one partition share their holders, so a change of the nodes costs
            # the same however many organisations there are.
            self._partitions = frozenset(partition_of(name) for name in names)
        self._seen = seen
        self._sort_nodes()
        own, now = self._directory.local, self._clock.now()
        self._held_since_by_partition = {
            one: self._held_since_by_partition.get(one, now)
            for one in self._partitions
            if own.instance in self._rank(one, own.data_centre)
        }

    def _sort_nodes(self) -> None:
        entries = self._directory.entries
        sizes = collections.Counter(entry.data_centre for entry in entries)
        self._each = math.ceil(_LEAST_PARTS / len(sizes))
        self.parts = sum(min(self._each, size) for size in sizes.values())
        self._holders_by_partition = {}
        self._instances_by_place = {}
        for entry in entries:
            if entry.phase not in _WITHOUT_PARTS:
                place = self._instances_by_place.setdefault(entry.data_centre, [])
                place.append(entry.instance)

    def _rank(self, partition: int, place: DataCentreId) -> list[InstanceId]:
        instances = self._instances_by_place.get(place, [])
        return rank_instances(f'rates/{partition}', instances)[: self._each]


class QuotaBuckets:
    """The parts of rates that this node holds.

    A bucket is empty when the node becomes its holder, so that a change of holders never grants a
    burst twice. After a start of the process it holds a part of what may run beyond the rate.

    Parameters
    ----------
    holders
        Who holds which part.
    holder
        Configuration in force.
    clock
        Clock of the node.
    bounds
        What may run beyond the rate.
    """

    def __init__(
        self,
        holders: QuotaHolders,
        holder: ConfigurationHolder,
        clock: Clock,
        bounds: ReloadableBounds,
    ) -> None:
        self._bounds = bounds
        self._started_at = clock.now()
        self.holders = holders
        self._holder = holder
        self._clock = clock
        self._levels_by_id: dict[OrganisationId, _Level] = {}

    def grant(self, organisation: OrganisationId) -> TokenReply:
        """Take one token of the own part, or tell when there will be one."""
        rule = self._holder.current.organisations_by_id.get(organisation)
        held_since = self.holders.held_since(organisation)
        if rule is None or held_since is None or not rule.is_limited:
            return TokenReply(granted=False, wait_seconds=0)
        part = 1 / self.holders.parts
        tokens = self._fill(rule, part, held_since)
        granted = tokens >= 1
        self._levels_by_id[organisation] = _Level(tokens - granted, self._clock.now())
        missing_seconds = (1 - tokens) / (rule.rate_per_second * part)
        return TokenReply(granted=granted, wait_seconds=max(missing_seconds, 0))

    def _fill(self, rule: OrganisationRule, part: float, held_since: float) -> float:
        now = self._clock.now()
        level = self._levels_by_id.get(rule.organisation)
        if level is None or level.at < held_since:
            level = _Level(self._first_tokens(rule, held_since) * part, held_since)
        gained = (now - level.at) * rule.rate_per_second * part
        return min(level.tokens + gained, max(rule.burst * part, 1))

    def _first_tokens(self, rule: OrganisationRule, held_since: float) -> float:
        if held_since > self._started_at + _START_SECONDS:
            return 0
        bounds = self._bounds.current
        allowed = rule.rate_per_second * bounds.rate_window_seconds + rule.burst
        return (allowed * bounds.rate_overage + bounds.rate_slack) * _START_SHARE


class QuotaLimiter:
    """Takes tokens for admitted requests.

    Parameters
    ----------
    buckets
        Parts that this node holds itself.
    links
        Connections to the other holders.
    directory
        Known nodes.
    holder
        Configuration in force.
    """

    def __init__(
        self,
        buckets: QuotaBuckets,
        links: FleetLinks,
        directory: NodeDirectory,
        holder: ConfigurationHolder,
    ) -> None:
        self.buckets = buckets
        self._links = links
        self._directory = directory
        self._holder = holder

    async def acquire(self, admitted: FleetAdmission) -> RequestFailure | None:
        """Return None with a token, or why the request is refused."""
        if admitted.organisation == NO_ORGANISATION:
            return None
        rule = self._holder.current.organisations_by_id.get(admitted.organisation)
        if rule is None or not rule.is_limited:
            return None
        wait_seconds = await self._ask_all(admitted.organisation)
        if 0 < wait_seconds <= _MOST_WAIT_SECONDS:
            # A holder that has just started has its next token soon.
            await asyncio.sleep(wait_seconds)
            wait_seconds = await self._ask_all(admitted.organisation)
        if not wait_seconds:
            return None
        logger.bind(
            request=admitted.request.request,
            organisation=rule.organisation,
            rate=rule.rate_per_second,
            holders=len(self._ordered_holders(rule.organisation)),
            parts=self.buckets.holders.parts,
            next_token_seconds=None if math.isinf(wait_seconds) else round(wait_seconds, 3),
            version=admitted.version,
        ).info('token_refused')
        return RATE_EXCEEDED

    async def _ask_all(self, organisation: OrganisationId) -> float:
        """Return 0 with a token, else the seconds until one of the holders has one."""
        waits = [math.inf]
        for instance in self._ordered_holders(organisation):
            reply = await self._ask(instance, organisation)
            if reply is not None and reply.granted:
                return 0
            if reply is not None and reply.wait_seconds > 0:
                waits.append(reply.wait_seconds)
        return min(waits)

    def _ordered_holders(self, organisation: OrganisationId) -> list[InstanceId]:
        holders = self.buckets.holders.of(organisation)
        own = self._directory.local.data_centre
        # The near holders cost no bytes between data centres.
        places = sorted(holders, key=lambda place: (place != own, place))
        return [instance for place in places for instance in holders[place]]

    async def _ask(
        self,
        instance: InstanceId,
        organisation: OrganisationId,
    ) -> TokenReply | None:
        own = self._directory.local
        if instance == own.instance:
            return self.buckets.grant(organisation)
        entry = self._directory.find(instance)
        if entry is None or self._directory.is_suspected(instance):
            return None
        request = TokenRequest(organisation, own.instance, self._holder.version)
        reply = await self._links.request(entry, request, timeout_seconds=_ASK_SECONDS)
        if isinstance(reply, TokenReply):
            return reply
        logger.bind(instance=instance, organisation=organisation).info('token_holder_silent')
        self._directory.suspect(instance)
        return None
