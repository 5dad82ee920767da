"""Circuit breaker of the node beside a backend server."""

import enum
from functools import singledispatch

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import Answered, NotRun, Outcome, OutcomeUnknown, Reason

_TRIAL_INTERVAL_SECONDS = 0.8
# A failed trial costs a retry, so the interval doubles with each trial, up to this time.
_MAX_TRIAL_INTERVAL_SECONDS = 1.6
_TRIALS_TO_CLOSE = 3
_MIN_SERVER_ERROR_STATUS = 500
# Weight of the newest outcome in the moving averages of errors and rejections.
_NEWEST_OUTCOME_WEIGHT = 0.25
_MAX_ERROR_FRACTION = 0.55
# A server that rejects some of its requests still serves the others, and a rejection is cheap.
_MAX_REJECTED_FRACTION = 0.9
_CAUSE_REJECTED = 'requests_rejected'
# Reasons of an unknown outcome that do not indicate a broken connection to the server.
_NOT_CONNECTION_FAILURES = frozenset(
    (Reason.ANSWER_TIMEOUT, Reason.CALLER_LEFT, Reason.MEMORY_EXHAUSTED)
)


class CircuitBreaker:
    """Opens at the first broken connection, or when most answers are errors or rejections.

    While the breaker is open, single requests are let through as trials. It closes after
    `_TRIALS_TO_CLOSE` successes, or after one if the server has only rejected requests. The count
    of successes starts again at a broken connection and when the share of errors or rejections
    exceeds its limit, not at each error. A trial must be idempotent, unless the server has only
    rejected requests, since a rejected request has not run.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._is_open = False
        self._only_rejects = False
        self._next_trial_at = 0.0
        self._trial_interval_seconds = _TRIAL_INTERVAL_SECONDS
        self._successes = 0
        self._error_share = 0.0
        self._rejected_share = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the breaker lets only trials through."""
        return self._is_open

    @property
    def seconds_until_trial(self) -> float:
        """Time until the next trial may start; 0 if one may start now."""
        return max(self._next_trial_at - self._clock.now(), 0) if self._is_open else 0

    def allows(self, *, may_be_trial: bool) -> bool:
        """Return whether a request may be sent now; an allowed trial counts as started.

        Parameters
        ----------
        may_be_trial
            Whether the request may be sent as a trial: it is idempotent, and its route permits
            another attempt if the trial fails.
        """
        if not self._is_open:
            return True
        now = self._clock.now()
        if now < self._next_trial_at or not (may_be_trial or self._only_rejects):
            return False
        self._next_trial_at = now + self._trial_interval_seconds
        if not self._only_rejects:
            self._trial_interval_seconds = min(
                2 * self._trial_interval_seconds, _MAX_TRIAL_INTERVAL_SECONDS
            )
        return True

    def record(self, outcome: Outcome, *, is_overdue: bool) -> None:
        """Update the breaker with the outcome of a request that was sent.

        Parameters
        ----------
        is_overdue
            Whether the request took much longer than the mean run time of its route.
        """
        signal = _classify(outcome, is_overdue=is_overdue)
        if signal is _HealthSignal.BROKEN:
            self._open('connection_broken')
        elif signal is _HealthSignal.REJECTED:
            self._record_rejection(rejected=True)
        elif signal is not _HealthSignal.NONE:
            self._record_rejection(rejected=False)
            self._record_error(failed=signal is _HealthSignal.FAILED)

    def reset(self) -> None:
        """Close the breaker and clear its state, as for a new server."""
        self._is_open = False
        self._only_rejects = False
        self._successes = 0
        self._error_share = 0.0
        self._rejected_share = 0.0

    def _record_rejection(self, *, rejected: bool) -> None:
        self._rejected_share += _NEWEST_OUTCOME_WEIGHT * (rejected - self._rejected_share)
        if rejected and self._rejected_share > _MAX_REJECTED_FRACTION:
            self._open(_CAUSE_REJECTED)

    def _record_error(self, *, failed: bool) -> None:
        self._error_share += _NEWEST_OUTCOME_WEIGHT * (failed - self._error_share)
        if self._error_share > _MAX_ERROR_FRACTION:
            self._open('answers_failed')
        elif not failed:
            self._count_success()

    def _open(self, cause: str) -> None:
        self._successes = 0
        self._only_rejects = cause == _CAUSE_REJECTED and (self._only_rejects or not self._is_open)
        if not self._is_open:
            self._is_open = True
            self._next_trial_at = self._clock.now() + _TRIAL_INTERVAL_SECONDS
            self._trial_interval_seconds = 2 * _TRIAL_INTERVAL_SECONDS
            logger.bind(
                cause=cause,
                error_share=round(self._error_share, 2),
                rejected_share=round(self._rejected_share, 2),
            ).info('breaker_opened')

    def _count_success(self) -> None:
        if not self._is_open:
            return
        self._successes += 1
        self._next_trial_at = self._clock.now()
        self._trial_interval_seconds = _TRIAL_INTERVAL_SECONDS
        if self._only_rejects or self._successes >= _TRIALS_TO_CLOSE:
            self.reset()
            logger.info('breaker_closed')


class _HealthSignal(enum.Enum):
    """What the outcome of a request indicates about the server."""

    BROKEN = enum.auto()
    REJECTED = enum.auto()
    FAILED = enum.auto()
    HEALTHY = enum.auto()
    NONE = enum.auto()


@singledispatch
def _classify(outcome: Outcome, *, is_overdue: bool) -> _HealthSignal:
    raise TypeError(f'expected the outcome of a request, got {type(outcome).__name__}')


@_classify.register
def _(outcome: Answered, *, is_overdue: bool) -> _HealthSignal:
    return (
        _HealthSignal.FAILED
        if outcome.status >= _MIN_SERVER_ERROR_STATUS
        else _HealthSignal.HEALTHY
    )


@_classify.register
def _(outcome: NotRun, *, is_overdue: bool) -> _HealthSignal:
    return _HealthSignal.REJECTED if outcome.reason is Reason.SERVER_SHED else _HealthSignal.NONE


@_classify.register
def _(outcome: OutcomeUnknown, *, is_overdue: bool) -> _HealthSignal:
    if outcome.reason is Reason.ANSWER_FOREIGN:
        # The connection works; a single request may cause this at each server.
        return _HealthSignal.FAILED
    if outcome.reason not in _NOT_CONNECTION_FAILURES:
        return _HealthSignal.BROKEN
    return _HealthSignal.FAILED if is_overdue else _HealthSignal.NONE
