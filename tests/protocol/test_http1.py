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
    found = []
    for part in parts:
        reader.receive(part)
        while (request := reader.next_request()) is not None:
            found.append(request)
            if isinstance(request, ProtocolFailure):
                return found
    return found


def test_requests_sent_at_once_are_read_before_the_first_answer():
    """A client that sends several requests at once would wait for each in turn."""
    first, second, third = read_all(GET + CHUNKED + GET)
    assert (first.target, first.host) == ('/a/1', 'a.example')
    assert second.body == b'abcde'
    assert third.method == 'GET'


def test_requests_are_read_in_any_pieces():
    """A request whose bytes come one by one would be lost or joined to the next one."""
    found = read_all(*(bytes([one]) for one in GET + CHUNKED + GET))
    assert [one.method for one in found] == ['GET', 'POST', 'GET']


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
def test_what_is_no_request_is_refused(encoded, reason):
    """Bytes of one request would be taken for another, or fill the memory."""
    limits = ClientLimits(header_bytes=300, body_bytes=20)
    assert read_all(encoded, limits=limits)[-1].reason is reason


def test_answer_ends_the_connection_when_told():
    """A client would send another request on a connection that is about to be closed."""
    request = read_all(GET)[0]
    assert isinstance(request, HttpRequest)
    encoded = encode_response(request.exchange, HttpResponse(200, (), b'body'), is_last=True)
    assert b'connection: close' in encoded.lower()
    assert encoded.endswith(b'body')
    assert must_close_connection(request.exchange)


def test_answer_to_head_has_no_body():
    """The body would be read as the start of the next answer."""
    request = read_all(GET.replace(b'GET', b'HEAD'))[0]
    encoded = encode_response(
        request.exchange, HttpResponse(200, (), b'body'), is_last=False, method='HEAD'
    )
    assert not encoded.endswith(b'body')
    assert not must_close_connection(request.exchange)


def read_response(*parts):
    reader = ResponseReader()
    reader.encode_request('GET', '/', (('Host', 'a'),), b'')
    found = None
    for part in parts:
        found = reader.receive(part)
    return found


def test_whole_answers_are_read():
    """An answer of one framing or another would be lost."""
    length = read_response(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab')
    chunked = read_response(
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n',
    )
    unframed = read_response(b'HTTP/1.1 200 OK\r\n\r\na', b'b', b'')
    for found in (length, chunked, unframed):
        assert isinstance(found, ServerResponse)
        assert found.body == b'ab'


@pytest.mark.parametrize(
    'parts',
    [
        (b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab', b''),
        (b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n', b''),
        (b'garbage\r\n\r\n',),
        (b'',),
    ],
)
def test_broken_answers_are_failures(parts):
    """A truncated answer would look complete."""
    assert isinstance(read_response(*parts), ProtocolFailure)


def test_extra_bytes_belong_to_no_answer():
    """A second answer of the server would be joined to the first."""
    extra = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n'
    assert read_response(extra).body == b'ab'


def test_headers_of_one_connection_do_not_pass():
    """A header that the sender meant for its own connection would reach the server."""
    headers = (('Connection', 'X-Hop, close'), ('X-Hop', '1'), ('X-End', '2'), ('TE', 'x'))
    assert forwarded_headers(headers) == (('X-End', '2'),)
