"""Selects the node whose backend server receives a request."""

import collections
import itertools
import math
import random
import statistics
from collections.abc import Set

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.membership.rendezvous import rank_instances
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.evacuations import Evacuations
from turmericwharf.coordination.sidecar.placement import Reach
from turmericwharf.coordination.sidecar.refusal_times import RefusalTimes, Availability
from turmericwharf.coordination.sidecar.remote_placement import PlaceCosts, PlacementNeeds
from turmericwharf.coordination.sidecar.round_trips import RoundTrips
from turmericwharf.coordination.sidecar.server_loads import ServerLoads
from turmericwharf.coordination.sidecar.slow_start import SlowStart
from turmericwharf.state import DataCentreId, InstanceId, NotRun, RouteId, ServiceId
from turmericwharf.state.sidecar import NodeEntry, WorkAnswer

# Servers of other data centres among which a request chooses. Those that refused lately are passed
# over, so that the others come within reach as soon as the first ones are full. A connection to
# each of many nodes would cost more, in processor time and in traffic, than their requests.
_REMOTE_CHOICES = 4
_MIN_CHOICES_IN_DATA_CENTRE = 2
# A request slows down the others at its server although slots are free.
_CROWDING_RUNS = 0.5
# Estimates are similar at all entry nodes; the random part keeps them from one choice.
_RANDOM_FRACTION = 0.25
_ANY_REQUEST = PlacementNeeds()


