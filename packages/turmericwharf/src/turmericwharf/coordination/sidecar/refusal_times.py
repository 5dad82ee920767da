"""Remembers until when a server is not worth asking, because it refused or did not answer.

Load pattern: a service is short of servers for seconds, or some of its servers are broken. Each
request would ask the same full or broken servers again, and each refused offer costs a message, and
bytes if it goes to another data centre.
"""

import collections
import dataclasses
import enum
import random
from collections.abc import Mapping
from types import MappingProxyType

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import InstanceId, NotRun, Reason, RouteId

_ANY_ROUTE = RouteId('')
_DEFAULT_SECONDS = 0.3
_SECONDS_BY_REASON: Mapping[Reason | None, float] = MappingProxyType(
    {
        # Many nodes ask the server, so its trials need no request of each of them. It is still
        # asked if the other servers are busy.
        Reason.BREAKER_OPEN: 4.0,
        Reason.QUEUE_FULL: 0.15,
        Reason.DEADLINE_PASSED: 0.15,
        Reason.SERVER_DRAINING: 1.0,
        # This node learns of the evacuation within that time too.
        Reason.DATA_CENTRE_EVACUATED: 2.0,
        Reason.SERVER_BUSY: 0.0,
        Reason.SERVER_COLD: 0.0,
    },
)
# Refusals that tell how loaded a server is.
LOAD_REASONS = frozenset(
    (
        Reason.SERVER_BUSY,
        Reason.SERVER_COLD,
        Reason.QUEUE_FULL,
        Reason.DEADLINE_PASSED,
    )
)
# Refusals of requests that would have waited.
_QUEUE_REASONS = frozenset((Reason.QUEUE_FULL, Reason.DEADLINE_PASSED))
# The refusing node knows only its own load at that time, and requests may end sooner.
_MAX_FULL_SECONDS = 1.0
# Where a refusal costs bytes between data centres, the time starts with this one and doubles with
# each further refusal, up to a limit at which idle servers are still found within the time that
# callers wait.
_MIN_EXPENSIVE_SECONDS = 0.25
_MAX_EXPENSIVE_SECONDS = 4.0
_MAX_DOUBLINGS = 4


class Availability(enum.IntEnum):
    """How likely a server accepts a request; servers with lower values are asked first."""

    OPEN = 0
    # Starts slowly: some of the requests ask it only if the others have no free slot.
    JOINING = 1
    # Had no free slot; a request may wait there.
    FULL = 2
    # Refused a request of the route that would have waited.
    SATURATED = 3
    # Refused for another reason, or did not answer a request.
    FAILING = 4
    # The node beside it does not answer.
    UNREACHABLE = 5


@dataclasses.dataclass(frozen=True, slots=True)
class _Refusal:
    """Availability of a server that refused, and the time until which it is assumed."""

    availability: Availability
    route: RouteId
    until: float


class RefusalTimes:
    """Availability of the servers that refused or did not answer.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._refusals_by_instance: dict[InstanceId, _Refusal] = {}
        self._refused_in_a_row: collections.Counter[InstanceId] = collections.Counter()

    def availability(self, instance: InstanceId, route: RouteId) -> Availability:
        """Return the current availability of a server for the requests of a route."""
        refusal = self._refusals_by_instance.get(instance)
        if refusal is None or refusal.until <= self._clock.now():
            return Availability.OPEN
        if refusal.availability is Availability.SATURATED and refusal.route != route:
            # Routes have different ranks in the queue of a server.
            return Availability.FULL
        return refusal.availability

    def clear(self, instance: InstanceId) -> None:
        """Forget the refusals of a server that has answered a request."""
        self._refusals_by_instance.pop(instance, None)
        self._refused_in_a_row.pop(instance, None)

    def record_failure(self, instance: InstanceId) -> None:
        """Record that a server did not answer in the usual time, or with an unknown outcome."""
        self._assume(instance, Availability.FAILING, _DEFAULT_SECONDS)

    def record(
        self,
        instance: InstanceId,
        route: RouteId,
        refusal: NotRun,
        wait_seconds: float,
        *,
        is_expensive: bool,
    ) -> None:
        """Record a refusal, which may carry until when it holds.

        Parameters
        ----------
        wait_seconds
            Expected time until the server would run the request; applies to refusals for load.
        is_expensive
            Whether the refusal came from another data centre.
        """
        seconds = _SECONDS_BY_REASON.get(refusal.reason, _DEFAULT_SECONDS)
        if refusal.reason not in LOAD_REASONS:
            self._assume(instance, Availability.FAILING, max(seconds, refusal.retry_seconds or 0))
            return
        seconds = min(max(seconds, wait_seconds), _MAX_FULL_SECONDS)
        if is_expensive:
            doublings = min(self._refused_in_a_row[instance], _MAX_DOUBLINGS)
            seconds = max(seconds, _MIN_EXPENSIVE_SECONDS) * 2**doublings
            seconds = min(seconds, _MAX_EXPENSIVE_SECONDS)
            self._refused_in_a_row[instance] += 1
        availability = (
            Availability.SATURATED if refusal.reason in _QUEUE_REASONS else Availability.FULL
        )
        self._assume(instance, availability, seconds, route)

    def _assume(
        self,
        instance: InstanceId,
        availability: Availability,
        seconds: float,
        route: RouteId = _ANY_ROUTE,
    ) -> None:
        # Jitter keeps the nodes from returning to a server at the same time.
        until = self._clock.now() + seconds * random.uniform(0.7, 1.0)
        self._refusals_by_instance[instance] = _Refusal(availability, route, until)
