"""The node that this one follows for the contents of the store, or the store itself."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from turmericwharf.coordination.sidecar.source_selection import next_selection
from turmericwharf.coordination.sidecar.store_readers import StoreReaders
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import (
    NodeEntry,
    SourceEvent,
    SourceSelection,
    SourceState,
    StoreSourceDump,
)


class StoreSource:
    """Holds the selection, by which entries, configurations, evacuations and eras are fetched.

    Parameters
    ----------
    reads_store
        Set while this node reads the store itself.
    readers
        Selects the nodes that may be followed.
    """

    def __init__(self, reads_store: asyncio.Event, readers: StoreReaders) -> None:
        self.readers = readers
        self._reads_store = reads_store
        self._selection = SourceSelection(SourceState.READS_STORE)
        self._changed = asyncio.Event()
        self._changes_total = 0
        reads_store.set()

    @property
    def state(self) -> SourceState:
        """What this node does to learn of changes in the store."""
        return self._selection.state

    @property
    def followed(self) -> NodeEntry | None:
        """The node that this one follows, or None."""
        return self._selection.followed

    @property
    def changes_total(self) -> int:
        """How often the selection changed since the process started."""
        return self._changes_total

    @property
    def second_reader(self) -> NodeEntry | None:
        """A reader that this node does not follow; for a reader, the other one."""
        return self.readers.second_reader(self.followed)

    def apply(self, event: SourceEvent) -> None:
        """Change the selection after an event, and wake the operations that depend on it."""
        previous = self._selection
        self._selection = next_selection(event, previous)
        if previous == self._selection:
            return
        self._changes_total += 1
        logger.bind(
            state=self.state.value,
            instance=_name(self.followed),
            previous=_name(previous.followed),
        ).info('store_source_changed')
        self._switch_own_reads()
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_source(self) -> NodeEntry:
        """Wait until there is a node to follow, and return it."""
        while self.followed is None:
            await self._changed.wait()
        return self.followed

    async def run_while_followed(
        self,
        entry: NodeEntry,
        operation: Coroutine[Any, Any, object],
    ) -> None:
        """Run an operation on the followed node; cancel it once another selection is made."""
        running = asyncio.create_task(operation)
        change = asyncio.create_task(self._wait_while_followed(entry))
        try:
            await asyncio.wait((running, change), return_when=asyncio.FIRST_COMPLETED)
        finally:
            change.cancel()
            running.cancel()
        if running.done():
            running.result()

    async def _wait_while_followed(self, entry: NodeEntry) -> None:
        while self.followed is entry:
            await self._changed.wait()

    def _switch_own_reads(self) -> None:
        own_reads = self.state is SourceState.READS_STORE
        if own_reads == self._reads_store.is_set():
            return
        logger.bind(own_reads=own_reads).info('directory_source_changed')
        if own_reads:
            self._reads_store.set()
        else:
            self._reads_store.clear()


def _name(entry: NodeEntry | None) -> InstanceId | None:
    return None if entry is None else entry.instance


@describe.register
def _(part: StoreSource) -> StoreSourceDump:
    return StoreSourceDump(
        state=part.state.value,
        followed=_name(part.followed),
        changes_total=part.changes_total,
    )
