import json
import math

import cbor2
import h11
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.coordination.sidecar.samples import make_entry
from turmericwharf.platform import configuration, settings, store
from turmericwharf.platform.announcements import read_heartbeat, read_leave
from turmericwharf.platform.dialect import PlatformDialect
from turmericwharf.protocol import HttpRequest, ServerResponse, decode_node_entry, digest_key
from turmericwharf.state import SettingsFailure
from turmericwharf.state.sidecar import ColdLimit, KeyedRecord, ServerHealth, ServerPhase

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
    """Guards against a valid heartbeat being dropped: its server would get no requests."""
    server = read_heartbeat('s1', json.dumps(HEARTBEAT).encode())
    assert server.phase is ServerPhase.READY
    assert (server.service, server.slots, server.born, server.sequence) == ('bookings', 3, 1700, 4)
    assert server.cold_seconds == 0.5


def test_limits_of_cold_servers_are_read():
    """Guards against limits that are missed, or that hold for services which name none."""
    services = {
        'a': {'coldStartS': 4, 'coldPerS': 7.5},
        'b': {'coldStartS': 4, 'coldPerS': 0},
        'c': {},
    }
    encoded = json.dumps({**CONFIGURATION, 'services': services}).encode()
    decoded = configuration.decode_configuration(encoded)
    assert decoded.cold_limits_by_service == {'a': ColdLimit(4, 7.5)}


@pytest.mark.parametrize(
    ('headers', 'health'),
    [
        ((('turmericwharf-cold-ms', '1500'),), ServerHealth('s1', 1.5)),
        ((), ServerHealth('s1')),
        ((('Turmericwharf-Cold-Ms', 'soon'),), ServerHealth('s1')),
    ],
)
def test_the_cold_time_of_a_health_check_is_read(headers, health):
    """Guards against a cold server that counts as warm after a restart of its node."""
    headers = (('Turmericwharf-Instance-Id', 's1'), *headers)
    assert PlatformDialect().read_health(ServerResponse(200, headers, b'')) == health


@given(JSON, st.sampled_from(['info', 'status', 'born', 'address']))
def test_heartbeat_with_wrong_types_yields_no_unusable_server(value, field):
    """Guards against a field of an unexpected type that raises in the task that decodes heartbeats,
    or that adds a server without slots.
    """
    announcement = read_heartbeat('s1', json.dumps({**HEARTBEAT, field: value}).encode())
    assert announcement is None or announcement.slots > 0


@given(st.binary(max_size=60))
def test_decoders_accept_arbitrary_bytes(encoded):
    """Guards against malformed bytes that raise and so end the task that decodes them."""
    assert read_heartbeat('s1', encoded) is None
    leaving = read_leave('s1', encoded)
    assert leaving is None or leaving.phase is ServerPhase.LEAVING
    assert configuration.decode_configuration(encoded) is None
    assert isinstance(settings.decode_platform_settings(encoded), SettingsFailure)
    decode_node_entry(encoded)
    store.read_records(encoded, 0)


@given(JSON)
def test_configuration_decoder_accepts_arbitrary_fields(value):
    """Guards against a configuration field of an unexpected type that raises and so ends the task
    that follows the configuration.
    """
    for field in CONFIGURATION:
        configuration.decode_configuration(json.dumps({**CONFIGURATION, field: value}).encode())


def test_configuration_is_translated():
    """Guards against rules that change their meaning when they are decoded."""
    decoded = configuration.decode_configuration(json.dumps(CONFIGURATION).encode())
    first, second = decoded.routes
    assert decoded.version == 12
    assert (first.host, first.idempotent, first.attempts) == ('a.example', True, 2)
    assert [destination.weight for destination in first.destinations] == [90, 10]
    assert [destination.service for destination in second.destinations] == ['a']
    assert not second.idempotent
    assert decoded.organisations_by_id['cafe'].key_digests == (digest_key('k1'),)
    assert decoded.limits.header_bytes == 100
    assert decoded.has_organisations


def test_read_records_keeps_the_newest_record_of_each_key():
    """Guards against an older record of a key that replaces a newer one."""
    header = (3).to_bytes(8, 'big') + (0).to_bytes(8, 'big')
    records = [b'\x01aold', b'\x01bx', b'\x01anew', b'\x01b']
    encoded = header + b''.join(len(record).to_bytes(4, 'big') + record for record in records)
    records_by_key, next_offset = store.read_records(encoded, 10)
    assert records_by_key == {'a': KeyedRecord(b'new', 12), 'b': KeyedRecord(b'', 13)}
    assert next_offset == 14


