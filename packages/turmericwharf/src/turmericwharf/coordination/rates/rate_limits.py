"""Admits requests inside the rate and burst of their organisation at the entry node."""

import asyncio
import dataclasses
import math
from collections import Counter

from turmericwharf.coordination.rates.held_slices import HeldSlices
from turmericwharf.coordination.ports import Clock, PeerLinks
from turmericwharf.coordination.rates.rate_buckets import RateBuckets
from turmericwharf.coordination.membership.rendezvous import partition_of
from turmericwharf.coordination.rates.settling import CLOCK_DRIFT
from turmericwharf.coordination.rates.share_loans import SHARE_TOLERANCE, ShareLoans
from turmericwharf.state import (
    Demand,
    HeldSlice,
    InstanceId,
    Organisation,
    OrganisationId,
    RateCounters,
    SliceGranted,
    SliceReport,
    SliceRequest,
    TimingSettings,
)

# The owner and the next holder are asked before a request is refused.
_ASKED_HOLDERS = 2
# A request that waited for a question of others may need one of its own.
_ROUNDS = 3
_BUSY_REQUESTS = 2
_DEMAND_MARGIN = 1.25
# Tokens for expected requests are asked for at most once in this part of a slice's time; without
# it, an organisation at its rate caused one question for each request.
_QUESTION_FRACTION = 0.2
# A holder that did not answer is asked last for this time.
_SUSPECT_SECONDS = 1.0
_UNANSWERED_WAIT_SECONDS = 0.05
# Reports wait this long, so that the next question of a busy organisation carries them.
_PERIOD_SECONDS = 0.05
_DROP_PERIOD_SECONDS = 5.0
_NEVER = float('-inf')


