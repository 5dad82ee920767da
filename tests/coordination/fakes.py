"""In-memory fakes of the interfaces that the transport layer implements."""

import asyncio
import random

from turmericwharf.coordination import MembershipView
from turmericwharf.state import (
    PEER_UNREACHABLE,
    Answered,
    DataCentreId,
    Execute,
    Importance,
    IncarnationId,
    InstanceId,
    KeyDigest,
    LogFailure,
    LogPage,
    Member,
    OrganisationId,
    Reason,
    RequestId,
    ServiceId,
    StoredRecord,
    TimingSettings,
)

LOG_FAILURE = LogFailure(Reason.LOG_UNAVAILABLE, 'away')


class ManualClock:
    def __init__(self, at: float = 1000.0) -> None:
        self.at = at

    def now(self) -> float:
        return self.at


class MemoryLog:
    """In-memory log with random delays and failures.

    `failed_append_share` of the appends fail, and of the others the answers to
    `lost_append_share` are lost; `failed_read_share` of the reads fail.
    """

    def __init__(self, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.lost_append_share = self.failed_append_share = self.failed_read_share = 0.0
        self.records_by_stream: dict[str, list] = {}
        self.appends = 0
        self.max_in_flight = 0
        self._in_flight = 0

    async def append(self, stream, records):
        self._in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self._in_flight)
        await asyncio.sleep(self.random.random() / 500)
        self._in_flight -= 1
        if self.random.random() < self.failed_append_share:
            return LOG_FAILURE
        stored = self.records_by_stream.setdefault(stream, [])
        first = len(stored)
        stored.extend(StoredRecord(first + index, one) for index, one in enumerate(records))
        self.appends += 1
        await asyncio.sleep(self.random.random() / 500)
        return LOG_FAILURE if self.random.random() < self.lost_append_share else first

    async def read(self, stream, *, offset, wait_seconds):
        await asyncio.sleep(self.random.random() / 500)
        if self.random.random() < self.failed_read_share:
            return LOG_FAILURE
        stored = self.records_by_stream.get(stream, [])
        return LogPage(tuple(stored[offset:]), 0, max(offset, len(stored)))


class NoLinks:
    """Links of a node that can reach no other node."""

    def __init__(self) -> None:
        self.notified: list = []

    async def request(self, instance, message, *, timeout_seconds):
        return PEER_UNREACHABLE

    def notify(self, instance, message):
        self.notified.append((instance, message))


class ManualServer:
    """Backend server whose requests end when the test calls `finish`."""

    def __init__(self) -> None:
        self.runs_by_id: dict[str, asyncio.Future] = {}
        self.cancelled: list[str] = []

    async def run(self, order, *, remaining_seconds):
        assert order.request not in self.runs_by_id, 'ran twice'
        self.runs_by_id[order.request] = asyncio.get_running_loop().create_future()
        return await self.runs_by_id[order.request]

    async def cancel(self, order):
        self.cancelled.append(order.request)

    def finish(self, request: str) -> None:
        self.runs_by_id[request].set_result(Answered(200, (), b'done'))


def members(clock, instance: str = 'node-1') -> MembershipView:
    own = Member(InstanceId(instance), IncarnationId('a'), '127.0.0.1', 1, DataCentreId('dc-1'))
    return MembershipView(own, TimingSettings(), clock)


def order(request: str, *, idempotent: bool = False, seconds: float = 5.0, **changes) -> Execute:
    return Execute(
        request=RequestId(request),
        organisation=OrganisationId('cafe-chain'),
        key_digest=KeyDigest(''),
        service=ServiceId('bookings'),
        importance=Importance.NORMAL,
        idempotent=idempotent,
        remaining_milliseconds=seconds * 1000,
        method='POST',
        target='/bookings/1',
        headers=(),
        body=b'',
        **changes,
    )
