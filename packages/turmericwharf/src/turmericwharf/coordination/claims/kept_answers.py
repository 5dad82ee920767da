"""Answers of claimed requests, kept for callers that repeat the request."""

import collections
import dataclasses

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import Answered, ClaimId, LimitSettings


@dataclasses.dataclass(frozen=True, slots=True)
class KeptAnswer:
    """An answer with its expiry time and size."""

    answer: Answered
    expires_at: float
    size_bytes: int


class KeptAnswers:
    """Keeps answers up to a total size in bytes; the oldest are evicted first.

    Parameters
    ----------
    limits
        Limits on sizes and times.
    clock
        Clock of the node.
    """

    def __init__(self, limits: LimitSettings, clock: Clock) -> None:
        self._limits = limits
        self._clock = clock
        self._size_bytes = 0
        self._kept_by_claim: collections.OrderedDict[ClaimId, KeptAnswer] = (
            collections.OrderedDict()
        )

    def keep(self, claim: ClaimId, answer: Answered) -> None:
        """Keep an answer, and evict old answers that have expired or no longer fit."""
        headers_bytes = sum(len(name) + len(text) for name, text in answer.headers)
        size_bytes = len(answer.body) + headers_bytes
        expires_at = self._clock.now() + self._limits.claim_retention_seconds
        self._kept_by_claim[claim] = KeptAnswer(answer, expires_at, size_bytes)
        self._size_bytes += size_bytes
        while self._must_evict(next(iter(self._kept_by_claim.values()), None)):
            _, evicted = self._kept_by_claim.popitem(last=False)
            self._size_bytes -= evicted.size_bytes

    def find(self, claim: ClaimId) -> Answered | None:
        """Return the answer of a claim's request, or None if it is not kept."""
        kept = self._kept_by_claim.get(claim)
        return kept.answer if kept else None

    def _must_evict(self, oldest: KeptAnswer | None) -> bool:
        if oldest is None:
            return False
        is_full = self._size_bytes > self._limits.kept_answer_bytes
        return is_full or oldest.expires_at < self._clock.now()
