"""Runs the main job on real processes and checks what happened; used by `make demo`."""

import asyncio
import sys

from tests.fleet_processes import Fleet, example_change

_WITHDRAW_SECONDS = 7.0


class Report:
    def __init__(self) -> None:
        self.failed = False

    def check(self, text: str, *, held: bool) -> None:
        self.failed = self.failed or not held
        print(f'{"ok  " if held else "FAIL"} {text}', flush=True)


async def main() -> int:
    report = Report()
    async with Fleet(['catalogue', 'bookings', 'bookings']) as fleet:
        print('three nodes, three backend servers and a log stand-in run on loopback')
        published = await fleet.publish(example_change())
        version = published['receipt']['version']
        versions = published['versions_by_id']
        report.check(
            f'configuration {version} is in force at {len(versions)} nodes',
            held=len(versions) == 3 and min(versions.values()) >= version,
        )
        issued = await fleet.issue_key('cafe-chain', fleet.nodes[1])
        report.check(f'key {issued["key_id"]} was issued', held=bool(issued['key']))
        await _send_requests(fleet, report, issued['key'])
        await _withdraw(fleet, report, issued)
    return int(report.failed)


async def _send_requests(fleet: Fleet, report: Report, key: str) -> None:
    headers = {'Authorization': f'Bearer {key}'}
    # Shares of a rate are used once the membership has settled.
    await asyncio.sleep(9)
    for node in fleet.nodes:
        read = await fleet.fetch(f'{node.url}/catalogue/lattes', headers=headers)
        report.check(f'a read entered at {node.instance}: {read.code}', held=read.code == 200)
    booking_headers = {**headers, 'Idempotency-Key': 'slot-17'}
    codes = []
    for node in fleet.nodes:
        booking = await fleet.fetch(
            f'{node.url}/bookings/17', method='POST', body='{}', headers=booking_headers
        )
        codes.append(booking.code)
    runs = [run for run in await fleet.all_runs() if run['method'] == 'POST']
    report.check(f'one booking sent to three nodes ({codes}) ran once', held=len(runs) == 1)
    seen = any(key in str(run) for run in await fleet.all_runs())
    report.check('no backend server saw the key', held=not seen)


async def _withdraw(fleet: Fleet, report: Report, issued: dict) -> None:
    done = await asyncio.to_thread(fleet.run_cli, fleet.nodes[2], 'withdraw-key', issued['key_id'])
    report.check('the key was withdrawn', held=done.returncode == 0)
    headers = {'Authorization': f'Bearer {issued["key"]}'}
    for node in fleet.nodes:
        read = await fleet.fetch(f'{node.url}/catalogue/lattes', headers=headers)
        report.check(f'the withdrawn key at {node.instance}: {read.code}', held=read.code == 401)


if __name__ == '__main__':
    sys.exit(asyncio.run(main()))
