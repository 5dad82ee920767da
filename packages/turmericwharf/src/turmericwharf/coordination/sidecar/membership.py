"""Applies the entries of nodes from the store to the directory."""

from turmericwharf.coordination.sidecar.announcements import AnnouncementService
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.own_entry import OwnEntryPublisher
from turmericwharf.coordination.sidecar.ports import NodeEntryDecoder
from turmericwharf.coordination.sidecar.quota import QuotaHolders
from turmericwharf.state.sidecar import KeyedPage, NodeEntry


class FleetMembership:
    """Follows the nodes' topic.

    Parameters
    ----------
    directory
        Known nodes.
    announcements
        Learns what the process before this one wrote.
    publisher
        Writes the own entry again if somebody else changed it.
    decode
        Reads an entry.
    holders
        Holders of rates, which follow the nodes.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        announcements: AnnouncementService,
        publisher: OwnEntryPublisher,
        decode: NodeEntryDecoder,
        holders: QuotaHolders,
    ) -> None:
        self._directory = directory
        self._announcements = announcements
        self._publisher = publisher
        self._decode = decode
        self._holders = holders

    def take(self, page: KeyedPage) -> None:
        """Apply a page of entries."""
        for key, encoded in page.values_by_key.items():
            entry = self._decode(encoded) if encoded else None
            if entry is not None and entry.instance == key:
                self._apply(entry)
            elif not encoded:
                self._remove(key)
        self._holders.refresh()

    def _apply(self, entry: NodeEntry) -> None:
        own = self._directory.own
        if entry.instance != own.instance:
            self._directory.update(entry, source='store')
        elif entry.process != own.process:
            self._announcements.remember(entry)

    def _remove(self, key: str) -> None:
        if key == self._directory.own.instance:
            self._publisher.publish_again()
        else:
            self._directory.remove(key)
