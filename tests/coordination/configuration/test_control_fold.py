"""Folding of the control stream: conflicts, retried publish ids and validation."""

import dataclasses
import json

import pytest

from tests.fleet_processes import example_change
from turmericwharf.coordination import fold_record
from turmericwharf.coordination.configuration import control_fold
from turmericwharf.protocol import decode_record, digest_key
from turmericwharf.state import (
    ControlState,
    Key,
    ObjectKind,
    Organisation,
    Publish,
    Removal,
    StoredRecord,
)

DIGEST = digest_key('a key')
KEY = Key(DIGEST, 'key-1', 'cafe-chain')


def folded(*records, state=None):
    state = state or ControlState()
    for record in records:
        state = fold_record(state, StoredRecord(state.version + 1, record))
    return state


def publish(publish_id, base_version, **changes):
    return Publish(publish_id, base_version, f'operator of {publish_id}', **changes)


def start():
    plain = {'publish_id': 'start', 'base_version': -1, 'operator': 'ann', **example_change()}
    return folded(decode_record({'type': 'publish', 'record': plain}))


def receipt(state, publish_id):
    return state.configuration.receipts_by_publish_id[publish_id]


def rate(number):
    return (Organisation('cafe-chain', number, 10.0),)


def test_of_two_changes_of_one_object_the_first_in_the_log_wins():
    """Guards against an overwritten change, and a rejection that lacks the conflicting change."""
    first, second = (
        publish('a', 0, organisations=rate(1.0)),
        publish('b', 0, organisations=rate(2.0), keys=(KEY,)),
    )
    state = folded(first, second, state=start())
    assert state.configuration.organisations_by_id['cafe-chain'].rate_per_second == 1.0
    assert DIGEST not in state.configuration.keys_by_digest
    (conflict,) = receipt(state, 'b').conflicts
    assert (conflict.object_name, conflict.publish_id, conflict.operator, conflict.version) == (
        'organisation/cafe-chain',
        'a',
        'operator of a',
        1,
    )


def test_unrelated_changes_do_not_conflict():
    """Guards against a conflict check on the global version, which rejects unrelated changes."""
    state = folded(
        publish('a', 0, organisations=rate(1.0)), publish('b', 0, keys=(KEY,)), state=start()
    )
    assert receipt(state, 'b').accepted


def test_a_publish_id_is_applied_once():
    """Guards against an append that is retried after a lost answer and reverts a later change."""
    first = publish('a', 0, organisations=rate(1.0))
    state = folded(first, publish('b', 1, organisations=rate(2.0)), first, state=start())
    assert state.configuration.organisations_by_id['cafe-chain'].rate_per_second == 2.0
    assert receipt(state, 'a').accepted


def test_receipts_are_bounded(monkeypatch):
    """Guards against receipts whose memory use grows with every change."""
    monkeypatch.setattr(control_fold, '_MAX_RECEIPTS', 3)
    changes = [publish(f'p{one}', one, organisations=rate(one + 1.0)) for one in range(9)]
    state = folded(*changes, state=start())
    assert list(state.configuration.receipts_by_publish_id) == ['p6', 'p7', 'p8']
    late = folded(publish('late', 0, organisations=rate(7.0)), state=state)
    assert not receipt(late, 'late').accepted


def test_a_withdrawn_key_never_comes_back():
    """Guards against a withdrawn key that a later change, a new id or organisation restores."""
    withdrawn = dataclasses.replace(KEY, withdrawn=True)
    other = Organisation('other', 1.0, 1.0)
    state = folded(
        publish('a', 0, keys=(KEY,), organisations=(other,)),
        publish('b', 1, keys=(withdrawn,)),
        publish('c', 2, keys=(KEY,)),
        publish('d', 2, keys=(dataclasses.replace(KEY, key_id='key-2'),)),
        publish('e', 2, keys=(Key(digest_key('another key'), 'key-1', 'other'),)),
        publish('f', 2, keys=(dataclasses.replace(KEY, organisation='other'),)),
        state=start(),
    )
    assert state.configuration.keys_by_digest == {DIGEST: withdrawn}
    assert not any(receipt(state, one).accepted for one in 'cdef')


