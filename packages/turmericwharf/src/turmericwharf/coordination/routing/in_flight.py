"""Tracking of the attempts of this node that are still in flight."""

import dataclasses
import itertools

from turmericwharf.coordination.routing.harm import RouteMedians, latency_harm
from turmericwharf.state import AdmittedRequest, InstanceId, RouteId, ServerReport

# An attempt is overdue once its time beyond normal variation exceeds this fraction of the latency
# target, which is far beyond usual latencies. Attempts in flight for a shorter time are no
# evidence.
_MIN_OVERDUE_HARM = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class StartedAttempt:
    """An attempt that has started, and the server selected for it.

    Parameters
    ----------
    attempt_id
        Number of the attempt, unique within the node.
    report
        Report of the server at the time of the selection.
    started_at
        Time of the selection on the node's clock.
    probe
        Whether the attempt probes an ejected server.
    """

    attempt_id: int
    report: ServerReport
    started_at: float
    probe: bool

    @property
    def instance(self) -> InstanceId:
        """Instance of the node that executes the attempt."""
        return self.report.instance


@dataclasses.dataclass(frozen=True, slots=True)
class _MeasuredAttempt:
    """An attempt in flight, with the route and target needed to compute its harm."""

    attempt: StartedAttempt
    route: RouteId
    target_seconds: float


class InFlightAttempts:
    """Tracks the attempts in flight to each instance and finds overdue ones."""

    def __init__(self) -> None:
        self._attempt_ids = itertools.count()
        self._attempts_by_instance: dict[InstanceId, dict[int, _MeasuredAttempt]] = {}

    def start(
        self,
        admitted: AdmittedRequest,
        report: ServerReport,
        now: float,
        *,
        probe: bool,
    ) -> StartedAttempt:
        """Register a new attempt as in flight."""
        attempt = StartedAttempt(next(self._attempt_ids), report, now, probe)
        attempts = self._attempts_by_instance.setdefault(report.instance, {})
        attempts[attempt.attempt_id] = _MeasuredAttempt(
            attempt, admitted.route, admitted.target_seconds
        )
        return attempt

    def end(self, attempt: StartedAttempt) -> None:
        attempts = self._attempts_by_instance.get(attempt.instance, {})
        attempts.pop(attempt.attempt_id, None)
        if not attempts:
            self._attempts_by_instance.pop(attempt.instance, None)

    def count(self, instance: InstanceId) -> int:
        """Return the number of attempts in flight to an instance."""
        return len(self._attempts_by_instance.get(instance, ()))

    def overdue_harms(
        self,
        instance: InstanceId,
        route_medians: RouteMedians,
        now: float,
    ) -> list[float]:
        """Return the harm so far of each overdue attempt to an instance."""
        harms = (
            latency_harm(
                now - measured.attempt.started_at,
                route_medians.seconds(measured.route),
                measured.target_seconds,
            )
            for measured in self._attempts_by_instance.get(instance, {}).values()
        )
        return [harm for harm in harms if harm > _MIN_OVERDUE_HARM]
