"""Every fault at every step of a request, injected at the sockets between real processes.

A step is held open (a slow log holds the claim, a slow server the run, and so on), the fault
is injected while requests are in that step, it is healed, and the checkers look at what
callers got and what backend servers ran.
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

HOLD_SECONDS = 0.4
FAULT_SECONDS = 0.8
REQUESTS_OF_A_KIND = 3

Inject = Callable[[Fleet, 'Cell'], Awaitable[None]]


class Cell:
    """One step with one fault: the roles, and what callers sent and got."""

    numbers = itertools.count(1)

    def __init__(self, fleet: Fleet, key_by_id: dict) -> None:
        self.entry, self.executing, self.other = fleet.nodes
        self.key = key_by_id['key']
        self.key_id = key_by_id['key_id']
        self.records: list[CallerRecord] = []


async def hold_admission(fleet: Fleet, cell: Cell) -> None:
    for node in (cell.executing, cell.other):
        fleet.network.delay(node.host, cell.entry.host, HOLD_SECONDS / 4)


async def hold_claim(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_log_faults(delay_seconds=HOLD_SECONDS)


async def hold_send(fleet: Fleet, cell: Cell) -> None:
    for node in (cell.executing, cell.other):
        fleet.network.delay(cell.entry.host, node.host, HOLD_SECONDS)


async def hold_queue(fleet: Fleet, cell: Cell) -> None:
    # Fewer slots than requests: the rest waits while the first ones run.
    await _server_faults(fleet, cell, first_byte_seconds=HOLD_SECONDS * 2)


async def hold_run(fleet: Fleet, cell: Cell) -> None:
    await _server_faults(fleet, cell, first_byte_seconds=HOLD_SECONDS)


async def hold_answer(fleet: Fleet, cell: Cell) -> None:
    for node in (cell.executing, cell.other):
        fleet.network.delay(node.host, cell.entry.host, HOLD_SECONDS)


async def _server_faults(fleet: Fleet, cell: Cell, **faults: object) -> None:
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


async def slow_link(fleet: Fleet, cell: Cell) -> None:
    fleet.network.delay(cell.entry.host, cell.executing.host, FAULT_SECONDS)
    fleet.network.delay(cell.executing.host, cell.entry.host, FAULT_SECONDS)


async def log_away(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_log_faults(away=True)


async def log_slow(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_log_faults(delay_seconds=FAULT_SECONDS)


async def log_answer_lost(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_log_faults(lose_answers=4)


async def racing_operators(fleet: Fleet, cell: Cell) -> None:
    change = {'services': [{'service': 'bookings', 'floor_fraction': 0.4}]}
    path = fleet.folder / 'race.json'
    path.write_text(json.dumps(change))
    await asyncio.gather(
        *(
            asyncio.to_thread(fleet.run_cli, node, 'publish', str(path))
            for node in (cell.entry, cell.executing)
        )
    )


async def server_slow(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_server_faults(cell.executing, first_byte_seconds=FAULT_SECONDS)


async def server_half_answers(fleet: Fleet, cell: Cell) -> None:
    await fleet.set_server_faults(cell.executing, half_answer=True)


async def server_flaps(fleet: Fleet, cell: Cell) -> None:
    for state in ('draining', 'ready', 'cold', 'ready'):
        await fleet.announce_state(cell.executing, state)
        await asyncio.sleep(HOLD_SECONDS / 4)


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


HOLDS_BY_STEP: dict[str, Inject] = {
    'admission': hold_admission,
    'claim': hold_claim,
    'send': hold_send,
    'queue': hold_queue,
    'run': hold_run,
    'answer': hold_answer,
}
FAULTS_BY_NAME: dict[str, Inject] = {
    'cut request direction': cut_request_direction,
    'cut answer direction': cut_answer_direction,
    'slow link': slow_link,
    'pause entry': pause_entry,
    'pause executing': pause_executing,
    'log away': log_away,
    'log slow': log_slow,
    'log answer lost': log_answer_lost,
    'racing operators': racing_operators,
    'server slow': server_slow,
    'server half answers': server_half_answers,
    'server flaps': server_flaps,
    'kill server': kill_server,
    'kill executing': kill_executing,
    'kill entry': kill_entry,
    'key withdrawn': withdraw_key,
}


# Column of the matrix for each fault.
COLUMNS_BY_NAME = {
    'cut request direction': 'cut out',
    'cut answer direction': 'cut back',
    'pause entry': 'pause',
    'pause executing': 'pause',
    'kill server': 'kill',
    'kill executing': 'kill',
    'kill entry': 'kill',
}


def _marked(step: str) -> object:
    marks = [
        pytest.mark.fault_cell(f'request: {step}', COLUMNS_BY_NAME.get(name, name))
        for name in FAULTS_BY_NAME
    ]
    return pytest.param(step, marks=marks)


@pytest.mark.parametrize('step', [_marked(step) for step in HOLDS_BY_STEP])
async def test_request(step):
    """Guards against doubled runs, false refusals and mixed-up answers under every fault."""
    found = []
    async with Fleet(['catalogue', 'bookings', 'bookings'], slots=2) as fleet:
        await fleet.publish(example_change())
        issued = await fleet.issue_key('cafe-chain')
        await fleet.wait_until_served(f'{fleet.nodes[0].url}/catalogue/probe', issued['key'])
        answered = 0
        for name, inject in FAULTS_BY_NAME.items():
            cell = Cell(fleet, issued)
            runs = await _run_cell(fleet, cell, HOLDS_BY_STEP[step], inject)
            answered += sum(record.outcome == 'answered' for record in cell.records)
            found += [(step, name, violation) for violation in _check(cell, runs)]
    assert not found
    # Guards against a matrix that proves nothing because every request was refused.
    assert answered > len(FAULTS_BY_NAME)


async def _run_cell(fleet: Fleet, cell: Cell, hold: Inject, inject: Inject) -> list[dict]:
    await hold(fleet, cell)
    tokens = [f'{next(Cell.numbers)}' for _ in range(REQUESTS_OF_A_KIND * 2)]
    keyed, unkeyed = tokens[::2], tokens[1::2]
    calls = [
        asyncio.create_task(_call(fleet, cell, cell.entry, token, keyed=token in keyed))
        for token in tokens
    ]
    await asyncio.sleep(HOLD_SECONDS / 2)
    cell.killed_runs = []
    await inject(fleet, cell)
    await asyncio.sleep(FAULT_SECONDS)
    # A caller retries keyed work at another node while the fault lasts.
    await asyncio.gather(*(_call(fleet, cell, cell.other, one, keyed=True) for one in keyed))
    await _heal(fleet, cell)
    await asyncio.gather(*calls)
    await asyncio.gather(*(_call(fleet, cell, cell.executing, one, keyed=True) for one in keyed))
    # Work that outlives its deadline is given the time to show itself.
    await asyncio.sleep(HOLD_SECONDS * 3)
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
        if _is_dead(node.node_process):
            node.start_node()
            restarted = True
        if _is_dead(node.server_process):
            node.start_server()
            restarted = True
    if restarted:
        await fleet.wait_until_converged()
    for node in fleet.nodes:
        await fleet.set_server_faults(node, first_byte_seconds=0.0, half_answer=False)


def _is_dead(process: subprocess.Popen | None) -> bool:
    return process is not None and process.poll() is not None


def _check(cell: Cell, runs: list[dict]) -> list:
    tokens = {record.token for record in cell.records}
    mine = [run for run in runs if run['target'].rsplit('/', 1)[-1] in tokens]
    return [
        *check_at_most_once(cell.records, mine),
        *check_refusals(cell.records, mine),
        *check_answers(cell.records),
        *check_key_hidden(cell.key, mine),
    ]
