"""Decides at which servers a request asks for a slot, and where it may wait for one.

Load pattern: many entry nodes, each with few requests, choose among servers with few slots. Each of
them knows little of the load that the others cause, so a chosen server is often busy while others
are idle. Asking for a free slot costs a message within the data centre, waiting behind another
request costs a whole run. Servers of other data centres are asked once the local ones are full,
because traffic between data centres is expensive; a request waits for long only if they are full
too.
"""

import dataclasses
import enum


class Reach(enum.Enum):
    """Data centres whose servers a request may use."""

    LOCAL = 'local'
    REMOTE = 'remote'
    EVERYWHERE = 'everywhere'

    def covers(self, *, is_local: bool) -> bool:
        """Return whether a server in the local data centre, or in another one, is within reach."""
        return self is Reach.EVERYWHERE or is_local == (self is Reach.LOCAL)


@dataclasses.dataclass(frozen=True, slots=True)
class PlacementStep:
    """One order of a request.

    Parameters
    ----------
    reach
        Data centres of the servers to choose from.
    wait_fraction
        Longest wait for a slot, as a fraction of the time to the latency target. At 0, the order is
        refused unless a slot is free.
    """

    reach: Reach
    wait_fraction: float


# A wait that is no longer than this costs less than traffic to another data centre.
_SHORT_WAIT_FRACTION = 0.2

PLACEMENT_STEPS = (
    PlacementStep(Reach.LOCAL, wait_fraction=0),
    PlacementStep(Reach.LOCAL, wait_fraction=0),
    PlacementStep(Reach.LOCAL, wait_fraction=0),
    PlacementStep(Reach.LOCAL, wait_fraction=_SHORT_WAIT_FRACTION),
    PlacementStep(Reach.REMOTE, wait_fraction=0),
    PlacementStep(Reach.REMOTE, wait_fraction=0),
    PlacementStep(Reach.EVERYWHERE, wait_fraction=1),
    PlacementStep(Reach.EVERYWHERE, wait_fraction=1),
)


class Placement:
    """Progress of one request through the steps of its placement.

    A request moves to the next step when a server is too busy, or when no server is left to ask.
    After any other failure, it asks another server in the same step.
    """

    def __init__(self) -> None:
        self._index = 0

    @property
    def step(self) -> PlacementStep:
        """Current step."""
        return PLACEMENT_STEPS[self._index]

    def advance(self) -> bool:
        """Move to the next step; return False if the request has been refused at the last one."""
        if self._index + 1 >= len(PLACEMENT_STEPS):
            return False
        self._index += 1
        return True

    def restart(self) -> None:
        """Begin again with the first step."""
        self._index = 0
