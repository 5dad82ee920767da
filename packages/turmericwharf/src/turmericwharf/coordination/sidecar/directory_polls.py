"""Polls other nodes for the entries that they received since an earlier reply."""

import dataclasses

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.node_entry_updates import NodeEntryUpdates
from turmericwharf.coordination.sidecar.ports import FleetLinks
from turmericwharf.coordination.sidecar.source_times import SourceTimes
from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import (
    DirectoryReply,
    DirectoryRequest,
    NodeEntry,
    PollResult,
    ProcessId,
)


@dataclasses.dataclass(frozen=True, slots=True)
class _ChangeCursor:
    """Number of the last change received from a process."""

    process: ProcessId
    change_number: int = 0


class DirectoryPolls:
    """Polls nodes, and applies the entries of their replies.

    Parameters
    ----------
    directory
        Known nodes.
    links
        Connections to other nodes.
    updates
        Applies the entries from another node.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        links: FleetLinks,
        updates: NodeEntryUpdates,
    ) -> None:
        self._directory = directory
        self._links = links
        self._updates = updates
        self._cursors_by_instance: dict[InstanceId, _ChangeCursor] = {}

    async def wait_until_silent(self, peer: NodeEntry, times: SourceTimes) -> None:
        """Wait until a node does not answer a ping."""
        await self._links.wait_until_silent(
            peer,
            interval_seconds=times.ping_interval_seconds,
            timeout_seconds=times.answer_seconds,
        )

    async def poll(
        self,
        peer: NodeEntry,
        *,
        wait_seconds: float = 0,
        timeout_seconds: float,
    ) -> PollResult:
        """Apply the changes that a node reports.

        A node counts as current if it reads the store, is connected to it, and knows its era.

        Parameters
        ----------
        wait_seconds
            Longest time that the node may wait for a change before it replies.
        timeout_seconds
            Time beyond `wait_seconds` after which the node counts as silent.
        """
        cursor = self._cursors_by_instance.get(peer.instance, _ChangeCursor(peer.process))
        reply = await self._links.request(
            peer,
            DirectoryRequest(
                cursor.process, cursor.change_number, wait_seconds, self._directory.local.era
            ),
            timeout_seconds=wait_seconds + timeout_seconds,
        )
        if not isinstance(reply, DirectoryReply):
            return PollResult.SILENT
        self._cursors_by_instance[peer.instance] = _ChangeCursor(reply.process, reply.changes)
        self._updates.apply_reply(reply, source=peer.instance)
        is_current = reply.is_current and reply.era >= self._directory.local.era
        return PollResult.CURRENT if is_current else PollResult.BEHIND
