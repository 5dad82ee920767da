"""Entries of the processes that ran before the known ones on their machines."""

from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import NodeEntry, ServerPhase


class PredecessorEntries:
    """Keeps the last entry of the previous process of each instance.

    The entry of a new process replaces that of the previous one. If the store has lost the previous
    entry, only other nodes can tell the new process that its server has begun to leave.
    """

    def __init__(self) -> None:
        self._entries_by_instance: dict[InstanceId, NodeEntry] = {}

    def record(self, known: NodeEntry, successor: NodeEntry) -> None:
        """Record that the entry of another process replaces a known one."""
        if _is_predecessor(known, successor):
            self._entries_by_instance[known.instance] = known

    def find(self, successor: NodeEntry, known: NodeEntry | None) -> NodeEntry | None:
        """Return the last entry of the process before a given one, or None.

        Parameters
        ----------
        known
            Entry that is known of the instance; it may still be that of the previous process.
        """
        for candidate in (known, self._entries_by_instance.get(successor.instance)):
            if candidate is not None and _is_predecessor(candidate, successor):
                return candidate
        return None


def _is_predecessor(candidate: NodeEntry, successor: NodeEntry) -> bool:
    # A process that ended before it knew its server says nothing about the server.
    return candidate.process != successor.process and candidate.phase is not ServerPhase.ABSENT
