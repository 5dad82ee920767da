"""Gives a server that has just joined its requests little by little.

Load pattern: a server joins while the others are busy. It looks idle to each of many entry nodes,
which would all send their next requests there at the same moment, before its first run has shown
how fast it is.
"""

import random

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import InstanceId, ServiceId
from turmericwharf.state.sidecar import NodeEntry, ServerId

# A server that has joined takes part in the work fully after this time.
SLOW_START_SECONDS = 3.0
_Start = tuple[ServerId, int]


class SlowStart:
    """Times at which this node first saw the starts of servers.

    The servers that are known when the first request for a service is placed count as established.

    Parameters
    ----------
    clock
        Clock of the node.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._starts_by_instance: dict[InstanceId, tuple[_Start, float]] = {}
        self._known_services: set[ServiceId] = set()

    def observe(self, service: ServiceId, entries: list[NodeEntry]) -> None:
        """Note the servers of a service that are new to this node."""
        is_first = service not in self._known_services
        self._known_services.add(service)
        seen_at = self._clock.now() - SLOW_START_SECONDS * is_first
        for entry in entries:
            start = (entry.server, entry.born)
            known = self._starts_by_instance.get(entry.instance)
            if known is None or known[0] != start:
                self._starts_by_instance[entry.instance] = (start, seen_at)

    def holds_back(self, instance: InstanceId) -> bool:
        """Return whether a request prefers other servers, with a probability that decreases."""
        known = self._starts_by_instance.get(instance)
        if known is None:
            return False
        elapsed_fraction = (self._clock.now() - known[1]) / SLOW_START_SECONDS
        return elapsed_fraction < 1 and random.random() >= elapsed_fraction
