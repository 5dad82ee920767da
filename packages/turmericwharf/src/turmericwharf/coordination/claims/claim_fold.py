"""Folds the records of a claim partition into the same state at every node that reads them."""

import collections
import dataclasses
from functools import singledispatch

from turmericwharf.state import (
    Claimed,
    ClaimId,
    Finished,
    InstanceId,
    LimitSettings,
    Released,
)

_NEVER = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimState:
    """The claim that holds a fingerprint, and the outcome of its request if known.

    Parameters
    ----------
    content
        Digest of the claimed request's method, target and body.
    last_claimed_at
        Unix time in seconds of the latest attempt to claim the fingerprint.
    released
        Whether the claim was released, so that the next claim wins.
    status, kept_by
        HTTP status of the answer and the node that keeps it; None until the request is answered.
    """

    claim: ClaimId
    content: str
    last_claimed_at: float
    status: int | None = None
    kept_by: InstanceId | None = None
    released: bool = False


def hold_seconds_of(limits: LimitSettings) -> float:
    """Return how long a fingerprint is held after the latest attempt to claim it.

    The margin of twice the clock skew keeps the retention time for two nodes whose clocks are at
    opposite ends of the allowed skew.
    """
    return limits.claim_retention_seconds + 2 * limits.clock_skew_seconds


class PartitionClaims:
    """Claims of one partition.

    Every attempt extends the hold. A reader that lacks the earliest records, because the log has
    dropped them, therefore reaches the same result as one that has them: only attempts within
    the hold time decide, and the log retains records for longer than that.

    Parameters
    ----------
    hold_seconds
        How long a fingerprint is held after the latest attempt to claim it.
    """

    def __init__(self, hold_seconds: float) -> None:
        self._hold_seconds = hold_seconds
        self._newest_at = _NEVER
        self._states_by_fingerprint: collections.OrderedDict[str, ClaimState] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of fingerprints in memory."""
        return len(self._states_by_fingerprint)

    def find(self, fingerprint: str) -> ClaimState | None:
        """Return the claim that holds or held a fingerprint."""
        return self._states_by_fingerprint.get(fingerprint)

    def apply_claim(self, record: Claimed) -> None:
        """Apply a claim; it wins if no other claim holds the fingerprint at its time."""
        # A coordinator that was paused between creating a record and appending it can append it
        # long after newer records. It must not win over a claim that was evicted in the meantime.
        if record.claimed_at < self._newest_at - self._hold_seconds:
            return
        self._newest_at = max(self._newest_at, record.claimed_at)
        state = self.find(record.fingerprint)
        if state is None or self._is_free(state, record):
            state = ClaimState(record.claim, record.content, record.claimed_at)
        last_claimed_at = max(state.last_claimed_at, record.claimed_at)
        self._store_state(
            record.fingerprint, dataclasses.replace(state, last_claimed_at=last_claimed_at)
        )
        self._evict_expired()

    def update_claim(self, record: Released | Finished, **changes: object) -> None:
        """Update the state of a claim if it still holds its fingerprint."""
        state = self.find(record.fingerprint)
        if state is None or state.claim != record.claim or state.released:
            return
        changed = dataclasses.replace(state, **changes)  # type: ignore[arg-type]
        self._states_by_fingerprint[record.fingerprint] = changed

    def _is_free(self, state: ClaimState, record: Claimed) -> bool:
        if record.claimed_at >= state.last_claimed_at + self._hold_seconds:
            return True
        return state.released and state.claim != record.claim

    def _store_state(self, fingerprint: str, state: ClaimState) -> None:
        self._states_by_fingerprint[fingerprint] = state
        self._states_by_fingerprint.move_to_end(fingerprint)

    def _evict_expired(self) -> None:
        # Older claims cannot affect any record that is recent enough to be applied.
        oldest_relevant = self._newest_at - 2 * self._hold_seconds
        while next(iter(self._states_by_fingerprint.values())).last_claimed_at < oldest_relevant:
            self._states_by_fingerprint.popitem(last=False)


@singledispatch
def fold_claim(record: object, claims: PartitionClaims) -> None:
    """Apply a record to the claims of its partition; records of other types are ignored."""


@fold_claim.register
def _(record: Claimed, claims: PartitionClaims) -> None:
    claims.apply_claim(record)


@fold_claim.register
def _(record: Released, claims: PartitionClaims) -> None:
    claims.update_claim(record, released=True)


@fold_claim.register
def _(record: Finished, claims: PartitionClaims) -> None:
    claims.update_claim(record, status=record.status, kept_by=record.kept_by)
