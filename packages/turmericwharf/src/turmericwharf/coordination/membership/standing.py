"""Standing: a node's right to serve callers, which an isolated node loses.

An outage of the log alone does not end it, as long as a majority of the members is in contact.
"""

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.state_dump import describe, seconds_since
from turmericwharf.state import StandingDump, TimingSettings

_NEVER = float('-inf')


class Standing:
    """Tracks whether the node's state is fresh enough to serve callers.

    A node has standing if it reached the end of the log within the standing time, or if it was
    in contact with a majority of the members within that time and applies the newest control
    version that any of them reported. All times are those of the requests, so an answer that
    was delayed in a buffer or by a pause of the process does not count as fresher than its
    request.

    Parameters
    ----------
    timing
        Coordination intervals and timeouts.
    clock
        Monotonic clock.
    """

    def __init__(self, timing: TimingSettings, clock: Clock) -> None:
        self._timing = timing
        self._clock = clock
        self._log_read_at = _NEVER
        self._majority_contact_at = _NEVER
        self._applied_version = -1
        self._newest_version = -1
        self._is_superseded = False

    @property
    def has_standing(self) -> bool:
        """Whether the node may serve callers and use its rate shares."""
        return not self._is_superseded and (self.has_log or self.has_majority)

    @property
    def has_log(self) -> bool:
        """Whether the end of the log was reached within the standing time."""
        return self._is_fresh(self._log_read_at)

    @property
    def fresh_until(self) -> float:
        """Time at which the standing expires without further log reads or contacts."""
        if self._is_superseded:
            return _NEVER
        is_newest = self._applied_version >= self._newest_version
        majority_at = self._majority_contact_at if is_newest else _NEVER
        return max(self._log_read_at, majority_at) + self._timing.standing_seconds

    @property
    def has_majority(self) -> bool:
        """Whether a majority is in contact and no peer reported a newer control version."""
        if self._applied_version < self._newest_version:
            return False
        return self._is_fresh(self._majority_contact_at)

    @property
    def log_read_at(self) -> float:
        """Time up to which the whole log has been read."""
        return self._log_read_at

    @property
    def newest_version(self) -> int:
        """Newest control version that this node applies or that a peer reported."""
        return max(self._newest_version, self._applied_version)

    def record_log_read(self, requested_at: float) -> None:
        """Record that the whole log was read up to the time `requested_at`."""
        self._log_read_at = max(self._log_read_at, requested_at)

    def record_applied_version(self, version: int) -> None:
        """Record the control version that the node applies."""
        self._applied_version = max(self._applied_version, version)

    def record_peer_version(self, version: int) -> None:
        """Record a control version that a peer reported."""
        self._newest_version = max(self._newest_version, version)

    def record_majority_contact(self, last_contact_at: float) -> None:
        """Record the contact time of a majority of the membership in force.

        It may be earlier than the one recorded before, since a new membership needs contacts
        with a majority of its own.
        """
        self._majority_contact_at = last_contact_at

    def end(self) -> None:
        """End the standing for good, since another incarnation runs in the node's slot."""
        self._is_superseded = True

    def dump(self) -> StandingDump:
        """Return the facts that decide whether the node serves callers, for the state dump."""
        now = self._clock.now()
        return StandingDump(
            has_standing=self.has_standing,
            has_log=self.has_log,
            newest_version=self.newest_version,
            log_read_seconds=seconds_since(now, self._log_read_at),
            majority_heard_seconds=seconds_since(now, self._majority_contact_at),
        )

    def _is_fresh(self, timestamp: float) -> bool:
        return self._clock.now() - timestamp <= self._timing.standing_seconds


@describe.register
def _(part: Standing) -> StandingDump:
    return part.dump()
