"""Applies the entries of nodes from the store and from other nodes to the directory."""

import dataclasses

from turmericwharf.coordination.sidecar.announcements import AnnouncementService
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.local_node_publisher import LocalNodePublisher
from turmericwharf.coordination.sidecar.ports import NodeEntryDecoder
from turmericwharf.coordination.sidecar.share_holders import FixedShareHolders
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.store_era import StoreEra
from turmericwharf.state.sidecar import DirectoryReply, KeyedPage, NodeEntry, StoredEntry


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
    era
        Highest known era of the store.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        announcements: AnnouncementService,
        publisher: LocalNodePublisher,
        decode: NodeEntryDecoder,
        holders: FixedShareHolders,
        knowledge: StartupKnowledge,
        era: StoreEra,
    ) -> None:
        self._directory = directory
        self._announcements = announcements
        self._publisher = publisher
        self._decode = decode
        self._holders = holders
        self._knowledge = knowledge
        self._era = era

    def apply(self, page: KeyedPage) -> None:
        """Apply a page of entries; the first one contains the newest entry of every node.

        An entry that names a later era than the store itself counts as one of the store's era,
        since it may come from another writer.
        """
        self._era.record(page.era, source='store')
        for key, record in page.records_by_key.items():
            entry = self._decode(record.encoded) if record.encoded else None
            if entry is not None and entry.instance == key:
                era = min(entry.era, page.era)
                self._apply(StoredEntry(entry, record.offset, era), source='store')
            elif not record.encoded:
                self._remove(key)
        self._knowledge.record_store_read(page.era)
        self._holders.refresh()

    def apply_reply(self, reply: DirectoryReply, *, source: str) -> None:
        """Apply the entries that another node has received since its last reply."""
        self._era.record(reply.era, source=source)
        for stored in reply.nodes:
            era = min(stored.era, self._era.current)
            self._apply(dataclasses.replace(stored, era=era), source=source)
        if reply.predecessor is not None and self._is_predecessor(reply.predecessor):
            self._announcements.record_previous_entry(reply.predecessor)
        if reply.knows_fleet:
            self._knowledge.record_fleet(source=source)
        self._holders.refresh()

    def _apply(self, stored: StoredEntry, *, source: str) -> None:
        local = self._directory.local
        if stored.entry.instance != local.instance:
            self._directory.apply(stored, source=source)
        elif self._is_predecessor(stored.entry):
            self._announcements.record_previous_entry(stored.entry)

    def _is_predecessor(self, entry: NodeEntry) -> bool:
        local = self._directory.local
        return entry.instance == local.instance and entry.process != local.process

    def _remove(self, key: str) -> None:
        if key == self._directory.local.instance:
            self._publisher.republish()
        else:
            self._directory.remove(key)
