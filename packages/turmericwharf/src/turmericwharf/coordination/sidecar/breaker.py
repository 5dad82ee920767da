"""Stops work for a backend server that fails, as seen by the node beside it."""

import enum
from functools import singledispatch

from loguru import logger

from turmericwharf.coordination.ports import Clock
from turmericwharf.state import Answered, NotRun, Outcome, OutcomeUnknown, Reason

_TRIAL_PERIOD_SECONDS = 0.8
_TRIALS_TO_CLOSE = 3
_SERVER_ERROR = 500
# Weight of the newest answer in the share of errors.
_ERROR_WEIGHT = 0.25
_MOST_ERRORS = 0.55
# A server that rejects a part of its requests still serves the rest, and a rejection costs little.
_MOST_REJECTIONS = 0.9
_REJECTED = 'requests_rejected'
# Ends of requests that say nothing about the connection to the server.
_NOT_BROKEN = frozenset((Reason.ANSWER_TIMEOUT, Reason.CALLER_LEFT))


class CircuitBreaker:
    """Opens at the first broken connection or when most answers are errors or rejections.

    While it is open, single requests try the server; it closes after enough of them in a row
    succeed. A trial must be idempotent, unless the server has only rejected what it was sent.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._is_open = False
        self._only_rejects = False
        self._trial_at = 0.0
        self._successes = 0
        self._error_share = 0.0
        self._rejected_share = 0.0

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
        if now < self._trial_at or not (may_try or self._only_rejects):
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
        evidence = _judge(outcome, is_overdue=is_overdue)
        if evidence is _Evidence.BROKEN:
            self._open('connection_broken')
        elif evidence is _Evidence.REJECTED:
            self._record_rejection(rejected=True)
        elif evidence is not _Evidence.NONE:
            self._record_rejection(rejected=False)
            self._record_error(failed=evidence is _Evidence.FAILED)

    def reset(self) -> None:
        """Forget everything, as for a new server."""
        self._is_open = False
        self._only_rejects = False
        self._successes = 0
        self._error_share = 0.0
        self._rejected_share = 0.0

    def _record_rejection(self, *, rejected: bool) -> None:
        self._rejected_share += _ERROR_WEIGHT * (rejected - self._rejected_share)
        if rejected and self._rejected_share > _MOST_REJECTIONS:
            self._open(_REJECTED)

    def _record_error(self, *, failed: bool) -> None:
        self._error_share += _ERROR_WEIGHT * (failed - self._error_share)
        if self._error_share > _MOST_ERRORS:
            self._open('answers_failed')
        elif not failed:
            self._count_success()

    def _open(self, cause: str) -> None:
        self._successes = 0
        self._only_rejects = cause == _REJECTED and (self._only_rejects or not self._is_open)
        if not self._is_open:
            self._is_open = True
            self._trial_at = self._clock.now() + _TRIAL_PERIOD_SECONDS
            logger.bind(
                cause=cause,
                error_share=round(self._error_share, 2),
                rejected_share=round(self._rejected_share, 2),
            ).info('breaker_opened')

    def _count_success(self) -> None:
        if not self._is_open:
            return
        self._successes += 1
        self._trial_at = self._clock.now()
        if self._only_rejects or self._successes >= _TRIALS_TO_CLOSE:
            self.reset()
            logger.info('breaker_closed')


class _Evidence(enum.Enum):
    """What the end of a request says about the server."""

    BROKEN = enum.auto()
    REJECTED = enum.auto()
    FAILED = enum.auto()
    SOUND = enum.auto()
    NONE = enum.auto()


@singledispatch
def _judge(outcome: Outcome, *, is_overdue: bool) -> _Evidence:
    raise TypeError(f'{type(outcome).__name__} is no outcome of a request')


@_judge.register
def _(outcome: Answered, *, is_overdue: bool) -> _Evidence:
    return _Evidence.FAILED if outcome.status >= _SERVER_ERROR else _Evidence.SOUND


@_judge.register
def _(outcome: NotRun, *, is_overdue: bool) -> _Evidence:
    return _Evidence.REJECTED if outcome.reason is Reason.SERVER_SHED else _Evidence.NONE


@_judge.register
def _(outcome: OutcomeUnknown, *, is_overdue: bool) -> _Evidence:
    if outcome.reason not in _NOT_BROKEN:
        return _Evidence.BROKEN
    return _Evidence.FAILED if is_overdue else _Evidence.NONE
