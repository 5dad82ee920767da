"""Fault matrix of requests: every fault is injected at every step, in a fleet of real processes.

Faults are injected from outside: at the sockets between the processes, by signals, by operator
commands and by the stand-ins of the log and the backend servers.

A step is delayed (a slow log delays the claim, a slow server the run, and so on), so that the fault
is injected while requests are in that step. Afterwards the fault is healed, and the checkers
compare the responses that callers got with the runs that the backend servers recorded.
"""

import asyncio
import itertools
import json
import signal
import subprocess
from collections.abc import Awaitable, Callable

import pytest

from tests.checkers import (
    CallerRecord,
    check_answers,
    check_at_most_once,
    check_key_hidden,
    check_refusals,
)
from tests.fleet_processes import Fleet, FleetNode, example_change

STEP_DELAY_SECONDS = 0.4
FAULT_SECONDS = 0.8
REQUESTS_PER_KIND = 3

FaultInjector = Callable[[Fleet, 'Cell'], Awaitable[None]]


class Cell:
    """One step with one fault: the roles of the nodes and the records of the callers."""

    token_numbers = itertools.count(1)

    def __init__(self, fleet: Fleet, key_by_id: dict) -> None:
        self.entry, self.executing, self.other = fleet.nodes
        self.key = key_by_id['key']
        self.key_id = key_by_id['key_id']
        self.records: list[CallerRecord] = []


async def delay_admission(fleet: Fleet, cell: Cell) -> None:
    for node in (cell.executing, cell.other):
        fleet.network.delay(node.host, cell.entry.host, STEP_DELAY_SECONDS / 4)


