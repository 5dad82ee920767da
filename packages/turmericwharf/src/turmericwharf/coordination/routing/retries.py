"""Retry policy: which outcomes may be retried, and within which budget."""

import collections
import dataclasses
from collections.abc import Callable

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import Answered, NotRun, Outcome, Reason, RetryReport, ServiceId


# Rejections that every other server would return as well.
_NON_RETRYABLE_REASONS = frozenset(
    (Reason.DEADLINE_PASSED, Reason.KEY_WITHDRAWN, Reason.CALLER_LEFT)
)


def is_retryable(outcome: Outcome, *, idempotent: bool) -> bool:
    """Return whether a request with this outcome may be retried on another server."""
    if isinstance(outcome, Answered):
        return False
    if isinstance(outcome, NotRun):
        return outcome.reason not in _NON_RETRYABLE_REASONS
    return idempotent


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits of the retries that a node makes to one service.

    Parameters
    ----------
    fraction
        Maximum ratio of retries to requests in a window.
    minimum
        Retries allowed in a window in addition to the fraction.
    window_seconds
        Length of the sliding window.
    """

    fraction: float
    extra_retries: float = 3
    window_seconds: float = 10


class RetryBudget:
    """Limits retries to a fraction of the recent requests of a service plus a constant.

    Parameters
    ----------
    limits
        Returns the current limits.
    clock
        Clock of the node.
    """

    def __init__(self, limits: Callable[[], RetryLimits], clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._requests_by_service: dict[ServiceId, collections.deque[float]] = {}
        self._retries_by_service: dict[ServiceId, collections.deque[float]] = {}
        self._denied_by_service: collections.Counter[ServiceId] = collections.Counter()

    def record_request(self, service: ServiceId) -> None:
        """Count a first attempt."""
        self._recent_timestamps(self._requests_by_service, service).append(self._clock.now())

    def allows(self, service: ServiceId) -> bool:
        """Return whether the budget allows one more retry; count a denial if not."""
        requests = self._recent_timestamps(self._requests_by_service, service)
        retries = self._recent_timestamps(self._retries_by_service, service)
        limits = self._limits()
        is_allowed = len(retries) + 1 <= len(requests) * limits.fraction + limits.extra_retries
        if not is_allowed:
            self._denied_by_service[service] += 1
        return is_allowed

    def record_retry(self, service: ServiceId) -> None:
        """Count a retry against the budget."""
        self._recent_timestamps(self._retries_by_service, service).append(self._clock.now())

    def reports(self) -> list[RetryReport]:
        """Return the request and retry counts of each service, for the state dump."""
        return [
            RetryReport(
                service=service,
                requests=len(self._recent_timestamps(self._requests_by_service, service)),
                retries=len(self._recent_timestamps(self._retries_by_service, service)),
                refused=self._denied_by_service[service],
            )
            for service in sorted(self._requests_by_service)
        ]

    def _recent_timestamps(
        self,
        timestamps_by_service: dict[ServiceId, collections.deque[float]],
        service: ServiceId,
    ) -> collections.deque[float]:
        timestamps = timestamps_by_service.setdefault(service, collections.deque())
        oldest = self._clock.now() - self._limits().window_seconds
        while timestamps and timestamps[0] < oldest:
            timestamps.popleft()
        return timestamps
