"""Two machines freeze, and the operator replaces a key shortly afterwards."""

import asyncio
import copy
import signal
import time
from pathlib import Path

from stand_ins_2 import web
from stand_ins_2.fleet import BOUNDS, KEY, Fleet, main, request_head

NODES = 20
# A tenth of the machines.
FROZEN = 2
FREEZE_SECONDS = 4.0
CHANGE_AFTER_SECONDS = 0.1
ROUNDS = 6
# Time in which all machines are in touch again, and the readers read again.
CALM_SECONDS = 6.0
# It is night: each node gets a few requests after the bound, and none before.
FIRST_REQUEST_SECONDS = BOUNDS['configApplyS'] + 0.2
SECONDS_BETWEEN_REQUESTS = 0.5
REQUESTS_IN_ROUND = 2
DEADLINE_MS = 1_500
# Statuses that deny a key or route.
DENIALS = {401, 403, 404}


class Round:
    """A freeze of machines, a replacement of the key, and requests with both keys."""

    def __init__(self, fleet: Fleet, number: int, old_key: str, new_key: str) -> None:
        self._fleet = fleet
        self._number = number
        self._keys = {'old': old_key, 'new': new_key}
        # Time after the acknowledgement at which each request was sent, by attempt.
        self._sent_after: dict[str, float] = {}
        self._status_by_attempt: dict[str, int] = {}

    async def play(self, *, trouble: bool) -> None:
        fleet = self._fleet
        frozen = find_readers(fleet)[:FROZEN]
        calm = [node for node in fleet.nodes if node not in frozen]
        if trouble:
            for node in frozen:
                node.process.send_signal(signal.SIGSTOP)
                fleet.note(f'{node.name} freezes')
        began_at = time.monotonic()
        try:
            await asyncio.sleep(CHANGE_AFTER_SECONDS)
            fleet.configuration = copy.deepcopy(fleet.configuration)
            fleet.configuration['version'] = f'{12 + 3 * self._number:08x}'
            fleet.configuration['tenants']['cafe']['apiKeys'] = [self._keys['new']]
            fleet.store.configure(fleet.configuration)
            self._changed_at = time.monotonic()
            fleet.note(f'version {fleet.configuration["version"]} is acknowledged: another key')
            await asyncio.gather(*(self._send_all(node) for node in calm))
            await asyncio.sleep(max(began_at + FREEZE_SECONDS - time.monotonic(), 0))
        finally:
            for node in frozen:
                node.process.send_signal(signal.SIGCONT)
        fleet.note('the frozen machines wake')

    def find_breaches(self) -> list[str]:
        """Return what was handled as only an older version allows."""
        run = {run.request for node in self._fleet.nodes for run in node.server.runs}
        breaches = []
        for attempt, seconds in self._sent_after.items():
            status = self._status_by_attempt[attempt]
            if '-old-' in attempt and attempt in run:
                breaches.append(f'{attempt}, sent {seconds:.2f} s after it, ran')
            if '-new-' in attempt and status in DENIALS:
                breaches.append(f'{attempt}, sent {seconds:.2f} s after it, got {status}')
        return breaches

    async def _send_all(self, node) -> None:
        await asyncio.sleep(self._changed_at + FIRST_REQUEST_SECONDS - time.monotonic())
        for number in range(REQUESTS_IN_ROUND):
            for key in ('old', 'new'):
                await self._send(node, key, f'{node.name}-{self._number}-{key}-{number}')
            await asyncio.sleep(SECONDS_BETWEEN_REQUESTS)

    async def _send(self, node, key: str, attempt: str) -> None:
        self._sent_after[attempt] = time.monotonic() - self._changed_at
        request = request_head('GET', '/records/read/10', attempt, DEADLINE_MS, self._keys[key])
        status = 0
        try:
            answer = await web.call(node.host, self._fleet.ports['outbound'], request, 2.0)
            status = answer.status
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._fleet.note(f'no answer to {attempt}: {error!r}')
        self._status_by_attempt[attempt] = status
        seconds = self._sent_after[attempt]
        self._fleet.note(f'{attempt}, sent {seconds:.2f} s after the change: {status}')


def find_readers(fleet: Fleet) -> list:
    """Return the nodes that have read the configuration from the store most recently."""
    read_at = fleet.store.read_at_by_host
    return sorted(fleet.nodes, key=lambda node: read_at.get(node.store_host, 0), reverse=True)


async def case(trouble: bool) -> bool:
    breaches = []
    fleet = Fleet(['records'] * NODES, Path(__file__).parent / 'record.txt')
    async with fleet:
        key = KEY
        for number in range(1, ROUNDS + 1):
            await asyncio.sleep(CALM_SECONDS)
            new_key = f'{KEY}{number}'
            played = Round(fleet, number, key, new_key)
            await played.play(trouble=trouble)
            breaches += played.find_breaches()
            key = new_key
        for breach in breaches:
            fleet.note(f'broken: {breach}')
        fleet.note(f'handled as only an older version allows: {len(breaches)}')
        return bool(breaches)


if __name__ == '__main__':
    main(case)
