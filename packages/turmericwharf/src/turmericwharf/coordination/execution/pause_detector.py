"""Notices that the process was paused, so that work that waited meanwhile counts as old."""

import asyncio

from turmericwharf.coordination.ports import Clock

_TICK_SECONDS = 0.1
# Shorter gaps are ordinary delays of a busy loop.
_PAUSE_SECONDS = 0.5


class PauseDetector:
    """Gives the earliest moment at which input that is read now may have arrived.

    After a pause the sockets hold input of unknown age. Everything that is read before the loop
    has run for one tick counts as having arrived when the pause began.

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
        """Record that the process runs, for as long as it does."""
        while True:
            self.tick()
            await asyncio.sleep(_TICK_SECONDS)

    def tick(self) -> None:
        """Record that the process runs; a late tick ends a pause, the next one forgets it."""
        now = self._clock.now()
        self._paused_at = self._ticked_at if self._is_late(now) else None
        self._ticked_at = now

    def earliest_arrival(self) -> float:
        """Return the earliest moment at which input that is read now may have arrived."""
        now = self._clock.now()
        if self._is_late(now):
            return self._ticked_at
        return now if self._paused_at is None else self._paused_at

    def _is_late(self, now: float) -> bool:
        return now - self._ticked_at > _PAUSE_SECONDS
