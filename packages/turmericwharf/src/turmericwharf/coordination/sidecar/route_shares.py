"""Guarantees each route a share of the slot time of a backend server.

Load pattern: a small service receives calls of other services and requests of clients, together
more than it can run. Calls rank above clients, since a request of the calling service depends on
each, so in a burst they would take all slots, and the routes of clients would be starved.
"""

import contextlib
import dataclasses
import math
from collections.abc import Iterator, Mapping

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import RouteId

# The slot time of the last seconds counts; older slot time fades out.
_WINDOW_SECONDS = 4.0
# A route is guaranteed this fraction of an equal share. A greater one takes slots from calls whose
# parents have already used a slot elsewhere.
_GUARANTEED_FRACTION = 0.25
# Above the ranks of all routes and calls.
_GUARANTEED_RANK = 10_000
_MAX_ROUTES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _SlotTime:
    """Slot time that a route used, faded out until a point in time."""

    seconds: float
    updated_at: float


class RouteShares:
    """Slot time of the last seconds by route, and the rank of orders below their guarantee.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._used_by_route: dict[RouteId, _SlotTime] = {}

    @property
    def share_by_route(self) -> Mapping[RouteId, float]:
        """Shares of the slot time of the last seconds."""
        used = {route: self._used_seconds(route) for route in self._used_by_route}
        total = sum(used.values())
        return {route: seconds / total for route, seconds in used.items() if seconds > 0}

    def queue_rank(self, route: RouteId, rank: int) -> int:
        """Return the rank with which an order waits for a slot.

        An order whose route used less than its guaranteed share precedes all others. What a route
        does not use is left to the others.
        """
        shares = self.share_by_route
        contenders = len(shares.keys() | {route})
        if contenders > 1 and shares.get(route, 0) < _GUARANTEED_FRACTION / contenders:
            return _GUARANTEED_RANK
        return rank

    @contextlib.contextmanager
    def reserved(self, route: RouteId, seconds: float) -> Iterator[None]:
        """Charge the expected run time of an order while it waits for a slot."""
        self.charge(route, seconds)
        try:
            yield
        finally:
            self.charge(route, -seconds)

    def charge(self, route: RouteId, seconds: float) -> None:
        """Charge slot time to a route; negative seconds take a charge back."""
        used_seconds = max(self._used_seconds(route) + seconds, 0)
        self._used_by_route.pop(route, None)
        self._used_by_route[route] = _SlotTime(used_seconds, self._clock.now())
        if len(self._used_by_route) > _MAX_ROUTES:
            self._used_by_route.pop(next(iter(self._used_by_route)))

    def _used_seconds(self, route: RouteId) -> float:
        used = self._used_by_route.get(route)
        if used is None:
            return 0
        age_seconds = self._clock.now() - used.updated_at
        return used.seconds * math.exp(-age_seconds / _WINDOW_SECONDS)
