"""Detection of process pauses, so that requests that waited meanwhile count as old."""

import asyncio

from turmericwharf.coordination.clock import Clock

_TICK_INTERVAL_SECONDS = 0.1
# Shorter gaps between ticks are normal delays of a busy event loop.
_MIN_PAUSE_SECONDS = 0.5


class PauseDetector:
    """Provides a lower bound for the arrival time of input that is read from a socket.

    After a pause the sockets hold input of unknown age. All input that is read before the event
    loop has run for one tick is treated as having arrived when the pause began.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._ticked_at = clock.now()
        self._paused_at: float | None = None

    async def run(self) -> None:
        """Tick periodically until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(_TICK_INTERVAL_SECONDS)

    def tick(self) -> None:
        """Record that the event loop runs; a late tick marks a pause, the next tick clears it."""
        now = self._clock.now()
        self._paused_at = self._ticked_at if self._is_late(now) else None
        self._ticked_at = now

    def earliest_arrival(self) -> float:
        """Return the earliest time at which input that is read now may have arrived."""
        now = self._clock.now()
        if self._is_late(now):
            return self._ticked_at
        return now if self._paused_at is None else self._paused_at

    def _is_late(self, now: float) -> bool:
        return now - self._ticked_at > _MIN_PAUSE_SECONDS
