"""Applies the entries of nodes from the store to the directory."""

from turmericwharf.coordination.sidecar.announcements import AnnouncementService
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.local_node_publisher import LocalNodePublisher
from turmericwharf.coordination.sidecar.ports import NodeEntryDecoder
from turmericwharf.coordination.sidecar.share_holders import FixedShareHolders
from turmericwharf.state.sidecar import KeyedPage, StoredEntry


class NodeEntryUpdates:
    """Applies pages of the nodes topic.

    Parameters
    ----------
    directory
        Known nodes.
    announcements
        Receives the entry that the previous process of this node published.
    publisher
        Publishes the local entry again if it was removed from the store.
    decode
        Decodes an entry.
    holders
        Selects the holders of rate shares; refreshed whenever the set of nodes may have changed.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        announcements: AnnouncementService,
        publisher: LocalNodePublisher,
        decode: NodeEntryDecoder,
        holders: FixedShareHolders,
    ) -> None:
        self._directory = directory
        self._announcements = announcements
        self._publisher = publisher
        self._decode = decode
        self._holders = holders

    def apply(self, page: KeyedPage) -> None:
        """Apply a page of entries."""
        for key, record in page.records_by_key.items():
            entry = self._decode(record.encoded) if record.encoded else None
            if entry is not None and entry.instance == key:
                self._apply(StoredEntry(entry, record.offset))
            elif not record.encoded:
                self._remove(key)
        self._holders.refresh()

    def _apply(self, stored: StoredEntry) -> None:
        local = self._directory.local
        if stored.entry.instance != local.instance:
            self._directory.apply(stored, source='store')
        elif stored.entry.process != local.process:
            self._announcements.record_previous_entry(stored.entry)

    def _remove(self, key: str) -> None:
        if key == self._directory.local.instance:
            self._publisher.republish()
        else:
            self._directory.remove(key)
