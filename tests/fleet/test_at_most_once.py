"""At-most-once execution of bookings under pairs of faults, checked by the servers' run records."""

import asyncio
import json
import signal

import pytest
import pytest_asyncio

from tests.fleet.bookings import running_booking_fleet

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(loop_scope='module', scope='module')
async def client():
    async with running_booking_fleet(['catalogue', 'bookings', 'bookings']) as started:
        yield started


async def _wait_until_idle(client, node) -> None:
    async with asyncio.timeout(10):
        while (await client.fleet.dump(node) or {'in_progress': 1})['in_progress']:
            await asyncio.sleep(0.05)


async def test_retries_get_the_same_answer_and_another_body_is_refused(client):
    """Guards against a second run or a different answer when a caller retries at another node.

    That happens if nodes do not share the claim of an idempotency key and the recorded answer. A
    request that reuses the key for other work is rejected.
    """
    results = [await client.book(node, 'same') for node in client.fleet.nodes]
    assert len({result.body for result in results}) == 1
    headers = {'Authorization': f'Bearer {client.key}', 'Idempotency-Key': 'same'}
    other = await client.fetch(client.fleet.nodes[1], '/bookings/other', headers)
    assert other.code == 422
    assert b'idempotency_key_reused' in other.body
    concurrent = await asyncio.gather(
        *(client.book(client.fleet.nodes[n % 3], 'b') for n in range(9))
    )
    assert {result.outcome for result in concurrent} == {'answered'}
    assert await client.count_runs('same') == await client.count_runs('b') == 1


async def test_one_way_cut_and_retry_at_another_node(client):
    """Guards against a second run when the answer to the entry node is lost.

    The link from the servers to the entry node is cut, so that the booking runs, the caller gets
    the outcome "unknown" and retries at another node.
    """
    entry, *servers = client.fleet.nodes
    # Gets rate tokens in advance: they come from another node, whose replies the cut drops.
    assert (await client.book(entry, 'token')).outcome == 'answered'
    for server in servers:
        client.fleet.cut_one_way(server, entry)
    try:
        result = await client.book(entry, 'cut')
        retried = await client.book(servers[0], 'cut')
    finally:
        client.fleet.network.heal()
    assert result.outcome == 'unknown', result
    assert retried.outcome == 'answered', retried
    assert await client.count_runs('cut') == 1


async def test_pause_and_retry(client):
    """Guards against a resumed node that runs stale requests after callers retried elsewhere.

    Requests reach a node while it is paused, and the callers retry at another node before it
    resumes.
    """
    entry, paused, other = client.fleet.nodes
    bookings = [f'pause-{number}' for number in range(12)]
    paused.signal(signal.SIGSTOP)
    first = await asyncio.gather(*(client.book(entry, booking) for booking in bookings))
    assert any(result.outcome != 'answered' for result in first), (
        'no request reached the paused node'
    )
    second = await asyncio.gather(*(client.book(other, booking) for booking in bookings))
    await asyncio.sleep(1)
    paused.signal(signal.SIGCONT)
    await _wait_until_idle(client, paused)
    # Requests that were queued at the paused node did not run, so their keys are released.
    last = await asyncio.gather(
        *(client.book_until_answered(other, booking, seconds=15) for booking in bookings)
    )
    assert all(results[-1].outcome == 'answered' for results in last), (first, second, last)
    assert [await client.count_runs(booking) for booking in bookings] == [1] * len(bookings)


async def test_paused_entry_node_checks_the_deadline_first(client):
    """Guards against running requests whose deadline passed while the entry node was paused.

    The requests wait in the sockets of the paused node, which reads them only after it resumes.
    """
    entry = client.fleet.nodes[0]
    entry.signal(signal.SIGSTOP)
    pending = [asyncio.create_task(client.book(entry, 'old', keyed=False)) for _ in range(5)]
    # Longer than the deadline of the class (1 s), and shorter than the standing time (2 s), after
    # which a lack of standing would be the reason of the rejection.
    await asyncio.sleep(1.5)
    entry.signal(signal.SIGCONT)
    results = await asyncio.gather(*pending)
    assert {result.outcome for result in results} == {'not-run'}, results
    assert all('deadline_passed' in result.reason for result in results), results
    assert await client.count_runs('old') == 0
    results = await client.book_until_answered(entry, 'new', seconds=5)
    assert results[-1].outcome == 'answered', results


async def test_work_for_a_caller_that_left_is_cut_at_the_server(client):
    """Guards against a slow server that keeps working after the caller has disconnected.

    That happens if the entry node does not pass the cancellation on to the node of the server.
    """
    executing, entry = client.fleet.nodes[0], client.fleet.nodes[1]
    await client.fleet.set_server_faults(executing, first_byte_seconds=1.5)
    headers = {'Authorization': f'Bearer {client.key}'}
    await client.fleet.fetch(f'{entry.url}/catalogue/left', headers=headers, seconds=0.5)
    run = next(
        run for run in await client.fleet.runs(executing) if run['target'] == '/catalogue/left'
    )
    async with asyncio.timeout(5):
        while run['headers']['Turmericwharf-Request-Id'] not in await _cancelled(client, executing):
            await asyncio.sleep(0.02)
    await client.fleet.set_server_faults(executing, first_byte_seconds=0.0)


async def _cancelled(client, node) -> list[str]:
    """Return the ids of the requests that were cancelled at the server of a node."""
    response = await client.fleet.fetch(f'{node.server_url}/stand-in/runs')
    return json.loads(response.body)['cancelled']


async def test_log_away_and_retry(client):
    """Guards against a keyed run without a recorded claim, and against rejecting unkeyed requests.

    While the log is unavailable, no claim can be appended; only requests with an idempotency key
    depend on it.
    """
    entry, _, other = client.fleet.nodes
    await client.fleet.set_log_faults(away=True)
    keyed = await client.book(entry, 'away')
    unkeyed = await client.book(entry, 'unkeyed', keyed=False)
    assert await client.count_runs('away') == 0
    await client.fleet.set_log_faults(away=False)
    assert keyed.outcome == 'not-run', keyed
    assert unkeyed.outcome == 'answered', unkeyed
    retried = await client.book_until_answered(other, 'away', seconds=10)
    assert retried[-1].outcome == 'answered', retried
    assert await client.count_runs('away') == 1


async def test_kill_and_lost_answers_of_the_log(client):
    """Guards against a second run when the node that claimed the key is killed during the run.

    Responses of the log to the appends are lost as well, so that it is uncertain whether the claim
    was recorded.
    """
    entry, first, second = client.fleet.nodes
    for node in (first, second):
        await client.fleet.set_server_faults(node, first_byte_seconds=0.4)
    await client.fleet.set_log_faults(lose_answers=2)
    pending = asyncio.create_task(client.book(entry, 'kill'))
    await client.wait_for_run('kill')
    entry.signal(signal.SIGKILL)
    retried = await client.book_until_answered(second, 'kill', seconds=10)
    assert retried[-1].outcome == 'answered', retried
    assert (await pending).outcome == 'connection lost'
    assert await client.count_runs('kill') == 1
