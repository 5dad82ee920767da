"""Estimates how long a new request would wait for a slot of a backend server."""

import contextlib
from collections.abc import Iterator

from turmericwharf.coordination.execution.fair_queue import FairQueue

# On average, a running request has this fraction of its mean run time left.
_REMAINING_RUN_FRACTION = 0.5
# Floating-point residue: sums of added and subtracted seconds can end slightly above zero.
_MIN_WAITING_SECONDS = 0.001


class Backlog:
    """Mean run times of the waiting and running requests, summed up."""

    def __init__(self) -> None:
        self._waiting_by_rank: dict[int, float] = {}
        self._running_seconds = 0.0

    def expected_wait_seconds(self, rank: int, queue: FairQueue) -> float:
        """Return the expected seconds until a new request of a rank gets a slot."""
        if not queue.waiting and queue.in_progress < queue.slots:
            return 0
        ahead_seconds = sum(
            seconds
            for waiting_rank, seconds in self._waiting_by_rank.items()
            if waiting_rank >= rank
        )
        slots = max(queue.slots, 1)
        # Mean remaining time of the running requests. It is divided by the slots once more below,
        # since the first of these requests to end frees a slot.
        remaining_seconds = self._running_seconds * _REMAINING_RUN_FRACTION / slots
        return (ahead_seconds + remaining_seconds) / slots

    @contextlib.contextmanager
    def waiting(self, rank: int, seconds: float) -> Iterator[None]:
        """Count the mean run time of a request while it waits."""
        self._add_waiting(rank, seconds)
        try:
            yield
        finally:
            self._add_waiting(rank, -seconds)

    @contextlib.contextmanager
    def running(self, seconds: float) -> Iterator[None]:
        """Count the mean run time of a request while it runs."""
        self._running_seconds += seconds
        try:
            yield
        finally:
            self._running_seconds -= seconds

    def _add_waiting(self, rank: int, seconds: float) -> None:
        waiting = self._waiting_by_rank.pop(rank, 0) + seconds
        if waiting > _MIN_WAITING_SECONDS:
            self._waiting_by_rank[rank] = waiting
