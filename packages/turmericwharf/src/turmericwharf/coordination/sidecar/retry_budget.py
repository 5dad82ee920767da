"""Limits retries to the retry budget of the fleet.

The budget of a service is a ratio of its requests plus a fixed number of extra retries. Each node
applies the ratio to its own requests. The extra retries are divided between the data centres, and
one node in each data centre grants them, since a share per node would be too small to be useful.
Calls that a backend server makes while it runs a retried request count as retries too.
"""

import collections
import random
from collections.abc import Callable

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.routing.retries import RetryBudget, RetryLimits
from turmericwharf.coordination.sidecar.reloadable_bounds import ReloadableBounds
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.ports import FleetLinks
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.state import InstanceId, ServiceId
from turmericwharf.state.sidecar import RetryReply, RetryRequest

# Nodes observe membership changes at different times and count requests at admission, so using the
# full budget would exceed it at times.
_RATIO_FRACTION = 0.75
_POOL_FRACTION = 0.75
# A new granting node does not know what the one before it has granted in the same window. The
# processes may be killed twice in a window, so twice this fraction and the one above add up to one.
_NEW_GRANTING_NODE_FRACTION = 0.125
_REQUEST_TIMEOUT_SECONDS = 0.1


class ExtraRetryPool:
    """Grants the extra retries of the local data centre, beyond the ratio.

    Parameters
    ----------
    directory
        Known nodes.
    ranking
        Ranks the nodes of the local data centre.
    bounds
        Limits of the retry budget.
    clock
        Clock of the node.
    knowledge
        Whether this node knows the fleet; before, it grants nothing.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        ranking: DataCentreRanking,
        bounds: ReloadableBounds,
        clock: Clock,
        knowledge: StartupKnowledge,
    ) -> None:
        self._directory = directory
        self._ranking = ranking
        self._bounds = bounds
        self._clock = clock
        self._knowledge = knowledge
        self._granting_since_by_service: dict[ServiceId, float] = {}
        self._granted_by_service: dict[ServiceId, collections.deque[float]] = {}

    def granting_node(self, service: ServiceId) -> InstanceId:
        """Return the node that grants extra retries of requests to a service."""
        ranked = self._ranking.ranked_nodes(f'retries/{service}')
        return ranked[0] if ranked else self._directory.local.instance

    def grant(self, service: ServiceId) -> bool:
        """Grant one retry if this node is the granting node and has retries left.

        A node that knows only some of the others could take itself for the granting node, and its
        data centre for one of few.
        """
        if not self._knowledge.knows_fleet:
            return False
        if self.granting_node(service) != self._directory.local.instance:
            self._granting_since_by_service.pop(service, None)
            return False
        now = self._clock.now()
        window_seconds = self._bounds.current.retry_window_seconds
        granted = self._granted_by_service.setdefault(service, collections.deque())
        while granted and granted[0] < now - window_seconds:
            granted.popleft()
        granting_seconds = now - self._granting_since_by_service.setdefault(service, now)
        pool_fraction = (
            _POOL_FRACTION if granting_seconds >= window_seconds else _NEW_GRANTING_NODE_FRACTION
        )
        if len(granted) + 1 > pool_fraction * self._data_centre_limit():
            return False
        granted.append(now)
        return True

    def _data_centre_limit(self) -> float:
        data_centres = {entry.data_centre for entry in self._directory.entries}
        return self._bounds.current.retry_extra / len(data_centres)


class FleetRetryBudget:
    """Decides whether a request may reach one more server.

    Parameters
    ----------
    pool
        Grants extra retries of the services for which this node is the granting node.
    links
        Connections to the other granting nodes.
    directory
        Known nodes.
    bounds
        Limits of the retry budget.
    clock
        Clock of the node.
    retry_share
        Returns the share of the requests running at the local server that are retries.
    """

    def __init__(
        self,
        *,
        pool: ExtraRetryPool,
        links: FleetLinks,
        directory: NodeDirectory,
        bounds: ReloadableBounds,
        clock: Clock,
        retry_share: Callable[[], float],
    ) -> None:
        self.pool = pool
        self._links = links
        self._directory = directory
        self._bounds = bounds
        self._local_budget = RetryBudget(self._local_limits, clock)
        self._retry_share = retry_share

    def record_request(self, service: ServiceId, *, has_no_organisation: bool) -> None:
        """Count a request from a local client or from the local server.

        Parameters
        ----------
        has_no_organisation
            Whether the request is treated as a call of the local server; requests of clients have
            no organisation either on public routes and without configured organisations.
        """
        self._local_budget.record_request(service)
        # A call of a backend server does not identify the request that caused it, so it is counted
        # as a retry with the probability that a running request is one.
        if has_no_organisation and random.random() < self._retry_share():
            self._local_budget.record_retry(service)

    async def acquire(self, service: ServiceId) -> bool:
        """Take a retry from the local budget, else from the pool; return True if granted."""
        if self._local_budget.allows(service):
            self._local_budget.record_retry(service)
            return True
        is_granted = await self._request_grant(service)
        logger.bind(service=service, granted=is_granted).info('retry_asked')
        return is_granted

    async def _request_grant(self, service: ServiceId) -> bool:
        instance = self.pool.granting_node(service)
        entry = self._directory.find(instance)
        if entry is None:
            return self.pool.grant(service)
        reply = await self._links.request(
            entry, RetryRequest(service), timeout_seconds=_REQUEST_TIMEOUT_SECONDS
        )
        return isinstance(reply, RetryReply) and reply.granted

    def _local_limits(self) -> RetryLimits:
        bounds = self._bounds.current
        return RetryLimits(
            fraction=bounds.retry_ratio * _RATIO_FRACTION,
            extra_retries=0,
            window_seconds=bounds.retry_window_seconds,
        )
