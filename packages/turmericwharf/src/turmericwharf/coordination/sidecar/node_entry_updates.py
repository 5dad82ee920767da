"""Applies the entries of nodes from the store and from other nodes to the directory."""

from turmericwharf.coordination.sidecar.announcements import AnnouncementService
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.local_node_publisher import LocalNodePublisher
from turmericwharf.coordination.sidecar.ports import NodeEntryDecoder
from turmericwharf.coordination.sidecar.share_holders import FixedShareHolders
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.state.sidecar import DirectoryReply, KeyedPage, StoredEntry


class NodeEntryUpdates:
    """Applies pages of the nodes topic, and the entries that other nodes report.

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
    knowledge
        Told once the entries of all nodes are applied.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        announcements: AnnouncementService,
        publisher: LocalNodePublisher,
        decode: NodeEntryDecoder,
        holders: FixedShareHolders,
        knowledge: StartupKnowledge,
    ) -> None:
        self._directory = directory
        self._announcements = announcements
        self._publisher = publisher
        self._decode = decode
        self._holders = holders
        self._knowledge = knowledge

    def apply(self, page: KeyedPage) -> None:
        """Apply a page of entries; the first one contains the newest entry of every node."""
        for key, record in page.records_by_key.items():
            entry = self._decode(record.encoded) if record.encoded else None
            if entry is not None and entry.instance == key:
                self._apply(StoredEntry(entry, record.offset), source='store')
            elif not record.encoded:
                self._remove(key)
        self._knowledge.record_store_read()
        self._holders.refresh()

    def apply_reply(self, reply: DirectoryReply, *, source: str) -> None:
        """Apply the entries that another node has received since its last reply."""
        for stored in reply.nodes:
            self._apply(stored, source=source)
        if reply.knows_fleet:
            self._knowledge.record_fleet(source=source)
        self._holders.refresh()

    def _apply(self, stored: StoredEntry, *, source: str) -> None:
        local = self._directory.local
        if stored.entry.instance != local.instance:
            self._directory.apply(stored, source=source)
        elif stored.entry.process != local.process:
            self._announcements.record_previous_entry(stored.entry)

    def _remove(self, key: str) -> None:
        if key == self._directory.local.instance:
            self._publisher.republish()
        else:
            self._directory.remove(key)
