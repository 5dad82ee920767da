"""Interfaces that the transport layer implements."""

from collections.abc import Sequence
from typing import Protocol

from turmericwharf.state import (
    ControlState,
    Execute,
    InstanceId,
    LinkFailure,
    DeliveryUnknown,
    LogFailure,
    LogPage,
    LogRecord,
    Member,
    Message,
    Outcome,
    SeedSettings,
    ProtocolFailure,
    SnapshotPart,
)


class LogService(Protocol):
    """The platform's append-only log."""

    async def append(self, stream: str, records: Sequence[LogRecord]) -> int | LogFailure:
        """Append records and return the offset of the first.

        Returns
        -------
        int or LogFailure
            After a failure the records may or may not be in the log.
        """

    async def read(
        self,
        stream: str,
        *,
        offset: int,
        wait_seconds: float,
    ) -> LogPage | LogFailure:
        """Read records from `offset` on; wait up to `wait_seconds` if there are none yet."""


class SnapshotCodec(Protocol):
    """Encoding of the control state as snapshot records in the log."""

    def encode(self, state: ControlState, snapshot: str) -> tuple[SnapshotPart, ...]:
        """Return the parts of a snapshot with the id `snapshot`."""

    def decode(self, parts: Sequence[SnapshotPart]) -> ControlState | ProtocolFailure:
        """Return the state that all parts of one snapshot encode, or the failure to decode it."""


class PeerLinks(Protocol):
    """Authenticated connections to other nodes."""

    async def request(
        self,
        instance: InstanceId,
        message: Message,
        *,
        timeout_seconds: float,
    ) -> Message | LinkFailure | DeliveryUnknown:
        """Send a message and wait for its answer.

        Returns
        -------
        Message or LinkFailure or DeliveryUnknown
            `LinkFailure` is returned only if no byte of the message was written.
        """

    async def connect_to_seed(self, seed: SeedSettings) -> Member | LinkFailure:
        """Connect to a seed and return the authenticated node at its address."""

    def notify(self, instance: InstanceId, message: Message) -> None:
        """Send a message without waiting; it is dropped if no connection can be established."""


class BackendServer(Protocol):
    """The backend server on the local instance."""

    async def run(self, order: Execute, *, remaining_seconds: float) -> Outcome:
        """Run one request; `NotRun` is returned only if no byte of it was written."""

    async def cancel(self, order: Execute) -> None:
        """Ask the server to cancel a request."""
