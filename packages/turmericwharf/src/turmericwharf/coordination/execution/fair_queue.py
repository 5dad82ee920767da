"""Fair queueing of requests for the slots of a backend server, by organisation."""

import asyncio
import collections
import dataclasses
from typing import TypeAlias

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import (
    DEADLINE_PASSED,
    QUEUE_DISPLACED,
    QUEUE_FULL,
    OrganisationId,
    RequestFailure,
)

# Weight of the latest request in the moving average of the time for which requests hold a slot.
_MEAN_UPDATE_WEIGHT = 0.05
_INITIAL_MEAN_SECONDS = 0.01
_MIN_HELD_SECONDS = 0.0001
# Limits how far the charge of an organisation may exceed that of the last one served, in multiples
# of the mean slot time, so that one very long request does not delay its next requests for too
# long.
_MAX_DEBT_REQUESTS = 16
# Maximum number of organisations whose charge is kept after their last request left the queue.
_MAX_CHARGES = 1024


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Waiter:
    """A queued request; its future resolves to None if a slot is granted, else to the failure."""

    organisation: OrganisationId
    importance: int
    expires_at: float
    decision: asyncio.Future[RequestFailure | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Grant:
    """A slot in use, and the slot time that was charged for it in advance."""

    granted_at: float
    charged_seconds: float


_WaitersById: TypeAlias = dict[OrganisationId, collections.deque[_Waiter]]


class FairQueue:
    """Grants free slots by importance, then to the organisation charged the least slot time.

    The charge of an organisation that returns after an idle period is raised to at least that of
    the last one served, so that it is served soon but gets no credit for the idle period.

    When the queue is full, a new request displaces a waiting request of the lowest importance if
    it is more important. At equal importance, it displaces the newest request of the organisation
    with the most waiting requests if its own organisation would still have fewer.

    Parameters
    ----------
    slots
        Maximum number of requests that hold a slot at the same time.
    length
        Maximum number of waiting requests.
    clock
        Clock of the node.
    """

    def __init__(self, slots: int, length: int, clock: Clock) -> None:
        self._slots = slots
        self._length = length
        self._clock = clock
        self._used = 0
        self._waiting = 0
        self._mean_seconds = _INITIAL_MEAN_SECONDS
        self._charges: dict[OrganisationId, float] = {}
        self._last_served_charge = 0.0
        self._grants_by_id: dict[OrganisationId, collections.deque[_Grant]] = {}
        self._waiters_by_importance: dict[int, _WaitersById] = {}

    @property
    def load(self) -> float:
        """Ratio of the requests that hold a slot or wait for one to the number of slots."""
        return (self._used + self._waiting) / max(self._slots, 1)

    @property
    def slots(self) -> int:
        """Maximum number of requests that hold a slot at the same time."""
        return self._slots

    @property
    def in_progress(self) -> int:
        """Number of requests that hold a slot."""
        return self._used

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return self._waiting

    @property
    def has_free_slot(self) -> bool:
        """Whether a new request would get a slot at once."""
        return self._used < self._slots and not self._waiting

    def resize(self, slots: int) -> None:
        """Change the number of slots, and grant any that became free."""
        self._slots = slots
        self._grant_free_slots()

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
            None if a slot was granted, which the caller must `release`; else the reason why not.
        """
        if self.has_free_slot:
            self._grant(organisation)
            return None
        if self._waiting >= self._length and not self._displace(organisation, importance):
            return QUEUE_FULL
        waiter = self._enqueue(organisation, importance, timeout_seconds)
        # The timer resolves the same future as a grant, so that only one of the two takes effect.
        timer = asyncio.get_running_loop().call_later(timeout_seconds, self._expire, waiter)
        try:
            return await waiter.decision
        except asyncio.CancelledError:
            self._cancel_waiter(waiter)
            raise
        finally:
            timer.cancel()

    def release(self, organisation: OrganisationId) -> None:
        """Release a slot of an organisation."""
        grants = self._grants_by_id[organisation]
        # Any grant of the organisation may be used, since the sum of its slot time is the same.
        grant = grants.popleft()
        if not grants:
            self._grants_by_id.pop(organisation)
        held_seconds = max(self._clock.now() - grant.granted_at, _MIN_HELD_SECONDS)
        self._mean_seconds += _MEAN_UPDATE_WEIGHT * (held_seconds - self._mean_seconds)
        self._charge(organisation, held_seconds - grant.charged_seconds)
        self._used -= 1
        self._grant_free_slots()

    def _grant(self, organisation: OrganisationId) -> None:
        self._used += 1
        cost = self._mean_seconds
        self._grants_by_id.setdefault(organisation, collections.deque()).append(
            _Grant(self._clock.now(), cost),
        )
        self._charge(organisation, cost)

    def _charge(self, organisation: OrganisationId, seconds: float) -> None:
        if not self._waiting:
            # Without contention fairness does not matter, so old charges are cleared.
            self._charges.clear()
            self._last_served_charge = 0
            return
        charge = self._charges.pop(organisation, self._last_served_charge) + seconds
        max_charge = self._last_served_charge + _MAX_DEBT_REQUESTS * self._mean_seconds
        self._charges[organisation] = min(charge, max_charge)
        if len(self._charges) > _MAX_CHARGES:
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
        waiters_by_id = self._waiters_by_importance.setdefault(importance, {})
        if organisation not in waiters_by_id and organisation not in self._grants_by_id:
            charge = self._charges.get(organisation, self._last_served_charge)
            self._charges[organisation] = max(charge, self._last_served_charge)
        waiters_by_id.setdefault(organisation, collections.deque()).append(waiter)
        self._waiting += 1
        return waiter

    def _expire(self, waiter: _Waiter) -> None:
        if not waiter.decision.done():
            self._refuse(waiter, DEADLINE_PASSED)

    def _refuse(self, waiter: _Waiter, failure: RequestFailure) -> None:
        self._remove(waiter)
        waiter.decision.set_result(failure)

    def _cancel_waiter(self, waiter: _Waiter) -> None:
        decision = waiter.decision
        if decision.cancelled() or not decision.done():
            self._remove(waiter)
        elif decision.result() is None:
            # The slot was granted at the same time as the cancellation.
            self.release(waiter.organisation)

    def _remove(self, waiter: _Waiter) -> None:
        waiters_by_id = self._waiters_by_importance.get(waiter.importance, {})
        queue = waiters_by_id.get(waiter.organisation)
        if queue is None or waiter not in queue:
            return
        queue.remove(waiter)
        self._waiting -= 1
        if not queue:
            waiters_by_id.pop(waiter.organisation)
        if not waiters_by_id:
            self._waiters_by_importance.pop(waiter.importance)

    def _displace(self, organisation: OrganisationId, importance: int) -> bool:
        lowest_importance = min(self._waiters_by_importance, default=None)
        if lowest_importance is None or lowest_importance > importance:
            return False
        waiters_by_id = self._waiters_by_importance[lowest_importance]
        longest_queue = max(waiters_by_id.values(), key=len)
        organisation_length = len(waiters_by_id.get(organisation, ()))
        if lowest_importance == importance and len(longest_queue) <= organisation_length + 1:
            return False
        self._refuse(longest_queue[-1], QUEUE_DISPLACED)
        return True

    def _grant_free_slots(self) -> None:
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
        waiters_by_id = self._waiters_by_importance[max(self._waiters_by_importance)]
        charges = {
            organisation: self._charges.get(organisation, self._last_served_charge)
            for organisation in waiters_by_id
        }
        organisation = min(charges, key=charges.__getitem__)
        self._last_served_charge = max(self._last_served_charge, charges[organisation])
        return waiters_by_id[organisation][0]
