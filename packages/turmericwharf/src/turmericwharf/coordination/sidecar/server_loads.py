"""What this node knows of the load and the speed of the servers.

Load pattern: servers that differ in speed and in bandwidth, many entry nodes that each see a small
part of the requests, and run times with a long tail. A count of requests does not tell how long a
new request would wait, since one run may take ten times as long as another. The wait is therefore
expressed in seconds: as the server reported it, less what has been worked off since, or estimated
from the requests there and the run times seen.
"""

import collections
import dataclasses
from collections.abc import Iterable

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.refusal_times import LOAD_REASONS
from turmericwharf.state import DataCentreId, InstanceId, RouteId
from turmericwharf.state.sidecar import NO_FLEET_VERSION, NodeEntry, WorkAnswer

# Assumed for a route of which no run time is known yet.
_UNKNOWN_RUN_SECONDS = 0.05
_NEWEST_RUN_WEIGHT = 0.1
# An older load does not reflect the requests that other nodes have sent since. Where runs take
# longer, a reported request is still there for longer.
_MIN_REPORT_SECONDS = 1.0
_REPORT_RUNS = 2.0
# Single run times vary far more than the speeds of the servers do. The mean of a server is trusted
# as much as that of all servers once it covers this many runs.
_TRUSTED_RUNS = 10
# Runs that a moving mean stands for at most, and one reported by the node beside the server always.
_MEAN_RUNS = 15
# Speed changes seldom, but a server that was slow once has to be tried again.
_MAX_SPEED_AGE_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a server reported.

    Parameters
    ----------
    requests
        Requests at the server and in its node's queue.
    in_flight
        Requests from this node that were in flight to the server at the time of the report.
    """

    requests: int
    in_flight: int
    reported_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Wait:
    """Expected wait of one more request of a route at one server, as the server reported it."""

    seconds: float
    in_flight: int
    reported_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _ReportedWait:
    """What is known of the wait at one server.

    Parameters
    ----------
    own_seconds
        Wait that the requests from this node alone cause.
    seconds
        Wait according to the newest report, and the requests sent since.
    freshness
        How much the report still tells, between 0 and 1.
    """

    instance: InstanceId
    data_centre: DataCentreId
    own_seconds: float
    seconds: float
    freshness: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Speed:
    """Mean run time of a route at one server, and the time of its last update."""

    run_seconds: float
    runs: int
    updated_at: float


class ServerLoads:
    """Reported loads, run times and requests in flight, by server.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._in_flight_by_instance: dict[InstanceId, collections.Counter[RouteId]] = {}
        self._reports_by_instance: dict[InstanceId, LoadReport] = {}
        self._waits_by_instance: dict[InstanceId, dict[RouteId, _Wait]] = {}
        self._speeds_by_instance: dict[InstanceId, dict[RouteId, _Speed]] = {}
        self._run_seconds_by_route: dict[RouteId, float] = {}

    def start(self, instance: InstanceId, route: RouteId) -> None:
        """Count a request that is sent to a server."""
        self._in_flight_by_instance.setdefault(instance, collections.Counter())[route] += 1

    def end(self, instance: InstanceId, route: RouteId) -> None:
        """Count a request that ended at a server."""
        in_flight = self._in_flight_by_instance[instance]
        in_flight[route] -= 1
        if in_flight[route] <= 0:
            in_flight.pop(route)
        if not in_flight:
            self._in_flight_by_instance.pop(instance)

    def record_answer(self, instance: InstanceId, route: RouteId, answer: WorkAnswer) -> None:
        """Record what an answer reports.

        Refusals for other reasons than load, and answers that were built at this node because none
        came, tell nothing of the load: a broken server has all its slots free.
        """
        if not _reports_load(answer):
            return
        now = self._clock.now()
        in_flight = max(self.in_flight(instance) - 1, 0)
        # The answered request has released its slot by now, and this node still counts it.
        ended = int(answer.reached_server and answer.running > 0)
        self._reports_by_instance[instance] = LoadReport(
            requests=answer.running + answer.waiting - ended,
            in_flight=in_flight,
            reported_at=now,
        )
        wait_seconds = answer.wait_seconds
        if answer.refused is not None:
            # The time until a refused request would be accepted is its wait.
            wait_seconds = wait_seconds or answer.refused.retry_seconds or 0
        if wait_seconds:
            wait = _Wait(wait_seconds, in_flight, now)
            self._waits_by_instance.setdefault(instance, {})[route] = wait
        if answer.run_seconds:
            self._record_speed(instance, route, _Speed(answer.run_seconds, _MEAN_RUNS, now))
            self._update_mean(route, answer.run_seconds)

    def record_run(self, instance: InstanceId, route: RouteId, seconds: float) -> None:
        """Record the time from sending a request that did not wait until its response."""
        known = self._speeds_by_instance.get(instance, {}).get(route)
        mean, runs = (seconds, 0) if known is None else (known.run_seconds, known.runs)
        mean += max(_NEWEST_RUN_WEIGHT, 1 / (runs + 1)) * (seconds - mean)
        self._record_speed(
            instance, route, _Speed(mean, min(runs + 1, _MEAN_RUNS), self._clock.now())
        )
        self._update_mean(route, seconds)

    def in_flight(self, instance: InstanceId) -> int:
        """Return the number of requests from this node that are in flight to a server."""
        in_flight = self._in_flight_by_instance.get(instance)
        return 0 if in_flight is None else in_flight.total()

    def last_report(self, instance: InstanceId) -> LoadReport | None:
        """Return the newest report of a server, of any age."""
        return self._reports_by_instance.get(instance)

    def run_seconds(self, instance: InstanceId, route: RouteId) -> float:
        """Return the expected run time of a route at a server."""
        speed = self._speeds_by_instance.get(instance, {}).get(route)
        mean_seconds = self.mean_run_seconds(route)
        if speed is None or self._clock.now() - speed.updated_at > _MAX_SPEED_AGE_SECONDS:
            return mean_seconds
        trust = speed.runs / (speed.runs + _TRUSTED_RUNS)
        return mean_seconds + trust * (speed.run_seconds - mean_seconds)

    def mean_run_seconds(self, route: RouteId) -> float:
        """Return the mean run time of a route at all servers."""
        return self._run_seconds_by_route.get(route, _UNKNOWN_RUN_SECONDS)

    def requests_at(self, instance: InstanceId) -> float:
        """Return the expected number of requests at a server.

        The part of a report that other nodes have caused counts less the older it is.
        """
        in_flight = self.in_flight(instance)
        report = self._reports_by_instance.get(instance)
        if report is None:
            return in_flight
        others = max(report.requests - report.in_flight, 0)
        return in_flight + others * self._freshness(instance, report)

    def estimate_waits(
        self, entries: Iterable[NodeEntry], route: RouteId
    ) -> dict[InstanceId, float]:
        """Return the expected time until one more request of a route gets a slot, by server.

        A report counts less the older it is. What it no longer tells is taken from the newer
        reports of the other servers of the data centre, which are likely to be as loaded. If
        nothing is known of a data centre, its servers are assumed to be idle, so that the next
        request asks.
        """
        reported = [self._reported_wait(entry, route) for entry in entries]
        seconds_by_data_centre = _mean_by_data_centre(reported)
        return {
            wait.instance: max(
                wait.own_seconds,
                wait.freshness * wait.seconds
                + (1 - wait.freshness) * seconds_by_data_centre[wait.data_centre],
            )
            for wait in reported
        }

    def _reported_wait(self, entry: NodeEntry, route: RouteId) -> _ReportedWait:
        instance = entry.instance
        # Time in which the slots of the server work off one request.
        turn_seconds = self._hold_seconds(instance) / max(entry.slots, 1)
        in_flight = self.in_flight(instance)
        own_seconds = max(in_flight + 1 - entry.slots, 0) * turn_seconds
        report = self._reports_by_instance.get(instance)
        if report is None:
            return _ReportedWait(instance, entry.data_centre, own_seconds, 0, 0)
        wait = self._waits_by_instance.get(instance, {}).get(route)
        if wait is None or wait.reported_at < report.reported_at:
            ahead = report.requests + in_flight - report.in_flight + 1 - entry.slots
            seconds = ahead * turn_seconds
        else:
            seconds = wait.seconds + (in_flight - wait.in_flight) * turn_seconds
        freshness = self._freshness(instance, report)
        return _ReportedWait(instance, entry.data_centre, own_seconds, max(seconds, 0), freshness)

    def _hold_seconds(self, instance: InstanceId) -> float:
        """Return the mean run time of the requests that hold the slots of a server."""
        in_flight = self._in_flight_by_instance.get(instance)
        if in_flight:
            return _mean(
                self.run_seconds(instance, route)
                for route, requests in in_flight.items()
                for _ in range(requests)
            )
        routes = self._speeds_by_instance.get(instance, ())
        return _mean(self.run_seconds(instance, route) for route in routes)

    def _freshness(self, instance: InstanceId, report: LoadReport) -> float:
        age = self._clock.now() - report.reported_at
        horizon = max(_MIN_REPORT_SECONDS, _REPORT_RUNS * self._hold_seconds(instance))
        return max(1 - age / horizon, 0)

    def _record_speed(self, instance: InstanceId, route: RouteId, speed: _Speed) -> None:
        self._speeds_by_instance.setdefault(instance, {})[route] = speed

    def _update_mean(self, route: RouteId, seconds: float) -> None:
        mean = self._run_seconds_by_route.get(route, seconds)
        self._run_seconds_by_route[route] = mean + _NEWEST_RUN_WEIGHT * (seconds - mean)


def _reports_load(answer: WorkAnswer) -> bool:
    if answer.refused is None:
        return answer.answered is not None or answer.version != NO_FLEET_VERSION
    return answer.refused.reason in LOAD_REASONS


def _mean_by_data_centre(
    reported: Iterable[_ReportedWait],
) -> dict[DataCentreId, float]:
    """Return the mean reported wait of each data centre, weighted by freshness; 0 if unknown."""
    totals = collections.defaultdict[DataCentreId, float](float)
    weights = collections.defaultdict[DataCentreId, float](float)
    for wait in reported:
        totals[wait.data_centre] += wait.freshness * wait.seconds
        weights[wait.data_centre] += wait.freshness
    return {name: total / (weights[name] or 1) for name, total in totals.items()}


def _mean(seconds: Iterable[float]) -> float:
    known = tuple(seconds)
    return sum(known) / len(known) if known else _UNKNOWN_RUN_SECONDS
