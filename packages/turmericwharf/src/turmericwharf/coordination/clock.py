"""Interfaces of the clocks that the transport layer implements."""

from typing import Protocol


class Clock(Protocol):
    """Monotonic clock that includes the time during which the machine is suspended."""

    def now(self) -> float:
        """Return the time in seconds since an arbitrary start."""


class WallClock(Protocol):
    """Wall clock; the clocks of nodes differ by at most the clock skew of the settings."""

    def now(self) -> float:
        """Return the Unix time in seconds."""
