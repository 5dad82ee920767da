"""Admits requests at the entry node within the rate and burst of their organisation."""

import asyncio
import dataclasses
import math
from collections import Counter

from turmericwharf.coordination.rates.held_slices import HeldSlices
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.ports import PeerLinks
from turmericwharf.coordination.rates.rate_buckets import RateBuckets
from turmericwharf.coordination.membership.rendezvous import partition_of
from turmericwharf.coordination.rates.settling import MAX_CLOCK_DRIFT_RATIO
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

# The owner and the next holder are tried before a request is rejected.
_MAX_HOLDERS_ASKED = 2
# A request that waited for the slice request of earlier requests may need one of its own.
_MAX_ATTEMPTS = 3
# Tokens for expected requests are requested from this number of requests in a slice lifetime on.
_MIN_BUSY_REQUESTS_PER_SLICE = 2
# Tokens requested for each request expected in a slice lifetime.
_DEMAND_FACTOR = 1.25
# Tokens for expected requests are requested at most once in this fraction of a slice's lifetime.
# Without this limit, an organisation at its rate caused one slice request for each request.
_PREFETCH_FRACTION = 0.2
# A holder that did not answer is tried after all others for this time.
_SUSPECT_SECONDS = 1.0
_UNANSWERED_BACKOFF_SECONDS = 0.05
# Reports are delayed by this period, so that the next slice request of a busy organisation
# carries them.
_REPORT_PERIOD_SECONDS = 0.05
_CLEANUP_PERIOD_SECONDS = 5.0
_LONG_AGO = float('-inf')