class RateLimiter:
    """Takes tokens for the requests that enter at this node.

    Parameters
    ----------
    loans
        Knows the owner of each organisation's rate.
    buckets
        The buckets of this node, for the rates that it owns.
    links
        Connections to the other owners.
    timing
        Times of the coordination.
    clock
        Clock that counts suspension.
    """

    def __init__(
        self,
        *,
        loans: ShareLoans,
        buckets: RateBuckets,
        links: PeerLinks,
        timing: TimingSettings,
        clock: Clock,
    ) -> None:
        self.loans = loans
        self.buckets = buckets
        self._links = links
        self._timing = timing
        self._clock = clock
        self._counts: Counter[str] = Counter()
        self._drop_at = clock.now()
        self._slices = HeldSlices(clock)
        self._demand_by_id: dict[OrganisationId, Demand] = {}
        self._waiting_by_id: Counter[OrganisationId] = Counter()
        self._questions_by_id: dict[OrganisationId, asyncio.Task[str]] = {}
        self._refused_until_by_id: dict[OrganisationId, tuple[float, str]] = {}
        self._suspect_until_by_holder: dict[InstanceId, float] = {}

    async def run(self) -> None:
        """Drop what is known of idle organisations for as long as the node runs."""
        while True:
            await asyncio.sleep(_PERIOD_SECONDS)
            self.tick()

    def tick(self) -> None:
        """Send the reports that no question carried, and drop what is idle."""
        for (holder, organisation), reports in self._slices.pop_all_reports():
            self._send_report(holder, organisation, reports)
        self._drop_idle()

    async def admit(self, organisation: Organisation) -> bool:
        """Take one token; return whether the request is inside the rate."""
        name = organisation.organisation
        self._record_arrival(name)
        cause = ''
        for waits in range(_ROUNDS):
            if self._take(organisation):
                self._counts['admitted'] += 1
                self._counts['admitted_without_question'] += not waits
                return True
            refused_until, cause = self._refused_until_by_id.get(name, (_NEVER, ''))
            if self._clock.now() < refused_until:
                break
            cause = await self._wait_for_question(organisation)
        self._counts[cause or 'refused_unanswered'] += 1
        return False

    def counters(self) -> RateCounters:
        """Return the counts since the start of the node."""
        return RateCounters(
            **self._counts,
            partitions_owned=self.loans.count_owned(),
            buckets=len(self.buckets),
        )

    def _take(self, organisation: Organisation) -> bool:
        name = organisation.organisation
        holder = next(iter(self._candidates(name)), None)
        if holder == self.loans.members.own.instance and self.buckets.try_acquire(organisation):
            return True
        if not self._slices.try_spend(name):
            return False
        if not self._expected(name):
            # A lone request's token counts against a small burst until it is reported.
            for spent_at in self._candidates(name)[:_ASKED_HOLDERS]:
                self._send_report(spent_at, name, self._slices.pop_reports(spent_at, name))
        elif self._runs_low(name) and name not in self._questions_by_id:
            self._start_question(organisation)
        return True

    def _candidates(self, organisation: OrganisationId) -> list[InstanceId]:
        now = self._clock.now()
        candidates = self.loans.candidates(partition_of(organisation))
        return sorted(
            candidates,
            key=lambda holder: self._suspect_until_by_holder.get(holder, _NEVER) > now,
        )

    def _record_arrival(self, organisation: OrganisationId) -> None:
        now = self._clock.now()
        demand = self._demand_by_id.get(organisation, Demand(0, now, 0))
        passed = now - demand.since
        if passed >= self._timing.slice_seconds:
            per_slice = demand.arrivals * self._timing.slice_seconds / passed
            demand = Demand(0, now, per_slice, demand.asked_at)
        self._demand_by_id[organisation] = dataclasses.replace(
            demand,
            arrivals=demand.arrivals + 1,
        )

    def _expected(self, organisation: OrganisationId) -> int:
        demand = self._demand_by_id.get(organisation)
        if demand is None:
            return 0
        per_slice = max(demand.per_slice, demand.arrivals)
        return math.ceil(per_slice * _DEMAND_MARGIN) if per_slice >= _BUSY_REQUESTS else 0

    def _runs_low(self, organisation: OrganisationId) -> bool:
        expected = self._expected(organisation)
        now = self._clock.now()
        refused_until, _ = self._refused_until_by_id.get(organisation, (_NEVER, ''))
        # Demand is dropped when the process was paused between the arrival and here.
        demand = self._demand_by_id.get(organisation)
        asked_at = _NEVER if demand is None else demand.asked_at
        if now < max(refused_until, asked_at + self._timing.slice_seconds * _QUESTION_FRACTION):
            return False
        soon = now + self._timing.slice_seconds / 2
        left = self._slices.count(organisation, soon)
        return left * 2 < expected

    async def _wait_for_question(self, organisation: Organisation) -> str:
        name = organisation.organisation
        self._waiting_by_id[name] += 1
        try:
            question = self._questions_by_id.get(name) or self._start_question(organisation)
            # The question goes on for the other requests when the caller of this one leaves.
            return await asyncio.shield(question)
        finally:
            self._waiting_by_id[name] -= 1
            if not self._waiting_by_id[name]:
                self._waiting_by_id.pop(name)

    def _start_question(self, organisation: Organisation) -> asyncio.Task[str]:
        name = organisation.organisation
        question = asyncio.create_task(self._ask_holders(name))
        self._questions_by_id[name] = question
        question.add_done_callback(lambda _: self._questions_by_id.pop(name))
        return question

    async def _ask_holders(self, organisation: OrganisationId) -> str:
        """Ask the owner and then the next holder; return why there are no tokens, if none."""
        waits = [_UNANSWERED_WAIT_SECONDS]
        cause = 'refused_unanswered'
        for holder in self._candidates(organisation)[:_ASKED_HOLDERS]:
            answer = await self._ask(holder, organisation)
            if answer is None:
                continue
            if answer.tokens:
                return ''
            waits.append(answer.seconds)
            cause = 'refused_on_partial_share'
            if answer.share >= 1 - SHARE_TOLERANCE:
                cause = 'refused_above_rate'
                waits = [answer.seconds]
                break
        refused_until = self._clock.now() + min(waits)
        self._refused_until_by_id[organisation] = (refused_until, cause)
        return cause

    async def _ask(self, holder: InstanceId, organisation: OrganisationId) -> SliceGranted | None:
        asked_at = self._clock.now()
        demand = self._demand_by_id.get(organisation, Demand(0, asked_at, 0))
        self._demand_by_id[organisation] = dataclasses.replace(demand, asked_at=asked_at)
        # Callers that already wait are counted; the task starts after the first of them.
        needed = self._waiting_by_id[organisation]
        request = SliceRequest(
            organisation=organisation,
            wanted=needed + self._expected(organisation),
            needed=needed,
            reports=self._slices.pop_reports(holder, organisation),
        )
        answer = await self._request(holder, request)
        if answer is None:
            self._suspect_until_by_holder[holder] = self._clock.now() + _SUSPECT_SECONDS
        elif answer.tokens:
            # The tokens count from the question, so they end here before they end at the holder.
            ends_at = asked_at + answer.seconds * (1 - CLOCK_DRIFT)
            held = HeldSlice(holder, answer.slice_id, answer.tokens, ends_at)
            self._slices.add(organisation, held)
        return answer

    async def _request(self, holder: InstanceId, request: SliceRequest) -> SliceGranted | None:
        if holder == self.loans.members.own.instance:
            return self.buckets.grant(request)
        self._counts['questions'] += 1
        answer = await self._links.request(
            holder,
            request,
            timeout_seconds=self._timing.peer_timeout_seconds,
        )
        return answer if isinstance(answer, SliceGranted) else None

    def _send_report(
        self,
        holder: InstanceId,
        organisation: OrganisationId,
        reports: tuple[SliceReport, ...],
    ) -> None:
        if not reports:
            return
        request = SliceRequest(organisation, wanted=0, needed=0, reports=reports)
        if holder == self.loans.members.own.instance:
            self.buckets.grant(request)
        else:
            self._links.notify(holder, request)

    def _drop_idle(self) -> None:
        now = self._clock.now()
        if now < self._drop_at:
            return
        self._drop_at = now + _DROP_PERIOD_SECONDS
        self.buckets.drop_idle()
        self._demand_by_id = {
            name: demand
            for name, demand in self._demand_by_id.items()
            if now - demand.since < _DROP_PERIOD_SECONDS
        }
        self._refused_until_by_id = {
            name: refused for name, refused in self._refused_until_by_id.items() if refused[0] > now
        }
        self._suspect_until_by_holder = {
            holder: until for holder, until in self._suspect_until_by_holder.items() if until > now
        }
