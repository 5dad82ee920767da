"""A fleet with bookings that must not run twice, and callers that send them."""

import asyncio
import contextlib
import dataclasses
import time

from tests.fleet_processes import Fleet, FleetNode, example_change

ANSWER_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Told:
    """What a caller was told."""

    outcome: str
    reason: str
    body: bytes


class Bookings:
    def __init__(self, fleet: Fleet, key: str) -> None:
        self.fleet = fleet
        self.key = key

    async def book(self, node: FleetNode, number: str, *, keyed: bool = True) -> Told:
        headers = {'Authorization': f'Bearer {self.key}'}
        if keyed:
            headers['Idempotency-Key'] = number
        response = await self.fetch(node, f'/bookings/{number}', headers)
        outcome = response.headers.get('Turmericwharf-Outcome', 'cut')
        body = response.body or b''
        reason = body.decode() if outcome != 'answered' else ''
        return Told(outcome, reason, body)

    async def is_ready(self, node: FleetNode) -> bool:
        """Whether a node answers, with its own share of the rate.

        Before its membership has settled it lives on what others lend, and refuses what is inside
        the rate once it is cut off from them.
        """
        dump = await self.fleet.dump(node)
        if dump is None or not dump['parts']['members']['is_settled']:
            return False
        return (await self.book(node, 'start', keyed=False)).outcome == 'answered'

    async def fetch(self, node: FleetNode, path: str, headers: dict):
        return await self.fleet.fetch(
            f'{node.url}{path}', method='POST', body='{}', headers=headers, seconds=8
        )

    async def book_until_answered(self, node: FleetNode, number: str, seconds: float) -> list[Told]:
        """Try again at one node until there is an answer; return all that was told."""
        told = [await self.book(node, number)]
        deadline = time.monotonic() + seconds
        while told[-1].outcome != 'answered' and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
            told.append(await self.book(node, number))
        return told

    async def count(self, number: str) -> int:
        runs = await self.fleet.all_runs()
        return sum(run['target'] == f'/bookings/{number}' for run in runs)

    async def wait_for_run(self, number: str) -> None:
        async with asyncio.timeout(5):
            while not await self.count(number):
                await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def bookings_fleet(
    services: list[str], *, answer_seconds: float = ANSWER_SECONDS, **overrides
):
    timing = {'settle_seconds': 0.5, 'standing_seconds': 2.0, 'gossip_seconds': 0.3}
    async with Fleet(services, overrides={'timing': timing, **overrides}) as fleet:
        change = example_change()
        change['organisations'][0] |= {'rate_per_second': 5000.0, 'burst': 5000.0}
        change['classes'][1]['answer_within_milliseconds'] = int(answer_seconds * 1000)
        await fleet.publish(change)
        issued = await fleet.issue_key('cafe-chain')
        bookings = Bookings(fleet, issued['key'])
        for node in fleet.nodes:
            async with asyncio.timeout(20):
                while not await bookings.is_ready(node):
                    await asyncio.sleep(0.1)
        yield bookings
