"""Bookings run at most once under pairs of faults, by the backend servers' own records."""

import asyncio
import json
import signal

import pytest
import pytest_asyncio

from tests.fleet.bookings import bookings_fleet

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def bookings():
    async with bookings_fleet(['catalogue', 'bookings', 'bookings']) as started:
        yield started


async def _wait_until_idle(bookings, node) -> None:
    async with asyncio.timeout(10):
        while (await bookings.fleet.dump(node) or {'in_progress': 1})['in_progress']:
            await asyncio.sleep(0.05)


async def test_retries_get_the_same_answer_and_another_body_is_refused(bookings):
    """Guards against a second run, or another answer, for a caller that tries again elsewhere."""
    told = [await bookings.book(node, 'same') for node in bookings.fleet.nodes]
    assert len({one.body for one in told}) == 1
    headers = {'Authorization': f'Bearer {bookings.key}', 'Idempotency-Key': 'same'}
    other = await bookings.fetch(bookings.fleet.nodes[1], '/bookings/other', headers)
    assert other.code == 422
    assert b'idempotency_key_reused' in other.body
    many = await asyncio.gather(
        *(bookings.book(bookings.fleet.nodes[n % 3], 'b') for n in range(9))
    )
    assert {one.outcome for one in many} == {'answered'}
    assert await bookings.count('same') == await bookings.count('b') == 1


async def test_one_way_cut_and_retry_at_another_node(bookings):
    """Guards against a second run when the answers to the first node are lost."""
    entry, *servers = bookings.fleet.nodes
    # Tokens come from another node, which the cut keeps from answering.
    assert (await bookings.book(entry, 'token')).outcome == 'answered'
    for server in servers:
        bookings.fleet.cut_one_way(server, entry)
    try:
        told = await bookings.book(entry, 'cut')
        retried = await bookings.book(servers[0], 'cut')
    finally:
        bookings.fleet.network.heal()
    assert told.outcome == 'unknown', told
    assert retried.outcome == 'answered', retried
    assert await bookings.count('cut') == 1


async def test_pause_and_retry(bookings):
    """Guards against a paused node that runs old work after another one was asked."""
    entry, paused, other = bookings.fleet.nodes
    numbers = [f'pause-{one}' for one in range(12)]
    paused.signal(signal.SIGSTOP)
    first = await asyncio.gather(*(bookings.book(entry, one) for one in numbers))
    assert any(one.outcome != 'answered' for one in first), 'no request met the paused node'
    second = await asyncio.gather(*(bookings.book(other, one) for one in numbers))
    await asyncio.sleep(1)
    paused.signal(signal.SIGCONT)
    await _wait_until_idle(bookings, paused)
    # What waited at the paused node did not run, so that its keys are free again.
    last = await asyncio.gather(
        *(bookings.book_until_answered(other, one, seconds=15) for one in numbers)
    )
    assert all(told[-1].outcome == 'answered' for told in last), (first, second, last)
    assert [await bookings.count(one) for one in numbers] == [1] * len(numbers)


async def test_paused_entry_node_checks_the_deadline_first(bookings):
    """Guards against work for a caller whose time passed while the node was paused."""
    entry = bookings.fleet.nodes[0]
    entry.signal(signal.SIGSTOP)
    sending = [asyncio.create_task(bookings.book(entry, 'old', keyed=False)) for _ in range(5)]
    # Longer than the class's time, and shorter than the standing time, which would refuse too.
    await asyncio.sleep(1.5)
    entry.signal(signal.SIGCONT)
    told = await asyncio.gather(*sending)
    assert {one.outcome for one in told} == {'not-run'}, told
    assert all('deadline_passed' in one.reason for one in told), told
    assert await bookings.count('old') == 0
    told = await bookings.book_until_answered(entry, 'new', seconds=5)
    assert told[-1].outcome == 'answered', told


async def test_work_for_a_caller_that_left_is_cut_at_the_server(bookings):
    """Guards against a slow server that goes on working for callers that have left."""
    entry, other = bookings.fleet.nodes[0], bookings.fleet.nodes[1]
    await bookings.fleet.set_server_faults(entry, first_byte_seconds=1.5)
    headers = {'Authorization': f'Bearer {bookings.key}'}
    await bookings.fleet.fetch(f'{other.url}/catalogue/left', headers=headers, seconds=0.5)
    run = next(
        one for one in await bookings.fleet.runs(entry) if one['target'] == '/catalogue/left'
    )
    async with asyncio.timeout(5):
        while run['headers']['Turmericwharf-Request-Id'] not in await _cancelled(bookings, entry):
            await asyncio.sleep(0.02)
    await bookings.fleet.set_server_faults(entry, first_byte_seconds=0.0)


async def _cancelled(bookings, node) -> list[str]:
    response = await bookings.fleet.fetch(f'{node.server_url}/stand-in/runs')
    return json.loads(response.body)['cancelled']


async def test_log_away_and_retry(bookings):
    """Guards against a keyed run that nothing records, and against refusals of other requests."""
    entry, _, other = bookings.fleet.nodes
    await bookings.fleet.set_log_faults(away=True)
    told = await bookings.book(entry, 'away')
    unkeyed = await bookings.book(entry, 'unkeyed', keyed=False)
    assert await bookings.count('away') == 0
    await bookings.fleet.set_log_faults(away=False)
    assert told.outcome == 'not-run', told
    assert unkeyed.outcome == 'answered', unkeyed
    retried = await bookings.book_until_answered(other, 'away', seconds=10)
    assert retried[-1].outcome == 'answered', retried
    assert await bookings.count('away') == 1


async def test_kill_and_lost_answers_of_the_log(bookings):
    """Guards against a second run when the node that claimed the key is gone."""
    entry, first, second = bookings.fleet.nodes
    for node in (first, second):
        await bookings.fleet.set_server_faults(node, first_byte_seconds=0.4)
    await bookings.fleet.set_log_faults(lose_answers=2)
    sending = asyncio.create_task(bookings.book(entry, 'kill'))
    await bookings.wait_for_run('kill')
    entry.signal(signal.SIGKILL)
    retried = await bookings.book_until_answered(second, 'kill', seconds=10)
    assert retried[-1].outcome == 'answered', retried
    assert (await sending).outcome == 'cut'
    assert await bookings.count('kill') == 1
