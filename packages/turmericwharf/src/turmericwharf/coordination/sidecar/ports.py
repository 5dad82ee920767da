"""Interfaces that other layers implement for a sidecar node."""

from typing import Protocol, TYPE_CHECKING

from turmericwharf.state import (
    Answered,
    LinkFailure,
    DeliveryUnknown,
    LogFailure,
    NotRun,
    OutcomeUnknown,
)
from turmericwharf.state.sidecar import (
    FleetConfiguration,
    FleetMessage,
    KeyedPage,
    NodeEntry,
    ServerHealth,
    StoreTopic,
    WorkOrder,
    WriteResult,
)

if TYPE_CHECKING:
    from turmericwharf.state import Message


class FleetLinks(Protocol):
    """Connections to other nodes."""

    async def request(
        self,
        peer: NodeEntry,
        message: FleetMessage,
        *,
        timeout_seconds: float,
    ) -> 'Message | LinkFailure | DeliveryUnknown':
        """Send a message and wait for its answer.

        Returns
        -------
        LinkFailure
            Only if no byte of the message was sent.
        """

    async def wait_until_silent(
        self,
        peer: NodeEntry,
        *,
        interval_seconds: float,
        timeout_seconds: float,
    ) -> None:
        """Wait until a node does not answer a ping; its connection stays as it is.

        Parameters
        ----------
        interval_seconds
            Time after the last message from the node at which a ping is sent.
        timeout_seconds
            Time for the answer to a ping.
        """

    def notify(self, peer: NodeEntry, message: FleetMessage) -> None:
        """Send a message without waiting for an answer."""


class ServerConnection(Protocol):
    """Connection to the local backend server."""

    async def run(
        self,
        order: WorkOrder,
        *,
        remaining_seconds: float,
    ) -> Answered | NotRun | OutcomeUnknown:
        """Send the request to the server; cancellation closes the connection."""

    async def identify(self, path: str, *, timeout_seconds: float) -> ServerHealth | None:
        """Return what a healthy server reports at its health path, or None."""


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
        """Read records from an offset onwards; wait if there are none yet.

        Returns
        -------
        LogFailure
            `HISTORY_GONE` if the store no longer retains the records at the offset, or has come
            back without them.
        """


class NodeStore(Protocol):
    """Store of the entries of all nodes."""

    async def publish(self, entry: NodeEntry) -> WriteResult | LogFailure:
        """Write the entry of a node, and return the era in which the store accepted it."""


class ConfigurationDecoder(Protocol):
    """Decodes a published configuration."""

    def __call__(self, encoded: bytes) -> FleetConfiguration | None:
        """Return the configuration, or None if it cannot be decoded."""


class NodeEntryDecoder(Protocol):
    """Decodes the entry of a node."""

    def __call__(self, encoded: bytes) -> NodeEntry | None:
        """Return the entry, or None if it cannot be decoded."""