def test_removals_conflict_with_changes_based_on_earlier_versions():
    """Guards against a change with a base version before a removal that restores the object."""
    state = folded(
        publish('a', 0, removals=(Removal(ObjectKind.ORGANISATION, 'cafe-chain'),)),
        publish('b', 0, organisations=rate(5.0)),
        publish('c', 1, organisations=rate(6.0)),
        state=start(),
    )
    assert receipt(state, 'a').accepted
    assert receipt(state, 'b').conflicts[0].publish_id == 'a'
    assert state.configuration.organisations_by_id['cafe-chain'].rate_per_second == 6.0


ROUTE = example_change()['routes'][0]
INVALID = {
    'rate zero': (
        {'organisations': [{**ROUTE, 'organisation': 'x', 'rate_per_second': 0, 'burst': 1}]},
        'rate_per_second',
    ),
    'burst below 0': (
        {'organisations': [{'organisation': 'x', 'rate_per_second': 1, 'burst': -1}]},
        'burst',
    ),
    'name': (
        {'organisations': [{'organisation': 'a b', 'rate_per_second': 1, 'burst': 1}]},
        'organisation',
    ),
    'floor': ({'services': [{'service': 'x', 'floor_fraction': 1.5}]}, 'floor_fraction'),
    'time': (
        {'classes': [{'work_class': 'x', 'answer_within_milliseconds': 0}]},
        'answer_within_milliseconds',
    ),
    'service': ({'routes': [{**ROUTE, 'service': 'none'}]}, 'service'),
    'class': ({'routes': [{**ROUTE, 'work_class': 'none'}]}, 'work_class'),
    'method': ({'routes': [{**ROUTE, 'methods': ['get']}]}, 'methods'),
    'path': ({'routes': [{**ROUTE, 'path_prefix': 'catalogue'}]}, 'path_prefix'),
    'dots': ({'routes': [{**ROUTE, 'path_prefix': '/a/../b'}]}, 'path_prefix'),
    'twin': ({'routes': [{**ROUTE, 'route': 'twin', 'path_prefix': '/catalogue/'}]}, 'path_prefix'),
    'owner': (
        {'keys': [{'digest': DIGEST, 'key_id': 'k', 'organisation': 'none'}]},
        'organisation',
    ),
    'digest': (
        {'keys': [{'digest': 'tw_1', 'key_id': 'k', 'organisation': 'cafe-chain'}]},
        'digest',
    ),
    'used': ({'removals': [{'kind': 'service', 'name': 'catalogue'}]}, 'name'),
    'gone': ({'removals': [{'kind': 'route', 'name': 'none'}]}, 'name'),
    'twice': ({'services': [{'service': 'x'}, {'service': 'x'}]}, 'name'),
    'future': ({'base_version': 1, 'services': [{'service': 'x'}]}, 'base_version'),
    'empty': ({}, 'objects'),
}


@pytest.mark.parametrize('name', INVALID)
def test_an_invalid_change_is_rejected_as_a_whole(name):
    """Guards against a configuration with which requests cannot be served."""
    changes, field = INVALID[name]
    plain = {'publish_id': 'bad', 'base_version': 0, 'operator': 'ann', **changes}
    before = start()
    state = folded(decode_record({'type': 'publish', 'record': plain}), state=before)
    assert {problem.field for problem in receipt(state, 'bad').problems} == {field}
    assert state.configuration.version == before.configuration.version
    assert state.configuration.services_by_id == before.configuration.services_by_id


@pytest.mark.parametrize('rate', ['Infinity', 'NaN', '1e999'])
def test_a_rate_that_is_no_number_is_rejected(rate):
    """Guards against rates that are infinite or not a number."""
    number = float(rate)
    state = folded(
        publish('bad', 0, organisations=(Organisation('x', number, number),)), state=start()
    )
    assert {one.field for one in receipt(state, 'bad').problems} == {'rate_per_second', 'burst'}
    assert json.dumps(str(receipt(state, 'bad')))
