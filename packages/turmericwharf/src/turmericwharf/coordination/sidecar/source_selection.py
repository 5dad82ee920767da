"""Decides which node is followed, and which nodes replace readers that fail; without I/O."""

from collections.abc import Mapping, Sequence
from functools import singledispatch

from turmericwharf.state import InstanceId
from turmericwharf.state.sidecar import (
    CurrentNodeFound,
    NoSourceLeft,
    PollResult,
    SourceEvent,
    SourceLost,
    SourceSelection,
    SourceState,
)

# A reader may lose the store or stop at any time.
READER_COUNT = 2
# Nodes that are polled at once, the readers included.
CANDIDATE_COUNT = 4


@singledispatch
def next_selection(event: SourceEvent, selection: SourceSelection) -> SourceSelection:
    """Return the selection after an event."""
    raise NotImplementedError(f'no selection after {event!r}')


@next_selection.register
def _(event: SourceLost, selection: SourceSelection) -> SourceSelection:
    if selection.state is SourceState.FOLLOWS:
        return SourceSelection(SourceState.SEARCHES)
    return selection


@next_selection.register
def _(event: CurrentNodeFound, selection: SourceSelection) -> SourceSelection:
    return SourceSelection(SourceState.FOLLOWS, event.entry)


@next_selection.register
def _(event: NoSourceLeft, selection: SourceSelection) -> SourceSelection:
    return SourceSelection(SourceState.READS_STORE)


@singledispatch
def name_reason(event: SourceEvent) -> str:
    """Return why a node leaves its source, for the logs."""
    raise NotImplementedError(f'no reason for {event!r}')


@name_reason.register
def _(event: SourceLost) -> str:
    return event.result.value


@name_reason.register
def _(event: CurrentNodeFound) -> str:
    return 'preferred_source_current'


@name_reason.register
def _(event: NoSourceLeft) -> str:
    return 'became_reader'


def find_upstream(ranked: Sequence[InstanceId], local: InstanceId) -> list[InstanceId]:
    """Return the nodes that a node may follow, in this order; empty if it is a reader.

    A node that is not a reader follows only nodes ranked above it, so that no two nodes wait for
    each other.

    Parameters
    ----------
    ranked
        Nodes of the data centre by rank, without those that are known to be silent.
    """
    position = ranked.index(local) if local in ranked else len(ranked)
    if position < READER_COUNT:
        return []
    # The nodes are spread over the readers.
    first = position % READER_COUNT
    readers = [*ranked[first:READER_COUNT], *ranked[:first]]
    return [*readers, *ranked[READER_COUNT:position]][:CANDIDATE_COUNT]


def exclude_failed(
    ranked: Sequence[InstanceId],
    results_by_instance: Mapping[InstanceId, PollResult],
) -> list[InstanceId]:
    """Return the ranking without silent nodes, and without readers that are not current.

    The nodes ranked behind the readers are not current as long as a reader works, so for them this
    is no failure.
    """
    failures = {PollResult.SILENT, PollResult.BEHIND}
    failed_readers = {
        instance
        for instance in ranked[:READER_COUNT]
        if results_by_instance.get(instance) in failures
    }
    return [
        instance
        for instance in ranked
        if instance not in failed_readers
        and results_by_instance.get(instance) is not PollResult.SILENT
    ]
