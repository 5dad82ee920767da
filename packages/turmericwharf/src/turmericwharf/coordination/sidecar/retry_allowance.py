"""Retries that the fleet's budget allows.

The budget of a service is a ratio of its requests and a number beyond that. Each node keeps to the
ratio of the requests that it has itself. The number is divided between the data centres, and one
node of each grants it, since a part for each node would be too small to be of use. The calls that a
backend server makes while it runs a repeated request count as repeats too.
"""

import collections
import random
from collections.abc import Callable

from loguru import logger

from turmericwharf.coordination.ports import Clock
from turmericwharf.coordination.routing.retries import RetryBudget, RetryLimits
from turmericwharf.coordination.sidecar.bounds import ReloadableBounds
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.ports import FleetLinks
from turmericwharf.state import InstanceId, ServiceId
from turmericwharf.state.sidecar import RetryReply, RetryRequest

# Nodes learn of a change of the nodes at different moments, and count requests when they admit
# them, so that the whole budget would be exceeded at times.
_RATIO_SHARE = 0.75
_POOL_SHARE = 0.6
# The node that granted before may have granted its whole part in the same window.
_NEW_SHARE = 0.2
_ASK_SECONDS = 0.1


class RetryPool:
    """Grants the retries of the own data centre that are beyond the ratio.

    Parameters
    ----------
    directory
        Known nodes.
    near
        Nodes of the own data centre.
    bounds
        The budget.
    clock
        Clock of the node.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        near: DataCentreRanking,
        bounds: ReloadableBounds,
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._near = near
        self._bounds = bounds
        self._clock = clock
        self._held_since_by_service: dict[ServiceId, float] = {}
        self._granted_by_service: dict[ServiceId, collections.deque[float]] = {}

    def granting_node(self, service: ServiceId) -> InstanceId:
        """Return the node that grants retries to a service."""
        ranked = self._near.ranked_nodes(f'retries/{service}')
        return ranked[0] if ranked else self._directory.local.instance

    def grant(self, service: ServiceId) -> bool:
        """Grant one retry if this node is the one to grant it and there is one left."""
        if self.granting_node(service) != self._directory.local.instance:
            self._held_since_by_service.pop(service, None)
            return False
        now = self._clock.now()
        window_seconds = self._bounds.current.retry_window_seconds
        granted = self._granted_by_service.setdefault(service, collections.deque())
        while granted and granted[0] < now - window_seconds:
            granted.popleft()
        held_seconds = now - self._held_since_by_service.setdefault(service, now)
        share = _POOL_SHARE if held_seconds >= window_seconds else _NEW_SHARE
        if len(granted) + 1 > share * self._part():
            return False
        granted.append(now)
        return True

    def _part(self) -> float:
        places = {entry.data_centre for entry in self._directory.entries}
        return self._bounds.current.retry_extra / len(places)


class RetryAllowance:
    """Says whether a request may reach one more server.

    Parameters
    ----------
    pool
        Grants retries beyond the ratio where this node is the one to grant them.
    links
        Connections to the other nodes that grant them.
    directory
        Known nodes.
    bounds
        The budget.
    clock
        Clock of the node.
    repeated_share
        Returns the share of the requests at the own server that are repeated ones.
    """

    def __init__(
        self,
        *,
        pool: RetryPool,
        links: FleetLinks,
        directory: NodeDirectory,
        bounds: ReloadableBounds,
        clock: Clock,
        repeated_share: Callable[[], float],
    ) -> None:
        self.pool = pool
        self._links = links
        self._directory = directory
        self._bounds = bounds
        self._budget = RetryBudget(self._own_limits, clock)
        self._repeated_share = repeated_share

    def record_request(self, service: ServiceId, *, is_server_call: bool) -> None:
        """Count a request of the own clients or of the own server."""
        self._budget.record_request(service)
        # A call does not name the request that makes it.
        if is_server_call and random.random() < self._repeated_share():
            self._budget.record_retry(service)

    async def acquire(self, service: ServiceId) -> bool:
        """Take one retry from the own part, else from the pool; return whether there was one."""
        if self._budget.allows(service):
            self._budget.record_retry(service)
            return True
        is_granted = await self._ask(service)
        logger.bind(service=service, granted=is_granted).info('retry_asked')
        return is_granted

    async def _ask(self, service: ServiceId) -> bool:
        instance = self.pool.granting_node(service)
        entry = self._directory.find(instance)
        if entry is None:
            return self.pool.grant(service)
        reply = await self._links.request(
            entry, RetryRequest(service), timeout_seconds=_ASK_SECONDS
        )
        return isinstance(reply, RetryReply) and reply.granted

    def _own_limits(self) -> RetryLimits:
        bounds = self._bounds.current
        return RetryLimits(
            fraction=bounds.retry_ratio * _RATIO_SHARE,
            minimum=0,
            window_seconds=bounds.retry_window_seconds,
        )
