"""Tests of the backend client with raw bytes: truncated answers and lost connections."""

import asyncio
import contextlib

import pytest

from tests.coordination.fakes import order
from turmericwharf.state import Answered, LimitSettings, NotRun, OutcomeUnknown, Reason
from turmericwharf.transport import HttpBackendClient

MAX_BODY_BYTES = 1000
OK = b'HTTP/1.1 200 OK\r\n'


class RawServer:
    """Server that answers the requests on a connection with scripted bytes, then closes it."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = answers
        self.requests: list[bytes] = []

    async def serve(self, reader, writer) -> None:
        for answer in self.answers:
            with contextlib.suppress(asyncio.IncompleteReadError):
                self.requests.append(await reader.readuntil(b'\r\n\r\n'))
                writer.write(answer)
                await writer.drain()
        writer.close()


@contextlib.asynccontextmanager
async def _connected_client(server: RawServer):
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    client = HttpBackendClient(LimitSettings(answer_body_bytes=MAX_BODY_BYTES))
    client.update_port(listener.sockets[0].getsockname()[1])
    try:
        yield client
    finally:
        client.close()
        listener.close()


async def _run(answer: bytes, **changes):
    server = RawServer(answer)
    async with _connected_client(server) as client:
        outcome = await client.run(order('one', **changes), remaining_seconds=2)
    assert len(server.requests) == 1
    return outcome


@pytest.mark.parametrize(
    ('answer', 'reason'),
    [
        (OK + b'Content-Length: 10\r\n\r\nhalf', Reason.ANSWER_INCOMPLETE),
        (OK + b'Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n', Reason.ANSWER_INCOMPLETE),
        (OK + b'\r\nends with the connection', Reason.ANSWER_INCOMPLETE),
        (OK + b'Content-Le', Reason.ANSWER_INCOMPLETE),
        (b'', Reason.ANSWER_INCOMPLETE),
        (OK + b'Content-Length: 1001\r\n\r\n' + b'x' * 1001, Reason.ANSWER_TOO_LARGE),
        (
            OK + b'Transfer-Encoding: chunked\r\n\r\n3e9\r\n' + b'x' * 1001 + b'\r\n0\r\n\r\n',
            Reason.ANSWER_TOO_LARGE,
        ),
    ],
)
async def test_incomplete_or_oversized_answer_is_an_unknown_outcome(answer, reason):
    """Guards against a truncated body that is returned as complete, and an unbounded body."""
    outcome = await _run(answer)
    assert isinstance(outcome, OutcomeUnknown)
    assert outcome.reason is reason


@pytest.mark.parametrize(
    ('answer', 'method', 'status', 'headers'),
    [
        (OK + b'Content-Length: 77\r\n\r\n', 'HEAD', 200, [('Content-Length', '77')]),
        (b'HTTP/1.1 204 No Content\r\n\r\n', 'POST', 204, []),
        (b'HTTP/1.1 304 Not Modified\r\nEtag: "a"\r\n\r\n', 'GET', 304, [('Etag', '"a"')]),
        (
            OK + b'Set-Cookie: a=1, 2\r\nSet-Cookie: b=3\r\nContent-Length: 0\r\n\r\n',
            'PUT',
            200,
            [('Set-Cookie', 'a=1, 2'), ('Set-Cookie', 'b=3')],
        ),
    ],
)
async def test_answers_without_a_body_and_repeated_headers(answer, method, status, headers):
    """Guards against waiting for the body of a bodiless answer, and loss of repeated headers."""
    original = order('one')
    server = RawServer(answer)
    async with _connected_client(server) as client:
        with_method = type(original)(**{**_fields(original), 'method': method})
        outcome = await client.run(with_method, remaining_seconds=2)
    assert isinstance(outcome, Answered)
    assert (outcome.status, list(outcome.headers)) == (status, headers)


def _fields(record) -> dict:
    return {name: getattr(record, name) for name in record.__slots__}


@pytest.mark.parametrize('idempotent', [True, False])
async def test_no_request_is_sent_twice_when_a_connection_is_lost(idempotent):
    """Guards against curl, which repeats a request when a reused connection is lost."""
    server = RawServer(OK + b'Content-Length: 0\r\n\r\n', b'')
    async with _connected_client(server) as client:
        outcomes = [
            await client.run(order(f'{number}', idempotent=idempotent), remaining_seconds=2)
            for number in range(2)
        ]
        assert [type(outcome) for outcome in outcomes] == [Answered, Answered]
        server.answers = (b'',)
        assert isinstance(
            await client.run(order('last', idempotent=idempotent), remaining_seconds=2),
            OutcomeUnknown,
        )
    assert len(server.requests) == 3


async def test_request_that_cannot_be_sent_did_not_run():
    """Guards against an exception that closes the connection to the peer.

    A request header that is invalid in HTTP raises it.
    """
    server = RawServer()
    async with _connected_client(server) as client:
        malformed = order('one', **{})
        malformed = type(malformed)(**{**_fields(malformed), 'headers': (('X-Bad', 'a\r\nb'),)})
        outcome = await client.run(malformed, remaining_seconds=2)
        assert isinstance(outcome, NotRun)
        client.update_port(1)
        not_run = await client.run(order('two'), remaining_seconds=2)
        assert not_run.reason is Reason.SERVER_UNREACHABLE
    assert not server.requests
