"""Tracking of the attempts of this node that are still in flight."""

import dataclasses
import itertools

from turmericwharf.coordination.routing.harm import RouteMedians, latency_harm
from turmericwharf.state import AdmittedRequest, InstanceId, RouteId, ServerReport

# Attempts that are in flight for a shorter time are no evidence. This fraction of the target is
# far beyond typical times.
_MIN_OVERDUE_HARM = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class StartedAttempt:
    """Server selected for one attempt.

    Parameters
    ----------
    number
        Number of the attempt, unique within the node.
    report
        Report of the server at the time of the selection.
    started_at
        Time of the selection on the node's clock.
    probe
        Whether the attempt probes an ejected server.
    """

    number: int
    report: ServerReport
    started_at: float
    probe: bool

    @property
    def instance(self) -> InstanceId:
        """Instance of the node that executes the attempt."""
        return self.report.instance


@dataclasses.dataclass(frozen=True, slots=True)
class _MeasuredAttempt:
    """An attempt in flight, with the data needed to compute its harm."""

    choice: StartedAttempt
    route: RouteId
    target_seconds: float


class InFlightAttempts:
    """Tracks the attempts in flight to each instance and finds overdue ones."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._started_by_id: dict[InstanceId, dict[int, _MeasuredAttempt]] = {}

    def start(
        self,
        admitted: AdmittedRequest,
        report: ServerReport,
        now: float,
        *,
        probe: bool,
    ) -> StartedAttempt:
        """Register a new attempt as in flight."""
        choice = StartedAttempt(next(self._numbers), report, now, probe)
        started = self._started_by_id.setdefault(report.instance, {})
        started[choice.number] = _MeasuredAttempt(choice, admitted.route, admitted.target_seconds)
        return choice

    def end(self, choice: StartedAttempt) -> None:
        """Remove an attempt that has ended."""
        started = self._started_by_id.get(choice.instance, {})
        started.pop(choice.number, None)
        if not started:
            self._started_by_id.pop(choice.instance, None)

    def count(self, instance: InstanceId) -> int:
        """Return the number of attempts in flight to an instance."""
        return len(self._started_by_id.get(instance, ()))

    def overdue_harms(
        self,
        instance: InstanceId,
        typical_times: RouteMedians,
        now: float,
    ) -> list[float]:
        """Return the harm so far of each overdue attempt to an instance."""
        harms = (
            latency_harm(
                now - started.choice.started_at,
                typical_times.seconds(started.route),
                started.target_seconds,
            )
            for started in self._started_by_id.get(instance, {}).values()
        )
        return [harm for harm in harms if harm > _MIN_OVERDUE_HARM]
