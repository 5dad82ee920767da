"""Harm of one attempt to its caller, attributed separately to the server and the network path.

Harm is between 0 and 1. A failed attempt has harm 1, a shed one 0.5. For a slow attempt, harm is
the time beyond normal variation around the expected time, as a fraction of the latency target of
the work class. The target thus determines how many slow answers weigh as much as one failure.
"""

import collections
import dataclasses
import math
from functools import singledispatch
from types import MappingProxyType

from turmericwharf.state import Answered, NotRun, OutcomeUnknown, Reason, RouteId

_MILLISECONDS_PER_SECOND = 1000
_MIN_SERVER_ERROR_STATUS = 500
# Latencies up to this multiple of the expected time count as normal variation.
_NORMAL_LATENCY_RATIO = 2.0
# Maximum change of the natural logarithm of a median for one measurement, about 10 %.
_LOG_MEDIAN_STEP = 0.1
_MIN_SECONDS = 0.0001
# Limits the memory of a node. The whole fleet is expected to have 4,500 routes; a node records only
# those of the services that it sends requests to.
_MAX_ROUTES = 4096
_FAILURE_HARM = 1.0
# Half the harm of a failure: load shedding indicates a faulty server only if the other servers do
# not shed. The outlier test compares the harm with that of the other servers.
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
    expected_seconds
        Median time of the route at all servers, multiplied by the latency ratio of this server.
    median_path_seconds
        Median time of the route on the network path between the entry node and executing nodes.
    """

    seconds: float
    target_seconds: float
    expected_seconds: float
    median_path_seconds: float = 0.0


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
        step = min(_LOG_MEDIAN_STEP, abs(logarithm - median))
        self._log_median_by_route[route] = median + math.copysign(step, logarithm - median)
        if len(self._log_median_by_route) > _MAX_ROUTES:
            self._log_median_by_route.popitem(last=False)

    def seconds(self, route: RouteId) -> float:
        """Return the median time of a route, or zero if none is known."""
        logarithm = self._log_median_by_route.get(route)
        return 0 if logarithm is None else math.exp(logarithm)


def latency_harm(seconds: float, expected_seconds: float, target_seconds: float) -> float:
    """Return the time beyond normal variation as a fraction of the target, between 0 and 1."""
    excess_seconds = seconds - expected_seconds * _NORMAL_LATENCY_RATIO
    return min(max(excess_seconds / target_seconds, 0), 1)


def path_seconds(seconds: float, answer: Answered) -> float:
    """Return the time of an attempt spent neither in the queue nor at the server."""
    executing_milliseconds = answer.waited_milliseconds + answer.server_milliseconds
    return max(seconds - executing_milliseconds / _MILLISECONDS_PER_SECOND, 0)


@singledispatch
def server_harm(outcome: object, attempt: AttemptTiming) -> float | None:
    """Return the harm caused by the server, or None if the outcome is no evidence about it."""
    raise TypeError(f'expected the outcome of a request, got {outcome!r}')


@server_harm.register
def _(outcome: Answered, attempt: AttemptTiming) -> float | None:
    if outcome.status >= _MIN_SERVER_ERROR_STATUS:
        return _FAILURE_HARM
    seconds = (
        max(outcome.first_byte_milliseconds, outcome.server_milliseconds) / _MILLISECONDS_PER_SECOND
    )
    return latency_harm(seconds, attempt.expected_seconds, attempt.target_seconds)


@server_harm.register
def _(outcome: NotRun, attempt: AttemptTiming) -> float | None:
    return _SERVER_HARM_BY_REASON.get(outcome.reason)


@server_harm.register
def _(outcome: OutcomeUnknown, attempt: AttemptTiming) -> float | None:
    if outcome.reason is Reason.ANSWER_TIMEOUT:
        # A timeout caused by a short deadline of the caller is no evidence of a slow server.
        return latency_harm(attempt.seconds, attempt.expected_seconds, attempt.target_seconds)
    return _SERVER_HARM_BY_REASON.get(outcome.reason)


@singledispatch
def path_harm(outcome: object, attempt: AttemptTiming) -> float | None:
    """Return the harm caused by the path, or None if the outcome is no evidence about it."""
    raise TypeError(f'expected the outcome of a request, got {outcome!r}')


@path_harm.register
def _(outcome: Answered, attempt: AttemptTiming) -> float | None:
    seconds = path_seconds(attempt.seconds, outcome)
    return latency_harm(seconds, attempt.median_path_seconds, attempt.target_seconds)


@path_harm.register
def _(outcome: NotRun, attempt: AttemptTiming) -> float | None:
    return _PATH_HARM_BY_REASON.get(outcome.reason)


@path_harm.register
def _(outcome: OutcomeUnknown, attempt: AttemptTiming) -> float | None:
    if outcome.reason is Reason.PEER_TIMEOUT:
        # The executing node answers before the deadline unless the path prevents it.
        return latency_harm(attempt.seconds, attempt.expected_seconds, attempt.target_seconds)
    return _PATH_HARM_BY_REASON.get(outcome.reason)
