"""Usual run times of routes."""

from turmericwharf.state import RouteId

_WEIGHT = 0.1


class RunTimes:
    """Running mean of the seconds that requests of each route take at a server."""

    def __init__(self) -> None:
        self._seconds_by_route: dict[RouteId, float] = {}

    def record(self, route: RouteId, seconds: float) -> None:
        """Count one run."""
        known = self._seconds_by_route.get(route, seconds)
        self._seconds_by_route[route] = known + _WEIGHT * (seconds - known)

    def usual(self, route: RouteId) -> float:
        """Return the usual seconds of a route; 0 if it has not run yet."""
        return self._seconds_by_route.get(route, 0)
