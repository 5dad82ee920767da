"""Directory of the known nodes, with failure suspicion."""

import asyncio
import dataclasses

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.predecessor_entries import PredecessorEntries
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import InstanceId, ServiceId
from turmericwharf.state.sidecar import (
    NOT_STORED,
    DirectoryDump,
    LogPosition,
    NodeEntry,
    ProcessId,
    ServerPhase,
    StoredEntry,
)

_MIN_SUSPICION_SECONDS = 0.25
_MAX_SUSPICION_SECONDS = 4.0
# Before that of any entry that was read from the store.
_NO_POSITION: LogPosition = (0, NOT_STORED)


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    """Time until which a node that did not answer is suspected, and the length of that time."""

    until: float
    duration_seconds: float


class NodeDirectory:
    """Entries of all known nodes, by instance.

    Parameters
    ----------
    local
        Entry of this node.
    clock
        Clock of the node.
    """

    def __init__(self, local: NodeEntry, clock: Clock) -> None:
        self._clock = clock
        self._entries_by_instance: dict[InstanceId, NodeEntry] = {}
        self._positions_by_instance: dict[InstanceId, LogPosition] = {}
        self._change_numbers_by_instance: dict[InstanceId, int] = {}
        self._changed = asyncio.Event()
        self._suspicions_by_instance: dict[InstanceId, _Suspicion] = {}
        self._connected_processes_by_instance: dict[InstanceId, ProcessId] = {}
        self._local = local
        self.change_number = 0
        self.predecessors = PredecessorEntries()

    @property
    def local(self) -> NodeEntry:
        """Entry of this node."""
        return self._local

    @local.setter
    def local(self, entry: NodeEntry) -> None:
        """Replace the entry and count a change."""
        self._local = entry
        self._record_change(entry.instance)

    @property
    def peers(self) -> list[NodeEntry]:
        """Entries of all other nodes."""
        return list(self._entries_by_instance.values())

    @property
    def entries(self) -> tuple[NodeEntry, ...]:
        """Entries of all nodes, this one included."""
        return (self.local, *self._entries_by_instance.values())

    def find(self, instance: InstanceId) -> NodeEntry | None:
        """Return the entry of another node, or None."""
        return self._entries_by_instance.get(instance)

    def nodes_serving(self, service: ServiceId) -> list[NodeEntry]:
        """Return the nodes whose server runs a service and is ready."""
        return [
            entry
            for entry in self.entries
            if entry.service == service and entry.phase is ServerPhase.READY
        ]

    def entries_changed_after(self, change_number: int) -> tuple[StoredEntry, ...]:
        """Return the entries whose last change has a higher number than the one given."""
        return tuple(
            _at_position(entry, self._positions_by_instance.get(entry.instance, _NO_POSITION))
            for entry in self.entries
            if self._change_numbers_by_instance.get(entry.instance, 0) > change_number
        )

    async def wait_for_change(self, after: int, timeout_seconds: float) -> bool:
        """Wait until the number of the last change exceeds `after`; return False on a timeout."""
        try:
            async with asyncio.timeout(timeout_seconds):
                while self.change_number <= after:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            logger.debug('directory_unchanged')
            return False
        return True

    def apply(self, stored: StoredEntry, *, source: str) -> None:
        """Apply an entry read from the store, directly or through another node.

        Entries of the same process are ordered by revision, entries of different processes by
        their position in the store, which is the era and the offset in it.
        """
        entry = stored.entry
        known = self._entries_by_instance.get(entry.instance)
        position = self._positions_by_instance.get(entry.instance, _NO_POSITION)
        if stored.position != NOT_STORED and stored.log_position > position:
            self._positions_by_instance[entry.instance] = stored.log_position
        elif known is not None and known.process != entry.process:
            return
        self._update(entry, source=source)

    def record_connection(self, entry: NodeEntry) -> None:
        """Apply the entry that a node sent over a new connection."""
        self._connected_processes_by_instance[entry.instance] = entry.process
        self._update(entry, source='connection')

    def record_disconnection(self, instance: InstanceId) -> None:
        """Record that the connection to a node ended."""
        self._connected_processes_by_instance.pop(instance, None)

    def remove(self, key: str) -> None:
        """Drop a node that was removed from the store."""
        if self._entries_by_instance.pop(InstanceId(key), None) is not None:
            self._record_change(InstanceId(key))
            logger.bind(instance=key).info('node_removed')

    def suspect(self, instance: InstanceId) -> None:
        """Suspect a node for a time that doubles with each consecutive failure, up to a maximum."""
        previous = self._suspicions_by_instance.get(instance)
        seconds = _MIN_SUSPICION_SECONDS
        if previous is not None:
            seconds = min(previous.duration_seconds * 2, _MAX_SUSPICION_SECONDS)
        self._suspicions_by_instance[instance] = _Suspicion(self._clock.now() + seconds, seconds)
        logger.bind(instance=instance, seconds=seconds).info('node_suspected')

    def clear_suspicion(self, instance: InstanceId) -> None:
        """End the suspicion of a node that answered."""
        if self._suspicions_by_instance.pop(instance, None) is not None:
            logger.bind(instance=instance).info('node_trusted')

    def is_suspected(self, instance: InstanceId) -> bool:
        """Whether the time for which a node is suspected has not passed yet."""
        suspicion = self._suspicions_by_instance.get(instance)
        return suspicion is not None and suspicion.until > self._clock.now()

    def process_of(self, instance: InstanceId) -> ProcessId | None:
        """Return the last known process of an instance, or None."""
        entry = self._entries_by_instance.get(instance)
        return None if entry is None else entry.process

    def _update(self, entry: NodeEntry, *, source: str) -> None:
        known = self._entries_by_instance.get(entry.instance)
        if entry.instance == self.local.instance or known == entry:
            return
        if known is not None and self._is_older(entry, known):
            return
        logger.bind(
            instance=entry.instance,
            server=entry.server,
            phase=entry.phase.value,
            source=source,
        ).info('node_entry_changed')
        if known is not None:
            self.predecessors.record(known, entry)
        self._entries_by_instance[entry.instance] = entry
        self._record_change(entry.instance)
        self._suspicions_by_instance.pop(entry.instance, None)

    def _record_change(self, instance: InstanceId) -> None:
        self.change_number += 1
        self._change_numbers_by_instance[instance] = self.change_number
        self._changed.set()

    def _is_older(self, entry: NodeEntry, known: NodeEntry) -> bool:
        if entry.process == known.process:
            return entry.revision <= known.revision
        # The process at the other end of a live connection is the one that runs.
        connected = self._connected_processes_by_instance.get(entry.instance)
        return connected is not None and connected != entry.process


def _at_position(entry: NodeEntry, position: LogPosition) -> StoredEntry:
    era, offset = position
    return StoredEntry(entry, offset, era)


@describe.register
def _(part: NodeDirectory) -> DirectoryDump:
    return DirectoryDump(
        nodes=part.entries,
        known_nodes=len(part.entries),
        suspected_nodes=sum(part.is_suspected(peer.instance) for peer in part.peers),
    )
