"""Finds the route of a request and the service that it goes to."""

import bisect
import itertools
import random

from turmericwharf.state import ServiceId
from turmericwharf.state.sidecar import Destination, RouteRule


class RouteTable:
    """Routes by host and longest path prefix.

    Parameters
    ----------
    routes
        All routes of a configuration; each prefix begins and ends with a slash.
    """

    def __init__(self, routes: tuple[RouteRule, ...]) -> None:
        self._routes_by_place = {(route.host, route.path_prefix): route for route in routes}

    def find(self, host: str, target: str) -> RouteRule | None:
        """Return the route with the longest prefix of the target's path, or None."""
        path = target.partition('?')[0]
        end = path.rfind('/') + 1
        while end > 0:
            route = self._routes_by_place.get((host, path[:end]))
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None


def choose_service(destinations: tuple[Destination, ...]) -> ServiceId | None:
    """Return one of the destinations, each as often as its weight says."""
    bounds = list(itertools.accumulate(max(one.weight, 0) for one in destinations))
    if not bounds or bounds[-1] <= 0:
        return None
    place = bisect.bisect_right(bounds, random.random() * bounds[-1])
    return destinations[min(place, len(destinations) - 1)].service
