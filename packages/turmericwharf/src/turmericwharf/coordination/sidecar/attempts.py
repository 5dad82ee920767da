"""Sends an admitted request to servers until it has an outcome."""

import asyncio
import dataclasses

from loguru import logger

from turmericwharf.coordination.ports import Clock
from turmericwharf.coordination.retries import RetryBudget
from turmericwharf.coordination.sidecar.admission import FleetAdmission
from turmericwharf.coordination.sidecar.orders import OrderSender
from turmericwharf.coordination.sidecar.server_choice import ServerChoice
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
# Refusals that another server of the fleet would repeat.
_FINAL_REFUSALS = frozenset((Reason.KEY_WITHDRAWN, Reason.CONFIGURATION_OUTDATED))
# An idempotent request leaves this share of its time for another server.
_FIRST_ATTEMPT_SHARE = 0.6


@dataclasses.dataclass(slots=True)
class _Progress:
    """What became of a request so far; changes with each attempt."""

    number: int = 0
    arrivals: int = 0
    outcome: Outcome | None = None
    excluded: set[InstanceId] = dataclasses.field(default_factory=set)


class AttemptRunner:
    """Tries servers within the deadline, the attempts of the route and the retry budget.

    Parameters
    ----------
    choice
        Chooses servers.
    sender
        Sends one order and returns its answer.
    budget
        Bound on requests that reach a second server.
    clock
        Clock of the node.
    """

    def __init__(
        self,
        *,
        choice: ServerChoice,
        sender: OrderSender,
        budget: RetryBudget,
        clock: Clock,
    ) -> None:
        self._choice = choice
        self._sender = sender
        self._budget = budget
        self._clock = clock

    async def run(self, admitted: FleetAdmission) -> Outcome:
        """Return the final outcome of a request."""
        self._budget.record_request(admitted.service)
        progress = _Progress()
        is_final = False
        while not is_final and admitted.deadline - self._clock.now() > _LEAST_SECONDS:
            entry = self._choice.choose(admitted.service, progress.excluded)
            if entry is None:
                is_final = not await self._pause(admitted, progress)
            else:
                is_final = await self._is_final(admitted, entry, progress)
        return progress.outcome or NotRun(DEADLINE_PASSED.reason, DEADLINE_PASSED.detail)

    async def _pause(self, admitted: FleetAdmission, progress: _Progress) -> bool:
        """Wait for the next round of servers; return whether there is time for one."""
        if progress.outcome is None:
            progress.outcome = NotRun(NO_CAPACITY.reason, NO_CAPACITY.detail)
        left = admitted.deadline - self._clock.now()
        if left < 2 * _ROUND_SECONDS or not isinstance(progress.outcome, NotRun):
            return False
        await asyncio.sleep(_ROUND_SECONDS)
        progress.excluded.clear()
        return True

    async def _is_final(
        self,
        admitted: FleetAdmission,
        entry: NodeEntry,
        progress: _Progress,
    ) -> bool:
        progress.number += 1
        answer = await self._try(admitted, entry, progress)
        progress.excluded.add(entry.instance)
        outcome = _outcome_of(answer)
        if not isinstance(outcome, NotRun) or not isinstance(progress.outcome, Answered):
            # An answer of a server says more than a later refusal by another node.
            progress.outcome = outcome
        if answer.reached_server:
            progress.arrivals += 1
        may_repeat = self._may_repeat(admitted, outcome, progress)
        logger.bind(
            request=admitted.request.request,
            attempt=progress.number,
            instance=entry.instance,
            server=entry.server,
            outcome=_name(outcome),
            repeat=may_repeat,
        ).info('attempt_ended')
        return not may_repeat

    async def _try(
        self,
        admitted: FleetAdmission,
        entry: NodeEntry,
        progress: _Progress,
    ) -> WorkAnswer:
        now = self._clock.now()
        allowed = admitted.deadline - now
        has_more = progress.arrivals + 1 < admitted.route.attempts
        if admitted.route.idempotent and has_more:
            allowed *= _FIRST_ATTEMPT_SHARE
        self._choice.start(entry.instance)
        try:
            answer = await self._sender.send(
                admitted,
                entry,
                number=progress.number,
                allowed_seconds=allowed,
                may_try=admitted.route.idempotent and has_more,
            )
        finally:
            self._choice.end(entry.instance)
        self._choice.record_answer(entry.instance, answer)
        return answer

    def _may_repeat(
        self,
        admitted: FleetAdmission,
        outcome: Outcome,
        progress: _Progress,
    ) -> bool:
        if isinstance(outcome, NotRun) and outcome.reason in _FINAL_REFUSALS:
            return False
        if progress.arrivals >= admitted.route.attempts:
            return False
        if isinstance(outcome, Answered) and outcome.status < _SERVER_ERROR:
            return False
        if isinstance(outcome, NotRun):
            return progress.arrivals == 0 or self._spend(admitted)
        return admitted.route.idempotent and self._spend(admitted)

    def _spend(self, admitted: FleetAdmission) -> bool:
        if not self._budget.allows(admitted.service):
            return False
        self._budget.spend(admitted.service)
        return True


def _outcome_of(answer: WorkAnswer) -> Outcome:
    outcome = answer.answered or answer.refused or answer.unknown
    return outcome or OutcomeUnknown(Reason.FRAME_MALFORMED, 'the node gave no outcome')


def _name(outcome: Outcome) -> str:
    return str(outcome.status) if isinstance(outcome, Answered) else outcome.reason.value
