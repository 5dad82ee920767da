"""Fleet with at-most-once bookings, and a client that sends them."""

import asyncio
import contextlib
import dataclasses
import time

from tests.fleet_processes import Fleet, FleetNode, example_change

DEADLINE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class BookingResult:
    """Result of one request as its caller saw it.

    Parameters
    ----------
    outcome
        Text of the outcome header, or 'connection lost'.
    reason
        Body of a response other than 'answered', which names the reason.
    """

    outcome: str
    reason: str
    body: bytes


class BookingClient:
    def __init__(self, fleet: Fleet, key: str) -> None:
        self.fleet = fleet
        self.key = key

    async def book(self, node: FleetNode, booking_id: str, *, keyed: bool = True) -> BookingResult:
        headers = {'Authorization': f'Bearer {self.key}'}
        if keyed:
            headers['Idempotency-Key'] = booking_id
        response = await self.fetch(node, f'/bookings/{booking_id}', headers)
        outcome = response.headers.get('Turmericwharf-Outcome', 'connection lost')
        body = response.body or b''
        reason = body.decode() if outcome != 'answered' else ''
        return BookingResult(outcome, reason, body)

    async def is_ready(self, node: FleetNode) -> bool:
        """Return whether a node answers bookings from its own share of the rate.

        Before its membership has settled, a node has only tokens that others lend; once it is cut
        off from them, it rejects requests inside the rate.
        """
        dump = await self.fleet.dump(node)
        if dump is None or not dump['parts']['members']['is_settled']:
            return False
        return (await self.book(node, 'start', keyed=False)).outcome == 'answered'

    async def fetch(self, node: FleetNode, path: str, headers: dict):
        return await self.fleet.fetch(
            f'{node.url}{path}', method='POST', body='{}', headers=headers, seconds=8
        )

    async def book_until_answered(
        self, node: FleetNode, booking_id: str, seconds: float
    ) -> list[BookingResult]:
        """Retry at one node until the booking is answered; return the results of all attempts."""
        results = [await self.book(node, booking_id)]
        deadline = time.monotonic() + seconds
        while results[-1].outcome != 'answered' and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
            results.append(await self.book(node, booking_id))
        return results

    async def count_runs(self, booking_id: str) -> int:
        runs = await self.fleet.all_runs()
        return sum(run['target'] == f'/bookings/{booking_id}' for run in runs)

    async def wait_for_run(self, booking_id: str) -> None:
        async with asyncio.timeout(5):
            while not await self.count_runs(booking_id):
                await asyncio.sleep(0.02)


@contextlib.asynccontextmanager
async def running_booking_fleet(
    services: list[str], *, deadline_seconds: float = DEADLINE_SECONDS, **overrides
):
    """Start a fleet and yield a client once every node answers bookings."""
    timing = {'settle_seconds': 0.5, 'standing_seconds': 2.0, 'gossip_seconds': 0.3}
    async with Fleet(services, overrides={'timing': timing, **overrides}) as fleet:
        change = example_change()
        change['organisations'][0] |= {'rate_per_second': 5000.0, 'burst': 5000.0}
        change['classes'][1]['answer_within_milliseconds'] = int(deadline_seconds * 1000)
        await fleet.publish(change)
        issued = await fleet.issue_key('cafe-chain')
        client = BookingClient(fleet, issued['key'])
        for node in fleet.nodes:
            async with asyncio.timeout(20):
                while not await client.is_ready(node):
                    await asyncio.sleep(0.1)
        yield client
