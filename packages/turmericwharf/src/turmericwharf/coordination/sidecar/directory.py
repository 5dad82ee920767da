"""The nodes that a node knows, and which of them it can use."""

import asyncio
import dataclasses

from loguru import logger

from turmericwharf.coordination.ports import Clock
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import InstanceId, ServiceId
from turmericwharf.state.sidecar import (
    NOT_STORED,
    DirectoryDump,
    NodeEntry,
    ProcessId,
    ServerPhase,
    StoredEntry,
)

_FIRST_SUSPICION_SECONDS = 0.25
_LAST_SUSPICION_SECONDS = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Suspicion:
    """A node that did not answer, and how long it is left out."""

    until: float
    seconds: float


class NodeDirectory:
    """Entries of all known nodes by instance.

    Parameters
    ----------
    own
        The node itself.
    clock
        Clock of the node.
    """

    def __init__(self, own: NodeEntry, clock: Clock) -> None:
        self._clock = clock
        self._entries_by_id: dict[InstanceId, NodeEntry] = {}
        self._positions_by_id: dict[InstanceId, int] = {}
        self._changed_at_by_id: dict[InstanceId, int] = {}
        self._changed = asyncio.Event()
        self._suspicions_by_id: dict[InstanceId, _Suspicion] = {}
        self._met_by_id: dict[InstanceId, ProcessId] = {}
        self._local = own
        self.changes = 0

    @property
    def local(self) -> NodeEntry:
        """The own entry."""
        return self._local

    @local.setter
    def local(self, entry: NodeEntry) -> None:
        """Change the own entry."""
        self._local = entry
        self._note_change(entry.instance)

    @property
    def peers(self) -> list[NodeEntry]:
        """All other nodes."""
        return list(self._entries_by_id.values())

    @property
    def entries(self) -> tuple[NodeEntry, ...]:
        """All nodes with the own one."""
        return (self.local, *self._entries_by_id.values())

    def find(self, instance: InstanceId) -> NodeEntry | None:
        """Return the entry of another node, or None."""
        return self._entries_by_id.get(instance)

    def nodes_serving(self, service: ServiceId) -> list[NodeEntry]:
        """Return the nodes whose server of a service takes work."""
        return [
            entry
            for entry in self.entries
            if entry.service == service and entry.phase is ServerPhase.READY
        ]

    def entries_changed_after(self, number: int) -> tuple[StoredEntry, ...]:
        """Return the entries that changed after this many changes."""
        return tuple(
            StoredEntry(entry, self._positions_by_id.get(entry.instance, NOT_STORED))
            for entry in self.entries
            if self._changed_at_by_id.get(entry.instance, 0) > number
        )

    async def wait_for_change(self, number: int, timeout_seconds: float) -> None:
        """Wait until there are more than this many changes, or until the time is over."""
        try:
            async with asyncio.timeout(timeout_seconds):
                while self.changes <= number:
                    self._changed.clear()
                    await self._changed.wait()
        except TimeoutError:
            logger.debug('directory_unchanged')

    def apply(self, stored: StoredEntry, *, source: str) -> None:
        """Take an entry that came from the store, directly or over another node.

        Entries of one process are ordered by their revision, those of two processes by their
        position on the store.
        """
        entry = stored.entry
        known = self._entries_by_id.get(entry.instance)
        position = self._positions_by_id.get(entry.instance, NOT_STORED)
        if stored.position > position:
            self._positions_by_id[entry.instance] = stored.position
        elif known is not None and known.process != entry.process:
            return
        self._update(entry, source=source)

    def record_connection(self, entry: NodeEntry) -> None:
        """Take the entry of a node that a connection leads to."""
        self._met_by_id[entry.instance] = entry.process
        self._update(entry, source='connection')

    def record_disconnection(self, instance: InstanceId) -> None:
        """Note that the connection to a node ended."""
        self._met_by_id.pop(instance, None)

    def remove(self, key: str) -> None:
        """Forget a node that was removed from the store."""
        if self._entries_by_id.pop(InstanceId(key), None) is not None:
            self._note_change(InstanceId(key))
            logger.bind(instance=key).info('node_removed')

    def suspect(self, instance: InstanceId) -> None:
        """Leave a node out for a while that grows with each failure in a row."""
        last = self._suspicions_by_id.get(instance)
        seconds = _FIRST_SUSPICION_SECONDS
        if last is not None:
            seconds = min(last.seconds * 2, _LAST_SUSPICION_SECONDS)
        self._suspicions_by_id[instance] = _Suspicion(self._clock.now() + seconds, seconds)
        logger.bind(instance=instance, seconds=seconds).info('node_suspected')

    def clear_suspicion(self, instance: InstanceId) -> None:
        """Note that a node answered."""
        if self._suspicions_by_id.pop(instance, None) is not None:
            logger.bind(instance=instance).info('node_trusted')

    def is_suspected(self, instance: InstanceId) -> bool:
        """Whether a node is left out now."""
        suspicion = self._suspicions_by_id.get(instance)
        return suspicion is not None and suspicion.until > self._clock.now()

    def process_of(self, instance: InstanceId) -> ProcessId | None:
        """Return the process that runs on an instance as far as known."""
        entry = self._entries_by_id.get(instance)
        return None if entry is None else entry.process

    def _update(self, entry: NodeEntry, *, source: str) -> None:
        known = self._entries_by_id.get(entry.instance)
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
        self._entries_by_id[entry.instance] = entry
        self._note_change(entry.instance)
        self._suspicions_by_id.pop(entry.instance, None)

    def _note_change(self, instance: InstanceId) -> None:
        self.changes += 1
        self._changed_at_by_id[instance] = self.changes
        self._changed.set()

    def _is_older(self, entry: NodeEntry, known: NodeEntry) -> bool:
        if entry.process == known.process:
            return entry.revision <= known.revision
        # The process that a connection leads to is the one that runs.
        met = self._met_by_id.get(entry.instance)
        return met is not None and met != entry.process


@describe.register
def _(part: NodeDirectory) -> DirectoryDump:
    return DirectoryDump(
        nodes=part.entries,
        known_nodes=len(part.entries),
        suspected_nodes=sum(part.is_suspected(one.instance) for one in part.peers),
    )
