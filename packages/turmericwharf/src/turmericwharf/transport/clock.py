"""Clocks of the operating system."""

import time


class UtcClock:
    """Wall clock in UTC."""

    def now(self) -> float:
        """Return the Unix time in seconds."""
        return time.time()


class BootClock:
    """Monotonic clock that includes the time during which the machine is suspended."""

    def now(self) -> float:
        """Return the time in seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
