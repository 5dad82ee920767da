"""Claims of idempotency keys: the first claim in the log by offset wins."""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from loguru import logger

from turmericwharf.coordination.claims.claim_ledger import ClaimLedger
from turmericwharf.coordination.claims.kept_answers import KeptAnswers
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.ports import Clock, PeerLinks
from turmericwharf.coordination.membership.rendezvous import partition_of, rank_instances
from turmericwharf.state import (
    Acknowledged,
    Answered,
    CallerRequest,
    ClaimFailed,
    ClaimFinish,
    ClaimGranted,
    ClaimOutcomeRequest,
    ClaimReference,
    ClaimRelease,
    ClaimRequest,
    ClaimTaken,
    InstanceId,
    KeptAnswerRequest,
    LimitSettings,
    Message,
    OrganisationId,
    Reason,
    RouteId,
    TimingSettings,
)

_MILLISECONDS = 1000
# A release or an outcome is recorded as soon as the log answers again; an outage that is longer
# costs callers a refusal until the claim expires.
_RECORD_ATTEMPTS = 60
_FIRST_RETRY_SECONDS = 0.25
_RETRY_SECONDS = 5.0
# One record waits in about 1 KB, so this bounds the memory of a log outage to a few megabytes.
_MAX_RECORDING = 4096

_ClaimAnswer: TypeAlias = ClaimGranted | ClaimTaken | ClaimFailed


def fingerprint_of(organisation: OrganisationId, route: RouteId, idempotency_key: str) -> str:
    """Return the fingerprint under which a caller's idempotency key is claimed."""
    return hashlib.sha256(f'{organisation}/{route}/{idempotency_key}'.encode()).hexdigest()


def content_digest_of(request: CallerRequest) -> str:
    """Return the digest that tells two requests with the same key apart."""
    digest = hashlib.sha256(f'{request.method} {request.target}\n'.encode())
    digest.update(request.body)
    return digest.hexdigest()


