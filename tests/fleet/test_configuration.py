"""Configuration of a fleet: in force everywhere, never reverting, whatever the log does."""

import asyncio
import json
import time

import pytest

from tests.fleet_processes import Fleet, example_change

QUICK = {'timing': {'settle_seconds': 1.0}}
IN_FORCE_SECONDS = 7.0


def change_rate(number, base_version, publish_id):
    organisation = {'organisation': 'cafe-chain', 'rate_per_second': number, 'burst': 100.0}
    return {
        'publish_id': publish_id,
        'base_version': base_version,
        'operator': 'ignored',
        'organisations': [organisation],
    }


async def rate_at(fleet, node):
    response = await fleet.request_operator_api(node, '/configuration/organisation/cafe-chain')
    return json.loads(response.body).get('rate_per_second')


async def wait_for(condition, seconds=15.0):
    deadline = time.monotonic() + seconds
    while not await condition():
        assert time.monotonic() < deadline, 'the condition did not come true'
        await asyncio.sleep(0.1)


async def post(fleet, node, change):
    response = await fleet.request_operator_api(node, '/publish', change, seconds=40)
    return response.code, json.loads(response.body)


@pytest.mark.fault_cell('configuration: append', 'racing operators')
@pytest.mark.fault_cell('configuration: append', 'log answer lost')
@pytest.mark.fault_cell('configuration: read back', 'racing operators')
async def test_one_of_racing_operators_wins_and_lost_answers_change_nothing():
    """Guards against a lost update, a change that counts twice and a false "accepted"."""
    async with Fleet(['catalogue', 'bookings', 'bookings'], overrides=QUICK) as fleet:
        version = (await fleet.publish(example_change()))['receipt']['version']
        racing = [
            post(fleet, fleet.nodes[number % 3], change_rate(10.0 + number, version, f'p{number}'))
            for number in range(6)
        ]
        answers = await asyncio.gather(*racing)
        won = [body['receipt'] for code, body in answers if code == 200]
        lost = [body['receipt']['conflicts'] for code, body in answers if code == 409]
        assert (len(won), len(lost)) == (1, 5)
        winner = won[0]['publish_id']
        assert {one['publish_id'] for conflicts in lost for one in conflicts} == {winner}
        assert {one['operator'] for conflicts in lost for one in conflicts} == {'test'}
        rates = {await rate_at(fleet, node) for node in fleet.nodes}
        assert rates == {10.0 + int(winner[1:])}

        await fleet.set_log_faults(lose_answers=1)
        code, body = await post(fleet, fleet.nodes[0], change_rate(30.0, 10**3, 'future'))
        assert code == 422, body
        version = won[0]['version']
        code, body = await post(fleet, fleet.nodes[0], change_rate(30.0, version, 'lost-answer'))
        assert (code, body['not_confirmed']) == (200, [])
        code, again = await post(fleet, fleet.nodes[1], change_rate(30.0, version, 'lost-answer'))
        assert (code, again['receipt']) == (200, body['receipt'])

        await fleet.set_log_faults(delay_seconds=1.0)
        version = body['receipt']['version']
        started = time.monotonic()
        code, body = await post(fleet, fleet.nodes[2], change_rate(40.0, version, 'slow-log'))
        assert (code, body['accepted'], len(body['in_force'])) == (200, True, 3)
        assert time.monotonic() - started < IN_FORCE_SECONDS

        await fleet.set_log_faults(delay_seconds=0.0, away=True)
        version = body['receipt']['version']
        code, body = await post(fleet, fleet.nodes[0], change_rate(50.0, version, 'log-away'))
        assert (code, body['reason']) in {(503, 'publish_unconfirmed'), (503, 'log_unavailable')}
        done = await asyncio.to_thread(
            fleet.run_cli, fleet.nodes[0], 'organisation', 'set', 'cafe-chain', '--rate', '9'
        )
        assert done.returncode == 5, done.stderr
        await fleet.set_log_faults(away=False)

        async def is_published():
            return (await post(fleet, fleet.nodes[0], change_rate(50.0, version, 'log-away')))[
                0
            ] == 200

        await wait_for(is_published)
        assert {await rate_at(fleet, node) for node in fleet.nodes} == {50.0}


