"""How much one attempt hurt its caller, apart for the server and for the path to it.

Harm is between 0 and 1: the share of the target of the class that the attempt took beyond the
typical time of its route, and 1 for an attempt that failed. A target of the class thus decides
how many slow answers weigh as much as a failed one.
"""

import collections
import dataclasses
import math
from functools import singledispatch
from types import MappingProxyType

from turmericwharf.state import Answered, NotRun, OutcomeUnknown, Reason, RouteId

_MILLISECONDS = 1000
_SERVER_ERROR = 500
# A time below this multiple of the typical time is ordinary variation.
_ORDINARY_RATIO = 2.0
_MEDIAN_STEP = 0.1
_SHORTEST_SECONDS = 0.0001
# One node sees the routes of the services in front of it; 4,500 are expected in the whole fleet.
_ROUTES_REMEMBERED = 4096
_FAILED = 1.0
# Shedding is a fault only of a server that sheds while the others do not.
_SHED = 0.5

_SERVER_HARM_BY_REASON = MappingProxyType(
    {
        Reason.SERVER_UNREACHABLE: _FAILED,
        Reason.SERVER_SHED: _SHED,
        Reason.ANSWER_INCOMPLETE: _FAILED,
    }
)
_PATH_HARM_BY_REASON = MappingProxyType(
    {
        Reason.PEER_UNREACHABLE: _FAILED,
        Reason.PEER_LINK_LOST: _FAILED,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptTiming:
    """One attempt as the entry node saw it.

    Parameters
    ----------
    seconds
        Time from sending to the outcome.
    target_seconds
        Target of the class of work.
    typical_seconds
        Typical time of the route at a server.
    typical_path_seconds
        Typical time between the entry node and executing nodes of the service.
    """

    seconds: float
    target_seconds: float
    typical_seconds: float
    typical_path_seconds: float = 0.0


class TypicalTimes:
    """Running medians of the time that each route takes.

    A median of all answers stays with the healthy majority while a third of the servers is slow.
    """

    def __init__(self) -> None:
        self._logarithm_by_route: collections.OrderedDict[RouteId, float] = (
            collections.OrderedDict()
        )

    def record(self, route: RouteId, seconds: float) -> None:
        """Move the median of a route one step towards a time."""
        logarithm = math.log(max(seconds, _SHORTEST_SECONDS))
        known = self._logarithm_by_route.pop(route, logarithm)
        step = min(_MEDIAN_STEP, abs(logarithm - known))
        self._logarithm_by_route[route] = known + math.copysign(step, logarithm - known)
        if len(self._logarithm_by_route) > _ROUTES_REMEMBERED:
            self._logarithm_by_route.popitem(last=False)

    def seconds(self, route: RouteId) -> float:
        """Return the typical time of a route, or zero if none is known."""
        logarithm = self._logarithm_by_route.get(route)
        return 0 if logarithm is None else math.exp(logarithm)


def latency_harm(seconds: float, typical_seconds: float, target_seconds: float) -> float:
    """Return the share of the target that a time takes beyond ordinary variation."""
    beyond = seconds - typical_seconds * _ORDINARY_RATIO
    return min(max(beyond / target_seconds, 0), 1)


def path_seconds(seconds: float, answer: Answered) -> float:
    """Return the part of an attempt's time that passed neither in the queue nor at the server."""
    beside_server = answer.waited_milliseconds + answer.server_milliseconds
    return max(seconds - beside_server / _MILLISECONDS, 0)


@singledispatch
def server_harm(outcome: object, attempt: AttemptTiming) -> float | None:
    """Return the harm that the server did, or None if the outcome says nothing about it."""
    raise TypeError(f'not an outcome: {outcome!r}')


@server_harm.register
def _(outcome: Answered, attempt: AttemptTiming) -> float | None:
    if outcome.status >= _SERVER_ERROR:
        return _FAILED
    seconds = max(outcome.first_byte_milliseconds, outcome.server_milliseconds) / _MILLISECONDS
    return latency_harm(seconds, attempt.typical_seconds, attempt.target_seconds)


@server_harm.register
def _(outcome: NotRun, attempt: AttemptTiming) -> float | None:
    return _SERVER_HARM_BY_REASON.get(outcome.reason)


@server_harm.register
def _(outcome: OutcomeUnknown, attempt: AttemptTiming) -> float | None:
    if outcome.reason is Reason.ANSWER_TIMEOUT:
        # A caller with a short deadline of its own is no proof of a slow server.
        return latency_harm(attempt.seconds, attempt.typical_seconds, attempt.target_seconds)
    return _SERVER_HARM_BY_REASON.get(outcome.reason)


@singledispatch
def path_harm(outcome: object, attempt: AttemptTiming) -> float | None:
    """Return the harm that the path did, or None if the outcome says nothing about it."""
    raise TypeError(f'not an outcome: {outcome!r}')


@path_harm.register
def _(outcome: Answered, attempt: AttemptTiming) -> float | None:
    seconds = path_seconds(attempt.seconds, outcome)
    return latency_harm(seconds, attempt.typical_path_seconds, attempt.target_seconds)


@path_harm.register
def _(outcome: NotRun, attempt: AttemptTiming) -> float | None:
    return _PATH_HARM_BY_REASON.get(outcome.reason)


@path_harm.register
def _(outcome: OutcomeUnknown, attempt: AttemptTiming) -> float | None:
    if outcome.reason is Reason.PEER_TIMEOUT:
        # The executing node answers before the deadline if the path lets it.
        return latency_harm(attempt.seconds, attempt.typical_seconds, attempt.target_seconds)
    return _PATH_HARM_BY_REASON.get(outcome.reason)
