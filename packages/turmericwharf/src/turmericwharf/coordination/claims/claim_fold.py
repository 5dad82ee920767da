"""What the records of a claim partition mean; the same at every node that reads them."""

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
    held_at
        Time of day of the latest attempt to claim the fingerprint.
    released
        Whether the claim was given back, so that the next one wins.
    """

    claim: ClaimId
    content: str
    last_claimed_at: float
    status: int | None = None
    kept_by: InstanceId | None = None
    released: bool = False


def hold_seconds_of(limits: LimitSettings) -> float:
    """Return how long a fingerprint is held after the latest attempt to claim it.

    Two nodes with clocks at the ends of the allowed skew still keep to the promised time.
    """
    return limits.claim_retention_seconds + 2 * limits.clock_skew_seconds


class PartitionClaims:
    """Claims of one partition.

    Every attempt prolongs the hold. So a reader that lacks the earliest records, because the log
    has dropped them, comes to the same result as one that has them: only attempts within the
    hold time decide, and the log keeps records for longer than that.

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
        """Return the number of fingerprints that are remembered."""
        return len(self._states_by_fingerprint)

    def find(self, fingerprint: str) -> ClaimState | None:
        """Return the claim that holds or held a fingerprint."""
        return self._states_by_fingerprint.get(fingerprint)

    def apply_claim(self, record: Claimed) -> None:
        """Apply a claim: it wins if no other one holds the fingerprint at its time."""
        # A record that was made long before others and appended after them, by a coordinator that
        # was paused in between, must not win against a claim that was forgotten meanwhile.
        if record.claimed_at < self._newest_at - self._hold_seconds:
            return
        self._newest_at = max(self._newest_at, record.claimed_at)
        state = self.find(record.fingerprint)
        if state is None or self._is_free(state, record):
            state = ClaimState(record.claim, record.content, record.claimed_at)
        last_claimed_at = max(state.last_claimed_at, record.claimed_at)
        self._keep(record.fingerprint, dataclasses.replace(state, last_claimed_at=last_claimed_at))
        self._forget_old()

    def update_claim(self, record: Released | Finished, **changes: object) -> None:
        """Change the state of a claim if it still holds its fingerprint."""
        state = self.find(record.fingerprint)
        if state is None or state.claim != record.claim or state.released:
            return
        changed = dataclasses.replace(state, **changes)  # type: ignore[arg-type]
        self._states_by_fingerprint[record.fingerprint] = changed

    def _is_free(self, state: ClaimState, record: Claimed) -> bool:
        if record.claimed_at >= state.last_claimed_at + self._hold_seconds:
            return True
        return state.released and state.claim != record.claim

    def _keep(self, fingerprint: str, state: ClaimState) -> None:
        self._states_by_fingerprint[fingerprint] = state
        self._states_by_fingerprint.move_to_end(fingerprint)

    def _forget_old(self) -> None:
        # No record that still counts can meet a claim from before this moment.
        needed_since = self._newest_at - 2 * self._hold_seconds
        while next(iter(self._states_by_fingerprint.values())).last_claimed_at < needed_since:
            self._states_by_fingerprint.popitem(last=False)


@singledispatch
def fold_claim(record: object, claims: PartitionClaims) -> None:
    """Apply a record to the claims of its partition; records of other types are passed over."""


@fold_claim.register
def _(record: Claimed, claims: PartitionClaims) -> None:
    claims.apply_claim(record)


@fold_claim.register
def _(record: Released, claims: PartitionClaims) -> None:
    claims.update_claim(record, released=True)


@fold_claim.register
def _(record: Finished, claims: PartitionClaims) -> None:
    claims.update_claim(record, status=record.status, kept_by=record.kept_by)
