"""The callers' side as raw bytes: every request gets an honest answer."""

import asyncio
import contextlib
import socket

from turmericwharf.protocol import HttpResponse, to_http
from turmericwharf.state import Answered
from turmericwharf.transport import DrainableServer

BOUND_BYTES = 1000
GET = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'


@contextlib.asynccontextmanager
async def _server(answer, keep_alive_seconds: float = 5.0):
    server = DrainableServer(answer, body_bytes=BOUND_BYTES, keep_alive_seconds=keep_alive_seconds)
    server.start('127.0.0.1', 0)
    try:
        yield server, server._sockets[0].getsockname()[1]
    finally:
        await server.stop()


async def _talk(port: int, *parts: bytes) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    for part in parts:
        writer.write(part)
        await writer.drain()
    async with asyncio.timeout(5):
        answer = await reader.read()
    writer.close()
    return answer


def _last(request: bytes) -> bytes:
    return request.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n', 1)


async def test_body_over_the_bound_is_refused_with_the_reason():
    """Guards against a request that is cut without an answer, or kept whole in memory."""

    async def answer(exchange):
        raise AssertionError('must not be served')

    async with _server(answer) as (_, port):
        chunk = b'100\r\n' + b'x' * 256 + b'\r\n'
        chunked = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n' + chunk * 6
        sized = b'POST / HTTP/1.1\r\nContent-Length: 1200\r\n\r\n' + b'x' * 1200
        for request in (chunked + b'0\r\n\r\n', sized):
            got = await _talk(port, _last(request))
            assert got.startswith(b'HTTP/1.1 413'), got
            assert b'body_too_large' in got


async def test_answers_without_a_body_keep_their_form():
    """Guards against a length that is wrong, and against cookies that are merged."""
    answers = {
        '/head': Answered(200, (('Content-Length', '77'),), b''),
        '/none': Answered(204, (), b''),
        '/cookies': Answered(200, (('Set-Cookie', 'a=1, 2'), ('Set-Cookie', 'b=3')), b'whole'),
    }

    async def answer(exchange):
        return to_http(answers[exchange.target])

    async with _server(answer) as (_, port):
        head = await _talk(port, b'HEAD /head HTTP/1.1\r\nConnection: close\r\n\r\n')
        assert b'Content-Length: 77\r\n' in head
        none = await _talk(port, b'GET /none HTTP/1.1\r\nConnection: close\r\n\r\n')
        assert b'Content-Length' not in none
        cookies = await _talk(port, b'GET /cookies HTTP/1.1\r\nConnection: close\r\n\r\n')
        assert b'Set-Cookie: a=1, 2\r\nSet-Cookie: b=3\r\n' in cookies
        assert cookies.endswith(b'Content-Length: 5\r\nConnection: close\r\n\r\nwhole')


async def test_failure_while_answering_is_told():
    """Guards against a task that ends silently while the caller waits for its answer."""

    async def answer(exchange):
        if exchange.target == '/raise':
            raise RuntimeError('broken on purpose')
        return HttpResponse(200, (('X-Bad', 'a\r\nb'),), b'')

    async with _server(answer) as (server, port):
        for target in (b'/raise', b'/header'):
            got = await _talk(port, _last(GET.replace(b' / ', b' ' + target + b' ')))
            assert got.startswith(b'HTTP/1.1 502'), got
            assert b'Turmericwharf-Outcome: unknown' in got
        assert server.exchanges.in_progress == 0


async def test_caller_that_leaves_ends_its_request():
    """Guards against work for callers that have left, with and without their whole request."""
    started, left = asyncio.Event(), asyncio.Event()

    async def answer(exchange):
        started.set()
        try:
            await asyncio.Event().wait()
        finally:
            left.set()

    async with _server(answer) as (server, port), asyncio.timeout(5):
        _, half = await asyncio.open_connection('127.0.0.1', port)
        half.write(b'POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf')
        half.close()
        _, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write(GET)
        await started.wait()
        writer.close()
        await left.wait()
        while server.exchanges.connections:
            await asyncio.sleep(0.01)


def _connect_until_refused(port: int) -> list[str]:
    """Send one request on each of many new connections; return what was cut."""
    cut = []
    for _ in range(5000):
        with socket.socket() as client:
            client.settimeout(5)
            try:
                client.connect(('127.0.0.1', port))
            except ConnectionRefusedError:
                break
            try:
                client.sendall(_last(GET))
                answer = b''.join(iter(lambda: client.recv(4096), b''))
            except OSError as error:
                answer = str(error).encode()
            if not answer.endswith(b'whole'):
                cut.append(answer.decode())
    return cut


async def test_drain_cuts_no_connection_with_a_request():
    """Guards against resets of connections that wait to be accepted or have a request on them."""

    async def answer(exchange):
        return HttpResponse(200, (), b'whole')

    async with _server(answer) as (server, port):
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        callers = [asyncio.to_thread(_connect_until_refused, port) for _ in range(4)]
        talking = asyncio.gather(*callers)
        await asyncio.sleep(0.2)
        await server.drain()
        assert await talking == [[], [], [], []]
        writer.write(GET)
        kept = await reader.read()
        assert b'Connection: close' in kept
        assert kept.endswith(b'whole')


async def test_stuck_request_is_told_that_its_outcome_is_unknown():
    """Guards against a request that is cut without an answer when the shutdown time is over."""

    async def answer(exchange):
        await asyncio.Event().wait()

    async with _server(answer) as (server, port):
        talk = asyncio.create_task(_talk(port, GET))
        while not server.exchanges.in_progress:
            await asyncio.sleep(0.01)
        await server.drain()
        server.exchanges.abort()
        got = await talk
        assert b'"outcome":"unknown","reason":"shutdown"' in got
