"""Work that waits and runs at a backend server, in seconds."""

import contextlib
from collections.abc import Iterator

from turmericwharf.coordination.execution.fair_queue import FairQueue

# A running request has this share of its usual time left on average.
_RUNNING_SHARE = 0.5
# Sums of seconds that were added and taken off come out slightly above zero.
_LEAST_SECONDS = 0.001


class Backlog:
    """Sums of usual run times, which tell how long a new request would wait."""

    def __init__(self) -> None:
        self._waiting_by_rank: dict[int, float] = {}
        self._running_seconds = 0.0

    def expected_wait(self, rank: int, queue: FairQueue) -> float:
        """Return the seconds until a new request of a rank would get a slot."""
        if not queue.waiting and queue.in_progress < queue.slots:
            return 0
        ahead = sum(seconds for level, seconds in self._waiting_by_rank.items() if level >= rank)
        slots = max(queue.slots, 1)
        # The first of the running requests to end frees a slot.
        left = self._running_seconds * _RUNNING_SHARE / slots
        return (ahead + left) / slots

    def wait(self, rank: int, seconds: float) -> None:
        """Add the usual run time of a request that waits, or take it off again."""
        waiting = self._waiting_by_rank.pop(rank, 0) + seconds
        if waiting > _LEAST_SECONDS:
            self._waiting_by_rank[rank] = waiting

    @contextlib.contextmanager
    def running(self, seconds: float) -> Iterator[None]:
        """Count a request while it runs."""
        self._running_seconds += seconds
        try:
            yield
        finally:
            self._running_seconds -= seconds
