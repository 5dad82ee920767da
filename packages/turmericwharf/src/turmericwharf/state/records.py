"""Records of the platform's log, as immutable values independent of their encoding."""

import dataclasses
from typing import TypeAlias

from turmericwharf.state.configuration import (
    Key,
    Organisation,
    Removal,
    Route,
    Service,
    WorkClass,
)
from turmericwharf.state.identifiers import ClaimId, IncarnationId, InstanceId, PublishId
from turmericwharf.state.membership import Member

CONTROL_STREAM = 'control'
SNAPSHOT_STREAM = 'snapshots'


@dataclasses.dataclass(frozen=True, slots=True)
class Publish:
    """A change of the configuration, and the version on which it is based."""

    publish_id: PublishId
    base_version: int
    operator: str
    organisations: tuple[Organisation, ...] = ()
    classes: tuple[WorkClass, ...] = ()
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    keys: tuple[Key, ...] = ()
    removals: tuple[Removal, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Joined:
    """A node has joined; it replaces earlier incarnations of its slot."""

    member: Member


@dataclasses.dataclass(frozen=True, slots=True)
class Left:
    """A node has shut down cleanly."""

    instance: InstanceId
    incarnation: IncarnationId


@dataclasses.dataclass(frozen=True, slots=True)
class Removed:
    """A node was removed after `TimingSettings.removal_seconds` without contact.

    Parameters
    ----------
    membership_version
        Membership version that the remover knew to be in force at a majority. The record takes
        effect on this version only, so that a majority of each membership overlaps with a
        majority of the previous one, even if two nodes remove two members at the same time.
    """

    instance: InstanceId
    incarnation: IncarnationId
    removed_by: InstanceId
    membership_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """Claim of an idempotency key; the claim with the lowest offset takes effect.

    Parameters
    ----------
    content
        Digest of the claimed request's method, target and body.
    claimed_at
        Unix time in seconds at which the record was created.
    """

    fingerprint: str
    claim: ClaimId
    content: str
    claimed_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Released:
    """A claim was released because its request certainly did not run."""

    fingerprint: str
    claim: ClaimId


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """The request of a claim was answered; `kept_by` stores the answer."""

    fingerprint: str
    claim: ClaimId
    status: int
    kept_by: InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One part of an encoded control state that covers the log up to `version`."""

    snapshot: str
    version: int
    part: int
    parts: int
    encoded: str


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotWritten:
    """All parts of a snapshot have been written to the stream of snapshots.

    Parameters
    ----------
    version
        Control version that the snapshot covers.
    written_at
        Unix time in seconds on the writer's clock.
    """

    snapshot: str
    version: int
    written_at: float


LogRecord: TypeAlias = (
    Publish
    | Joined
    | Left
    | Removed
    | Claimed
    | Released
    | Finished
    | SnapshotPart
    | SnapshotWritten
)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with its offset in the stream."""

    offset: int
    record: LogRecord


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Answer to a read: the records from the requested offset on.

    Parameters
    ----------
    earliest_offset
        Offset of the oldest record that the stream retains.
    next_offset
        Offset at which the next read continues.
    """

    records: tuple[StoredRecord, ...]
    earliest_offset: int
    next_offset: int