class ClaimClient:
    """Asks the coordinator of a fingerprint's partition, or the own ledger."""

    def __init__(
        self,
        *,
        ledger: ClaimLedger,
        members: MembershipView,
        links: PeerLinks,
        timing: TimingSettings,
        limits: LimitSettings,
        clock: Clock,
    ) -> None:
        self.kept_answers = KeptAnswers(limits, clock)
        self._ledger = ledger
        self._members = members
        self._links = links
        self._timing = timing
        self._recording: set[asyncio.Task[None]] = set()

    @property
    def recording(self) -> int:
        """Releases and outcomes that are not recorded in the log yet."""
        return len(self._recording)

    async def claim(
        self,
        reference: ClaimReference,
        content: str,
        timeout_seconds: float,
    ) -> _ClaimAnswer:
        """Claim a fingerprint for a request of this node."""
        partition = partition_of(reference.fingerprint)
        request = ClaimRequest(partition, reference.fingerprint, reference.claim, content)
        # Claiming the same claim id twice is harmless: the first record counts.
        # Half of the time is left for the own ledger, if the coordinator does not answer.
        wait_seconds = min(timeout_seconds / 2, self._timing.claim_timeout_seconds)
        answer = await _within(
            timeout_seconds,
            self._ask(request, self._ledger.claim, wait_seconds),
        )
        if isinstance(answer, ClaimGranted | ClaimTaken):
            return answer
        # The record may stand in the log all the same, and would hold the key for nobody.
        self.release(reference)
        return ClaimFailed(Reason.CLAIM_LOG_UNAVAILABLE)

    async def wait_for_outcome(
        self,
        fingerprint: str,
        timeout_seconds: float,
    ) -> ClaimTaken | ClaimFailed:
        """Wait until the claim that holds a fingerprint is finished or given back."""
        # A part of the time is left for the way back and for fetching the answer.
        wait_seconds = max(timeout_seconds - self._timing.peer_timeout_seconds, 0)
        request = ClaimOutcomeRequest(
            partition_of(fingerprint),
            fingerprint,
            wait_seconds * _MILLISECONDS,
        )
        answer = await _within(
            timeout_seconds,
            self._ask(request, self._ledger.wait_for_outcome, timeout_seconds),
        )
        if isinstance(answer, ClaimTaken | ClaimFailed):
            return answer
        return ClaimFailed(Reason.CLAIM_LOG_UNAVAILABLE)

    async def fetch_answer(self, taken: ClaimTaken) -> Answered | None:
        """Return the answer of a finished claim from the node that keeps it."""
        if taken.kept_by is None:
            return None
        if taken.kept_by == self._members.own.instance:
            return self.kept_answers.find(taken.claim)
        answer = await self._links.request(
            taken.kept_by,
            KeptAnswerRequest(taken.claim),
            timeout_seconds=self._timing.peer_timeout_seconds,
        )
        return answer if isinstance(answer, Answered) else None

    def release(self, reference: ClaimReference) -> None:
        """Give a claim back whose request certainly did not run; recorded in the background."""
        partition = partition_of(reference.fingerprint)
        request = ClaimRelease(partition, reference.fingerprint, reference.claim)
        wait_seconds = self._timing.claim_timeout_seconds
        self._record(lambda: self._ask(request, self._ledger.release, wait_seconds))

    def finish(self, reference: ClaimReference, answer: Answered) -> None:
        """Keep the answer of a claimed request; that it has one is recorded in the background."""
        self.kept_answers.keep(reference.claim, answer)
        request = ClaimFinish(
            partition_of(reference.fingerprint),
            reference.fingerprint,
            reference.claim,
            answer.status,
            self._members.own.instance,
        )
        wait_seconds = self._timing.claim_timeout_seconds
        self._record(lambda: self._ask(request, self._ledger.finish, wait_seconds))

    def _record(self, ask: Callable[[], Awaitable[object]]) -> None:
        if len(self._recording) >= _MAX_RECORDING:
            logger.bind(recording=len(self._recording)).error('claim_record_dropped')
            return
        task = asyncio.create_task(_record_until_done(ask))
        self._recording.add(task)
        task.add_done_callback(self._recording.discard)

    async def _ask(
        self,
        request: '_LedgerRequest',
        ask_own: Callable[..., Awaitable[Message]],
        wait_seconds: float,
    ) -> Message:
        coordinator = self._coordinator_of(request.partition)
        if coordinator != self._members.own.instance:
            answer = await self._links.request(
                coordinator,
                request,
                timeout_seconds=wait_seconds,
            )
            if isinstance(answer, Acknowledged | ClaimGranted | ClaimTaken):
                return answer
            if isinstance(answer, ClaimFailed) and answer.reason is Reason.CLAIM_RELEASED:
                return answer
            # The coordinator may be cut off from the log, or this node from the coordinator.
        return await ask_own(request)

    def _coordinator_of(self, partition: int) -> InstanceId:
        live = self._members.live_members() or [self._members.own.instance]
        return rank_instances(f'claims/{partition}', live)[0]


_LedgerRequest: TypeAlias = ClaimRequest | ClaimOutcomeRequest | ClaimRelease | ClaimFinish


async def _within(timeout_seconds: float, asked: Awaitable[Message]) -> Message | None:
    try:
        async with asyncio.timeout(timeout_seconds):
            return await asked
    except TimeoutError:
        return None


async def _record_until_done(ask: Callable[[], Awaitable[object]]) -> None:
    retry_seconds = _FIRST_RETRY_SECONDS
    for _attempt in range(_RECORD_ATTEMPTS):
        if isinstance(await ask(), Acknowledged):
            return
        await asyncio.sleep(retry_seconds)
        retry_seconds = min(retry_seconds * 2, _RETRY_SECONDS)
    logger.error('claim_record_dropped')
