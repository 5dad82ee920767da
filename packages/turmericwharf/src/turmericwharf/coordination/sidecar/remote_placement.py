"""Decides whether a request leaves the data centre, and how large a part of its route leaves.

Load pattern: the servers of a data centre are too few for a time, because the demand there is at
its peak or because the service has only one or two servers there. Other data centres may have idle
servers, or be as full as this one. Bytes between data centres are expensive, and routes differ by a
factor of 200 in their size.

Both places are compared in seconds: the expected wait, what a late or failed response loses, and,
for the other data centre, the round trip and the price of the bytes. A request leaves with a
probability that grows with the difference. The probability follows changes with a delay, since the
reports of the servers are old by as much; without it, two data centres would send their peaks to
each other in turns.
"""

import collections
import dataclasses
import math
import random

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import RouteId, ServiceId
from turmericwharf.state.sidecar import RemotePlacementDump

# A kilobyte between data centres is worth this much waiting, at most. A request with a response of
# 5 KB is kept for a wait of half a second; one with a body of 60 KB for five seconds.
SECONDS_PER_REMOTE_KILOBYTE = 0.08
# Where the target of the route is short, a wait of that length would make the response late, so a
# kilobyte is worth no more than this fraction of the target.
TARGET_FRACTION_PER_REMOTE_KILOBYTE = 0.04
# A late response is worth less by as much as this longer wait: enough to let a body of 60 KB leave,
# but not one of several times that size.
LATE_SECONDS = 5.0
# A request that fails is worth nothing, and its caller sends it again, so that it is paid for
# twice.
FAILED_SECONDS = 20.0
# Estimates of a completion are uncertain: the loss grows from this fraction of the time left to its
# full amount at the inverse.
_CERTAIN_FRACTION = 0.8
# Time in which the probability covers two thirds of a change.
_DAMPING_SECONDS = 0.5
# The estimates of two places differ by about this much when they are equal.
_MIN_SCALE_SECONDS = 0.05
_RouteOf = tuple[ServiceId, RouteId]


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementNeeds:
    """What the placement of a request depends on.

    Parameters
    ----------
    kilobytes
        Expected size of the request and its response.
    target_seconds
        Time until a response is worth less.
    deadline_seconds
        Time until the request fails.
    route_target_seconds
        Latency target of the route, from the arrival of the request.
    """

    route: RouteId = RouteId('')
    kilobytes: float = 1.0
    target_seconds: float = math.inf
    deadline_seconds: float = math.inf
    route_target_seconds: float = math.inf

    def price_seconds(self, round_trip_seconds: float) -> float:
        """Return the price of leaving: bytes and round trip, in seconds of waiting."""
        seconds_per_kilobyte = min(
            SECONDS_PER_REMOTE_KILOBYTE,
            TARGET_FRACTION_PER_REMOTE_KILOBYTE * self.route_target_seconds,
        )
        return self.kilobytes * seconds_per_kilobyte + round_trip_seconds

    def cost_seconds(self, wait_seconds: float, run_seconds: float) -> float:
        """Return the cost of a place: its time, and what a late or failed response loses."""
        seconds = wait_seconds + run_seconds
        late = LATE_SECONDS * _excess_fraction(seconds, self.target_seconds)
        failed = FAILED_SECONDS * _excess_fraction(seconds, self.deadline_seconds)
        return seconds + max(late, failed)


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceCosts:
    """Costs of the best server here and elsewhere; infinite where there is none.

    Parameters
    ----------
    local_seconds, remote_seconds
        Cost of the best server of the local data centre, and of the others with the price.
    price_seconds
        Price of leaving, which is part of `remote_seconds`.
    """

    local_seconds: float
    remote_seconds: float
    price_seconds: float

    @property
    def leaving_fraction(self) -> float:
        """Fraction of the requests that should leave, proportional to the excess of the local cost.

        All of them leave once the excess is as long as the price again, which has then paid twice.
        """
        if math.isinf(self.remote_seconds):
            return 0
        if math.isinf(self.local_seconds):
            return 1
        excess = self.local_seconds - self.remote_seconds
        return min(max(excess / max(self.price_seconds, _MIN_SCALE_SECONDS), 0), 1)


@dataclasses.dataclass(frozen=True, slots=True)
class _Share:
    """Damped fraction of the requests that leave, and the time of its last update."""

    fraction: float
    updated_at: float


class RemotePlacement:
    """Keeps the fraction of each route that leaves, and decides for single requests.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._shares_by_route: dict[_RouteOf, _Share] = {}
        self.left_by_route: collections.Counter[RouteId] = collections.Counter()
        self.stayed_by_route: collections.Counter[RouteId] = collections.Counter()

    @property
    def fractions_by_route(self) -> dict[RouteId, float]:
        """Fraction of the requests without a free local server that leave, by route."""
        return {
            route: round(share.fraction, 3) for (_, route), share in self._shares_by_route.items()
        }

    def should_leave(self, service: ServiceId, route: RouteId, costs: PlaceCosts) -> bool:
        """Decide for a request that found no free server in the local data centre."""
        fraction = self._update(service, route, costs.leaving_fraction)
        leaves = random.random() < fraction
        counts = self.left_by_route if leaves else self.stayed_by_route
        counts[route] += 1
        return leaves

    def _update(self, service: ServiceId, route: RouteId, wanted: float) -> float:
        now = self._clock.now()
        known = self._shares_by_route.get((service, route))
        fraction = wanted
        if known is not None:
            weight = 1 - math.exp((known.updated_at - now) / _DAMPING_SECONDS)
            fraction = known.fraction + weight * (wanted - known.fraction)
        self._shares_by_route[service, route] = _Share(fraction, now)
        return fraction


def _excess_fraction(seconds: float, limit_seconds: float) -> float:
    """Return how certainly a time exceeds a limit, between 0 and 1."""
    if math.isinf(limit_seconds):
        return 0
    lowest = _CERTAIN_FRACTION * max(limit_seconds, 0)
    highest = max(limit_seconds, 0) / _CERTAIN_FRACTION
    if seconds <= lowest:
        return 0
    return 1 if seconds >= highest else (seconds - lowest) / (highest - lowest)


@describe.register
def _(placement: RemotePlacement) -> RemotePlacementDump:
    return RemotePlacementDump(
        leaving_fraction=placement.fractions_by_route,
        left_total=dict(placement.left_by_route),
        stayed_total=dict(placement.stayed_by_route),
    )
