"""Interfaces of a sidecar node that other layers implement."""

from typing import Protocol

from turmericwharf.state import (
    Answered,
    LinkFailure,
    LinkUncertain,
    LogFailure,
    Message,
    NotRun,
    OutcomeUnknown,
)
from turmericwharf.state.sidecar import (
    FleetConfiguration,
    FleetMessage,
    KeyedPage,
    NodeEntry,
    StoreTopic,
    WorkOrder,
)


class FleetLinks(Protocol):
    """Connections to other nodes."""

    async def request(
        self,
        peer: NodeEntry,
        message: FleetMessage,
        *,
        timeout_seconds: float,
    ) -> Message | LinkFailure | LinkUncertain:
        """Send a message and wait for its answer.

        Returns
        -------
        LinkFailure
            Only if no byte of the message was sent.
        """

    def notify(self, peer: NodeEntry, message: FleetMessage) -> None:
        """Send a message without waiting for an answer."""


class ServerConnection(Protocol):
    """The backend server beside the node."""

    async def run(
        self,
        order: WorkOrder,
        *,
        remaining_seconds: float,
    ) -> Answered | NotRun | OutcomeUnknown:
        """Send the request to the server; a cancellation closes the connection."""

    async def identify(self, path: str, *, timeout_seconds: float) -> str | None:
        """Return the identifier that a healthy server gives at its health path, else None."""


class KeyedLog(Protocol):
    """Topics of the store that keep the newest record of each key."""

    async def read_newest(self, topic: StoreTopic) -> KeyedPage | LogFailure:
        """Read the newest record of each key."""

    async def read_changes(
        self,
        topic: StoreTopic,
        *,
        offset: int,
        wait_seconds: float,
    ) -> KeyedPage | LogFailure:
        """Read records from an offset on; wait for one if there is none yet.

        Returns
        -------
        LogFailure
            `HISTORY_GONE` if the store no longer has the records.
        """


class NodeStore(Protocol):
    """Entries of all nodes on the store."""

    async def publish(self, entry: NodeEntry) -> LogFailure | None:
        """Write the entry of a node."""


class ConfigurationDecoder(Protocol):
    """Reads a configuration as it was published."""

    def __call__(self, encoded: bytes) -> FleetConfiguration | None:
        """Return the configuration, or None if it cannot be read."""


class NodeEntryDecoder(Protocol):
    """Reads the entry of a node."""

    def __call__(self, encoded: bytes) -> NodeEntry | None:
        """Return the entry, or None if it cannot be read."""
