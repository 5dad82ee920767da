"""Counters of the outcomes returned to callers."""

import collections
from functools import singledispatch

from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import Answered, NotRun, Outcome, OutcomesDump, OutcomeUnknown


class OutcomeCounts:
    """Counts requests by outcome and reason since the node started."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()

    def record(self, outcome: Outcome) -> None:
        """Count the outcome of one request."""
        self._counts[_outcome_name(outcome)] += 1

    def dump(self) -> OutcomesDump:
        """Return the counters for the state dump."""
        return OutcomesDump(dict(self._counts))


@describe.register
def _(part: OutcomeCounts) -> OutcomesDump:
    return part.dump()


@singledispatch
def _outcome_name(outcome: object) -> str:
    raise TypeError(f'expected the outcome of a request, got {outcome!r}')


@_outcome_name.register
def _(outcome: Answered) -> str:
    return 'answered'


@_outcome_name.register
def _(outcome: NotRun) -> str:
    return f'not_run_{outcome.reason.value}'


@_outcome_name.register
def _(outcome: OutcomeUnknown) -> str:
    return f'unknown_{outcome.reason.value}'
