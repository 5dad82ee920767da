"""Heads of answers that break off after each of their bytes, at every reader of answers."""

import pytest
from tornado.httpclient import HTTPRequest

from tests.coordination.fakes import order
from tests.coordination.sidecar.samples import make_entry, make_order
from tests.stand_ins.cut_answers import LOOPBACK, running_server
from tests.transport.sidecar.test_links import make_node
from turmericwharf.platform.dialect import PlatformDialect
from turmericwharf.platform.store import PlatformStore
from turmericwharf.state import (
    PEER_UNREACHABLE,
    Answered,
    LimitSettings,
    LogFailure,
    LogSettings,
    OutcomeUnknown,
    Reason,
)
from turmericwharf.state.sidecar import (
    Address,
    ConfigurationRequest,
    ResponseLimits,
    StoreSettings,
    StoreTopic,
)
from turmericwharf.transport import HttpBackendClient, HttpLog
from turmericwharf.transport.http_client import FetchFailure, fetch, make_client
from turmericwharf.transport.sidecar import ServerClient
from turmericwharf.transport.sidecar.links import FleetLinkTable

STAMPS = b'Turmericwharf-Response-Stamp: s\r\nTurmericwharf-Attempt-Id: r1\r\n'
OK = b'HTTP/1.1 200 OK\r\n' + STAMPS
HEAD_BY_NAME = {
    'length': OK + b'Content-Length: 12\r\n\r\n',
    'empty_body': OK + b'Content-Length: 0\r\n\r\n',
    'chunked': OK + b'Transfer-Encoding: chunked\r\n\r\n',
    'until_close': OK + b'\r\n',
    'after_interim': b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' + OK + b'\r\n',
}
every_cut = pytest.mark.parametrize(
    ('name', 'is_reset'), [(name, is_reset) for name in HEAD_BY_NAME for is_reset in (False, True)]
)


def cuts(name):
    head = HEAD_BY_NAME[name]
    return [head[:length] for length in range(len(head))]


@every_cut
async def test_the_http_client_fails_on_a_head_that_breaks_off(name, is_reset):
    """Guards against curl, which takes a head that ends with the connection for a whole one."""
    client = make_client(1)
    async with running_server(is_reset=is_reset) as server:
        for server.answer in cuts(name):
            request = HTTPRequest(f'http://{LOOPBACK}:{server.port}/', request_timeout=2)
            assert isinstance(await fetch(client, request), FetchFailure), server.answer
    client.close()


@every_cut
async def test_a_cut_head_of_a_backend_server_is_an_unknown_outcome(name, is_reset):
    """Guards against a 200 with an empty body, framed as whole, at the product's own interface."""
    client = HttpBackendClient(LimitSettings())
    async with running_server(is_reset=is_reset) as server:
        client.update_port(server.port)
        for server.answer in cuts(name):
            outcome = await client.run(order('r1'), remaining_seconds=2)
            assert isinstance(outcome, OutcomeUnknown), server.answer
            assert outcome.reason is Reason.ANSWER_INCOMPLETE
        assert server.requests == len(cuts(name))
    client.close()


@every_cut
async def test_a_cut_head_of_a_server_of_the_platform_is_an_unknown_outcome(name, is_reset):
    """Guards against a success that the server has not given, also where it states no length."""
    async with running_server(is_reset=is_reset) as server:
        client = ServerClient(
            Address(LOOPBACK, server.port), PlatformDialect(), ResponseLimits(), None
        )
        for server.answer in cuts(name):
            outcome = await client.run(make_order(), remaining_seconds=2)
            assert isinstance(outcome, OutcomeUnknown), server.answer
            assert await client.identify('/healthz', timeout_seconds=2) is None
        server.answer, server.is_reset = OK + b'\r\nwhole', False
        assert isinstance(await client.run(make_order(), remaining_seconds=2), Answered)


@every_cut
async def test_a_cut_head_of_the_store_is_a_failure(name, is_reset):
    """Guards against entries that count as written, and changes that count as read."""
    async with running_server(is_reset=is_reset) as server:
        store = PlatformStore(StoreSettings(Address(LOOPBACK, server.port)))
        for server.answer in cuts(name):
            assert isinstance(await store.publish(make_entry('a')), LogFailure), server.answer
            read = await store.read_changes(StoreTopic.NODES, offset=3, wait_seconds=0)
            assert isinstance(read, LogFailure), server.answer
        store.close()


@every_cut
async def test_a_cut_head_of_the_log_is_a_failure(name, is_reset):
    """Guards against claims and changes that count as read or written."""
    async with running_server(is_reset=is_reset) as server:
        log = HttpLog(LogSettings(f'http://{LOOPBACK}:{server.port}'), source_host=LOOPBACK)
        for server.answer in cuts(name):
            assert isinstance(await log.append('a', ()), LogFailure), server.answer
        log.close()


@every_cut
async def test_a_cut_head_of_another_node_is_no_connection(name, is_reset):
    """Guards against messages that are sent over a connection that was never opened."""
    async with running_server(is_reset=is_reset) as server:
        peer = make_entry('peer', host=LOOPBACK, peer_port=server.port)
        for server.answer in (head.replace(b'200 OK', b'101 Switching') for head in cuts(name)):
            links = FleetLinkTable()
            links.attach_node(make_node(make_entry('local')))
            answer = await links.request(peer, ConfigurationRequest(0), timeout_seconds=2)
            links.close()
            assert answer is PEER_UNREACHABLE, server.answer
