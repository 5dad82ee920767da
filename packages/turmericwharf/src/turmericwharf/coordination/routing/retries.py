"""Which outcomes may be tried again, and how often."""

import collections
import dataclasses
from collections.abc import Callable

from turmericwharf.coordination.ports import Clock
from turmericwharf.state import Answered, NotRun, Outcome, Reason, RetryReport, ServiceId


# Refusals that every other server would repeat.
_FINAL_REASONS = frozenset((Reason.DEADLINE_PASSED, Reason.KEY_WITHDRAWN, Reason.CALLER_LEFT))


def is_retryable(outcome: Outcome, *, idempotent: bool) -> bool:
    """Whether a request with this outcome may be sent to another server."""
    if isinstance(outcome, Answered):
        return False
    if isinstance(outcome, NotRun):
        return outcome.reason not in _FINAL_REASONS
    return idempotent


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """How many retries a node may make to one service.

    Parameters
    ----------
    fraction
        Retries over the requests of a window.
    minimum
        Retries that are allowed in a window whatever the requests.
    window_seconds
        Length of the window that ends now.
    """

    fraction: float
    minimum: float = 3
    window_seconds: float = 10


class RetryBudget:
    """Bounds retries to a fraction of the recent requests of a service.

    Parameters
    ----------
    limits
        Returns the limits in force.
    clock
        Clock of the node.
    """

    def __init__(self, limits: Callable[[], RetryLimits], clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._requests_by_id: dict[ServiceId, collections.deque[float]] = {}
        self._retries_by_id: dict[ServiceId, collections.deque[float]] = {}
        self._refused_by_id: collections.Counter[ServiceId] = collections.Counter()

    def record_request(self, service: ServiceId) -> None:
        """Count a first attempt."""
        self._recent(self._requests_by_id, service).append(self._clock.now())

    def allows(self, service: ServiceId) -> bool:
        """Whether one more retry is inside the budget."""
        requests = self._recent(self._requests_by_id, service)
        retries = self._recent(self._retries_by_id, service)
        limits = self._limits()
        is_allowed = len(retries) + 1 <= len(requests) * limits.fraction + limits.minimum
        if not is_allowed:
            self._refused_by_id[service] += 1
        return is_allowed

    def record_retry(self, service: ServiceId) -> None:
        """Count a retry."""
        self._recent(self._retries_by_id, service).append(self._clock.now())

    def reports(self) -> list[RetryReport]:
        """Return the attempts of each service, for the state dump."""
        return [
            RetryReport(
                service=service,
                requests=len(self._recent(self._requests_by_id, service)),
                retries=len(self._recent(self._retries_by_id, service)),
                refused=self._refused_by_id[service],
            )
            for service in sorted(self._requests_by_id)
        ]

    def _recent(
        self,
        moments_by_id: dict[ServiceId, collections.deque[float]],
        service: ServiceId,
    ) -> collections.deque[float]:
        moments = moments_by_id.setdefault(service, collections.deque())
        oldest = self._clock.now() - self._limits().window_seconds
        while moments and moments[0] < oldest:
            moments.popleft()
        return moments
