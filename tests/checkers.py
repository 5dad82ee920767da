"""Invariant checks over the answers of callers and the requests that backend servers ran."""

import collections
import dataclasses
import json
from collections.abc import Iterable
from typing import Any


@dataclasses.dataclass(frozen=True)
class CallerRecord:
    """One request as recorded by its caller.

    Parameters
    ----------
    token
        Identifier of the work; retries of the same work carry the same token.
    outcome
        Value of the outcome header, or 'connection lost'.
    """

    token: str
    non_idempotent: bool
    outcome: str
    status: int
    body: bytes
    target: str


@dataclasses.dataclass(frozen=True)
class Violation:
    """A violated invariant and the evidence for it."""

    invariant: str
    detail: str


def check_at_most_once(
    records: Iterable[CallerRecord], runs: Iterable[dict[str, Any]]
) -> list[Violation]:
    """I6: according to the backend servers' records, non-idempotent work ran at most once."""
    counts = count_runs(runs)
    tokens = {record.token for record in records if record.non_idempotent}
    return [
        Violation('at most once', f'{token} ran {counts[token]} times')
        for token in sorted(tokens)
        if counts[token] > 1
    ]


def check_refusals(
    records: Iterable[CallerRecord], runs: Iterable[dict[str, Any]]
) -> list[Violation]:
    """I5: work whose attempts were all answered "not run" did not run."""
    counts = count_runs(runs)
    outcomes_by_token: dict[str, set[str]] = collections.defaultdict(set)
    for record in records:
        outcomes_by_token[record.token].add(record.outcome)
    return [
        Violation('not run', f'{token} was answered "not run" but ran')
        for token, outcomes in outcomes_by_token.items()
        if outcomes == {'not-run'} and counts[token]
    ]


def check_answers(records: Iterable[CallerRecord]) -> list[Violation]:
    """I4: an answered request received the complete answer for its own target."""
    return [
        Violation('whole answer', f'{record.token} received {record.body!r}')
        for record in records
        if record.outcome == 'answered' and not _matches_target(record)
    ]


def check_key_hidden(key: str, runs: Iterable[dict[str, Any]]) -> list[Violation]:
    """I2: no backend server received the key."""
    return [
        Violation('key hidden', f'{run["target"]} contains the key')
        for run in runs
        if key in str(run)
    ]


def check_rate(timestamps: list[float], rate_per_second: float, burst: float) -> list[Violation]:
    """I3: at most rate x window + burst requests, for every window between two requests."""
    sorted_timestamps = sorted(timestamps)
    max_excess = 0.0
    # Maximum of count - rate x window over all windows, in one pass (maximum subarray).
    excess = 0.0
    previous = None
    for timestamp in sorted_timestamps:
        if previous is not None:
            excess = max(excess - rate_per_second * (timestamp - previous), 0)
        excess += 1
        max_excess = max(max_excess, excess)
        previous = timestamp
    if max_excess > burst + 1:
        return [
            Violation('rate', f'{max_excess:.1f} requests above the rate; the burst is {burst}')
        ]
    return []


def count_runs(runs: Iterable[dict[str, Any]]) -> collections.Counter[str]:
    """Return the number of runs by token, which is the last segment of the path."""
    return collections.Counter(run['target'].rsplit('/', 1)[-1] for run in runs)


def _matches_target(record: CallerRecord) -> bool:
    if record.status >= 500:
        return True
    try:
        return json.loads(record.body)['target'] == record.target
    except (ValueError, KeyError):
        return False
