"""Harm of one attempt to its caller, attributed separately to the server and the network path.

Harm is between 0 and 1. A failed attempt has harm 1. For a slow attempt, harm is the time beyond
normal variation around the typical time of its route, as a fraction of the latency target of the
work class. The target thus determines how many slow answers weigh as much as one failure.
"""

import collections
import dataclasses
import math
from functools import singledispatch
from types import MappingProxyType

from turmericwharf.state import Answered, NotRun, OutcomeUnknown, Reason, RouteId

_MILLISECONDS = 1000
_SERVER_ERROR = 500
# Latencies up to this multiple of the typical time count as normal variation.
_NORMAL_LATENCY_RATIO = 2.0
_MEDIAN_STEP = 0.1
_MIN_SECONDS = 0.0001
# A node records only the routes of the services it sends requests to; 4,500 routes are expected in
# the whole fleet.
_MAX_ROUTES = 4096
_FAILURE_HARM = 1.0
# Load shedding indicates a faulty server only if the other servers do not shed.
_SHED_HARM = 0.5

_SERVER_HARM_BY_REASON = MappingProxyType(
    {
        Reason.SERVER_UNREACHABLE: _FAILURE_HARM,
        Reason.SERVER_SHED: _SHED_HARM,
        Reason.ANSWER_INCOMPLETE: _FAILURE_HARM,
    }
)
_PATH_HARM_BY_REASON = MappingProxyType(
    {
        Reason.PEER_UNREACHABLE: _FAILURE_HARM,
        Reason.PEER_LINK_LOST: _FAILURE_HARM,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptTiming:
    """Timing of one attempt as measured by the entry node.

    Parameters
    ----------
    seconds
        Time from sending to the outcome.
    target_seconds
        Latency target of the work class.
    typical_seconds
        Typical time that a server takes for the route.
    typical_path_seconds
        Typical network time between the entry node and the executing nodes of the service.
    """

    seconds: float
    target_seconds: float
    typical_seconds: float
    typical_path_seconds: float = 0.0


class RouteMedians:
    """Running median of the time that each route takes.

    The median over the answers of all servers still reflects the healthy majority while a third
    of the servers is slow.
    """

    def __init__(self) -> None:
        self._log_median_by_route: collections.OrderedDict[RouteId, float] = (
            collections.OrderedDict()
        )

    def record(self, route: RouteId, seconds: float) -> None:
        """Move the running median of a route one step towards a new measurement."""
        logarithm = math.log(max(seconds, _MIN_SECONDS))
        median = self._log_median_by_route.pop(route, logarithm)
        step = min(_MEDIAN_STEP, abs(logarithm - median))
        self._log_median_by_route[route] = median + math.copysign(step, logarithm - median)
        if len(self._log_median_by_route) > _MAX_ROUTES:
            self._log_median_by_route.popitem(last=False)

    def seconds(self, route: RouteId) -> float:
        """Return the typical time of a route, or zero if none is known."""
        logarithm = self._log_median_by_route.get(route)
        return 0 if logarithm is None else math.exp(logarithm)


def latency_harm(seconds: float, typical_seconds: float, target_seconds: float) -> float:
    """Return the time beyond normal variation as a fraction of the target, between 0 and 1."""
    excess_seconds = seconds - typical_seconds * _NORMAL_LATENCY_RATIO
    return min(max(excess_seconds / target_seconds, 0), 1)


def path_seconds(seconds: float, answer: Answered) -> float:
    """Return the time of an attempt spent neither in the queue nor at the server."""
    executing_milliseconds = answer.waited_milliseconds + answer.server_milliseconds
    return max(seconds - executing_milliseconds / _MILLISECONDS, 0)


@singledispatch
def server_harm(outcome: object, attempt: AttemptTiming) -> float | None:
    """Return the harm caused by the server, or None if the outcome is no evidence about it."""
    raise TypeError(f'not an outcome: {outcome!r}')


@server_harm.register
def _(outcome: Answered, attempt: AttemptTiming) -> float | None:
    if outcome.status >= _SERVER_ERROR:
        return _FAILURE_HARM
    seconds = max(outcome.first_byte_milliseconds, outcome.server_milliseconds) / _MILLISECONDS
    return latency_harm(seconds, attempt.typical_seconds, attempt.target_seconds)


@server_harm.register
def _(outcome: NotRun, attempt: AttemptTiming) -> float | None:
    return _SERVER_HARM_BY_REASON.get(outcome.reason)


@server_harm.register
def _(outcome: OutcomeUnknown, attempt: AttemptTiming) -> float | None:
    if outcome.reason is Reason.ANSWER_TIMEOUT:
        # A timeout caused by a short deadline of the caller is no evidence of a slow server.
        return latency_harm(attempt.seconds, attempt.typical_seconds, attempt.target_seconds)
    return _SERVER_HARM_BY_REASON.get(outcome.reason)


@singledispatch
def path_harm(outcome: object, attempt: AttemptTiming) -> float | None:
    """Return the harm caused by the path, or None if the outcome is no evidence about it."""
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
        # The executing node answers before the deadline unless the path prevents it.
        return latency_harm(attempt.seconds, attempt.typical_seconds, attempt.target_seconds)
    return _PATH_HARM_BY_REASON.get(outcome.reason)
