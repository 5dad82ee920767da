"""Publishes the entry of this node to the store when its backend server changes."""

import asyncio
import dataclasses

from loguru import logger

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.ports import NodeStore
from turmericwharf.coordination.sidecar.store_era import StoreEra
from turmericwharf.state import LogFailure
from turmericwharf.state.sidecar import AnnouncedServer, NodeEntry, ServerPhase

_RETRY_DELAY_SECONDS = 0.3


class LocalNodePublisher:
    """Writes the local entry when it changes, and retries until the store accepts it.

    An entry that the store accepted in one era may be gone in the next. The local entry names the
    known era, so it changes with the era and is written again.

    Parameters
    ----------
    store
        Store of the entries of all nodes.
    directory
        Holds the local entry.
    era
        Highest known era of the store.
    """

    def __init__(self, store: NodeStore, directory: NodeDirectory, era: StoreEra) -> None:
        self._store = store
        self._directory = directory
        self._era = era
        self._written: NodeEntry | None = None
        self._changed = asyncio.Event()
        self._write_completed = asyncio.Event()
        era.subscribe(self._changed.set)

    def publish_server(self, server: AnnouncedServer) -> None:
        """Publish a new state of the backend server."""
        self._update(
            dataclasses.replace(
                self._directory.local,
                server=server.server,
                service=server.service,
                slots=server.slots,
                phase=server.phase,
                born=server.born,
                cold_seconds=server.cold_seconds or 0,
            ),
        )

    def publish_stopping(self) -> None:
        """Publish that the node accepts no more work."""
        if self._directory.local.phase is ServerPhase.READY:
            self._update(dataclasses.replace(self._directory.local, phase=ServerPhase.STOPPING))

    def republish(self) -> None:
        """Write the entry again after another writer changed or removed it."""
        self._written = None
        self._changed.set()

    async def run(self) -> None:
        """Write pending changes until cancelled."""
        self._changed.set()
        while True:
            await self._changed.wait()
            self._changed.clear()
            entry = self._directory.local
            if entry == self._written or entry.phase is ServerPhase.ABSENT:
                # A node has nothing to publish before its server is known.
                continue
            result = await self._store.publish(entry)
            if isinstance(result, LogFailure):
                logger.bind(detail=result.detail).info('own_entry_not_written')
                self._changed.set()
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
                continue
            self._written = entry
            # If the era has risen, the entry is written again: under the era that it names now, it
            # would be ordered before the entries of earlier processes.
            self._era.record(result.era, source='store')
            self._write_completed.set()

    async def wait_until_written(self, timeout_seconds: float) -> bool:
        """Wait until the newest entry is stored; return whether it was within the timeout."""
        try:
            async with asyncio.timeout(timeout_seconds):
                while self._written != self._directory.local:
                    self._write_completed.clear()
                    await self._write_completed.wait()
        except TimeoutError:
            return False
        return True

    def _update(self, entry: NodeEntry) -> None:
        local = self._directory.local
        if entry != local:
            self._directory.local = dataclasses.replace(entry, revision=local.revision + 1)
            self._changed.set()
