"""Finds the route of a request without looking at every route."""

from collections.abc import Iterable
from urllib.parse import unquote, urlsplit

from turmericwharf.state import Route

_DOT_SEGMENTS = frozenset(('.', '..'))


class RouteIndex:
    """Routes by method and path prefix; built once for each version of the routes.

    A path prefix matches whole segments: `/book` matches `/book` and `/book/1`, not `/bookings`.
    """

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._routes_by_place: dict[tuple[str, tuple[str, ...]], Route] = {}
        self._deepest = 0
        # In the order of the ids, so that all nodes choose the same of two equal places.
        for route in sorted(routes, key=lambda one: one.route):
            segments = _segments(route.path_prefix)
            self._deepest = max(self._deepest, len(segments))
            for method in route.methods:
                self._routes_by_place[method, segments] = route

    def find(self, method: str, target: str) -> Route | None:
        """Return the route with the longest path prefix that matches."""
        path = urlsplit(target).path
        segments = _segments(path)
        if not _DOT_SEGMENTS.isdisjoint(unquote(path).split('/')):
            # A backend server may resolve dot segments and so leave the path of the route.
            return None
        for depth in range(min(len(segments), self._deepest), -1, -1):
            route = self._routes_by_place.get((method, segments[:depth]))
            if route is not None:
                return route
        return None


def _segments(path: str) -> tuple[str, ...]:
    return tuple(path.strip('/').split('/')) if path.strip('/') else ()
