"""Decides at which servers a request asks for a slot, and where it may wait for one.

Load pattern: many entry nodes, each with few requests, choose among servers with few slots. Each of
them knows little of the load that the others cause, so a chosen server is often busy while others
are idle. Asking for a free slot costs a message within the data centre, waiting behind another
request costs a whole run. If no local server has a free slot, the request either waits in the data
centre or asks in others, depending on what each would cost (see `remote_placement`).
"""

import dataclasses
import enum
from collections.abc import Mapping
from types import MappingProxyType


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


class Course(enum.Enum):
    """What a request does that found no free slot in the local data centre."""

    STAY = 'stay'
    LEAVE = 'leave'


_SHORT_WAIT_FRACTION = 0.2

_FIRST_STEPS = (
    PlacementStep(Reach.LOCAL, wait_fraction=0),
    PlacementStep(Reach.LOCAL, wait_fraction=0),
    PlacementStep(Reach.LOCAL, wait_fraction=0),
)
# Index beyond all steps.
_NEVER = 1_000
PLACEMENT_STEPS_BY_COURSE: Mapping[Course, tuple[PlacementStep, ...]] = MappingProxyType(
    {
        # The last step reaches other data centres only if that costs less than to wait here.
        Course.STAY: (
            *_FIRST_STEPS,
            PlacementStep(Reach.LOCAL, wait_fraction=_SHORT_WAIT_FRACTION),
            PlacementStep(Reach.LOCAL, wait_fraction=1),
            PlacementStep(Reach.EVERYWHERE, wait_fraction=1),
        ),
        Course.LEAVE: (
            *_FIRST_STEPS,
            PlacementStep(Reach.REMOTE, wait_fraction=0),
            PlacementStep(Reach.REMOTE, wait_fraction=0),
            PlacementStep(Reach.LOCAL, wait_fraction=_SHORT_WAIT_FRACTION),
            PlacementStep(Reach.EVERYWHERE, wait_fraction=1),
            PlacementStep(Reach.EVERYWHERE, wait_fraction=1),
        ),
    },
)


class Placement:
    """Progress of one request through the steps of its placement.

    A request moves to the next step when a server is too busy, or when no server is left to ask.
    After any other failure, it asks another server in the same step.
    """

    def __init__(self) -> None:
        self._index = 0
        self._course: Course | None = None
        self._decides_at = len(_FIRST_STEPS)

    @property
    def step(self) -> PlacementStep:
        """Current step."""
        return self._steps[self._index]

    @property
    def needs_course(self) -> bool:
        """Whether the request found no free slot here, and where it goes on is to be decided.

        If it stays, this is decided again after its first short wait, since a refused wait tells
        how long the queues are for its rank.
        """
        return self._course is not Course.LEAVE and self._index >= self._decides_at

    def follow(self, course: Course) -> None:
        """Continue with the steps of a course."""
        self._course = course
        if course is Course.LEAVE:
            self._index = len(_FIRST_STEPS)
        self._decides_at = len(_FIRST_STEPS) + 1 if self._index == len(_FIRST_STEPS) else _NEVER

    def leave(self) -> None:
        """Continue in other data centres, unless the request has left already."""
        if self._course is not Course.LEAVE:
            self.follow(Course.LEAVE)

    def advance(self) -> bool:
        """Move to the next step; return False if the request has been refused at the last one."""
        if self._index + 1 >= len(self._steps):
            return False
        self._index += 1
        return True

    def restart(self) -> None:
        """Begin again with the first step, and without a course."""
        self._index = 0
        self._course = None
        self._decides_at = len(_FIRST_STEPS)

    @property
    def _steps(self) -> tuple[PlacementStep, ...]:
        return PLACEMENT_STEPS_BY_COURSE[self._course or Course.STAY]
