"""Appends claims to the log in batches and reads back which claim came first."""

import asyncio
import dataclasses
from collections.abc import Callable

from turmericwharf.coordination.claims.claim_fold import (
    ClaimState,
    PartitionClaims,
    fold_claim,
    hold_seconds_of,
)
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.clock import Clock, WallClock
from turmericwharf.coordination.ports import LogService
from turmericwharf.coordination.membership.rendezvous import PARTITION_COUNT
from turmericwharf.state import (
    Acknowledged,
    Claimed,
    ClaimFailed,
    ClaimFinish,
    ClaimGranted,
    ClaimOutcomeRequest,
    ClaimRelease,
    ClaimRequest,
    ClaimTaken,
    Finished,
    LimitSettings,
    LogFailure,
    Reason,
    Released,
)

_MAX_BATCH_RECORDS = 512
# Most outcomes are appended by this coordinator; others are found by polling at this interval.
_POLL_INTERVAL_SECONDS = 0.25
_MILLISECONDS_PER_SECOND = 1000
_UNAVAILABLE = ClaimFailed(Reason.CLAIM_LOG_UNAVAILABLE)
_RELEASED = ClaimFailed(Reason.CLAIM_RELEASED)


class ClaimLedger:
    """Coordinates the claims of partitions to save appends and reads.

    Which claim wins is decided by the order of the log alone.
    """

    def __init__(
        self,
        *,
        log: LogService,
        members: MembershipView,
        limits: LimitSettings,
        clock: Clock,
        wall_clock: WallClock,
    ) -> None:
        self._log = log
        self._limits = limits
        self._clock = clock
        self._wall_clock = wall_clock
        self._pacer = _Pacer(members, limits, clock)
        self._partitions_by_number: dict[int, _Partition] = {}

    async def claim(self, request: ClaimRequest) -> ClaimGranted | ClaimTaken | ClaimFailed:
        """Append a claim, read the partition back and return which claim came first."""
        partition = self._partition(request.partition)
        is_read = await partition.append(
            lambda: Claimed(
                request.fingerprint,
                request.claim,
                request.content,
                self._wall_clock.now(),
            ),
        )
        # The record may be in the log even if the answer to the append was lost, so only the
        # state that was read back decides.
        state = partition.claims.find(request.fingerprint)
        if not is_read or state is None or state.released:
            return _UNAVAILABLE
        if state.claim == request.claim:
            return ClaimGranted(request.claim)
        return _to_claim_taken(state)

    async def release(self, request: ClaimRelease) -> Acknowledged | ClaimFailed:
        """Record that the request of a claim certainly did not run."""
        partition = self._partition(request.partition)
        is_read = await partition.append(lambda: Released(request.fingerprint, request.claim))
        state = partition.claims.find(request.fingerprint)
        is_held = state is not None and state.claim == request.claim and not state.released
        return _UNAVAILABLE if is_held or not is_read else Acknowledged()

    async def finish(self, request: ClaimFinish) -> Acknowledged | ClaimFailed:
        """Record that the request of a claim was answered."""
        partition = self._partition(request.partition)
        is_read = await partition.append(
            lambda: Finished(request.fingerprint, request.claim, request.status, request.kept_by),
        )
        state = partition.claims.find(request.fingerprint)
        is_held = state is not None and state.claim == request.claim and not state.released
        is_open = is_held and state is not None and state.status is None
        return _UNAVAILABLE if is_open or not is_read else Acknowledged()

    async def wait_for_outcome(self, request: ClaimOutcomeRequest) -> ClaimTaken | ClaimFailed:
        """Wait until the claim that holds a fingerprint is finished or released."""
        partition = self._partition(request.partition)
        deadline = self._clock.now() + request.wait_milliseconds / _MILLISECONDS_PER_SECOND
        while await partition.refresh():
            state = partition.claims.find(request.fingerprint)
            if state is None or state.released:
                return _RELEASED
            remaining_seconds = deadline - self._clock.now()
            if state.status is not None or remaining_seconds <= 0:
                return _to_claim_taken(state)
            await partition.wait_for_change(min(remaining_seconds, _POLL_INTERVAL_SECONDS))
        return _UNAVAILABLE

    def _partition(self, number: int) -> '_Partition':
        self._evict_unused()
        partition = self._partitions_by_number.get(number)
        if partition is None:
            partition = _Partition(
                f'claims-{number}',
                log=self._log,
                hold_seconds=hold_seconds_of(self._limits),
                pacer=self._pacer,
                clock=self._clock,
            )
            self._partitions_by_number[number] = partition
        partition.used_at = self._clock.now()
        return partition

    def _evict_unused(self) -> None:
        unused_since = self._clock.now() - hold_seconds_of(self._limits)
        for number, partition in tuple(self._partitions_by_number.items()):
            if partition.used_at < unused_since and partition.is_idle:
                self._partitions_by_number.pop(number)


