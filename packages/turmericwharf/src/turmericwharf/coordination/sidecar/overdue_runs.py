"""Notices running requests that a server does not finish in the usual time.

Load pattern: some servers of a service hang. Requests that are placed there hold their slots until
a timeout, while the slots that are left look free. Other servers are preferred as soon as half of
the slots are held by overdue runs, and not only after the first timeouts.
"""

import asyncio
import contextlib
from collections.abc import Iterator

# A run that takes longer than this multiple of the mean run time is overdue.
OVERDUE_FACTOR = 3.0
_MAX_OVERDUE_FRACTION = 0.5


class OverdueRuns:
    """Requests that have been running for much longer than the mean run time of their route."""

    def __init__(self) -> None:
        self._overdue: set[int] = set()
        self._last_run = 0

    @contextlib.contextmanager
    def watch(self, mean_seconds: float) -> Iterator[None]:
        """Watch a request while it runs.

        Parameters
        ----------
        mean_seconds
            Mean run time of the route; at 0 it is unknown, and the request is never overdue.
        """
        if not mean_seconds:
            yield
            return
        self._last_run += 1
        run = self._last_run
        loop = asyncio.get_running_loop()
        timer = loop.call_later(OVERDUE_FACTOR * mean_seconds, self._overdue.add, run)
        try:
            yield
        finally:
            timer.cancel()
            self._overdue.discard(run)

    def hold_most_slots(self, slots: int) -> bool:
        """Return whether at least half of the slots are held by overdue requests."""
        return bool(self._overdue) and len(self._overdue) >= _MAX_OVERDUE_FRACTION * slots