@pytest.mark.fault_cell('configuration: in force', 'cut out')
@pytest.mark.fault_cell('configuration: in force', 'cut back')
@pytest.mark.fault_cell('configuration: in force', 'log away')
async def test_a_change_is_accepted_only_where_a_majority_applies_it():
    """Guards against "accepted" for a change that a majority does not know."""
    async with Fleet(['catalogue', 'catalogue', 'bookings'], overrides=QUICK) as fleet:
        first, second, third = fleet.nodes
        version = (await fleet.publish(example_change()))['receipt']['version']
        for node in (first, second):
            fleet.cut_both_ways(node, third)
        fleet.cut_log(third)
        code, body = await post(fleet, first, change_rate(10.0, version, 'p1'))
        assert (code, body['accepted'], body['not_confirmed']) == (200, True, ['node-3'])
        fleet.cut_both_ways(first, second)
        fleet.cut_log(second)
        version = body['receipt']['version']
        code, body = await post(fleet, first, change_rate(20.0, version, 'p2'))
        assert (code, body['accepted'], body['in_force']) == (202, False, ['node-1'])
        assert body['not_confirmed'] == ['node-2', 'node-3']
        fleet.network.heal()

        async def is_everywhere():
            return {await rate_at(fleet, node) for node in fleet.nodes} == {20.0}

        await wait_for(is_everywhere, IN_FORCE_SECONDS)


@pytest.mark.fault_cell('configuration: in force', 'kill')
@pytest.mark.fault_cell('membership: join', 'log away')
@pytest.mark.fault_cell('membership: join', 'kill')
async def test_restarted_nodes_learn_from_peers_and_never_revert():
    """Guards against a node that serves an old or no configuration after a restart."""
    async with Fleet(['catalogue'] * 3, overrides=QUICK) as fleet:
        version = (await fleet.publish(example_change()))['receipt']['version']
        key = (await fleet.issue_key('cafe-chain'))['key']
        await post(fleet, fleet.nodes[0], change_rate(77.0, version, 'p1'))
        await fleet.set_log_faults(away=True)
        last = fleet.nodes[2]
        last.kill_node()
        last.start_node()

        async def serves_again():
            state = await fleet.dump(last)
            return bool(
                state and state['has_standing'] and state['parts']['control_log']['is_ready']
            )

        await wait_for(serves_again)
        assert await rate_at(fleet, last) == 77.0
        assert not (await fleet.dump(last))['has_log']

        for node in fleet.nodes:
            node.kill_node()
        last.start_node()

        async def answers():
            return (await fleet.fetch(last.url)).code == 503

        await wait_for(answers)
        headers = {'Authorization': f'Bearer {key}'}
        for _ in range(10):
            refused = await fleet.fetch(f'{last.url}/catalogue/1', headers=headers)
            assert (refused.code, json.loads(refused.body)['reason']) == (503, 'not_ready')
            await asyncio.sleep(0.2)
        code, body = await post(fleet, last, change_rate(1.0, -1, 'p2'))
        assert (code, body['reason']) == (503, 'not_ready')
        await fleet.set_log_faults(away=False)
        await wait_for(serves_again)
        assert await rate_at(fleet, last) == 77.0


@pytest.mark.fault_cell('configuration: snapshot', 'kill')
async def test_the_configuration_outlives_the_records_that_made_it():
    """Guards against a configuration that is gone once the log drops its records."""
    retention = 4.0
    overrides = {
        **QUICK,
        'log': {'retention_seconds': retention},
        'limits': {'claim_retention_seconds': 0.5, 'clock_skew_seconds': 0.1},
    }
    services = ['catalogue', 'bookings']
    async with Fleet(services, overrides=overrides, retention_seconds=retention) as fleet:
        version = (await fleet.publish(example_change()))['receipt']['version']

        async def is_dropped():
            page = await fleet.fetch(f'{fleet.log_url}/streams/control/records?offset=0')
            return json.loads(page.body)['earliest_offset'] > version

        await wait_for(is_dropped)
        restarted = fleet.nodes[1]
        restarted.kill_node()
        restarted.start_node()

        async def is_ready():
            state = await fleet.dump(restarted)
            return bool(state and state['parts']['control_log']['is_ready'])

        await wait_for(is_ready)
        state = await fleet.dump(restarted)
        assert state['parts']['control_log']['routes'] == 2
        assert state['parts']['control_log']['configuration_version'] == version
        metrics = await fleet.request_operator_api(restarted, '/metrics')
        assert b'turmericwharf_control_log_routes 2' in metrics.body
