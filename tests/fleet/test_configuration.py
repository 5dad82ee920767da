"""Propagation of configuration changes under faults of the log, the links and the nodes."""

import asyncio
import json
import time

import pytest

from tests.fleet_processes import Fleet, example_change

SHORT_SETTLING = {'timing': {'settle_seconds': 1.0}}
IN_FORCE_SECONDS = 7.0


def rate_change(rate, base_version, publish_id):
    organisation = {'organisation': 'cafe-chain', 'rate_per_second': rate, 'burst': 100.0}
    return {
        'publish_id': publish_id,
        'base_version': base_version,
        'operator': 'ignored',
        'organisations': [organisation],
    }


async def rate_in_force(fleet, node):
    response = await fleet.request_operator_api(node, '/configuration/organisation/cafe-chain')
    return json.loads(response.body).get('rate_per_second')


async def wait_for(condition, timeout_seconds=15.0):
    deadline = time.monotonic() + timeout_seconds
    while not await condition():
        assert time.monotonic() < deadline, 'the condition was not met before the timeout'
        await asyncio.sleep(0.1)


async def publish(fleet, node, change):
    response = await fleet.request_operator_api(node, '/publish', change, seconds=40)
    return response.code, json.loads(response.body)


@pytest.mark.fault_cell('configuration: append', 'racing operators')
@pytest.mark.fault_cell('configuration: append', 'log answer lost')
@pytest.mark.fault_cell('configuration: read back', 'racing operators')
async def test_one_of_racing_operators_wins_and_lost_answers_change_nothing():
    """Guards against lost updates, changes that are applied twice and false acceptance.

    Operators publish at the same time on the same base version, and the log loses a response, is
    slow and is unavailable, so that a publisher cannot tell whether its record was appended.
    """
    async with Fleet(['catalogue', 'bookings', 'bookings'], overrides=SHORT_SETTLING) as fleet:
        version = (await fleet.publish(example_change()))['receipt']['version']
        racing = [
            publish(
                fleet, fleet.nodes[number % 3], rate_change(10.0 + number, version, f'p{number}')
            )
            for number in range(6)
        ]
        answers = await asyncio.gather(*racing)
        accepted = [body['receipt'] for code, body in answers if code == 200]
        conflicting = [body['receipt']['conflicts'] for code, body in answers if code == 409]
        assert (len(accepted), len(conflicting)) == (1, 5)
        winner = accepted[0]['publish_id']
        assert {item['publish_id'] for conflicts in conflicting for item in conflicts} == {winner}
        assert {item['operator'] for conflicts in conflicting for item in conflicts} == {'test'}
        rates = {await rate_in_force(fleet, node) for node in fleet.nodes}
        assert rates == {10.0 + int(winner[1:])}

        await fleet.set_log_faults(lose_answers=1)
        code, body = await publish(fleet, fleet.nodes[0], rate_change(30.0, 10**3, 'future'))
        assert code == 422, body
        version = accepted[0]['version']
        code, body = await publish(fleet, fleet.nodes[0], rate_change(30.0, version, 'lost-answer'))
        assert (code, body['not_confirmed']) == (200, [])
        code, repeated = await publish(
            fleet, fleet.nodes[1], rate_change(30.0, version, 'lost-answer')
        )
        assert (code, repeated['receipt']) == (200, body['receipt'])

        await fleet.set_log_faults(delay_seconds=1.0)
        version = body['receipt']['version']
        started = time.monotonic()
        code, body = await publish(fleet, fleet.nodes[2], rate_change(40.0, version, 'slow-log'))
        assert (code, body['accepted'], len(body['in_force'])) == (200, True, 3)
        assert time.monotonic() - started < IN_FORCE_SECONDS

        await fleet.set_log_faults(delay_seconds=0.0, away=True)
        version = body['receipt']['version']
        code, body = await publish(fleet, fleet.nodes[0], rate_change(50.0, version, 'log-away'))
        assert (code, body['reason']) in {(503, 'publish_unconfirmed'), (503, 'log_unavailable')}
        completed = await asyncio.to_thread(
            fleet.run_cli, fleet.nodes[0], 'organisation', 'set', 'cafe-chain', '--rate', '9'
        )
        assert completed.returncode == 5, completed.stderr
        await fleet.set_log_faults(away=False)

        async def is_published():
            return (await publish(fleet, fleet.nodes[0], rate_change(50.0, version, 'log-away')))[
                0
            ] == 200

        await wait_for(is_published)
        assert {await rate_in_force(fleet, node) for node in fleet.nodes} == {50.0}