class ServerSelector:
    """Selects by expected completion: wait for a slot, run time, and the price of leaving.

    Parameters
    ----------
    directory
        Known nodes.
    clock
        Clock of the node.
    round_trips
        Measured round trips to the other data centres.
    evacuations
        Data centres whose servers are not selected; None if there are none.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        clock: Clock,
        round_trips: RoundTrips | None = None,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._directory = directory
        self._evacuations = evacuations or Evacuations()
        self._clock = clock
        self._round_trips = round_trips or RoundTrips()
        self._refusals = RefusalTimes(clock)
        self._slow_start = SlowStart(clock)
        self.loads = ServerLoads(clock)

    def select(
        self,
        service: ServiceId,
        excluded: Set[InstanceId],
        reach: Reach = Reach.EVERYWHERE,
        *,
        needs: PlacementNeeds = _ANY_REQUEST,
        may_wait: bool = True,
    ) -> NodeEntry | None:
        """Return the node with the lowest cost within reach, or None if no node is left.

        Parameters
        ----------
        needs
            What the cost of a place depends on.
        may_wait
            Whether the request may wait for a slot; otherwise, servers that refused lately are not
            asked.
        """
        within = self._nodes_within(reach, service)
        usable = [entry for entry in within if entry.instance not in excluded]
        waits_by_instance = self._estimate_waits(reach, service, needs)
        availability_by_instance = {
            entry.instance: self._availability(entry.instance, needs.route) for entry in usable
        }
        has_local = any(
            self._is_local(entry) and self._availability(entry.instance) < Availability.FAILING
            for entry in within
        )
        # Whether a server has a free slot is part of the cost of a place to wait.
        first_availability = Availability.SATURATED if may_wait else Availability.OPEN
        return min(
            (
                entry
                for entry in usable
                if self._is_asked(
                    entry,
                    availability_by_instance[entry.instance],
                    may_wait=may_wait,
                    has_local=has_local,
                )
            ),
            key=lambda entry: (
                max(availability_by_instance[entry.instance], first_availability),
                self._cost(entry, needs, waits_by_instance[entry.instance]),
            ),
            default=None,
        )

    def place_costs(self, service: ServiceId, needs: PlacementNeeds) -> PlaceCosts:
        """Return what the best server costs in the local data centre, and in the others."""
        remote_seconds, price_seconds = self._mean_costs(Reach.REMOTE, service, needs)
        return PlaceCosts(
            local_seconds=self._mean_costs(Reach.LOCAL, service, needs)[0],
            remote_seconds=remote_seconds,
            price_seconds=price_seconds,
        )

    def last_reported_load(self, instance: InstanceId) -> tuple[int, float | None]:
        """Return the last reported number of requests at a server, and its age in seconds."""
        report = self.loads.last_report(instance)
        if report is None:
            return 0, None
        return report.requests, round(self._clock.now() - report.reported_at, 3)

    def start(self, instance: InstanceId, route: RouteId = _ANY_REQUEST.route) -> None:
        """Count an attempt that starts at a server."""
        self.loads.start(instance, route)

    def end(self, instance: InstanceId, route: RouteId = _ANY_REQUEST.route) -> None:
        """Count an attempt that ended at a server."""
        self.loads.end(instance, route)

    def record_answer(
        self,
        instance: InstanceId,
        answer: WorkAnswer,
        route: RouteId = _ANY_REQUEST.route,
    ) -> None:
        """Record the load that an answer reports, and until when a refusal holds.

        A refusal or an unknown outcome counts as no answer of the server.
        """
        self.loads.record_answer(instance, route, answer)
        if answer.answered:
            self._refusals.clear(instance)
        elif answer.refused:
            self._record_refusal(instance, route, answer.refused)
        else:
            self._refusals.record_failure(instance)

    def deprioritise(self, instance: InstanceId) -> None:
        """Prefer other servers for a limited time."""
        self._refusals.record_failure(instance)

    def _record_refusal(self, instance: InstanceId, route: RouteId, refusal: NotRun) -> None:
        entry = self._directory.find(instance) or self._directory.local
        wait_seconds = refusal.retry_seconds
        if wait_seconds is None:
            wait_seconds = self.loads.estimate_waits((entry,), route)[entry.instance]
        self._refusals.record(
            instance, route, refusal, wait_seconds, is_expensive=not self._is_local(entry)
        )

    def _is_asked(
        self, entry: NodeEntry, availability: Availability, *, may_wait: bool, has_local: bool
    ) -> bool:
        """Return whether a server is worth asking before the time that its refusal named."""
        if availability <= Availability.JOINING:
            return True
        # A refusal in another data centre costs bytes, so while servers are left here, a request
        # waits for one of them.
        return may_wait and (self._is_local(entry) or not has_local)

    def _nodes_within(self, reach: Reach, service: ServiceId) -> list[NodeEntry]:
        serving = _nodes_serving(self._directory, self._evacuations, service)
        self._slow_start.observe(service, serving)
        local = [entry for entry in serving if self._is_local(entry)]
        if reach is Reach.LOCAL:
            return local
        remote = self._remote_choices([entry for entry in serving if not self._is_local(entry)])
        return remote if reach is Reach.REMOTE else local + remote

    def _remote_choices(self, entries: list[NodeEntry]) -> list[NodeEntry]:
        """Return the servers of other data centres among which this node chooses.

        The nodes of a data centre choose among different ones.
        """
        if len(entries) <= _REMOTE_CHOICES:
            return entries
        entries_by_instance = {entry.instance: entry for entry in entries}
        ranked = rank_instances(f'remote/{self._directory.local.instance}', entries_by_instance)
        # A stable sort: the servers that accept requests come first, each group in its ranking.
        ranked.sort(key=lambda instance: self._availability(instance) > Availability.JOINING)
        data_centres = {entry.data_centre for entry in entries}
        choices = max(_REMOTE_CHOICES // len(data_centres), _MIN_CHOICES_IN_DATA_CENTRE)
        chosen = collections.defaultdict[DataCentreId, list[NodeEntry]](list)
        for instance in ranked:
            entry = entries_by_instance[instance]
            if len(chosen[entry.data_centre]) < choices:
                chosen[entry.data_centre].append(entry)
        return list(itertools.chain.from_iterable(chosen.values()))

    def _reachable_within(self, reach: Reach, service: ServiceId) -> list[NodeEntry]:
        return [
            entry
            for entry in self._nodes_within(reach, service)
            if self._availability(entry.instance) <= Availability.FULL
        ]

    def _availability(
        self, instance: InstanceId, route: RouteId = _ANY_REQUEST.route
    ) -> Availability:
        if self._directory.is_suspected(instance):
            return Availability.UNREACHABLE
        availability = self._refusals.availability(instance, route)
        if availability is Availability.OPEN and self._slow_start.holds_back(instance):
            return Availability.JOINING
        return availability

    def _is_local(self, entry: NodeEntry) -> bool:
        return entry.data_centre == self._directory.local.data_centre

    def _cost(self, entry: NodeEntry, needs: PlacementNeeds, wait_seconds: float) -> float:
        run_seconds = self.loads.run_seconds(entry.instance, needs.route)
        crowding = min(self.loads.requests_at(entry.instance) / max(entry.slots, 1), 1)
        cost, _ = self._costs(entry, needs, wait_seconds)
        random_runs = _RANDOM_FRACTION * random.random()
        return cost + (_CROWDING_RUNS * crowding + random_runs) * run_seconds

    def _mean_costs(
        self, reach: Reach, service: ServiceId, needs: PlacementNeeds
    ) -> tuple[float, float]:
        """Return the mean cost of the servers of the best data centre, and the price in it.

        A mean, since single reports are old: a server that had a free slot seldom still has one
        when others have just refused.
        """
        waits_by_instance = self._estimate_waits(reach, service, needs)
        costs_by_data_centre = collections.defaultdict[DataCentreId, list[tuple[float, float]]](
            list
        )
        for entry in self._reachable_within(reach, service):
            costs = self._costs(entry, needs, waits_by_instance[entry.instance])
            costs_by_data_centre[entry.data_centre].append(costs)
        return min(map(_mean_pair, costs_by_data_centre.values()), default=(math.inf, math.inf))

    def _estimate_waits(
        self, reach: Reach, service: ServiceId, needs: PlacementNeeds
    ) -> dict[InstanceId, float]:
        serving = (
            entry
            for entry in _nodes_serving(self._directory, self._evacuations, service)
            if reach.covers(is_local=self._is_local(entry))
        )
        return self.loads.estimate_waits(serving, needs.route)

    def _costs(
        self, entry: NodeEntry, needs: PlacementNeeds, wait_seconds: float
    ) -> tuple[float, float]:
        run_seconds = self.loads.run_seconds(entry.instance, needs.route)
        price_seconds = self._price_seconds(entry, needs)
        return needs.cost_seconds(wait_seconds, run_seconds) + price_seconds, price_seconds

    def _price_seconds(self, entry: NodeEntry, needs: PlacementNeeds) -> float:
        if self._is_local(entry):
            return 0
        return needs.price_seconds(self._round_trips.seconds_to(entry.data_centre))


def _mean_pair(pairs: list[tuple[float, float]]) -> tuple[float, float]:
    firsts, seconds = zip(*pairs, strict=True)
    return statistics.fmean(firsts), statistics.fmean(seconds)


def _nodes_serving(
    directory: NodeDirectory, evacuations: Evacuations, service: ServiceId
) -> list[NodeEntry]:
    """Return the nodes that serve a service in data centres that are not evacuated."""
    return [
        entry
        for entry in directory.nodes_serving(service)
        if not evacuations.covers(entry.data_centre)
    ]
