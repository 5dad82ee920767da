import asyncio
import contextlib
import socket

from turmericwharf.protocol import HttpAnswer
from turmericwharf.state.sidecar import Address, ClientLimits
from turmericwharf.transport.sidecar.http_listener import HttpListener

REQUEST = b'GET /%s HTTP/1.1\r\nHost: a\r\n\r\n'


class Answers:
    """Answers that wait until the test lets them go."""

    def __init__(self) -> None:
        self.released_by_target: dict[str, asyncio.Event] = {}
        self.began: list[str] = []
        self.cancelled: list[str] = []

    async def answer(self, request):
        event = self.released_by_target.setdefault(request.target, asyncio.Event())
        self.began.append(request.target)
        try:
            await event.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        return HttpAnswer(200, (), request.target.encode())


@contextlib.asynccontextmanager
async def listening(answer, limits=ClientLimits):
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


async def wait_until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


async def test_requests_run_side_by_side_and_are_answered_in_order():
    """A slow request would hold up those that the client sent behind it."""
    answers = Answers()
    async with listening(answers.answer) as (_, reader, writer):
        writer.write(REQUEST % b'1' + REQUEST % b'2')
        await wait_until(lambda: len(answers.began) == 2)
        answers.released_by_target['/2'].set()
        await asyncio.sleep(0.05)
        answers.released_by_target['/1'].set()
        await wait_until(lambda: True)
        found = b''
        while found.count(b'HTTP/1.1 200') < 2 or not found.endswith(b'/2'):
            found += await asyncio.wait_for(reader.read(1000), 5)
        assert found.index(b'/1') < found.index(b'/2')


async def test_client_that_leaves_stops_all_its_requests():
    """Servers would work for a client that is gone, also for requests sent behind others."""
    answers = Answers()
    async with listening(answers.answer) as (_, _, writer):
        writer.write(REQUEST % b'1' + REQUEST % b'2')
        await wait_until(lambda: len(answers.began) == 2)
        writer.close()
        await wait_until(lambda: sorted(answers.cancelled) == ['/1', '/2'])


async def test_draining_listener_answers_and_ends_the_connection():
    """A shutdown would cut requests that were read, or leave connections open for ever."""
    answers = Answers()
    async with listening(answers.answer) as (listener, reader, writer):
        writer.write(REQUEST % b'1')
        await wait_until(lambda: bool(answers.began))
        listener.drain()
        answers.released_by_target['/1'].set()
        found = await asyncio.wait_for(reader.read(-1), 5)
        assert b'connection: close' in found.lower()
        assert found.endswith(b'/1')
        assert not listener.in_progress


async def test_slow_request_is_refused_in_time():
    """A client that sends nothing more would hold its connection for ever."""
    answers = Answers()
    limits = ClientLimits(header_seconds=0.05)
    async with listening(answers.answer, lambda: limits) as (_, reader, writer):
        writer.write(b'GET / HTTP/1.1\r\nHost')
        found = await asyncio.wait_for(reader.read(-1), 5)
        assert b'request_timeout' in found


async def test_malformed_request_is_answered_after_those_before_it():
    """An error answer would be taken for the answer to an earlier request."""
    answers = Answers()
    async with listening(answers.answer) as (_, reader, writer):
        writer.write(REQUEST % b'1' + b'nonsense\r\n\r\n')
        await wait_until(lambda: bool(answers.began))
        answers.released_by_target['/1'].set()
        found = await asyncio.wait_for(reader.read(-1), 5)
        assert found.index(b'HTTP/1.1 200') < found.index(b'HTTP/1.1 400')


async def test_error_in_an_answer_ends_no_connection():
    """One request that fails inside the node would take the others with it."""

    async def fail(request):
        raise RuntimeError('fault')

    async with listening(fail) as (_, reader, writer):
        writer.write(REQUEST % b'1')
        found = await asyncio.wait_for(reader.read(1000), 5)
        assert b'502' in found


async def read_answers(reader, count):
    """Return the statuses and bodies of answers, in order, up to the end of the connection."""
    found = b''
    async with asyncio.timeout(5):
        while chunk := await reader.read(1000):
            found += chunk
    heads = found.split(b'HTTP/1.1 ')[1:]
    assert len(heads) == count, found
    return [(int(head[:3]), head.partition(b'\r\n\r\n')[2]) for head in heads]


async def test_draining_listener_answers_all_requests_of_a_connection():
    """The first answer would close the connection on requests that servers had run."""
    answers = Answers()
    async with listening(answers.answer) as (listener, reader, writer):
        writer.write(REQUEST % b'1' + REQUEST % b'2')
        await wait_until(lambda: len(answers.began) == 2)
        listener.drain()
        answers.released_by_target['/1'].set()
        await asyncio.sleep(0.05)
        answers.released_by_target['/2'].set()
        assert await read_answers(reader, 2) == [(200, b'/1'), (200, b'/2')]


async def test_answers_behind_a_request_that_does_not_end_are_delivered_at_the_end():
    """A stop would lose answers that were ready, behind one that a server still works at."""
    answers = Answers()
    async with listening(answers.answer) as (listener, reader, writer):
        writer.write(REQUEST % b'1' + REQUEST % b'2')
        await wait_until(lambda: len(answers.began) == 2)
        answers.released_by_target['/2'].set()
        await asyncio.sleep(0.05)
        listener.drain()
        await listener.abort_pending(1.0)
        (first, _), second = await read_answers(reader, 2)
        assert first >= 500
        assert second == (200, b'/2')
        assert answers.cancelled == ['/1']