@pytest.mark.fault_cell('configuration: in force', 'cut out')
@pytest.mark.fault_cell('configuration: in force', 'cut back')
@pytest.mark.fault_cell('configuration: in force', 'log away')
async def test_a_change_is_accepted_only_where_a_majority_applies_it():
    """Guards against "accepted" for a change that a majority of the nodes has not applied.

    Links between nodes and to the log are cut, so that the publishing node cannot confirm the
    change at the others.
    """
    async with Fleet(['catalogue', 'catalogue', 'bookings'], overrides=SHORT_SETTLING) as fleet:
        first, second, third = fleet.nodes
        version = (await fleet.publish(example_change()))['receipt']['version']
        for node in (first, second):
            fleet.cut_both_ways(node, third)
        fleet.cut_log(third)
        code, body = await publish(fleet, first, rate_change(10.0, version, 'p1'))
        assert (code, body['accepted'], body['not_confirmed']) == (200, True, ['node-3'])
        fleet.cut_both_ways(first, second)
        fleet.cut_log(second)
        version = body['receipt']['version']
        code, body = await publish(fleet, first, rate_change(20.0, version, 'p2'))
        assert (code, body['accepted'], body['in_force']) == (202, False, ['node-1'])
        assert body['not_confirmed'] == ['node-2', 'node-3']
        fleet.network.heal()

        async def is_applied_by_all():
            return {await rate_in_force(fleet, node) for node in fleet.nodes} == {20.0}

        await wait_for(is_applied_by_all, IN_FORCE_SECONDS)


@pytest.mark.fault_cell('configuration: in force', 'kill')
@pytest.mark.fault_cell('membership: join', 'log away')
@pytest.mark.fault_cell('membership: join', 'kill')
async def test_restarted_nodes_learn_from_peers_and_never_revert():
    """Guards against a node that serves a stale configuration or none after a restart.

    While the log is unavailable, a restarted node fetches the configuration from its peers; if no
    peer is running either, it has to reject requests instead of serving without a configuration.
    """
    async with Fleet(['catalogue'] * 3, overrides=SHORT_SETTLING) as fleet:
        version = (await fleet.publish(example_change()))['receipt']['version']
        key = (await fleet.issue_key('cafe-chain'))['key']
        await publish(fleet, fleet.nodes[0], rate_change(77.0, version, 'p1'))
        await fleet.set_log_faults(away=True)
        restarted = fleet.nodes[2]
        restarted.kill_node()
        restarted.start_node()

        async def serves_again():
            state = await fleet.dump(restarted)
            return bool(
                state and state['has_standing'] and state['parts']['control_log']['is_ready']
            )

        await wait_for(serves_again)
        assert await rate_in_force(fleet, restarted) == 77.0
        assert not (await fleet.dump(restarted))['has_log']

        for node in fleet.nodes:
            node.kill_node()
        restarted.start_node()

        async def rejects_requests():
            return (await fleet.fetch(restarted.url)).code == 503

        await wait_for(rejects_requests)
        headers = {'Authorization': f'Bearer {key}'}
        for _ in range(10):
            refused = await fleet.fetch(f'{restarted.url}/catalogue/1', headers=headers)
            assert (refused.code, json.loads(refused.body)['reason']) == (503, 'not_ready')
            await asyncio.sleep(0.2)
        code, body = await publish(fleet, restarted, rate_change(1.0, -1, 'p2'))
        assert (code, body['reason']) == (503, 'not_ready')
        await fleet.set_log_faults(away=False)
        await wait_for(serves_again)
        assert await rate_in_force(fleet, restarted) == 77.0


@pytest.mark.fault_cell('configuration: snapshot', 'kill')
async def test_the_configuration_outlives_the_records_that_made_it():
    """Guards against a configuration that is lost when the log drops its records.

    The log drops records at the end of their retention time, so that a restarted node has to read
    a snapshot.
    """
    retention_seconds = 4.0
    overrides = {
        **SHORT_SETTLING,
        'log': {'retention_seconds': retention_seconds},
        'limits': {'claim_retention_seconds': 0.5, 'clock_skew_seconds': 0.1},
    }
    services = ['catalogue', 'bookings']
    async with Fleet(services, overrides=overrides, retention_seconds=retention_seconds) as fleet:
        version = (await fleet.publish(example_change()))['receipt']['version']

        async def has_dropped_records():
            page = await fleet.fetch(f'{fleet.log_url}/streams/control/records?offset=0')
            return json.loads(page.body)['earliest_offset'] > version

        await wait_for(has_dropped_records)
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
