"""Decides after which time a caller should send a refused request again.

Load pattern: a burst, or the loss of many servers, refuses many requests within a second. Callers
that return after a fixed time return together, and while the cause lasts they are refused again.
"""

import dataclasses
import random
from collections.abc import Mapping
from types import MappingProxyType

from turmericwharf.state import NotRun, Reason

# Times after which a refusal usually ends, if it names none itself.
_SECONDS_BY_REASON: Mapping[Reason, float] = MappingProxyType(
    {
        # The next trial of the server.
        Reason.BREAKER_OPEN: 0.8,
        # A server announces itself, or a configuration arrives, within about a second.
        Reason.NO_CAPACITY: 1.0,
        Reason.NOT_READY: 1.0,
        Reason.FLEET_UNKNOWN: 1.0,
        Reason.DATA_CENTRE_EVACUATED: 1.0,
        Reason.SERVER_COLD: 1.0,
        # Connections that hold memory without progress are closed after 2 s.
        Reason.MEMORY_EXHAUSTED: 2.0,
        Reason.RATE_EXCEEDED: 1.0,
    },
)
_DEFAULT_SECONDS = 0.3
_MIN_SECONDS = 0.1
_MAX_SECONDS = 3.0
# Spreads callers that were refused at the same moment.
_MIN_SPREAD = 0.8
_MAX_SPREAD = 1.2
# Delay of each further rank of a route, so that the callers of more urgent ones return first.
_SECONDS_PER_PRIORITY = 0.05


def with_retry_time(refusal: NotRun, priority: int = 0) -> NotRun:
    """Return a refusal with the time in seconds after which to send the request again.

    Parameters
    ----------
    refusal
        Refusal of the request; its own time is kept within limits, and spread.
    priority
        Priority of the route; 0 is the highest.
    """
    seconds = refusal.retry_seconds
    if seconds is None:
        seconds = _SECONDS_BY_REASON.get(refusal.reason, _DEFAULT_SECONDS)
    seconds = min(max(seconds, _MIN_SECONDS), _MAX_SECONDS)
    seconds *= random.uniform(_MIN_SPREAD, _MAX_SPREAD)
    return dataclasses.replace(
        refusal, retry_seconds=round(seconds + priority * _SECONDS_PER_PRIORITY, 3)
    )
