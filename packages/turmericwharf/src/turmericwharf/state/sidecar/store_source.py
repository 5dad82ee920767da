"""Where a node gets the contents of the store from."""

import dataclasses
import enum

from turmericwharf.state.sidecar.nodes import NodeEntry, ProcessId


class SourceState(enum.Enum):
    """What a node does to learn of changes in the store."""

    FOLLOWS = 'follows'
    SEARCHES = 'searches'
    READS_STORE = 'reads_store'


class PollResult(enum.Enum):
    """What a node said of itself when it was polled.

    `BEHIND` is a node that answers, but does not read the store, or has not been answered by it
    recently.
    """

    CURRENT = 'current'
    BEHIND = 'behind'
    SILENT = 'silent'


@dataclasses.dataclass(frozen=True, slots=True)
class SourceSelection:
    """State of a node, and the node that it follows; None in the other states."""

    state: SourceState
    followed: NodeEntry | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SourceLost:
    """The followed node was silent, or not current any more."""

    result: PollResult


@dataclasses.dataclass(frozen=True, slots=True)
class CurrentNodeFound:
    """A node that may be followed is current."""

    entry: NodeEntry


@dataclasses.dataclass(frozen=True, slots=True)
class NoSourceLeft:
    """No node that may be followed is current, or this node is a reader."""


SourceEvent = SourceLost | CurrentNodeFound | NoSourceLeft


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """Silence of a process, and when it is polled again (clock time)."""

    process: ProcessId
    poll_at: float
    interval_seconds: float
