import pytest

from turmericwharf.protocol import (
    HttpResponse,
    HttpRequest,
    ServerResponse,
    RequestReader,
    ResponseReader,
    encode_response,
    forwarded_headers,
    must_close_connection,
)
from turmericwharf.state import ProtocolFailure, Reason
from turmericwharf.state.sidecar import ClientLimits

GET = b'GET /a/1 HTTP/1.1\r\nHost: a.example\r\n\r\n'
CHUNKED = (
    b'POST /b HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
)


def read_all(*parts, limits=None):
    reader = RequestReader()
    if limits is not None:
        reader.update_limits(limits)
    received = []
    for part in parts:
        reader.receive(part)
        while (request := reader.next_request()) is not None:
            received.append(request)
            if isinstance(request, ProtocolFailure):
                return received
    return received


def test_pipelined_requests_are_read_before_the_first_response():
    """Guards against pipelined requests that are not read until the previous one is answered."""
    first, second, third = read_all(GET + CHUNKED + GET)
    assert (first.target, first.host) == ('/a/1', 'a.example')
    assert second.body == b'abcde'
    assert third.method == 'GET'


def test_requests_are_read_byte_by_byte():
    """Guards against requests that are lost or merged when their bytes arrive one at a time."""
    received = read_all(*(bytes([byte]) for byte in GET + CHUNKED + GET))
    assert [request.method for request in received] == ['GET', 'POST', 'GET']


@pytest.mark.parametrize(
    ('encoded', 'reason'),
    [
        (b'nonsense\r\n\r\n', Reason.REQUEST_MALFORMED),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n',
            Reason.REQUEST_MALFORMED,
        ),
        (b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99\r\n\r\n', Reason.BODY_TOO_LARGE),
        (
            b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n'
            + b'20\r\n'
            + b'x' * 32
            + b'\r\n',
            Reason.BODY_TOO_LARGE,
        ),
        (
            b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'x' * 400 + b'\r\n\r\n',
            Reason.HEADERS_TOO_LARGE,
        ),
    ],
)
def test_invalid_requests_are_rejected(encoded, reason):
    """Guards against request smuggling by ambiguous framing, and against unbounded memory use."""
    limits = ClientLimits(header_bytes=300, body_bytes=20)
    assert read_all(encoded, limits=limits)[-1].reason is reason


def test_last_response_closes_the_connection():
    """Guards against a client that sends a further request on a connection about to be closed."""
    request = read_all(GET)[0]
    assert isinstance(request, HttpRequest)
    encoded = b''.join(
        encode_response(request.exchange, HttpResponse(200, (), b'body'), is_last=True)
    )
    assert b'connection: close' in encoded.lower()
    assert encoded.endswith(b'body')
    assert must_close_connection(request.exchange)


def test_response_to_head_has_no_body():
    """Guards against a body that the client parses as the start of the next response."""
    request = read_all(GET.replace(b'GET', b'HEAD'))[0]
    encoded = b''.join(
        encode_response(
            request.exchange, HttpResponse(200, (), b'body'), is_last=False, method='HEAD'
        )
    )
    assert not encoded.endswith(b'body')
    assert not must_close_connection(request.exchange)


def read_response(*parts):
    reader = ResponseReader(lambda _: True)
    reader.encode_head('GET', '/', (('Host', 'a'),), b'')
    received = None
    for part in parts:
        reader.receive(part)
        received = reader.next_response()
        while received is None and not reader.needs_bytes:
            received = reader.next_response()
    return received


def test_complete_responses_are_read():
    """Guards against lost responses for each framing: by length, chunked and by connection end."""
    length = read_response(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab')
    chunked = read_response(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n',
    )
    unframed = read_response(b'HTTP/1.1 200 OK\r\n\r\na', b'b', b'')
    for received in (length, chunked, unframed):
        assert isinstance(received, ServerResponse)
        assert received.body == b'ab'


@pytest.mark.parametrize(
    'parts',
    [
        (b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab', b''),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n', b''),
        (b'garbage\r\n\r\n',),
        (b'',),
    ],
)
def test_incomplete_responses_are_failures(parts):
    """Guards against truncated or malformed responses that are treated as complete."""
    assert isinstance(read_response(*parts), ProtocolFailure)


def test_bytes_after_a_response_are_ignored():
    """Guards against bytes after a response that are appended to its body."""
    extra = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n'
    assert read_response(extra).body == b'ab'


def test_hop_by_hop_headers_are_not_forwarded():
    """Guards against hop-by-hop headers that are forwarded to the server."""
    headers = (('Connection', 'X-Hop, close'), ('X-Hop', '1'), ('X-End', '2'), ('TE', 'x'))
    assert forwarded_headers(headers) == (('X-End', '2'),)
