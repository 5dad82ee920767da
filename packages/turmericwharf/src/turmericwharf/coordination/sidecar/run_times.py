"""Mean run times of routes."""

from turmericwharf.state import RouteId

_NEWEST_RUN_WEIGHT = 0.1


class RunTimes:
    """Exponentially weighted mean of the run time at the server, per route."""

    def __init__(self) -> None:
        self._seconds_by_route: dict[RouteId, float] = {}

    def record(self, route: RouteId, seconds: float) -> None:
        """Update the mean of a route with one run."""
        mean = self._seconds_by_route.get(route, seconds)
        self._seconds_by_route[route] = mean + _NEWEST_RUN_WEIGHT * (seconds - mean)

    def mean_seconds(self, route: RouteId) -> float:
        """Return the mean run time of a route in seconds; 0 if it has not run yet."""
        return self._seconds_by_route.get(route, 0)
