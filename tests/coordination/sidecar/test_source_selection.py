import pytest

from tests.coordination.sidecar.samples import make_entry
from turmericwharf.coordination.sidecar.source_selection import (
    exclude_failed,
    find_upstream,
    name_reason,
    next_selection,
)
from turmericwharf.state.sidecar import (
    CurrentNodeFound,
    NoSourceLeft,
    PollResult,
    SourceLost,
    SourceSelection,
    SourceState,
)

RANKED = [f'n{number}' for number in range(8)]
ENTRY = make_entry('n0')
OTHER = make_entry('n1')
FOLLOWS = SourceSelection(SourceState.FOLLOWS, ENTRY)
SEARCHES = SourceSelection(SourceState.SEARCHES)
READS_STORE = SourceSelection(SourceState.READS_STORE)


@pytest.mark.parametrize(
    ('before', 'event', 'after'),
    [
        (FOLLOWS, SourceLost(PollResult.SILENT), SEARCHES),
        (FOLLOWS, SourceLost(PollResult.BEHIND), SEARCHES),
        (FOLLOWS, CurrentNodeFound(OTHER), SourceSelection(SourceState.FOLLOWS, OTHER)),
        (FOLLOWS, NoSourceLeft(), READS_STORE),
        (SEARCHES, SourceLost(PollResult.SILENT), SEARCHES),
        (SEARCHES, CurrentNodeFound(ENTRY), FOLLOWS),
        (SEARCHES, NoSourceLeft(), READS_STORE),
        (READS_STORE, SourceLost(PollResult.SILENT), READS_STORE),
        (READS_STORE, CurrentNodeFound(ENTRY), FOLLOWS),
        (READS_STORE, NoSourceLeft(), READS_STORE),
    ],
)
def test_each_event_in_each_state(before, event, after):
    """Guards against a node that neither follows another one nor reads the store."""
    assert next_selection(event, before) == after


@pytest.mark.parametrize(
    ('event', 'reason'),
    [
        (SourceLost(PollResult.SILENT), 'silent'),
        (SourceLost(PollResult.BEHIND), 'behind'),
        (CurrentNodeFound(OTHER), 'preferred_source_current'),
        (NoSourceLeft(), 'became_reader'),
    ],
)
def test_each_event_names_its_reason(event, reason):
    """Guards against logs that don't tell a silent reader from one that is cut off."""
    assert name_reason(event) == reason


def test_a_node_follows_only_nodes_above_it():
    """Guards against two nodes that wait for each other, and against readers that all share."""
    assert find_upstream(RANKED, 'n0') == find_upstream(RANKED, 'n1') == []
    assert find_upstream(RANKED, 'n2') == ['n0', 'n1']
    assert find_upstream(RANKED, 'n3') == ['n1', 'n0', 'n2']
    assert find_upstream(RANKED, 'n7') == ['n1', 'n0', 'n2', 'n3']


@pytest.mark.parametrize(
    ('results_by_instance', 'remaining'),
    [
        ({'n0': 'silent', 'n1': 'silent', 'n2': 'behind', 'n3': 'behind'}, RANKED[2:]),
        ({'n0': 'silent', 'n1': 'silent', 'n2': 'silent', 'n3': 'behind'}, RANKED[3:]),
        ({'n0': 'behind', 'n1': 'behind', 'n2': 'behind'}, RANKED[2:]),
        ({'n0': 'silent', 'n1': 'behind', 'n2': 'behind'}, RANKED[2:]),
    ],
)
def test_the_next_in_rank_replace_readers_that_are_silent_or_behind(results_by_instance, remaining):
    """Guards against a data centre in which all nodes, or none, take the place of the readers."""
    results = {name: PollResult(result) for name, result in results_by_instance.items()}
    assert exclude_failed(RANKED, results) == remaining
