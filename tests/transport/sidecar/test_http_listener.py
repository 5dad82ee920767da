import asyncio
import contextlib
import socket

from turmericwharf.protocol import HttpResponse
from turmericwharf.state.sidecar import Address, ClientLimits
from turmericwharf.transport.sidecar.http_listener import HttpListener

REQUEST = b'GET /%s HTTP/1.1\r\nHost: a\r\n\r\n'


class BlockingHandler:
    """Request handler whose answers wait until the test releases them."""

    def __init__(self) -> None:
        self.released_by_target: dict[str, asyncio.Event] = {}
        self.started: list[str] = []
        self.cancelled: list[str] = []

    async def answer(self, request):
        event = self.released_by_target.setdefault(request.target, asyncio.Event())
        self.started.append(request.target)
        try:
            await event.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        return HttpResponse(200, (), request.target.encode())


@contextlib.asynccontextmanager
async def running_listener(answer, limits=ClientLimits):
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        port = probe.getsockname()[1]
    listener = HttpListener(Address('127.0.0.1', port), answer, limits)
    await listener.start()
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    try:
        yield listener, reader, writer
    finally:
        writer.close()
        await listener.stop()


async def wait_for_condition(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def test_requests_run_concurrently_and_are_answered_in_order():
    """Guards against a slow request that delays the handling of later pipelined requests."""
    handler = BlockingHandler()
    async with running_listener(handler.answer) as (_, reader, writer):
        writer.write(REQUEST % b'1' + REQUEST % b'2')
        await wait_for_condition(lambda: len(handler.started) == 2)
        handler.released_by_target['/2'].set()
        await asyncio.sleep(0.05)
        handler.released_by_target['/1'].set()
        await wait_for_condition(lambda: True)
        response = b''
        while response.count(b'HTTP/1.1 200') < 2 or not response.endswith(b'/2'):
            response += await asyncio.wait_for(reader.read(1000), 5)
        assert response.index(b'/1') < response.index(b'/2')


async def test_all_requests_of_a_disconnected_client_are_cancelled():
    """Guards against pipelined requests that continue after their client disconnected."""
    handler = BlockingHandler()
    async with running_listener(handler.answer) as (_, _, writer):
        writer.write(REQUEST % b'1' + REQUEST % b'2')
        await wait_for_condition(lambda: len(handler.started) == 2)
        writer.close()
        await wait_for_condition(lambda: sorted(handler.cancelled) == ['/1', '/2'])


async def test_draining_listener_answers_and_closes_the_connection():
    """Guards against a shutdown that aborts received requests or leaves connections open."""
    handler = BlockingHandler()
    async with running_listener(handler.answer) as (listener, reader, writer):
        writer.write(REQUEST % b'1')
        await wait_for_condition(lambda: bool(handler.started))
        listener.drain()
        handler.released_by_target['/1'].set()
        response = await asyncio.wait_for(reader.read(-1), 5)
        assert b'connection: close' in response.lower()
        assert response.endswith(b'/1')
        assert not listener.in_progress


async def test_incomplete_request_is_rejected_after_the_timeout():
    """Guards against a client that keeps a connection open with an incomplete request."""
    handler = BlockingHandler()
    limits = ClientLimits(header_seconds=0.05)
    async with running_listener(handler.answer, lambda: limits) as (_, reader, writer):
        writer.write(b'GET / HTTP/1.1\r\nHost')
        response = await asyncio.wait_for(reader.read(-1), 5)
        assert b'request_timeout' in response


async def test_malformed_request_is_answered_after_earlier_requests():
    """Guards against an error that is taken for the answer to an earlier request."""
    handler = BlockingHandler()
    async with running_listener(handler.answer) as (_, reader, writer):
        writer.write(REQUEST % b'1' + b'nonsense\r\n\r\n')
        await wait_for_condition(lambda: bool(handler.started))
        handler.released_by_target['/1'].set()
        response = await asyncio.wait_for(reader.read(-1), 5)
        assert response.index(b'HTTP/1.1 200') < response.index(b'HTTP/1.1 400')


async def test_exception_in_the_handler_is_answered():
    """Guards against an exception in the handler that ends the connection without an answer."""

    async def fail(request):
        raise RuntimeError('fault')

    async with running_listener(fail) as (_, reader, writer):
        writer.write(REQUEST % b'1')
        response = await asyncio.wait_for(reader.read(1000), 5)
        assert b'502' in response


async def read_answers(reader, count):
    """Return the statuses and bodies of answers, in order, up to the end of the connection."""
    response = b''
    async with asyncio.timeout(5):
        while chunk := await reader.read(1000):
            response += chunk
    heads = response.split(b'HTTP/1.1 ')[1:]
    assert len(heads) == count, response
    return [(int(head[:3]), head.partition(b'\r\n\r\n')[2]) for head in heads]


async def test_draining_listener_answers_all_requests_of_a_connection():
    """Guards against a first answer that closes the connection while later requests run."""
    handler = BlockingHandler()
    async with running_listener(handler.answer) as (listener, reader, writer):
        writer.write(REQUEST % b'1' + REQUEST % b'2')
        await wait_for_condition(lambda: len(handler.started) == 2)
        listener.drain()
        handler.released_by_target['/1'].set()
        await asyncio.sleep(0.05)
        handler.released_by_target['/2'].set()
        assert await read_answers(reader, 2) == [(200, b'/1'), (200, b'/2')]


async def test_answers_behind_a_request_that_does_not_end_are_delivered_at_the_end():
    """Guards against loss of completed answers behind a request that is still running."""
    handler = BlockingHandler()
    async with running_listener(handler.answer) as (listener, reader, writer):
        writer.write(REQUEST % b'1' + REQUEST % b'2')
        await wait_for_condition(lambda: len(handler.started) == 2)
        handler.released_by_target['/2'].set()
        await asyncio.sleep(0.05)
        listener.drain()
        await listener.abort_pending(1.0)
        (first, _), second = await read_answers(reader, 2)
        assert first >= 500
        assert second == (200, b'/2')
        assert handler.cancelled == ['/1']


async def test_a_head_that_arrives_byte_by_byte_is_ended():
    """Guards against clients that hold connections open by sending a head without end, slowly."""
    limits = ClientLimits(header_seconds=0.3)
    async with running_listener(BlockingHandler().answer, lambda: limits) as (_, reader, writer):
        async with asyncio.timeout(2):
            writer.write(b'GET /1 HTTP/1.1\r\nX: ')
            answer = asyncio.create_task(reader.read())
            while not answer.done():
                writer.write(b'x')
                await asyncio.sleep(0.05)
        assert b'request_timeout' in await answer


async def test_the_answer_to_a_slow_head_survives_the_bytes_that_follow_it():
    """Guards against a close that resets the connection before the client has read the answer."""
    limits = ClientLimits(header_seconds=0.1)
    async with running_listener(BlockingHandler().answer, lambda: limits) as (_, reader, writer):
        async with asyncio.timeout(5):
            writer.write(b'GET /1 HTTP/1.1\r\nX: ')
            answer = asyncio.create_task(reader.read())
            while not answer.done():
                writer.write(b'x')
                await asyncio.sleep(0.0005)
        assert b'request_timeout' in await answer
