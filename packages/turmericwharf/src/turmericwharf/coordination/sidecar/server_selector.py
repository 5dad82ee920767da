"""Chooses the node whose backend server gets a request."""

import collections
import dataclasses
import random
from collections.abc import Mapping, Set
from types import MappingProxyType

from turmericwharf.coordination.ports import Clock
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.state import InstanceId, Reason, ServiceId
from turmericwharf.state.sidecar import NodeEntry, WorkAnswer

# An older load says little about the requests that other nodes send now.
_LOAD_SECONDS = 1.0
# A server in another data centre is worth its bytes only if the near ones have this many
# requests more.
_FAR_REQUESTS = 8.0
_AVOID_SECONDS = 0.3
_AVOID_SECONDS_BY_REASON: Mapping[Reason | None, float] = MappingProxyType(
    {Reason.BREAKER_OPEN: 1.0, Reason.QUEUE_FULL: 0.15, Reason.SERVER_DRAINING: 1.0},
)


@dataclasses.dataclass(frozen=True, slots=True)
class _HeardLoad:
    """Requests at a server and in the queue beside it, and when this was heard."""

    requests: int
    heard_at: float


class ServerSelector:
    """Chooses by requests in flight and reported load; near servers come first.

    Parameters
    ----------
    directory
        Known nodes.
    clock
        Clock of the node.
    """

    def __init__(self, directory: NodeDirectory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock
        self._in_flight_by_id: collections.Counter[InstanceId] = collections.Counter()
        self._load_by_id: dict[InstanceId, _HeardLoad] = {}
        self._avoided_until_by_id: dict[InstanceId, float] = {}

    def select(self, service: ServiceId, excluded: Set[InstanceId]) -> NodeEntry | None:
        """Return the best node, or None if there is none left."""
        usable = [
            entry
            for entry in self._directory.nodes_serving(service)
            if entry.instance not in excluded
        ]
        trusted = [one for one in usable if not self._directory.is_suspected(one.instance)]
        wanted = [one for one in trusted if not self._is_avoided(one.instance)]
        return min(wanted or trusted or usable, key=self._cost, default=None)

    def last_reported_load(self, instance: InstanceId) -> tuple[int, float | None]:
        """Return the requests at a server as last heard, and the age of that in seconds."""
        heard = self._load_by_id.get(instance)
        if heard is None:
            return 0, None
        return heard.requests, round(self._clock.now() - heard.heard_at, 3)

    def start(self, instance: InstanceId) -> None:
        """Count an attempt that starts."""
        self._in_flight_by_id[instance] += 1

    def end(self, instance: InstanceId) -> None:
        """Count an attempt that ended."""
        self._in_flight_by_id[instance] -= 1
        if self._in_flight_by_id[instance] <= 0:
            self._in_flight_by_id.pop(instance)

    def record_answer(self, instance: InstanceId, answer: WorkAnswer) -> None:
        """Note the load that came with an answer."""
        requests = answer.running + answer.waiting
        self._load_by_id[instance] = _HeardLoad(requests, self._clock.now())
        if answer.answered is not None:
            self._avoided_until_by_id.pop(instance, None)
            return
        reason = None if answer.refused is None else answer.refused.reason
        self.avoid(instance, _AVOID_SECONDS_BY_REASON.get(reason, _AVOID_SECONDS))

    def avoid(self, instance: InstanceId, seconds: float = _AVOID_SECONDS) -> None:
        """Prefer other servers for a short while."""
        self._avoided_until_by_id[instance] = self._clock.now() + seconds

    def _is_avoided(self, instance: InstanceId) -> bool:
        return self._avoided_until_by_id.get(instance, 0) > self._clock.now()

    def _cost(self, entry: NodeEntry) -> float:
        own = self._directory.local
        requests = float(self._in_flight_by_id[entry.instance])
        heard = self._load_by_id.get(entry.instance)
        if heard is not None and self._clock.now() - heard.heard_at < _LOAD_SECONDS:
            requests = max(requests, heard.requests)
        far = 0 if entry.data_centre == own.data_centre else _FAR_REQUESTS
        return requests + far + random.random() / 2
