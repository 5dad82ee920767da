"""Answers of the backend server as raw bytes: only whole ones count, and no request goes twice."""

import asyncio
import contextlib

import pytest

from tests.coordination.fakes import order
from turmericwharf.state import Answered, LimitSettings, NotRun, OutcomeUnknown, Reason
from turmericwharf.transport import HttpBackendServer

BOUND_BYTES = 1000
OK = b'HTTP/1.1 200 OK\r\n'


class RawServer:
    """Gives scripted bytes to each request on a connection and then closes it."""

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
async def _client(server: RawServer):
    listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
    client = HttpBackendServer(LimitSettings(answer_body_bytes=BOUND_BYTES))
    client.update_port(listener.sockets[0].getsockname()[1])
    try:
        yield client
    finally:
        client.close()
        listener.close()


async def _run(answer: bytes, **changes):
    server = RawServer(answer)
    async with _client(server) as client:
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
async def test_answer_that_is_not_whole_is_no_answer(answer, reason):
    """Guards against a truncated body that looks complete, and against an unbounded one."""
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
    """Guards against an answer that waits for a body, or loses headers on its way."""
    plain = order('one')
    server = RawServer(answer)
    async with _client(server) as client:
        changed = type(plain)(**{**_fields(plain), 'method': method})
        outcome = await client.run(changed, remaining_seconds=2)
    assert isinstance(outcome, Answered)
    assert (outcome.status, list(outcome.headers)) == (status, headers)


def _fields(one) -> dict:
    return {name: getattr(one, name) for name in one.__slots__}


@pytest.mark.parametrize('idempotent', [True, False])
async def test_no_request_is_sent_twice_when_a_connection_dies(idempotent):
    """Guards against curl, which sends a request again when a kept connection dies."""
    server = RawServer(OK + b'Content-Length: 0\r\n\r\n', b'')
    async with _client(server) as client:
        outcomes = [
            await client.run(order(f'{one}', idempotent=idempotent), remaining_seconds=2)
            for one in range(2)
        ]
        assert [type(one) for one in outcomes] == [Answered, Answered]
        server.answers = (b'',)
        assert isinstance(
            await client.run(order('last', idempotent=idempotent), remaining_seconds=2),
            OutcomeUnknown,
        )
    assert len(server.requests) == 3


async def test_request_that_curl_cannot_take_did_not_run():
    """Guards against an exception that ends the connection to the peer."""
    server = RawServer()
    async with _client(server) as client:
        bad = order('one', **{})
        bad = type(bad)(**{**_fields(bad), 'headers': (('X-Bad', 'a\r\nb'),)})
        outcome = await client.run(bad, remaining_seconds=2)
        assert isinstance(outcome, NotRun)
        client.update_port(1)
        refused = await client.run(order('two'), remaining_seconds=2)
        assert refused.reason is Reason.SERVER_UNREACHABLE
    assert not server.requests