async def delay_claim(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_log_faults(delay_seconds=STEP_DELAY_SECONDS)


async def delay_send(fleet: Fleet, cell: Cell) -> None:
    for node in (cell.executing, cell.other):
        fleet.network.delay(cell.entry.host, node.host, STEP_DELAY_SECONDS)


async def delay_queue(fleet: Fleet, cell: Cell) -> None:
    # There are fewer slots than requests, so the others are queued while the first ones run.
    await _set_server_faults(fleet, cell, first_byte_seconds=STEP_DELAY_SECONDS * 2)


async def delay_run(fleet: Fleet, cell: Cell) -> None:
    await _set_server_faults(fleet, cell, first_byte_seconds=STEP_DELAY_SECONDS)


async def delay_answer(fleet: Fleet, cell: Cell) -> None:
    for node in (cell.executing, cell.other):
        fleet.network.delay(node.host, cell.entry.host, STEP_DELAY_SECONDS)


async def _set_server_faults(fleet: Fleet, cell: Cell, **faults: object) -> None:
    for node in (cell.executing, cell.other):
        await fleet.set_server_faults(node, **faults)


async def kill_entry(fleet: Fleet, cell: Cell) -> None:
    await _kill(cell.entry)


async def kill_executing(fleet: Fleet, cell: Cell) -> None:
    await _kill(cell.executing)


async def kill_server(fleet: Fleet, cell: Cell) -> None:
    process = cell.executing.server_process
    assert process is not None
    cell.killed_runs = await fleet.runs(cell.executing)
    process.kill()
    process.wait()


async def pause_entry(fleet: Fleet, cell: Cell) -> None:
    await _pause(cell.entry)


async def pause_executing(fleet: Fleet, cell: Cell) -> None:
    await _pause(cell.executing)


async def cut_request_direction(fleet: Fleet, cell: Cell) -> None:
    fleet.cut_one_way(cell.entry, cell.executing)


async def cut_answer_direction(fleet: Fleet, cell: Cell) -> None:
    fleet.cut_one_way(cell.executing, cell.entry)


async def slow_down_link(fleet: Fleet, cell: Cell) -> None:
    fleet.network.delay(cell.entry.host, cell.executing.host, FAULT_SECONDS)
    fleet.network.delay(cell.executing.host, cell.entry.host, FAULT_SECONDS)


async def stop_log(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_log_faults(away=True)


async def slow_down_log(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_log_faults(delay_seconds=FAULT_SECONDS)


async def drop_log_answers(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_log_faults(lose_answers=4)


async def race_operators(fleet: Fleet, cell: Cell) -> None:
    change = {'services': [{'service': 'bookings', 'floor_fraction': 0.4}]}
    path = fleet.folder / 'race.json'
    path.write_text(json.dumps(change))
    await asyncio.gather(
        *(
            asyncio.to_thread(fleet.run_cli, node, 'publish', str(path))
            for node in (cell.entry, cell.executing)
        )
    )


async def slow_down_server(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_server_faults(cell.executing, first_byte_seconds=FAULT_SECONDS)


async def truncate_answers(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_server_faults(cell.executing, half_answer=True)


async def flap_server(fleet: Fleet, cell: Cell) -> None:
    for state in ('draining', 'ready', 'cold', 'ready'):
        await fleet.announce_state(cell.executing, state)
        await asyncio.sleep(STEP_DELAY_SECONDS / 4)


async def withdraw_key(fleet: Fleet, cell: Cell) -> None:
    await asyncio.to_thread(fleet.run_cli, cell.other, 'withdraw-key', cell.key_id)


async def _kill(node: FleetNode) -> None:
    assert node.node_process is not None
    node.node_process.kill()
    node.node_process.wait()


async def _pause(node: FleetNode) -> None:
    node.signal(signal.SIGSTOP)
    await asyncio.sleep(FAULT_SECONDS)
    node.signal(signal.SIGCONT)


DELAYS_BY_STEP: dict[str, FaultInjector] = {
    'admission': delay_admission,
    'claim': delay_claim,
    'send': delay_send,
    'queue': delay_queue,
    'run': delay_run,
    'answer': delay_answer,
}
FAULTS_BY_NAME: dict[str, FaultInjector] = {
    'cut request direction': cut_request_direction,
    'cut answer direction': cut_answer_direction,
    'slow link': slow_down_link,
    'pause entry': pause_entry,
    'pause executing': pause_executing,
    'log away': stop_log,
    'log slow': slow_down_log,
    'log answer lost': drop_log_answers,
    'racing operators': race_operators,
    'server slow': slow_down_server,
    'server half answers': truncate_answers,
    'server flaps': flap_server,
    'kill server': kill_server,
    'kill executing': kill_executing,
    'kill entry': kill_entry,
    'key withdrawn': withdraw_key,
}


# Faults whose column in the fault matrix has another name.
COLUMNS_BY_NAME = {
    'cut request direction': 'cut out',
    'cut answer direction': 'cut back',
    'pause entry': 'pause',
    'pause executing': 'pause',
    'kill server': 'kill',
    'kill executing': 'kill',
    'kill entry': 'kill',
}


def _step_parameter(step: str) -> object:
    marks = [
        pytest.mark.fault_cell(f'request: {step}', COLUMNS_BY_NAME.get(name, name))
        for name in FAULTS_BY_NAME
    ]
    return pytest.param(step, marks=marks)


@pytest.mark.parametrize('step', [_step_parameter(step) for step in DELAYS_BY_STEP])
async def test_request(step):
    """Guards against repeated runs, false "not run" outcomes and swapped responses.

    Each fault hits requests that are in the given step, and callers retry keyed requests at other
    nodes during the fault and after it.
    """
    violations = []
    async with Fleet(['catalogue', 'bookings', 'bookings'], slots=2) as fleet:
        await fleet.publish(example_change())
        issued = await fleet.issue_key('cafe-chain')
        await fleet.wait_until_served(f'{fleet.nodes[0].url}/catalogue/probe', issued['key'])
        answered = 0
        for name, inject in FAULTS_BY_NAME.items():
            cell = Cell(fleet, issued)
            runs = await _run_cell(fleet, cell, DELAYS_BY_STEP[step], inject)
            answered += sum(record.outcome == 'answered' for record in cell.records)
            violations += [(step, name, violation) for violation in _find_violations(cell, runs)]
    assert not violations
    # If every request were rejected, the checks above would pass without proving anything.
    assert answered > len(FAULTS_BY_NAME)


async def _run_cell(
    fleet: Fleet, cell: Cell, delay: FaultInjector, inject: FaultInjector
) -> list[dict]:
    await delay(fleet, cell)
    tokens = [f'{next(Cell.token_numbers)}' for _ in range(REQUESTS_PER_KIND * 2)]
    keyed, unkeyed = tokens[::2], tokens[1::2]
    calls = [
        asyncio.create_task(_call(fleet, cell, cell.entry, token, keyed=token in keyed))
        for token in tokens
    ]
    await asyncio.sleep(STEP_DELAY_SECONDS / 2)
    cell.killed_runs = []
    await inject(fleet, cell)
    await asyncio.sleep(FAULT_SECONDS)
    # Callers retry keyed requests at another node while the fault is active.
    await asyncio.gather(*(_call(fleet, cell, cell.other, token, keyed=True) for token in keyed))
    await _heal(fleet, cell)
    await asyncio.gather(*calls)
    await asyncio.gather(
        *(_call(fleet, cell, cell.executing, token, keyed=True) for token in keyed)
    )
    # Requests that run in spite of a passed deadline are recorded within this time.
    await asyncio.sleep(STEP_DELAY_SECONDS * 3)
    del unkeyed
    return await fleet.all_runs() + cell.killed_runs


async def _call(fleet: Fleet, cell: Cell, node: FleetNode, token: str, *, keyed: bool) -> None:
    target = f'/bookings/{token}'
    headers = {'Authorization': f'Bearer {cell.key}'}
    if keyed:
        headers['Idempotency-Key'] = token
    response = await fleet.fetch(
        f'{node.url}{target}', method='POST', body='{}', headers=headers, seconds=6
    )
    outcome = response.headers.get('Turmericwharf-Outcome', 'connection lost')
    cell.records.append(
        CallerRecord(token, True, outcome, response.code, response.body or b'', target)
    )


async def _heal(fleet: Fleet, cell: Cell) -> None:
    fleet.network.heal()
    await fleet.set_log_faults(away=False, delay_seconds=0.0, lose_answers=0)
    restarted = False
    for node in fleet.nodes:
        if _has_exited(node.node_process):
            node.start_node()
            restarted = True
        if _has_exited(node.server_process):
            node.start_server()
            restarted = True
    if restarted:
        await fleet.wait_until_converged()
    for node in fleet.nodes:
        await fleet.set_server_faults(node, first_byte_seconds=0.0, half_answer=False)


def _has_exited(process: subprocess.Popen | None) -> bool:
    return process is not None and process.poll() is not None


def _find_violations(cell: Cell, runs: list[dict]) -> list:
    tokens = {record.token for record in cell.records}
    cell_runs = [run for run in runs if run['target'].rsplit('/', 1)[-1] in tokens]
    return [
        *check_at_most_once(cell.records, cell_runs),
        *check_refusals(cell.records, cell_runs),
        *check_answers(cell.records),
        *check_key_hidden(cell.key, cell_runs),
    ]
