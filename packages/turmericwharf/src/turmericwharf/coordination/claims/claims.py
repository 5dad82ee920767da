"""Claims of idempotency keys: the first claim in the log by offset wins."""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from loguru import logger

from turmericwharf.coordination.claims.claim_ledger import ClaimLedger
from turmericwharf.coordination.claims.kept_answers import KeptAnswers
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.ports import PeerLinks
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

_MILLISECONDS_PER_SECOND = 1000
# Releases and outcomes are sent up to this many times, so that they are recorded once the log
# answers again. If an outage outlasts the retries, callers are refused until the claim expires.
_MAX_RECORD_ATTEMPTS = 60
_INITIAL_RETRY_DELAY_SECONDS = 0.25
_MAX_RETRY_DELAY_SECONDS = 5.0
# A pending record takes about 1 KB, so this limits memory during a log outage to a few megabytes.
_MAX_PENDING_RECORDS = 4096

_ClaimAnswer: TypeAlias = ClaimGranted | ClaimTaken | ClaimFailed


def fingerprint_of(organisation: OrganisationId, route: RouteId, idempotency_key: str) -> str:
    """Return the fingerprint under which a caller's idempotency key is claimed."""
    return hashlib.sha256(f'{organisation}/{route}/{idempotency_key}'.encode()).hexdigest()


def content_digest_of(request: CallerRequest) -> str:
    """Return the digest that distinguishes two requests with the same key."""
    digest = hashlib.sha256(f'{request.method} {request.target}\n'.encode())
    digest.update(request.body)
    return digest.hexdigest()


class ClaimClient:
    """Claims fingerprints through the coordinator of their partition, or the local ledger."""

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
        """Number of releases and outcomes that are not recorded in the log yet."""
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
        # Appending the same claim id twice is harmless, because the first record counts. Half of
        # the time is reserved for the local ledger in case the coordinator does not answer.
        wait_seconds = min(timeout_seconds / 2, self._timing.claim_timeout_seconds)
        answer = await _within(
            timeout_seconds,
            self._request_coordinator(request, self._ledger.claim, wait_seconds),
        )
        if isinstance(answer, ClaimGranted | ClaimTaken):
            return answer
        # The record may be in the log nevertheless, and would block the key although the request
        # does not run.
        self.release(reference)
        return ClaimFailed(Reason.CLAIM_LOG_UNAVAILABLE)

    async def wait_for_outcome(
        self,
        fingerprint: str,
        timeout_seconds: float,
    ) -> ClaimTaken | ClaimFailed:
        """Wait until the claim that holds a fingerprint is finished or released."""
        # Reserves time for the coordinator's response and for fetching the answer.
        wait_seconds = max(timeout_seconds - self._timing.peer_timeout_seconds, 0)
        request = ClaimOutcomeRequest(
            partition_of(fingerprint),
            fingerprint,
            wait_seconds * _MILLISECONDS_PER_SECOND,
        )
        answer = await _within(
            timeout_seconds,
            self._request_coordinator(request, self._ledger.wait_for_outcome, timeout_seconds),
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
        """Release a claim whose request certainly did not run; recorded in the background."""
        partition = partition_of(reference.fingerprint)
        request = ClaimRelease(partition, reference.fingerprint, reference.claim)
        wait_seconds = self._timing.claim_timeout_seconds
        self._record_in_background(
            lambda: self._request_coordinator(request, self._ledger.release, wait_seconds)
        )

    def finish(self, reference: ClaimReference, answer: Answered) -> None:
        """Keep the answer of a claimed request and record the outcome in the background."""
        self.kept_answers.keep(reference.claim, answer)
        request = ClaimFinish(
            partition_of(reference.fingerprint),
            reference.fingerprint,
            reference.claim,
            answer.status,
            self._members.own.instance,
        )
        wait_seconds = self._timing.claim_timeout_seconds
        self._record_in_background(
            lambda: self._request_coordinator(request, self._ledger.finish, wait_seconds)
        )

    def _record_in_background(self, send: Callable[[], Awaitable[object]]) -> None:
        if len(self._recording) >= _MAX_PENDING_RECORDS:
            logger.bind(recording=len(self._recording)).error('claim_record_dropped')
            return
        task = asyncio.create_task(_record_until_done(send))
        self._recording.add(task)
        task.add_done_callback(self._recording.discard)

    async def _request_coordinator(
        self,
        request: '_LedgerRequest',
        local_handler: Callable[..., Awaitable[Message]],
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
            # The local ledger may succeed where the coordinator is cut off from the log, or this
            # node from the coordinator.
        return await local_handler(request)

    def _coordinator_of(self, partition: int) -> InstanceId:
        live = self._members.live_members() or [self._members.own.instance]
        return rank_instances(f'claims/{partition}', live)[0]


_LedgerRequest: TypeAlias = ClaimRequest | ClaimOutcomeRequest | ClaimRelease | ClaimFinish


async def _within(timeout_seconds: float, operation: Awaitable[Message]) -> Message | None:
    try:
        async with asyncio.timeout(timeout_seconds):
            return await operation
    except TimeoutError:
        return None


async def _record_until_done(send: Callable[[], Awaitable[object]]) -> None:
    retry_delay_seconds = _INITIAL_RETRY_DELAY_SECONDS
    for _attempt in range(_MAX_RECORD_ATTEMPTS):
        if isinstance(await send(), Acknowledged):
            return
        await asyncio.sleep(retry_delay_seconds)
        retry_delay_seconds = min(retry_delay_seconds * 2, _MAX_RETRY_DELAY_SECONDS)
    logger.error('claim_record_dropped')
