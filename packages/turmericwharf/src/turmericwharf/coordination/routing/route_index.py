"""Index that finds the route of a request without a scan over all routes."""

from collections.abc import Iterable
from urllib.parse import unquote, urlsplit

from turmericwharf.state import Route

_DOT_SEGMENTS = frozenset(('.', '..'))


class RouteIndex:
    """Routes indexed by method and path prefix; built once for each version of the routes.

    A path prefix matches whole segments: `/book` matches `/book` and `/book/1`, not `/bookings`.
    """

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        self._routes_by_key: dict[tuple[str, tuple[str, ...]], Route] = {}
        self._max_depth = 0
        # Sorted by id, so that all nodes resolve two routes with the same method and prefix alike.
        for route in sorted(routes, key=lambda candidate: candidate.route):
            segments = _segments(route.path_prefix)
            self._max_depth = max(self._max_depth, len(segments))
            for method in route.methods:
                self._routes_by_key[method, segments] = route

    def find(self, method: str, target: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None."""
        path = urlsplit(target).path
        segments = _segments(path)
        if not _DOT_SEGMENTS.isdisjoint(unquote(path).split('/')):
            # A backend server may resolve dot segments and so escape the path of the route.
            return None
        for depth in range(min(len(segments), self._max_depth), -1, -1):
            route = self._routes_by_key.get((method, segments[:depth]))
            if route is not None:
                return route
        return None


def _segments(path: str) -> tuple[str, ...]:
    return tuple(path.strip('/').split('/')) if path.strip('/') else ()
