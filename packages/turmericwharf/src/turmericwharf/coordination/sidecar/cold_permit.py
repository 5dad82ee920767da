"""Decides when the next request may be sent to a server that is cold, or may become so unnoticed.

Load pattern: a server that has just started, or has lost its caches, fails above a few requests per
second, and many entry nodes send to it at once because it is idle. Its own node learns that it is
cold from an announcement, which comes up to seconds late, so a warm server of such a service is
held below the bound that must hold in any second.
"""

import collections
import dataclasses
import itertools
import math

from turmericwharf.state.sidecar import ColdLimit, SidecarBounds

# The bound holds in any second. Requests leave the node some milliseconds after their permit, so
# they are counted over a longer time.
_WINDOW_SECONDS = 1.05
# Rounding of the clock; a permit that is due within this time is due now.
_TOLERANCE_SECONDS = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRate:
    """At most a number of requests in any period of some seconds."""

    requests: int
    seconds: float


def cold_rate(limit: ColdLimit, bounds: SidecarBounds) -> RequestRate:
    """Return the rate of a server that is cold.

    Its mean is the limit of the service: the tolerance of the bound is left for requests that
    arrive closer together than they were sent.
    """
    requests = max(math.ceil(limit.requests_per_second), 1)
    bound = _bound(limit, bounds)
    if bound is not None:
        requests = min(requests, bound)
    return RequestRate(requests, max(requests / limit.requests_per_second, _WINDOW_SECONDS))


def warm_rate(limit: ColdLimit, bounds: SidecarBounds) -> RequestRate | None:
    """Return the rate of a server that is warm as far as its node knows; None for no limit."""
    bound = _bound(limit, bounds)
    return None if bound is None else RequestRate(bound, _WINDOW_SECONDS)


def _bound(limit: ColdLimit, bounds: SidecarBounds) -> int | None:
    """Return how many requests may reach a cold server in any second; None if no bound is set."""
    if not bounds.cold_overage and not bounds.cold_slack:
        return None
    return max(int(limit.requests_per_second * bounds.cold_overage + bounds.cold_slack), 1)


class ColdPermit:
    """Times of the latest requests to one server.

    The process that ran before this one may have sent as many requests as it could just before this
    one started. They count as sent at `started_at`.

    Parameters
    ----------
    started_at
        Start of this process, in seconds of the clock of the node.
    """

    def __init__(self, started_at: float) -> None:
        self._unknown_until = started_at
        self._sent_at: collections.deque[float] = collections.deque()

    def seconds_until(self, rate: RequestRate, now: float, *, ahead: int = 0) -> float:
        """Return the time until a request may be sent.

        Parameters
        ----------
        ahead
            Requests that will be sent before it.
        """
        assumed = itertools.repeat(self._unknown_until, rate.requests)
        sent_at = [*assumed, *self._sent_at]
        for _ in range(ahead + 1):
            sent_at.append(max(now, sent_at[-rate.requests] + rate.seconds))
        seconds = sent_at[-1] - now
        return seconds if seconds > _TOLERANCE_SECONDS else 0

    def record(self, now: float, *rates: RequestRate) -> None:
        """Record a request that is sent now; the given rates are those that may be asked for."""
        self._sent_at.append(now)
        retained = max(rate.requests for rate in rates)
        while len(self._sent_at) > retained:
            self._sent_at.popleft()

    def forget(self, now: float) -> None:
        """Forget the requests, and count as many as possible as sent now."""
        self._unknown_until = now
        self._sent_at.clear()
