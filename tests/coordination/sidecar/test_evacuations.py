"""Which data centres are evacuated, by the records of the store and of other nodes."""

import itertools

import pytest

from turmericwharf.coordination.sidecar.evacuations import Evacuations
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.state.sidecar import ConfigurationReply, Evacuation, KeyedPage, KeyedRecord

EVACUATE, REVOKE = b'{}', b''


def make_page(next_offset, *records, is_complete=False, era=0) -> KeyedPage:
    return KeyedPage(
        {},
        next_offset,
        evacuations_by_data_centre={
            data_centre: KeyedRecord(encoded, offset) for data_centre, encoded, offset in records
        },
        is_complete=is_complete,
        era=era,
    )


def make_evacuations(*pages) -> Evacuations:
    evacuations = Evacuations(StartupKnowledge())
    for page in pages:
        evacuations.apply_page(page)
    return evacuations


EVACUATED = make_page(8, ('east', EVACUATE, 7))


def test_an_evacuation_holds_until_its_key_is_removed():
    """Guards against requests to an evacuated data centre, and against one that stays empty."""
    evacuations = make_evacuations(EVACUATED)
    assert evacuations.covers('east') and not evacuations.covers('west')
    evacuations.apply_page(make_page(9))
    assert evacuations.covers('east')
    evacuations.apply_page(make_page(10, ('east', REVOKE, 9)))
    assert not evacuations.covers('east')


@pytest.mark.parametrize(
    ('page', 'is_evacuated'),
    [
        (make_page(20, is_complete=True), False),
        (make_page(20, ('east', EVACUATE, 7), is_complete=True), True),
        (make_page(20, ('east', REVOKE, 9), is_complete=True), False),
        # The store came back from a copy that is older than the evacuation.
        (make_page(6, is_complete=True), True),
        (make_page(20, is_complete=True, era=1), True),
        (make_page(6, ('east', REVOKE, 5), is_complete=True, era=1), True),
        (make_page(6, ('east', EVACUATE, 5), is_complete=True, era=1), True),
        # The operators have revoked it since.
        (make_page(7, ('east', REVOKE, 6), era=1), False),
    ],
)
def test_a_complete_page_revokes_only_what_the_store_has_known(page, is_evacuated):
    """Guards against evacuations that are revoked by the loss of their record, and against those
    that last because the record of the revocation is gone.
    """
    assert make_evacuations(EVACUATED, page).covers('east') is is_evacuated


RECORDS = (
    Evacuation('east', is_active=True, offset=7),
    Evacuation('east', is_active=False, offset=9),
    Evacuation('east', is_active=True, offset=3, era=1),
    Evacuation('west', is_active=True, offset=8),
)


@pytest.mark.parametrize('order', tuple(itertools.permutations(RECORDS)))
def test_the_newest_record_wins_in_any_order_of_arrival(order):
    """Guards against nodes that disagree because they heard of the same records differently."""
    evacuations = make_evacuations()
    for record in order:
        evacuations.merge((record,), source='peer')
    assert set(evacuations.all) == {RECORDS[2], RECORDS[3]}


def test_a_revocation_without_a_record_is_newer_than_the_evacuation_at_other_nodes():
    """Guards against a node that evacuates again because another one missed the revocation."""
    evacuations = make_evacuations(EVACUATED, make_page(20, is_complete=True))
    evacuations.merge((Evacuation('east', is_active=True, offset=7),), source='peer')
    assert not evacuations.covers('east')
    evacuations.merge((Evacuation('east', is_active=True, offset=20),), source='peer')
    assert evacuations.covers('east')


def test_a_new_process_needs_the_evacuations_of_others_too():
    """Guards against a process that is ready while only other nodes know an evacuation, since the
    store lost its record.
    """
    evacuations = make_evacuations(make_page(4, is_complete=True))
    assert not evacuations.is_known
    evacuations.record_peers_asked()
    assert evacuations.is_known


@pytest.mark.parametrize(
    ('knows_evacuations', 'is_known'), [(False, False), (True, True), (None, True)]
)
def test_a_new_process_believes_only_nodes_that_have_learned_them(knows_evacuations, is_known):
    """Guards against processes that start together and assure each other that nothing is evacuated,
    and against one that never gets ready among nodes of an older build.
    """
    evacuations = make_evacuations()
    evacuations.record_peers_asked()
    evacuations.apply_reply(
        ConfigurationReply(b'', knows_evacuations=knows_evacuations), source='n1'
    )
    assert evacuations.is_known is is_known
