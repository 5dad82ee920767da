"""Mean sizes of the requests and responses of each route, which determine the price of leaving."""

from turmericwharf.state import Answered, Headers, RouteId
from turmericwharf.state.sidecar import FleetRequest

# Assumed for a route without a response so far.
_UNKNOWN_RESPONSE_BYTES = 1024.0
_NEWEST_RESPONSE_WEIGHT = 0.1
_BYTES_PER_KILOBYTE = 1024
_HEADER_OVERHEAD_BYTES = 4
# Question for a slot, its reply, and the fields of the order and of its answer.
_MESSAGE_OVERHEAD_BYTES = 600


class RouteSizes:
    """Exponentially weighted mean of the response size, per route.

    The size of a request is known when it is placed; only that of its response is estimated.
    """

    def __init__(self) -> None:
        self._response_bytes_by_route: dict[RouteId, float] = {}

    def record(self, route: RouteId, answered: Answered) -> None:
        """Update the mean of a route with one response."""
        size = _headers_bytes(answered.headers) + len(answered.body)
        mean = self._response_bytes_by_route.get(route, float(size))
        self._response_bytes_by_route[route] = mean + _NEWEST_RESPONSE_WEIGHT * (size - mean)

    def kilobytes(self, route: RouteId, request: FleetRequest) -> float:
        """Return the kilobytes that a request and its response are expected to take."""
        response_bytes = self._response_bytes_by_route.get(route, _UNKNOWN_RESPONSE_BYTES)
        request_bytes = _headers_bytes(request.headers) + len(request.target) + len(request.body)
        return (request_bytes + response_bytes + _MESSAGE_OVERHEAD_BYTES) / _BYTES_PER_KILOBYTE


def _headers_bytes(headers: Headers) -> int:
    return sum(len(name) + len(text) + _HEADER_OVERHEAD_BYTES for name, text in headers)
