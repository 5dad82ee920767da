"""Which data centres are evacuated, by the records of the store and of other nodes."""

import itertools

import pytest

from turmericwharf.coordination.sidecar.evacuations import Evacuations
from turmericwharf.state.sidecar import ConfigurationReply, Evacuation, KeyedPage, KeyedRecord

EVACUATE, REVOKE = b'{}', b''


def make_page(next_offset, encoded=None, offset=0, *, is_complete=False, era=0) -> KeyedPage:
    records = {} if encoded is None else {'east': KeyedRecord(encoded, offset)}
    return KeyedPage({}, next_offset, era, records, is_complete)


def make_evacuations(*pages) -> Evacuations:
    evacuations = Evacuations()
    for page in pages:
        evacuations.apply_page(page)
    return evacuations


EVACUATED = make_page(8, EVACUATE, 7)
GONE = make_page(20, is_complete=True)


@pytest.mark.parametrize(
    ('page', 'is_evacuated'),
    [
        (make_page(9), True),
        (make_page(10, REVOKE, 9), False),
        (GONE, False),
        (make_page(20, EVACUATE, 7, is_complete=True), True),
        (make_page(20, REVOKE, 9, is_complete=True), False),
        # The store came back from a copy that is older than the evacuation.
        (make_page(6, is_complete=True), True),
        (make_page(20, is_complete=True, era=1), True),
        (make_page(6, REVOKE, 5, is_complete=True, era=1), True),
        (make_page(6, EVACUATE, 5, is_complete=True, era=1), True),
        # The operators have revoked it since.
        (make_page(7, REVOKE, 6, era=1), False),
    ],
)
def test_an_evacuation_holds_until_it_is_revoked(page, is_evacuated):
    """Guards against evacuations that are revoked by the loss of their record, and against those
    that last because the record of the revocation is gone.
    """
    evacuations = make_evacuations(EVACUATED, page)
    assert evacuations.covers('east') is is_evacuated
    assert not evacuations.covers('west')


RECORDS = (
    Evacuation('east', is_active=True, offset=7),
    Evacuation('east', is_active=False, offset=9),
    Evacuation('east', is_active=True, offset=3, era=1),
    Evacuation('west', is_active=True, offset=8),
)


def test_the_newest_record_wins_in_any_order_of_arrival():
    """Guards against nodes that disagree because they heard of the same records differently, and
    against an evacuation that comes back from a node that missed the revocation.
    """
    for order in itertools.permutations(RECORDS):
        evacuations = make_evacuations()
        for record in order:
            evacuations.merge((record,), source='peer')
        assert set(evacuations.all) == {RECORDS[2], RECORDS[3]}
    evacuations = make_evacuations(EVACUATED, GONE)
    evacuations.merge(RECORDS[:1], source='peer')
    assert not evacuations.covers('east')


@pytest.mark.parametrize(
    ('knows_evacuations', 'is_known'), [(False, False), (True, True), (None, True)]
)
def test_a_new_process_believes_only_nodes_that_have_learned_them(knows_evacuations, is_known):
    """Guards against processes that start together and assure each other that nothing is evacuated,
    and against one that never gets ready among nodes of an older build.
    """
    evacuations = make_evacuations()
    evacuations.apply_reply(
        ConfigurationReply(b'', knows_evacuations=knows_evacuations), source='n1'
    )
    assert evacuations.is_known is is_known