@pytest.mark.parametrize('text', ['10.0.0.1', ':80', '10.0.0.1:x', ''])
def test_invalid_address_is_reported(text):
    """Guards against an invalid address that is accepted or rejected without naming the expected
    form, so that an operator cannot tell which setting is wrong.
    """
    with pytest.raises(ValueError, match='expected "IP:PORT"'):
        settings.read_address(text)


@pytest.mark.parametrize('text', ['nan', 'inf', '-inf', '1e999', 'soon', ''])
def test_a_deadline_that_is_no_number_is_ignored(text):
    """Guards against a deadline that compares false with every time, and so is never reached."""
    headers = (('Host', 'a.example'), ('Turmericwharf-Deadline-Ms', text))
    request = HttpRequest('GET', '/x/', 'a.example', headers, b'', h11.Connection(h11.SERVER))
    assert PlatformDialect().read_request(request).remaining_seconds is None


NESTED_JSON = b'[' * 100_000 + b']' * 100_000


def test_deeply_nested_json_is_refused_like_other_malformed_input():
    """Guards against a `RecursionError`, which ends the task that decodes the input.

    The nested field may be one that is unknown and would be skipped.
    """
    nested = b'{"x":' + NESTED_JSON + b'}'
    assert read_heartbeat('s1', nested) is None
    assert read_leave('s1', nested) is None
    assert configuration.decode_configuration(nested) is None
    assert isinstance(settings.decode_platform_settings(nested), SettingsFailure)


@pytest.mark.parametrize(
    ('field', 'number'),
    [('slots', 10**30), ('slots', 0), ('slots', -1)],
)
def test_heartbeat_with_slots_out_of_range_is_refused(field, number):
    """Guards against a server that is used although its announcement makes no sense."""
    information = {**HEARTBEAT['info'], field: number}
    assert read_heartbeat('s1', json.dumps({**HEARTBEAT, 'info': information}).encode()) is None


def test_heartbeat_with_a_start_in_the_far_future_is_refused():
    """Guards against a foreign announcement after which all real ones look old."""
    assert read_heartbeat('s1', json.dumps({**HEARTBEAT, 'born': 10**30}).encode()) is None


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('peer_port', 65_536),
        ('peer_port', -1),
        ('peer_port', 0),
        ('slots', 10**40),
        ('born', 10**40),
        ('link_megabits', math.inf),
        ('link_megabits', math.nan),
        ('host', 'not an address'),
    ],
)
def test_node_entry_out_of_range_is_refused(field, value):
    """Guards against an entry of another writer that ends the tasks that use it.

    A port out of range raises an error that is no `OSError` when the node is connected to.
    """
    entry = msgspec.to_builtins(make_entry())
    assert decode_node_entry(cbor2.dumps(entry)) == make_entry()
    assert decode_node_entry(cbor2.dumps({**entry, field: value})) is None


@pytest.mark.parametrize('opening', [b'\x81', b'\xa1\x00', b'\xc6'])
def test_deeply_nested_node_entry_is_refused(opening):
    """Guards against an entry of another writer that ends the task that reads all entries."""
    assert decode_node_entry(opening * 100_000 + b'\x00') is None


@pytest.mark.parametrize(
    ('name', 'value'), [('coldOverage', -1), ('coldSlack', -0.5), ('evacuateS', 0)]
)
def test_a_bound_out_of_range_is_named(name, value):
    """Guards against a node that starts with a bound by which it could never send a request."""
    encoded = json.dumps({'terms': {'bounds': {name: value}}}).encode()
    failure = settings.decode_platform_settings(encoded)
    assert isinstance(failure, SettingsFailure)
    assert name in failure.detail


@pytest.mark.parametrize(
    ('limits', 'invalid'),
    [
        ({'memoryMb': -1}, 'memoryMb -1'),
        ({'maxFds': 200}, 'maxFds 200'),
        ({'maxFds': -5}, 'maxFds -5'),
        ({'memoryMb': '200'}, 'memoryMb'),
    ],
)
def test_invalid_limits_of_the_machine_are_named(limits, invalid):
    """Guards against a node that starts with limits under which it can serve nobody."""
    local = {'nodeName': 'n', 'ip': '127.0.0.1', 'zone': 'a', 'appAddr': '127.0.0.1:1'}
    listen = {'outbound': '127.0.0.1:2', 'ready': '127.0.0.1:3', 'control': '127.0.0.1:4'}
    encoded = json.dumps(
        {
            'localNode': {**local, 'service': 's', 'limits': limits},
            'network': {'listen': listen, 'portRange': [5, 6]},
            'platform': {'platform': {'address': '127.0.0.1:7'}},
        }
    ).encode()
    failure = settings.decode_platform_settings(encoded)
    assert isinstance(failure, SettingsFailure)
    assert invalid in failure.detail
