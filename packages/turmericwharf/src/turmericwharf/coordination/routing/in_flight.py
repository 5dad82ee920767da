"""Attempts of one node that have no outcome so far."""

import dataclasses
import itertools

from turmericwharf.coordination.routing.harm import TypicalTimes, latency_harm
from turmericwharf.state import AdmittedRequest, InstanceId, RouteId, ServerReport

# A younger request proves nothing; this share of the target is far beyond typical times.
_OVERDUE_HARM = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where one attempt goes.

    Parameters
    ----------
    number
        Unique within the node.
    report
        The server as it was known when it was chosen.
    started_at
        Moment of the choice on the node's clock.
    probe
        Whether the server is ejected and the attempt tries it again.
    """

    number: int
    report: ServerReport
    started_at: float
    probe: bool

    @property
    def instance(self) -> InstanceId:
        """The node that executes the attempt."""
        return self.report.instance


@dataclasses.dataclass(frozen=True, slots=True)
class _Started:
    """An attempt without an outcome so far."""

    choice: Choice
    route: RouteId
    target_seconds: float


class InFlightAttempts:
    """Counts attempts for each instance and finds those that take too long."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        self._started_by_id: dict[InstanceId, dict[int, _Started]] = {}

    def start(
        self,
        admitted: AdmittedRequest,
        report: ServerReport,
        now: float,
        *,
        probe: bool,
    ) -> Choice:
        """Count an attempt that starts."""
        choice = Choice(next(self._numbers), report, now, probe)
        started = self._started_by_id.setdefault(report.instance, {})
        started[choice.number] = _Started(choice, admitted.route, admitted.target_seconds)
        return choice

    def end(self, choice: Choice) -> None:
        """Count an attempt that ended."""
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
        typical_times: TypicalTimes,
        now: float,
    ) -> list[float]:
        """Return the harm so far of the attempts that take too long."""
        harms = (
            latency_harm(
                now - started.choice.started_at,
                typical_times.seconds(started.route),
                started.target_seconds,
            )
            for started in self._started_by_id.get(instance, {}).values()
        )
        return [harm for harm in harms if harm > _OVERDUE_HARM]
