"""Rates of organisations, divided into fixed shares that single nodes hold.

Each data centre has holders for each organisation, selected by rendezvous hashing. Each holder
grants its fixed share of the rate, so the sum over all holders stays within the rate without
coordination, whichever part of the fleet is unreachable.
"""

import asyncio
import dataclasses
import math

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.admission import NO_ORGANISATION, AdmittedFleetRequest
from turmericwharf.coordination.sidecar.reloadable_bounds import ReloadableBounds
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.ports import FleetLinks
from turmericwharf.coordination.sidecar.share_holders import FixedShareHolders
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.state import (
    FLEET_UNKNOWN,
    RATE_EXCEEDED,
    InstanceId,
    NotRun,
    OrganisationId,
)
from turmericwharf.state.sidecar import (
    OrganisationRule,
    TokenReply,
    TokenRequest,
)

_REQUEST_TIMEOUT_SECONDS = 0.2
# A node that becomes a holder within this time of its process start is assumed to have held the
# share before the restart.
_STARTUP_SECONDS = 3.0
# Below one half, so that two restarts of all processes within one rate window together grant less
# than the permitted overage.
_STARTUP_OVERAGE_FRACTION = 0.45
_MAX_WAIT_SECONDS = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _BucketLevel:
    """Tokens in a bucket at a point in time."""

    tokens: float
    updated_at: float


class FixedShareBuckets:
    """Token buckets of the shares that this node holds.

    A bucket is empty when the node becomes its holder, so that a change of holders never grants a
    burst twice. After a start of the process it contains part of the permitted overage instead.

    Parameters
    ----------
    holders
        Selects the holders of each share.
    configuration
        Configuration in force.
    clock
        Clock of the node.
    bounds
        Permitted overage of a rate.
    """

    def __init__(
        self,
        holders: FixedShareHolders,
        configuration: ActiveConfiguration,
        clock: Clock,
        bounds: ReloadableBounds,
    ) -> None:
        self._bounds = bounds
        self._started_at = clock.now()
        self.holders = holders
        self._configuration = configuration
        self._clock = clock
        self._levels_by_organisation: dict[OrganisationId, _BucketLevel] = {}

    def grant(self, organisation: OrganisationId) -> TokenReply:
        """Take one token from the local share.

        Returns
        -------
        TokenReply
            If no token was granted, `wait_seconds` is the time until the next one, or 0 if this
            node holds no share, the organisation is unknown or its rate is unlimited.
        """
        rule = self._configuration.current.organisations_by_id.get(organisation)
        held_since = self.holders.share_held_since(organisation)
        if rule is None or held_since is None or not rule.is_limited:
            return TokenReply(granted=False, wait_seconds=0)
        share = 1 / self.holders.share_count
        tokens = self._refilled_tokens(rule, share, held_since)
        granted = tokens >= 1
        self._levels_by_organisation[organisation] = _BucketLevel(
            tokens - granted, self._clock.now()
        )
        missing_seconds = (1 - tokens) / (rule.rate_per_second * share)
        return TokenReply(granted=granted, wait_seconds=max(missing_seconds, 0))

    def _refilled_tokens(self, rule: OrganisationRule, share: float, held_since: float) -> float:
        now = self._clock.now()
        level = self._levels_by_organisation.get(rule.organisation)
        if level is None or level.updated_at < held_since:
            level = _BucketLevel(self._initial_tokens(rule, held_since) * share, held_since)
        refill = (now - level.updated_at) * rule.rate_per_second * share
        return min(level.tokens + refill, max(rule.burst * share, 1))

    def _initial_tokens(self, rule: OrganisationRule, held_since: float) -> float:
        if held_since > self._started_at + _STARTUP_SECONDS:
            return 0
        bounds = self._bounds.current
        allowed = rule.rate_per_second * bounds.rate_window_seconds + rule.burst
        return (allowed * bounds.rate_overage + bounds.rate_slack) * _STARTUP_OVERAGE_FRACTION


class FleetRateLimiter:
    """Acquires rate tokens for admitted requests.

    Parameters
    ----------
    buckets
        Shares that this node holds.
    links
        Connections to the other holders.
    directory
        Known nodes.
    configuration
        Configuration in force.
    knowledge
        Whether this node knows the fleet, and so the holders.
    """

    def __init__(
        self,
        buckets: FixedShareBuckets,
        links: FleetLinks,
        directory: NodeDirectory,
        configuration: ActiveConfiguration,
        knowledge: StartupKnowledge,
    ) -> None:
        self.buckets = buckets
        self._links = links
        self._directory = directory
        self._configuration = configuration
        self._knowledge = knowledge

    async def acquire(self, admitted: AdmittedFleetRequest) -> NotRun | None:
        """Acquire a token; return None, or the refusal with the time until the next token."""
        if admitted.organisation == NO_ORGANISATION:
            return None
        rule = self._configuration.current.organisations_by_id.get(admitted.organisation)
        if rule is None or not rule.is_limited:
            return None
        if not self._knowledge.knows_fleet:
            return NotRun(FLEET_UNKNOWN.reason, FLEET_UNKNOWN.detail)
        wait_seconds = await self._request_from_holders(admitted.organisation)
        if 0 < wait_seconds <= _MAX_WAIT_SECONDS:
            # The next token of a holder that has just started is available soon.
            await asyncio.sleep(wait_seconds)
            wait_seconds = await self._request_from_holders(admitted.organisation)
        if not wait_seconds:
            return None
        logger.bind(
            request=admitted.request.request,
            organisation=rule.organisation,
            rate=rule.rate_per_second,
            holders=len(self._ordered_holders(rule.organisation)),
            parts=self.buckets.holders.share_count,
            next_token_seconds=None if math.isinf(wait_seconds) else round(wait_seconds, 3),
            version=admitted.version,
        ).info('token_refused')
        # Also returned if no holder gave a time until its next token, e.g. if none answered.
        return NotRun(
            RATE_EXCEEDED.reason,
            RATE_EXCEEDED.detail,
            None if math.isinf(wait_seconds) else wait_seconds,
        )

    async def _request_from_holders(self, organisation: OrganisationId) -> float:
        """Return 0 if a holder granted a token, else the seconds until the next token.

        The result is infinite if no holder named a time, e.g. if none answered.
        """
        waits = [math.inf]
        for instance in self._ordered_holders(organisation):
            reply = await self._request_token(instance, organisation)
            if reply is not None and reply.granted:
                return 0
            if reply is not None and reply.wait_seconds > 0:
                waits.append(reply.wait_seconds)
        return min(waits)

    def _ordered_holders(self, organisation: OrganisationId) -> list[InstanceId]:
        holders = self.buckets.holders.holders_by_data_centre(organisation)
        local = self._directory.local.data_centre
        # Requests to local holders cause no traffic between data centres.
        data_centres = sorted(holders, key=lambda data_centre: (data_centre != local, data_centre))
        return [instance for data_centre in data_centres for instance in holders[data_centre]]

    async def _request_token(
        self,
        instance: InstanceId,
        organisation: OrganisationId,
    ) -> TokenReply | None:
        local = self._directory.local
        if instance == local.instance:
            return self.buckets.grant(organisation)
        entry = self._directory.find(instance)
        if entry is None or self._directory.is_suspected(instance):
            return None
        request = TokenRequest(organisation, local.instance, self._configuration.version)
        reply = await self._links.request(entry, request, timeout_seconds=_REQUEST_TIMEOUT_SECONDS)
        if isinstance(reply, TokenReply):
            return reply
        logger.bind(instance=instance, organisation=organisation).info('token_holder_silent')
        self._directory.suspect(instance)
        return None
