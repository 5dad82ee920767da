"""Decides at which servers a request asks for a slot, and where it may wait for one.

Load pattern: many entry nodes, each with few requests, choose among servers with few slots. Each of
them knows little of the load that the others cause, so a chosen server is often busy while others
are idle. Asking for a free slot costs a message within the data centre, waiting behind another
request costs a whole run. Servers of other data centres are asked once the local ones are full,
because traffic between data centres is expensive.
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
    may_wait
        Whether the request may wait there if no slot is free.
    """

    reach: Reach
    may_wait: bool


PLACEMENT_STEPS = (
    PlacementStep(Reach.LOCAL, may_wait=False),
    PlacementStep(Reach.LOCAL, may_wait=False),
    PlacementStep(Reach.LOCAL, may_wait=False),
    PlacementStep(Reach.LOCAL, may_wait=True),
    PlacementStep(Reach.LOCAL, may_wait=True),
    PlacementStep(Reach.REMOTE, may_wait=False),
    PlacementStep(Reach.REMOTE, may_wait=False),
    # For services that have no server in the local data centre.
    PlacementStep(Reach.EVERYWHERE, may_wait=True),
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
