"""Sends an admitted request to servers until it has an outcome."""

import asyncio
import dataclasses

from loguru import logger

from turmericwharf.coordination.ports import Clock
from turmericwharf.coordination.sidecar.admission import FleetAdmission
from turmericwharf.coordination.sidecar.orders import OrderSender
from turmericwharf.coordination.sidecar.retry_allowance import RetryAllowance
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.state import (
    DEADLINE_PASSED,
    NO_CAPACITY,
    Answered,
    InstanceId,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
)
from turmericwharf.state.sidecar import NodeEntry, WorkAnswer

_SERVER_ERROR = 500
# Pause before the servers that refused are asked again.
_ROUND_SECONDS = 0.06
_LEAST_SECONDS = 0.01
# A request that no server has taken is refused after this share of its target.
_MOST_UNTRIED_SHARE = 0.35
_MOST_REFUSALS = 12
# Servers that refuse for their load, after which others are as full.
_MOST_FULL = 3
# Refusals that another server of the fleet would repeat.
_FINAL_REFUSALS = frozenset((Reason.KEY_WITHDRAWN, Reason.CONFIGURATION_OUTDATED))
_FULL_REFUSALS = frozenset((Reason.QUEUE_FULL, Reason.DEADLINE_PASSED))
# An idempotent request without an answer goes to a second server after this share of its time.
_HEDGE_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Progress:
    """What became of a request so far; changes with each attempt."""

    number: int = 0
    runs: int = 0
    # Servers that the request has reached, and those beyond the first that the budget has paid.
    arrivals: int = 0
    paid: int = 0
    refusals: int = 0
    full: int = 0
    outcome: Outcome | None = None
    excluded: set[InstanceId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(frozen=True, slots=True)
class _Attempt:
    """One order on its way, and the load by which its server was chosen."""

    entry: NodeEntry
    number: int
    load: int
    load_age: float | None
    task: asyncio.Task[WorkAnswer]


class AttemptRunner:
    """Tries servers within the deadline, the attempts of the route and the retry budget.

    Parameters
    ----------
    choice
        Chooses servers.
    sender
        Sends one order and returns its answer.
    allowance
        Bound on requests that reach a second server.
    clock
        Clock of the node.
    """

    def __init__(
        self,
        *,
        selector: ServerSelector,
        sender: OrderSender,
        allowance: RetryAllowance,
        clock: Clock,
    ) -> None:
        self._selector = selector
        self._sender = sender
        self._allowance = allowance
        self._clock = clock

    async def run(self, admitted: FleetAdmission) -> Outcome:
        """Return the final outcome of a request."""
        self._allowance.record_request(admitted.service, is_server_call=admitted.is_server_call)
        progress = _Progress()
        is_final = False
        while not is_final and self._left(admitted) > _LEAST_SECONDS:
            entry = self._selector.select(admitted.service, progress.excluded)
            if entry is None:
                is_final = not await self._pause(admitted, progress)
            else:
                is_final = await self._is_final(admitted, entry, progress)
        return progress.outcome or NotRun(DEADLINE_PASSED.reason, DEADLINE_PASSED.detail)

    def _left(self, admitted: FleetAdmission) -> float:
        return admitted.deadline - self._clock.now()

    async def _pause(self, admitted: FleetAdmission, progress: _Progress) -> bool:
        """Wait for the next round of servers; return whether there is time for one."""
        if progress.outcome is None:
            progress.outcome = NotRun(NO_CAPACITY.reason, NO_CAPACITY.detail)
        if not isinstance(progress.outcome, NotRun) or self._is_hopeless(admitted, progress):
            return False
        await asyncio.sleep(_ROUND_SECONDS)
        progress.excluded.clear()
        return True

    def _is_hopeless(self, admitted: FleetAdmission, progress: _Progress) -> bool:
        # A caller that gets its refusal early can turn to something else.
        target_seconds = admitted.target_at - admitted.admitted_at
        untried_seconds = self._clock.now() - admitted.admitted_at
        return (
            progress.full >= _MOST_FULL
            or progress.refusals >= _MOST_REFUSALS
            or untried_seconds > _MOST_UNTRIED_SHARE * target_seconds
        )

    async def _is_final(
        self,
        admitted: FleetAdmission,
        entry: NodeEntry,
        progress: _Progress,
    ) -> bool:
        first = self._start(admitted, entry, progress)
        attempts = [first]
        try:
            if self._has_more(admitted, progress, at_work=1) and admitted.route.idempotent:
                await self._hedge(admitted, attempts, progress)
            return await self._collect(admitted, attempts, progress)
        finally:
            for one in attempts:
                one.task.cancel()
                self._selector.end(one.entry.instance)

    def _start(
        self,
        admitted: FleetAdmission,
        entry: NodeEntry,
        progress: _Progress,
        *,
        at_work: int = 0,
    ) -> _Attempt:
        progress.number += 1
        progress.excluded.add(entry.instance)
        self._selector.start(entry.instance)
        # A second server must not be one that fails.
        may_try = not at_work and self._has_more(admitted, progress, at_work=1)
        sending = self._sender.send(
            admitted,
            entry,
            number=progress.number,
            allowed_seconds=self._left(admitted),
            target_seconds=self._target_seconds(admitted),
            may_try=may_try and admitted.route.idempotent,
            is_repeat=progress.arrivals + at_work > 0,
        )
        load, load_age = self._selector.last_reported_load(entry.instance)
        return _Attempt(entry, progress.number, load, load_age, asyncio.create_task(sending))

    def _target_seconds(self, admitted: FleetAdmission) -> float:
        # The server that makes a call holds a slot for it, so a call waits for as long as it may.
        target_at = admitted.deadline if admitted.is_server_call else admitted.target_at
        return max(target_at - self._clock.now(), 0)

    async def _hedge(
        self,
        admitted: FleetAdmission,
        attempts: list[_Attempt],
        progress: _Progress,
    ) -> None:
        """Send a request that gets no answer to a second server; the first goes on."""
        first = attempts[0]
        await asyncio.wait([first.task], timeout=self._left(admitted) * _HEDGE_SHARE)
        if first.task.done():
            return
        self._selector.avoid(first.entry.instance)
        entry = self._selector.select(admitted.service, progress.excluded)
        if entry is not None and await self._pays(admitted, progress, at_work=1):
            progress.runs += 1
            attempts.append(self._start(admitted, entry, progress, at_work=1))
            logger.bind(
                request=admitted.request.request,
                waiting_for=first.entry.instance,
                instance=entry.instance,
            ).info('request_hedged')

    async def _collect(
        self,
        admitted: FleetAdmission,
        attempts: list[_Attempt],
        progress: _Progress,
    ) -> bool:
        """Take answers as they come; return whether the outcome is final."""
        if len(attempts) > 1:
            # The first attempt was counted when the second one started.
            progress.runs -= 1
        waiting = {one.task: one for one in attempts}
        is_final = False
        while waiting and not is_final:
            done, _ = await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                ended = waiting.pop(task)
                is_last = await self._record(admitted, ended, progress, at_work=len(waiting))
                is_final = is_last or is_final
        return is_final

    async def _record(
        self,
        admitted: FleetAdmission,
        ended: _Attempt,
        progress: _Progress,
        *,
        at_work: int,
    ) -> bool:
        answer = ended.task.result()
        self._selector.record_answer(ended.entry.instance, answer)
        outcome = _outcome_of(answer)
        progress.arrivals += answer.reached_server
        progress.runs += not isinstance(outcome, NotRun)
        if isinstance(outcome, NotRun):
            progress.refusals += 1
            progress.full += outcome.reason in _FULL_REFUSALS
        if not isinstance(outcome, NotRun) or isinstance(progress.outcome, NotRun | None):
            # What a server did says more than a later refusal by another node.
            progress.outcome = outcome
        is_success = isinstance(outcome, Answered) and outcome.status < _SERVER_ERROR
        is_final = is_success
        if not is_success and not at_work:
            is_final = not await self._may_repeat(admitted, outcome, progress)
        logger.bind(
            request=admitted.request.request,
            attempt=ended.number,
            instance=ended.entry.instance,
            server=ended.entry.server,
            outcome=_name(outcome),
            load=ended.load,
            load_age=ended.load_age,
            final=is_final,
        ).info('attempt_ended')
        return is_final

    async def _may_repeat(
        self,
        admitted: FleetAdmission,
        outcome: Outcome,
        progress: _Progress,
    ) -> bool:
        if not self._has_more(admitted, progress, at_work=0):
            return False
        if isinstance(outcome, NotRun):
            is_final = outcome.reason in _FINAL_REFUSALS or self._is_hopeless(admitted, progress)
            return not is_final and await self._pays(admitted, progress)
        return admitted.route.idempotent and await self._pays(admitted, progress)

    def _has_more(self, admitted: FleetAdmission, progress: _Progress, *, at_work: int) -> bool:
        return progress.runs + at_work < admitted.route.attempts

    async def _pays(
        self,
        admitted: FleetAdmission,
        progress: _Progress,
        *,
        at_work: int = 0,
    ) -> bool:
        """Whether the request may reach one more server; what was paid holds until it does."""
        if progress.paid >= progress.arrivals + at_work:
            return True
        is_paid = await self._allowance.acquire(admitted.service)
        progress.paid += is_paid
        return is_paid


def _outcome_of(answer: WorkAnswer) -> Outcome:
    outcome = answer.answered or answer.refused or answer.unknown
    return outcome or OutcomeUnknown(Reason.FRAME_MALFORMED, 'the node gave no outcome')


def _name(outcome: Outcome) -> str:
    return str(outcome.status) if isinstance(outcome, Answered) else outcome.reason.value