class RateLimiter:
    """Acquires tokens for the requests that enter at this node.

    Parameters
    ----------
    loans
        Shares and loans, which determine the owner of each organisation's rate.
    buckets
        Token buckets of this node, for the rates that it owns.
    links
        Connections to the other holders.
    timing
        Timing settings of the node.
    clock
        Clock that includes suspended time.
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
        self._next_cleanup_at = clock.now()
        self._slices = HeldSlices(clock)
        self._demand_by_organisation: dict[OrganisationId, Demand] = {}
        self._waiting_by_organisation: Counter[OrganisationId] = Counter()
        self._slice_requests_by_organisation: dict[OrganisationId, asyncio.Task[str]] = {}
        self._denied_until_by_organisation: dict[OrganisationId, tuple[float, str]] = {}
        self._suspect_until_by_holder: dict[InstanceId, float] = {}

    async def run(self) -> None:
        """Run `tick` periodically until cancelled."""
        while True:
            await asyncio.sleep(_REPORT_PERIOD_SECONDS)
            self.tick()

    def tick(self) -> None:
        """Send the reports that no slice request carried, and drop idle state."""
        for (holder, organisation), reports in self._slices.pop_all_reports():
            self._send_report(holder, organisation, reports)
        self._drop_idle()

    async def admit(self, organisation: Organisation) -> bool:
        """Acquire one token; return whether one was granted.

        No token is granted if the organisation exceeds its rate, or if too few holders answered.
        """
        name = organisation.organisation
        self._record_arrival(name)
        cause = ''
        for attempt in range(_MAX_ATTEMPTS):
            if self._try_admit_locally(organisation):
                self._counts['admitted'] += 1
                self._counts['admitted_without_question'] += not attempt
                return True
            denied_until, cause = self._denied_until_by_organisation.get(name, (_LONG_AGO, ''))
            if self._clock.now() < denied_until:
                break
            cause = await self._wait_for_slice(organisation)
        self._counts[cause or 'refused_unanswered'] += 1
        return False

    def counters(self) -> RateCounters:
        """Return the counters since the start of the node."""
        return RateCounters(
            **self._counts,
            partitions_owned=self.loans.count_whole_shares(),
            buckets=len(self.buckets),
        )

    def _try_admit_locally(self, organisation: Organisation) -> bool:
        name = organisation.organisation
        holder = next(iter(self._eligible_holders_in_order(name)), None)
        if holder == self.loans.members.own.instance and self.buckets.try_acquire(organisation):
            return True
        if not self._slices.try_spend(name):
            return False
        if not self._expected_requests(name):
            # A slice counts against the burst until it is reported. No later slice request would
            # carry the report of a lone request, so the report is sent at once.
            for candidate in self._eligible_holders_in_order(name)[:_MAX_HOLDERS_ASKED]:
                self._send_report(candidate, name, self._slices.pop_reports(candidate, name))
        elif self._should_prefetch(name) and name not in self._slice_requests_by_organisation:
            self._start_slice_request(organisation)
        return True

    def _eligible_holders_in_order(self, organisation: OrganisationId) -> list[InstanceId]:
        now = self._clock.now()
        eligible_holders = self.loans.eligible_holders(partition_of(organisation))
        return sorted(
            eligible_holders,
            key=lambda holder: self._suspect_until_by_holder.get(holder, _LONG_AGO) > now,
        )

    def _record_arrival(self, organisation: OrganisationId) -> None:
        now = self._clock.now()
        demand = self._demand_by_organisation.get(organisation, Demand(0, now, 0))
        elapsed = now - demand.since
        if elapsed >= self._timing.slice_seconds:
            per_slice = demand.arrivals * self._timing.slice_seconds / elapsed
            demand = Demand(0, now, per_slice, demand.asked_at)
        self._demand_by_organisation[organisation] = dataclasses.replace(
            demand,
            arrivals=demand.arrivals + 1,
        )

    def _expected_requests(self, organisation: OrganisationId) -> int:
        demand = self._demand_by_organisation.get(organisation)
        if demand is None:
            return 0
        per_slice = max(demand.per_slice, demand.arrivals)
        return (
            math.ceil(per_slice * _DEMAND_FACTOR)
            if per_slice >= _MIN_BUSY_REQUESTS_PER_SLICE
            else 0
        )

    def _should_prefetch(self, organisation: OrganisationId) -> bool:
        expected = self._expected_requests(organisation)
        now = self._clock.now()
        denied_until, _ = self._denied_until_by_organisation.get(organisation, (_LONG_AGO, ''))
        # The demand is missing if the process was paused after the arrival was recorded and the
        # demand was dropped as idle in the meantime.
        demand = self._demand_by_organisation.get(organisation)
        asked_at = _LONG_AGO if demand is None else demand.asked_at
        if now < max(denied_until, asked_at + self._timing.slice_seconds * _PREFETCH_FRACTION):
            return False
        horizon = now + self._timing.slice_seconds / 2
        remaining = self._slices.count(organisation, horizon)
        return remaining * 2 < expected

    async def _wait_for_slice(self, organisation: Organisation) -> str:
        name = organisation.organisation
        self._waiting_by_organisation[name] += 1
        try:
            task = self._slice_requests_by_organisation.get(name) or self._start_slice_request(
                organisation
            )
            # Shielded, because other requests still need the slice if this caller disconnects.
            return await asyncio.shield(task)
        finally:
            self._waiting_by_organisation[name] -= 1
            if not self._waiting_by_organisation[name]:
                self._waiting_by_organisation.pop(name)

    def _start_slice_request(self, organisation: Organisation) -> asyncio.Task[str]:
        name = organisation.organisation
        task = asyncio.create_task(self._request_slice(name))
        self._slice_requests_by_organisation[name] = task
        task.add_done_callback(lambda _: self._slice_requests_by_organisation.pop(name))
        return task

    async def _request_slice(self, organisation: OrganisationId) -> str:
        """Request a slice from the owner, then from the next holder.

        Returns
        -------
        str
            Name of the counter for the denial, or an empty string if tokens were granted.
        """
        backoffs = [_UNANSWERED_BACKOFF_SECONDS]
        cause = 'refused_unanswered'
        for holder in self._eligible_holders_in_order(organisation)[:_MAX_HOLDERS_ASKED]:
            answer = await self._request_slice_from(holder, organisation)
            if answer is None:
                continue
            if answer.tokens:
                return ''
            backoffs.append(answer.seconds)
            cause = 'refused_on_partial_share'
            if answer.share >= 1 - SHARE_TOLERANCE:
                cause = 'refused_above_rate'
                backoffs = [answer.seconds]
                break
        denied_until = self._clock.now() + min(backoffs)
        self._denied_until_by_organisation[organisation] = (denied_until, cause)
        return cause

    async def _request_slice_from(
        self,
        holder: InstanceId,
        organisation: OrganisationId,
    ) -> SliceGranted | None:
        asked_at = self._clock.now()
        demand = self._demand_by_organisation.get(organisation, Demand(0, asked_at, 0))
        self._demand_by_organisation[organisation] = dataclasses.replace(demand, asked_at=asked_at)
        # Includes every request that waits by now; the first is counted before this task starts.
        needed = self._waiting_by_organisation[organisation]
        request = SliceRequest(
            organisation=organisation,
            wanted=needed + self._expected_requests(organisation),
            needed=needed,
            reports=self._slices.pop_reports(holder, organisation),
        )
        answer = await self._send_slice_request(holder, request)
        if answer is None:
            self._suspect_until_by_holder[holder] = self._clock.now() + _SUSPECT_SECONDS
        elif answer.tokens:
            # The lifetime starts when the request is sent, so the slice ends here before it ends
            # at the holder.
            ends_at = asked_at + answer.seconds * (1 - MAX_CLOCK_DRIFT_RATIO)
            held = HeldSlice(holder, answer.slice_id, answer.tokens, ends_at)
            self._slices.add(organisation, held)
        return answer

    async def _send_slice_request(
        self,
        holder: InstanceId,
        request: SliceRequest,
    ) -> SliceGranted | None:
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
        if now < self._next_cleanup_at:
            return
        self._next_cleanup_at = now + _CLEANUP_PERIOD_SECONDS
        self.buckets.drop_idle()
        self._demand_by_organisation = {
            name: demand
            for name, demand in self._demand_by_organisation.items()
            if now - demand.since < _CLEANUP_PERIOD_SECONDS
        }
        self._denied_until_by_organisation = {
            name: denied
            for name, denied in self._denied_until_by_organisation.items()
            if denied[0] > now
        }
        self._suspect_until_by_holder = {
            holder: until for holder, until in self._suspect_until_by_holder.items() if until > now
        }
