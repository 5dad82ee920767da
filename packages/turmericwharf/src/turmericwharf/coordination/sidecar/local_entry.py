"""Keeps the own entry on the store in step with the backend server beside the node."""

import asyncio
import dataclasses

from loguru import logger

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.ports import NodeStore
from turmericwharf.state import LogFailure
from turmericwharf.state.sidecar import AnnouncedServer, NodeEntry, ServerPhase

_RETRY_SECONDS = 0.3


class LocalEntryPublisher:
    """Writes the own entry when it changes, until the store has taken it.

    Parameters
    ----------
    store
        Entries of all nodes.
    directory
        Holds the own entry.
    """

    def __init__(self, store: NodeStore, directory: NodeDirectory) -> None:
        self._store = store
        self._directory = directory
        self._written: NodeEntry | None = None
        self._changed = asyncio.Event()
        self._wrote = asyncio.Event()

    def publish_server(self, server: AnnouncedServer) -> None:
        """Publish another state of the backend server."""
        self._change(
            dataclasses.replace(
                self._directory.local,
                server=server.server,
                service=server.service,
                slots=server.slots,
                phase=server.phase,
                born=server.born,
            ),
        )

    def publish_stopping(self) -> None:
        """Publish that the node takes no more work."""
        if self._directory.local.phase is ServerPhase.READY:
            self._change(dataclasses.replace(self._directory.local, phase=ServerPhase.STOPPING))

    def republish(self) -> None:
        """Write the entry once more, as somebody else has changed or removed it."""
        self._written = None
        self._changed.set()

    async def run(self) -> None:
        """Write changes until cancelled."""
        self._changed.set()
        while True:
            await self._changed.wait()
            self._changed.clear()
            entry = self._directory.local
            if entry == self._written or entry.phase is ServerPhase.ABSENT:
                # Before its server is known, a node has nothing to tell.
                continue
            failure = await self._store.publish(entry)
            if isinstance(failure, LogFailure):
                logger.bind(detail=failure.detail).info('own_entry_not_written')
                self._changed.set()
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            self._written = entry
            self._wrote.set()

    async def wait_until_written(self, timeout_seconds: float) -> bool:
        """Wait until the store has the newest entry; return whether it does."""
        try:
            async with asyncio.timeout(timeout_seconds):
                while self._written != self._directory.local:
                    self._wrote.clear()
                    await self._wrote.wait()
        except TimeoutError:
            return False
        return True

    def _change(self, entry: NodeEntry) -> None:
        own = self._directory.local
        if entry != own:
            self._directory.local = dataclasses.replace(entry, revision=own.revision + 1)
            self._changed.set()