class _Pacer:
    """Spaces the appends of this node so that the fleet stays within its append budget.

    Each partition has one coordinator, and each live node may append at an equal share of the
    budget.
    """

    def __init__(self, members: MembershipView, limits: LimitSettings, clock: Clock) -> None:
        self._members = members
        self._limits = limits
        self._clock = clock
        self._next_at = clock.now()

    async def wait(self) -> None:
        """Wait until this node may append."""
        now = self._clock.now()
        turn_at = max(now, self._next_at)
        coordinators = min(max(len(self._members.live_members()), 1), PARTITION_COUNT)
        self._next_at = turn_at + coordinators / self._limits.claim_appends_per_second
        await asyncio.sleep(turn_at - now)


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingAppend:
    """A record that waits for the next append and is created when it is appended."""

    make_record: Callable[[], Claimed | Released | Finished]
    is_read: asyncio.Future[bool]


class _Partition:
    """Log stream of one claim partition, with at most one append in flight, and its claims."""

    def __init__(
        self,
        stream: str,
        *,
        log: LogService,
        hold_seconds: float,
        pacer: _Pacer,
        clock: Clock,
    ) -> None:
        self.claims = PartitionClaims(hold_seconds)
        self.used_at = clock.now()
        self._stream = stream
        self._log = log
        self._pacer = pacer
        self._next_offset = 0
        self._pending: list[_PendingAppend] = []
        self._flush_task: asyncio.Task[None] | None = None
        self._read_lock = asyncio.Lock()
        self._changed = asyncio.Event()

    @property
    def is_idle(self) -> bool:
        """Whether no append is waiting or in flight."""
        return self._flush_task is None or self._flush_task.done()

    async def append(self, make_record: Callable[[], Claimed | Released | Finished]) -> bool:
        """Append a record with the next batch; return whether the stream was read after it."""
        is_read: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingAppend(make_record, is_read))
        if self.is_idle:
            self._flush_task = asyncio.create_task(self._flush())
        return await is_read

    async def refresh(self) -> bool:
        """Read the stream to its end; return whether the log answered."""
        return await self._read_through(None)

    async def wait_for_change(self, timeout_seconds: float) -> None:
        """Wait until records were read, or until the timeout."""
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    async def _flush(self) -> None:
        while self._pending:
            await self._pacer.wait()
            batch = self._pending[:_MAX_BATCH_RECORDS]
            self._pending = self._pending[_MAX_BATCH_RECORDS:]
            records = tuple(pending.make_record() for pending in batch)
            offset = await self._log.append(self._stream, records)
            last = None if isinstance(offset, LogFailure) else offset + len(records) - 1
            is_read = await self._read_through(last)
            for pending in batch:
                if not pending.is_read.done():
                    pending.is_read.set_result(is_read)

    async def _read_through(self, last_offset: int | None) -> bool:
        async with self._read_lock:
            while last_offset is None or self._next_offset <= last_offset:
                page = await self._log.read(
                    self._stream,
                    offset=self._next_offset,
                    wait_seconds=0,
                )
                if isinstance(page, LogFailure):
                    return False
                for stored in page.records:
                    fold_claim(stored.record, self.claims)
                self._next_offset = page.next_offset
                if not page.records:
                    break
                self._notify()
        return True

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _to_claim_taken(state: ClaimState) -> ClaimTaken:
    return ClaimTaken(state.claim, state.content, state.status, state.kept_by)
