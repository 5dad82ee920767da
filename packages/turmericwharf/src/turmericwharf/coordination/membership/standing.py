"""Whether a node may take callers: a log outage told apart from its own isolation."""

from turmericwharf.coordination.ports import Clock
from turmericwharf.coordination.state_dump import describe, seconds_since
from turmericwharf.state import StandingDump, TimingSettings

_NEVER = float('-inf')


class Standing:
    """Tracks how fresh the node's knowledge is.

    A node has standing while it read the log's tail a short time ago, or while it hears from a
    majority of the members and applies the newest configuration that any of them names. All
    moments are those of asking, so an answer that waited in a buffer or that arrives after a
    pause of the process dates from before the wait.

    Parameters
    ----------
    timing
        Times of the coordination.
    clock
        Clock of the node.
    """

    def __init__(self, timing: TimingSettings, clock: Clock) -> None:
        self._timing = timing
        self._clock = clock
        self._log_read_at = _NEVER
        self._majority_heard_at = _NEVER
        self._applied_version = -1
        self._newest_version = -1
        self._is_ended = False

    @property
    def has_standing(self) -> bool:
        """Whether the node may take callers and use its rate shares."""
        return not self._is_ended and (self.has_log or self.has_majority)

    @property
    def has_log(self) -> bool:
        """Whether the log's tail was read a short time ago."""
        return self._is_fresh(self._log_read_at)

    @property
    def fresh_until(self) -> float:
        """Moment until which the standing lasts if nothing more is heard."""
        if self._is_ended:
            return _NEVER
        is_newest = self._applied_version >= self._newest_version
        majority_at = self._majority_heard_at if is_newest else _NEVER
        return max(self._log_read_at, majority_at) + self._timing.standing_seconds

    @property
    def has_majority(self) -> bool:
        """Whether a majority vouches and names no configuration newer than the one applied."""
        if self._applied_version < self._newest_version:
            return False
        return self._is_fresh(self._majority_heard_at)

    @property
    def log_read_at(self) -> float:
        """Moment up to which the whole log is known."""
        return self._log_read_at

    @property
    def newest_version(self) -> int:
        """Newest control version that this node has heard of."""
        return max(self._newest_version, self._applied_version)

    def record_log_read(self, asked_at: float) -> None:
        """Note that the whole log up to the moment `asked_at` was read."""
        self._log_read_at = max(self._log_read_at, asked_at)

    def record_applied_version(self, version: int) -> None:
        """Note the control version that the node applies."""
        self._applied_version = max(self._applied_version, version)

    def record_peer_version(self, version: int) -> None:
        """Note a control version that a peer names."""
        self._newest_version = max(self._newest_version, version)

    def record_majority_contact(self, last_contact_at: float) -> None:
        """Note the moment since which a majority of the membership in force vouched.

        The moment may be earlier than the one noted before: a new membership asks for the
        votes of a majority of its own.
        """
        self._majority_heard_at = last_contact_at

    def end(self) -> None:
        """Note that another incarnation runs in the node's slot; standing never returns."""
        self._is_ended = True

    def dump(self) -> StandingDump:
        """Return why the node takes callers or refuses them."""
        now = self._clock.now()
        return StandingDump(
            has_standing=self.has_standing,
            has_log=self.has_log,
            newest_version=self.newest_version,
            log_read_seconds=seconds_since(now, self._log_read_at),
            majority_heard_seconds=seconds_since(now, self._majority_heard_at),
        )

    def _is_fresh(self, moment: float) -> bool:
        return self._clock.now() - moment <= self._timing.standing_seconds


@describe.register
def _(part: Standing) -> StandingDump:
    return part.dump()
