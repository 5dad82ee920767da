"""Stops work for a backend server that fails, as seen by the node beside it."""

from loguru import logger

from turmericwharf.coordination.ports import Clock
from turmericwharf.state import Answered, Outcome, OutcomeUnknown, Reason

_TRIAL_PERIOD_SECONDS = 0.8
_TRIALS_TO_CLOSE = 3
_SERVER_ERROR = 500
# Weight of the newest answer in the share of errors.
_ERROR_WEIGHT = 0.25
_MOST_ERRORS = 0.55
# Ends of requests that say nothing about the connection to the server.
_NOT_BROKEN = frozenset((Reason.ANSWER_TIMEOUT, Reason.CALLER_LEFT))


class CircuitBreaker:
    """Opens at the first broken connection or when most answers are errors.

    While it is open, single idempotent requests try the server; it closes after enough of them
    in a row succeed.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._is_open = False
        self._trial_at = 0.0
        self._successes = 0
        self._error_share = 0.0

    @property
    def is_open(self) -> bool:
        """Whether only trials are let through."""
        return self._is_open

    def allows(self, *, may_try: bool) -> bool:
        """Whether a request may be sent now; a trial that is allowed counts as started.

        Parameters
        ----------
        may_try
            Whether the request could go to another server after a failure.
        """
        if not self._is_open:
            return True
        now = self._clock.now()
        if not may_try or now < self._trial_at:
            return False
        self._trial_at = now + _TRIAL_PERIOD_SECONDS
        return True

    def record(self, outcome: Outcome, *, is_overdue: bool) -> None:
        """Count what became of a request that was sent.

        Parameters
        ----------
        is_overdue
            Whether the request took much longer than usual.
        """
        if _is_broken(outcome):
            self._open('connection_broken')
        elif isinstance(outcome, Answered):
            self._record_error(failed=outcome.status >= _SERVER_ERROR)
        elif isinstance(outcome, OutcomeUnknown) and is_overdue:
            self._record_error(failed=True)

    def reset(self) -> None:
        """Forget everything, as for a new server."""
        self._is_open = False
        self._successes = 0
        self._error_share = 0.0

    def _record_error(self, *, failed: bool) -> None:
        self._error_share += _ERROR_WEIGHT * (failed - self._error_share)
        if self._error_share > _MOST_ERRORS:
            self._open('answers_failed')
        elif not failed:
            self._count_success()

    def _open(self, cause: str) -> None:
        self._successes = 0
        if not self._is_open:
            self._is_open = True
            self._trial_at = self._clock.now() + _TRIAL_PERIOD_SECONDS
            logger.bind(cause=cause, error_share=round(self._error_share, 2)).info('breaker_opened')

    def _count_success(self) -> None:
        if not self._is_open:
            return
        self._successes += 1
        self._trial_at = self._clock.now()
        if self._successes >= _TRIALS_TO_CLOSE:
            self.reset()
            logger.info('breaker_closed')


def _is_broken(outcome: Outcome) -> bool:
    return isinstance(outcome, OutcomeUnknown) and outcome.reason not in _NOT_BROKEN
