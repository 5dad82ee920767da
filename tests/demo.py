"""Runs the main use case on real processes and checks the results; used by `make demo`."""

import asyncio
import sys

from tests.fleet_processes import Fleet, example_change

_WITHDRAW_SECONDS = 7.0


class CheckReport:
    def __init__(self) -> None:
        self.failed = False

    def check(self, text: str, *, passed: bool) -> None:
        self.failed = self.failed or not passed
        print(f'{"ok  " if passed else "FAIL"} {text}', flush=True)


async def main() -> int:
    report = CheckReport()
    async with Fleet(['catalogue', 'bookings', 'bookings']) as fleet:
        print('started three nodes, three backend servers and a log stand-in on loopback')
        published = await fleet.publish(example_change())
        version = published['receipt']['version']
        versions = published['versions_by_id']
        report.check(
            f'configuration {version} is in force at {len(versions)} nodes',
            passed=len(versions) == 3 and min(versions.values()) >= version,
        )
        issued = await fleet.issue_key('cafe-chain', fleet.nodes[1])
        report.check(f'key {issued["key_id"]} was issued', passed=bool(issued['key']))
        await _send_requests(fleet, report, issued['key'])
        await _withdraw(fleet, report, issued)
    return int(report.failed)


async def _send_requests(fleet: Fleet, report: CheckReport, key: str) -> None:
    headers = {'Authorization': f'Bearer {key}'}
    # Nodes use their shares of a rate only once the membership has settled.
    await asyncio.sleep(9)
    for node in fleet.nodes:
        read = await fleet.fetch(f'{node.url}/catalogue/lattes', headers=headers)
        report.check(f'read through {node.instance}: status {read.code}', passed=read.code == 200)
    booking_headers = {**headers, 'Idempotency-Key': 'slot-17'}
    codes = []
    for node in fleet.nodes:
        booking = await fleet.fetch(
            f'{node.url}/bookings/17', method='POST', body='{}', headers=booking_headers
        )
        codes.append(booking.code)
    runs = [run for run in await fleet.all_runs() if run['method'] == 'POST']
    report.check(
        f'a booking sent to three nodes (statuses {codes}) ran once', passed=len(runs) == 1
    )
    leaked = any(key in str(run) for run in await fleet.all_runs())
    report.check('no backend server received the key', passed=not leaked)


async def _withdraw(fleet: Fleet, report: CheckReport, issued: dict) -> None:
    result = await asyncio.to_thread(
        fleet.run_cli, fleet.nodes[2], 'withdraw-key', issued['key_id']
    )
    report.check('the key was withdrawn', passed=result.returncode == 0)
    headers = {'Authorization': f'Bearer {issued["key"]}'}
    for node in fleet.nodes:
        read = await fleet.fetch(f'{node.url}/catalogue/lattes', headers=headers)
        report.check(
            f'withdrawn key at {node.instance}: status {read.code}', passed=read.code == 401
        )


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
