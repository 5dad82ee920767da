"""Shares the slots of a backend server fairly among organisations."""

import asyncio
import collections
import dataclasses
from typing import TypeAlias

from turmericwharf.coordination.ports import Clock
from turmericwharf.state import (
    DEADLINE_PASSED,
    QUEUE_DISPLACED,
    QUEUE_FULL,
    OrganisationId,
    RequestFailure,
)

_MEAN_WEIGHT = 0.05
_FIRST_MEAN_SECONDS = 0.01
_LEAST_MEAN_SECONDS = 0.0001
# Bounds the rounds in which an organisation is passed over after one very long request.
_MOST_DEBT_REQUESTS = 16
# Organisations whose charge is kept after their last request has left the queue.
_REMEMBERED_CHARGES = 1024


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    """A request that waits; its future gets None with a slot, else the refusal."""

    organisation: OrganisationId
    importance: int
    expires_at: float
    decision: asyncio.Future[RequestFailure | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    """A slot in use, and the seconds that were charged for it in advance."""

    granted_at: float
    charged_seconds: float


_Waiters: TypeAlias = dict[OrganisationId, collections.deque[_Waiter]]


class FairQueue:
    """Gives free slots by importance, then to the organisation charged least slot time.

    An organisation that comes back is charged at least what the last served one was, so that it
    is served soon but gets no credit for the time in which it asked for nothing.

    A full queue drops its least important waiting request for a more important one, and the
    newest request of the longest queue for one of an organisation that waits with fewer.

    Parameters
    ----------
    slots
        Number of requests that hold a slot at the same time.
    length
        Number of requests that may wait.
    clock
        Clock of the node.
    """

    def __init__(self, slots: int, length: int, clock: Clock) -> None:
        self._slots = slots
        self._length = length
        self._clock = clock
        self._used = 0
        self._waiting = 0
        self._mean_seconds = _FIRST_MEAN_SECONDS
        self._charges: dict[OrganisationId, float] = {}
        self._last_charge = 0.0
        self._grants_by_id: dict[OrganisationId, collections.deque[_Grant]] = {}
        self._rings: dict[int, _Waiters] = {}

    @property
    def load(self) -> float:
        """Requests that hold a slot or wait for one, over slots."""
        return (self._used + self._waiting) / max(self._slots, 1)

    @property
    def slots(self) -> int:
        """Number of requests that may hold a slot."""
        return self._slots

    @property
    def in_progress(self) -> int:
        """Requests that hold a slot."""
        return self._used

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return self._waiting

    def resize(self, slots: int) -> None:
        """Change the number of slots."""
        self._slots = slots
        self._wake()

    async def acquire(
        self,
        organisation: OrganisationId,
        importance: int,
        timeout_seconds: float,
    ) -> RequestFailure | None:
        """Wait for a slot.

        Returns
        -------
        RequestFailure or None
            None with a slot, which `release` gives back; else why there is none.
        """
        if self._used < self._slots and not self._waiting:
            self._grant(organisation)
            return None
        if self._waiting >= self._length and not self._displace(organisation, importance):
            return QUEUE_FULL
        waiter = self._enqueue(organisation, importance, timeout_seconds)
        # The timer decides like a grant does, so that only one of the two takes effect.
        timer = asyncio.get_running_loop().call_later(timeout_seconds, self._expire, waiter)
        try:
            return await waiter.decision
        except asyncio.CancelledError:
            self._give_up(waiter)
            raise
        finally:
            timer.cancel()

    def release(self, organisation: OrganisationId) -> None:
        """Give a slot of an organisation back."""
        grants = self._grants_by_id[organisation]
        # Which of an organisation's grants ends does not change the sum of its slot time.
        grant = grants.popleft()
        if not grants:
            self._grants_by_id.pop(organisation)
        held_seconds = max(self._clock.now() - grant.granted_at, _LEAST_MEAN_SECONDS)
        self._mean_seconds += _MEAN_WEIGHT * (held_seconds - self._mean_seconds)
        self._charge(organisation, held_seconds - grant.charged_seconds)
        self._used -= 1
        self._wake()

    def _grant(self, organisation: OrganisationId) -> None:
        self._used += 1
        cost = self._mean_seconds
        self._grants_by_id.setdefault(organisation, collections.deque()).append(
            _Grant(self._clock.now(), cost),
        )
        self._charge(organisation, cost)

    def _charge(self, organisation: OrganisationId, seconds: float) -> None:
        if not self._waiting:
            # Without contention there is nothing to share, and old charges are void.
            self._charges.clear()
            self._last_charge = 0
            return
        charge = self._charges.pop(organisation, self._last_charge) + seconds
        most = self._last_charge + _MOST_DEBT_REQUESTS * self._mean_seconds
        self._charges[organisation] = min(charge, most)
        if len(self._charges) > _REMEMBERED_CHARGES:
            self._charges.pop(next(iter(self._charges)))

    def _enqueue(
        self,
        organisation: OrganisationId,
        importance: int,
        timeout_seconds: float,
    ) -> _Waiter:
        waiter = _Waiter(
            organisation=organisation,
            importance=importance,
            expires_at=self._clock.now() + timeout_seconds,
            decision=asyncio.get_running_loop().create_future(),
        )
        ring = self._rings.setdefault(importance, {})
        if organisation not in ring and organisation not in self._grants_by_id:
            known = self._charges.get(organisation, self._last_charge)
            self._charges[organisation] = max(known, self._last_charge)
        ring.setdefault(organisation, collections.deque()).append(waiter)
        self._waiting += 1
        return waiter

    def _expire(self, waiter: _Waiter) -> None:
        if not waiter.decision.done():
            self._refuse(waiter, DEADLINE_PASSED)

    def _refuse(self, waiter: _Waiter, failure: RequestFailure) -> None:
        self._remove(waiter)
        waiter.decision.set_result(failure)

    def _give_up(self, waiter: _Waiter) -> None:
        decision = waiter.decision
        if decision.cancelled() or not decision.done():
            self._remove(waiter)
        elif decision.result() is None:
            # The slot was granted in the same moment as the cancellation.
            self.release(waiter.organisation)

    def _remove(self, waiter: _Waiter) -> None:
        ring = self._rings.get(waiter.importance, {})
        queue = ring.get(waiter.organisation)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self._waiting -= 1
        if not queue:
            ring.pop(waiter.organisation)
        if not ring:
            self._rings.pop(waiter.importance)

    def _displace(self, organisation: OrganisationId, importance: int) -> bool:
        lowest = min(self._rings, default=None)
        if lowest is None or lowest > importance:
            return False
        ring = self._rings[lowest]
        longest = max(ring.values(), key=len)
        own_length = len(ring.get(organisation, ()))
        if lowest == importance and len(longest) <= own_length + 1:
            return False
        self._refuse(longest[-1], QUEUE_DISPLACED)
        return True

    def _wake(self) -> None:
        while self._used < self._slots and self._waiting:
            waiter = self._next_waiter()
            if waiter.decision.done():
                self._remove(waiter)
            elif waiter.expires_at <= self._clock.now():
                self._refuse(waiter, DEADLINE_PASSED)
            else:
                self._grant(waiter.organisation)
                self._remove(waiter)
                waiter.decision.set_result(None)

    def _next_waiter(self) -> _Waiter:
        ring = self._rings[max(self._rings)]
        charges = {
            organisation: self._charges.get(organisation, self._last_charge)
            for organisation in ring
        }
        organisation = min(charges, key=charges.__getitem__)
        self._last_charge = max(self._last_charge, charges[organisation])
        return ring[organisation][0]
