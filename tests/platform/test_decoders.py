import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericwharf.platform import configuration, settings, store
from turmericwharf.platform.announcements import read_heartbeat, read_leave
from turmericwharf.protocol import decode_node_entry, digest_key
from turmericwharf.state import SettingsFailure
from turmericwharf.state.sidecar import KeyedRecord, ServerPhase

HEARTBEAT = {
    'address': '10.1.0.1:8080',
    'info': {'service': 'bookings', 'version': 'v1', 'zone': 'a', 'slots': 3},
    'status': {'state': 'ready', 'sequence': 4, 'coldRemainingS': 0.5},
    'born': 1700,
}
CONFIGURATION = {
    'version': '0000000c',
    'routes': {
        'r1': {
            'host': 'A.example',
            'pathPrefix': '/x/',
            'routeType': 'idempotent',
            'timeoutS': 1.2,
            'targetLatencyS': 0.8,
            'priority': 2,
            'trafficSplit': [{'service': 'a', 'weight': 90}, {'service': 'b', 'weight': 10}],
            'attempts': 2,
            'public': False,
        },
        'r2': {
            'host': 'b.example',
            'pathPrefix': '/',
            'routeType': 'non_idempotent',
            'service': 'a',
        },
    },
    'services': {'a': {'healthCheckPath': '/healthz', 'maxConnections': 390}},
    'limits': {'maxHeaderBytes': 100, 'idleTimeoutS': 15},
    'tenants': {'cafe': {'apiKeys': ['k1'], 'ratePerS': 36, 'burst': 36}},
    'baseVersion': '00000005',
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


def test_heartbeat_is_read():
    """A server would never get work."""
    found = read_heartbeat('s1', json.dumps(HEARTBEAT).encode())
    assert found.phase is ServerPhase.READY
    assert (found.service, found.slots, found.born, found.sequence) == ('bookings', 3, 1700, 4)


@given(JSON, st.sampled_from(['info', 'status', 'born', 'address']))
def test_heartbeat_of_another_writer_names_no_wrong_server(part, place):
    """A field of another type would end the task that reads it, or name a server to use."""
    found = read_heartbeat('s1', json.dumps({**HEARTBEAT, place: part}).encode())
    assert found is None or found.slots > 0


@given(st.binary(max_size=60))
def test_any_bytes_are_survived(encoded):
    """Bytes that cannot be read would end the task that reads them."""
    assert read_heartbeat('s1', encoded) is None
    leaving = read_leave('s1', encoded)
    assert leaving is None or leaving.phase is ServerPhase.LEAVING
    assert configuration.decode_configuration(encoded) is None
    assert isinstance(settings.decode_platform_settings(encoded), SettingsFailure)
    decode_node_entry(encoded)
    store.read_records(encoded, 0)


@given(JSON)
def test_any_configuration_is_survived(part):
    """A configuration with a field of another type would end the task that follows them."""
    for place in CONFIGURATION:
        configuration.decode_configuration(json.dumps({**CONFIGURATION, place: part}).encode())


def test_configuration_is_translated():
    """Rules would be read with another meaning."""
    found = configuration.decode_configuration(json.dumps(CONFIGURATION).encode())
    first, second = found.routes
    assert found.version == 12
    assert (first.host, first.idempotent, first.attempts) == ('a.example', True, 2)
    assert [one.weight for one in first.destinations] == [90, 10]
    assert [one.service for one in second.destinations] == ['a']
    assert not second.idempotent
    assert found.organisations_by_id['cafe'].key_digests == (digest_key('k1'),)
    assert found.limits.header_bytes == 100
    assert found.has_organisations


def test_records_are_read_with_the_newest_of_each_key():
    """An older record of a key would replace a newer one."""
    head = (3).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
    records = [b'\x01aold', b'\x01bx', b'\x01anew', b'\x01b']
    encoded = head + b''.join(len(one).to_bytes(4, 'big') + one for one in records)
    records_by_key, next_offset = store.read_records(encoded, 10)
    assert records_by_key == {'a': KeyedRecord(b'new', 12), 'b': KeyedRecord(b'', 13)}
    assert next_offset == 14


@pytest.mark.parametrize('text', ['10.0.0.1', ':80', '10.0.0.1:x', ''])
def test_address_without_port_is_named(text):
    """An operator would not learn which setting is wrong."""
    with pytest.raises(ValueError, match='valid is'):
        settings.read_address(text)
