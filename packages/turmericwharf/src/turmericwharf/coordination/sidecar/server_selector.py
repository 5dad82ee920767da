"""Selects the node whose backend server receives a request."""

import collections
import dataclasses
import random
from collections.abc import Mapping, Set
from types import MappingProxyType

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.membership.rendezvous import rank_instances
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.evacuations import Evacuations
from turmericwharf.coordination.sidecar.placement import Reach
from turmericwharf.state import InstanceId, NotRun, Reason, ServiceId
from turmericwharf.state.sidecar import NodeEntry, WorkAnswer

# An older load does not reflect the requests that other nodes have sent since.
_MAX_LOAD_AGE_SECONDS = 1.0
# A server in another data centre is selected only if the local servers have at least this many
# requests more, because of the traffic between data centres.
_REMOTE_PENALTY_REQUESTS = 8.0
# Nodes of other data centres, for each service, that this node asks for a free slot. A connection
# to each of them would cost more, in processor time and in traffic, than the requests that they
# take. The nodes of a data centre ask different ones.
_REMOTE_NODES = 4
_DEPRIORITISE_SECONDS = 0.3
_DEPRIORITISE_SECONDS_BY_REASON: Mapping[Reason | None, float] = MappingProxyType(
    {
        # Many nodes ask the server, so its trials need no request of each of them. It is still
        # asked if the other servers are busy.
        Reason.BREAKER_OPEN: 4.0,
        Reason.QUEUE_FULL: 0.15,
        Reason.SERVER_DRAINING: 1.0,
        # This node learns of the evacuation within that time too.
        Reason.DATA_CENTRE_EVACUATED: 2.0,
        # The answer reports the load, by which the server is ranked.
        Reason.SERVER_BUSY: 0.0,
    },
)


@dataclasses.dataclass(frozen=True, slots=True)
class _ReportedLoad:
    """Requests running and queued at a server, and the time of the report."""

    requests: int
    reported_at: float


class ServerSelector:
    """Selects by requests in flight and reported load, and prefers the local data centre.

    Parameters
    ----------
    directory
        Known nodes.
    clock
        Clock of the node.
    evacuations
        Data centres whose servers are not selected; None if there are none.
    """

    def __init__(
        self, directory: NodeDirectory, clock: Clock, evacuations: Evacuations | None = None
    ) -> None:
        self._directory = directory
        self._evacuations = evacuations or Evacuations()
        self._clock = clock
        self._in_flight_by_instance: collections.Counter[InstanceId] = collections.Counter()
        self._load_by_instance: dict[InstanceId, _ReportedLoad] = {}
        self._deprioritised_until_by_instance: dict[InstanceId, float] = {}

    def select(
        self,
        service: ServiceId,
        excluded: Set[InstanceId],
        reach: Reach = Reach.EVERYWHERE,
    ) -> NodeEntry | None:
        """Return the node with the lowest cost within reach, or None if no node is left."""
        usable = [
            entry for entry in self._nodes_within(reach, service) if entry.instance not in excluded
        ]
        trusted = [entry for entry in usable if not self._directory.is_suspected(entry.instance)]
        preferred = [entry for entry in trusted if not self._is_deprioritised(entry.instance)]
        return min(preferred or trusted or usable, key=self._cost, default=None)

    def _nodes_within(self, reach: Reach, service: ServiceId) -> list[NodeEntry]:
        local = self._directory.local
        entries = [
            entry
            for entry in self._directory.nodes_serving(service)
            if reach.covers(is_local=entry.data_centre == local.data_centre)
            and not self._evacuations.covers(entry.data_centre)
        ]
        if reach is not Reach.REMOTE or len(entries) <= _REMOTE_NODES:
            return entries
        ranked = rank_instances(f'remote/{local.instance}', (entry.instance for entry in entries))
        chosen = frozenset(ranked[:_REMOTE_NODES])
        return [entry for entry in entries if entry.instance in chosen]

    def last_reported_load(self, instance: InstanceId) -> tuple[int, float | None]:
        """Return the last reported number of requests at a server, and its age in seconds."""
        reported = self._load_by_instance.get(instance)
        if reported is None:
            return 0, None
        return reported.requests, round(self._clock.now() - reported.reported_at, 3)

    def start(self, instance: InstanceId) -> None:
        """Count an attempt that starts at a server."""
        self._in_flight_by_instance[instance] += 1

    def end(self, instance: InstanceId) -> None:
        """Count an attempt that ended at a server."""
        self._in_flight_by_instance[instance] -= 1
        if self._in_flight_by_instance[instance] <= 0:
            self._in_flight_by_instance.pop(instance)

    def record_answer(self, instance: InstanceId, answer: WorkAnswer) -> None:
        """Record the load that an answer reports; deprioritise the server if it did not answer.

        The recorded load is 0 if no answer came from the node and this one was built locally. A
        refusal or an unknown outcome counts as no answer of the server.
        """
        requests = answer.running + answer.waiting
        self._load_by_instance[instance] = _ReportedLoad(requests, self._clock.now())
        if answer.answered is not None:
            self._deprioritised_until_by_instance.pop(instance, None)
            return
        self.deprioritise(instance, _deprioritise_seconds(answer.refused))

    def deprioritise(self, instance: InstanceId, seconds: float = _DEPRIORITISE_SECONDS) -> None:
        """Prefer other servers for a limited time."""
        self._deprioritised_until_by_instance[instance] = self._clock.now() + seconds

    def _is_deprioritised(self, instance: InstanceId) -> bool:
        return self._deprioritised_until_by_instance.get(instance, 0) > self._clock.now()

    def _cost(self, entry: NodeEntry) -> float:
        local = self._directory.local
        requests = float(self._in_flight_by_instance[entry.instance])
        reported = self._load_by_instance.get(entry.instance)
        if (
            reported is not None
            and self._clock.now() - reported.reported_at < _MAX_LOAD_AGE_SECONDS
        ):
            requests = max(requests, reported.requests)
        remote_penalty = 0 if entry.data_centre == local.data_centre else _REMOTE_PENALTY_REQUESTS
        # The random part, less than half a request, breaks ties.
        return requests + remote_penalty + random.random() / 2


def _deprioritise_seconds(refusal: NotRun | None) -> float:
    reason = None if refusal is None else refusal.reason
    seconds = _DEPRIORITISE_SECONDS_BY_REASON.get(reason, _DEPRIORITISE_SECONDS)
    # Jitter keeps the nodes from returning to a server at the same time.
    return seconds * random.uniform(0.7, 1.0)
