"""What is known of a request while servers are asked to run it."""

import dataclasses
from collections.abc import Set

from turmericwharf.coordination.sidecar.placement import Placement
from turmericwharf.state import InstanceId, NotRun, Outcome, Reason

# The queue of a server reports `DEADLINE_PASSED` when the permitted wait ends.
_OVERLOAD_REASONS = frozenset(
    (
        Reason.SERVER_BUSY,
        Reason.QUEUE_FULL,
        Reason.DEADLINE_PASSED,
        Reason.SERVER_COLD,
    )
)
# Refusals after which no other server is likely to accept the request soon.
_FLEET_WIDE_REASONS = _OVERLOAD_REASONS | {Reason.NO_CAPACITY, Reason.DATA_CENTRE_EVACUATED}
# The server or its node is gone, which tells nothing of the other servers.
_GONE_REASONS = frozenset(
    (
        Reason.PEER_UNREACHABLE,
        Reason.SERVER_UNREACHABLE,
        Reason.PROCESS_REPLACED,
        Reason.SERVER_UNKNOWN,
        Reason.SERVER_DRAINING,
    )
)


@dataclasses.dataclass(slots=True)
class AttemptProgress:
    """State of a request so far; updated by each attempt."""

    # Attempts of a request are numbered from 1.
    last_attempt_number: int = 0
    # Attempts that ran or may have run.
    attempts_run: int = 0
    # Servers that received the request.
    servers_reached: int = 0
    # Retries that the budget granted, each for one further server.
    retries_granted: int = 0
    # Refusals, without those that only tell that one server is gone.
    refusals: int = 0
    # Times that all servers were tried again.
    restarts: int = 0
    # Whether the request was refused for load at the last step of its placement.
    is_overload: bool = False
    outcome: Outcome | None = None
    # Servers that are not asked again.
    excluded: set[InstanceId] = dataclasses.field(default_factory=set)
    # Servers that had no free slot; the request may still wait at one of them.
    busy: set[InstanceId] = dataclasses.field(default_factory=set)
    placement: Placement = dataclasses.field(default_factory=Placement)

    @property
    def unusable(self) -> Set[InstanceId]:
        """Servers that are not asked in the current step of the placement."""
        return self.excluded if self.placement.step.wait_fraction else self.excluded | self.busy

    @property
    def is_refused_fleet_wide(self) -> bool:
        """Whether the last refusal says that no server is likely to accept the request soon."""
        outcome = self.outcome
        return isinstance(outcome, NotRun) and outcome.reason in _FLEET_WIDE_REASONS

    def record_refusal(self, instance: InstanceId, refusal: NotRun) -> None:
        """Count a refusal; after one for load, the placement moves to its next step."""
        self.refusals += refusal.reason not in _GONE_REASONS
        if refusal.reason is Reason.DATA_CENTRE_EVACUATED:
            # The other servers of the data centre would refuse too.
            self.placement.leave()
        if refusal.reason not in _OVERLOAD_REASONS:
            return
        if self.placement.step.wait_fraction < 1:
            # The request may wait there for longer in a later step.
            self.excluded.discard(instance)
            self.busy.add(instance)
        self.is_overload = not self.placement.advance()

    def restart_placement(self) -> None:
        """Begin again with the first step, and with all servers."""
        self.restarts += 1
        self.excluded.clear()
        self.busy.clear()
        self.placement.restart()
