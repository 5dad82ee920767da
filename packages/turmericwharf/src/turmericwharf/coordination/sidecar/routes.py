"""Finds the route of a request and selects the destination service."""

import bisect
import itertools
import random

from turmericwharf.state import ServiceId
from turmericwharf.state.sidecar import Destination, RouteRule


class HostRouteIndex:
    """Finds routes by host and longest path prefix.

    Parameters
    ----------
    routes
        All routes of a configuration; each path prefix begins and ends with a slash.
    """

    def __init__(self, routes: tuple[RouteRule, ...]) -> None:
        self._routes_by_prefix = {(route.host, route.path_prefix): route for route in routes}

    def find(self, host: str, target: str) -> RouteRule | None:
        """Return the route with the longest path prefix that matches the target, or None."""
        path = target.partition('?')[0]
        end = path.rfind('/') + 1
        while end > 0:
            route = self._routes_by_prefix.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None


def choose_service(destinations: tuple[Destination, ...]) -> ServiceId | None:
    """Return the service of a random destination, weighted; None if no weight is above 0."""
    cumulative_weights = list(
        itertools.accumulate(max(destination.weight, 0) for destination in destinations)
    )
    if not cumulative_weights or cumulative_weights[-1] <= 0:
        return None
    index = bisect.bisect_right(cumulative_weights, random.random() * cumulative_weights[-1])
    return destinations[min(index, len(destinations) - 1)].service
