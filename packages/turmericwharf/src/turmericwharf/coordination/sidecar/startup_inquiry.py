"""Asks other nodes for what the store may have lost, before a started process relies on it.

A store that came back from an older copy may lack the newest configuration, which withdraws a key,
the evacuation of a data centre, and entries of nodes, one of which says that the local server
leaves. Nodes that were running before still know them. A store without eras never comes back older,
so nothing is asked there.
"""

import asyncio
import random

from loguru import logger

from turmericwharf.coordination.sidecar.configuration_sync import ConfigurationSync
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.node_entry_updates import NodeEntryUpdates
from turmericwharf.coordination.sidecar.operator_records import OperatorRecords
from turmericwharf.coordination.sidecar.ports import FleetLinks
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.store_era import StoreEra
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import DataCentreId, InstanceId
from turmericwharf.state.sidecar import (
    DirectoryReply,
    DirectoryRequest,
    KeyedPage,
    KeyedRecord,
    NodeEntry,
    ProcessId,
    StartupInquiryDump,
)

# Nodes of one data centre may be cut off from the store, so each data centre is asked.
_LOCAL_PEERS = 3
_REMOTE_PEERS_PER_DATA_CENTRE = 1
_REQUEST_TIMEOUT_SECONDS = 0.5
# If all nodes were killed, nobody knows more, and each of them asks. So the number of connections
# and the time are limited.
_MAX_GROUPS = 3
_MAX_INQUIRY_SECONDS = 1.5
# Time for other nodes to write their entries again, if the store has lost all of them. They learn
# of the era within about a second.
_FIRST_PEER_SECONDS = 1.0
_NO_PROCESS = ProcessId('')


class StartupInquiry:
    """Asks some nodes of each data centre once; others, if none of these knows the fleet.

    Parameters
    ----------
    directory
        Known nodes.
    links
        Connections to other nodes.
    updates
        Applies the entries that other nodes report.
    sync
        Fetches configurations from other nodes.
    records
        Configuration and evacuations, which the store may have lost.
    knowledge
        Says when to ask, and is told when the nodes were asked.
    era
        Highest known era of the store.
    """

    def __init__(
        self,
        *,
        directory: NodeDirectory,
        links: FleetLinks,
        updates: NodeEntryUpdates,
        sync: ConfigurationSync,
        records: OperatorRecords,
        knowledge: StartupKnowledge,
        era: StoreEra,
    ) -> None:
        self._directory = directory
        self._links = links
        self._updates = updates
        self._sync = sync
        self._configuration = records.configuration
        self._evacuations = records.evacuations
        self._knowledge = knowledge
        self._era = era
        self._has_read_page = False
        self._held_records: tuple[KeyedRecord, ...] = ()

    @property
    def has_asked_peers(self) -> bool:
        """Whether other nodes were asked."""
        return self._knowledge.has_asked_peers

    @property
    def holds_configuration(self) -> bool:
        """Whether a configuration of the store is held back."""
        return bool(self._held_records)

    def apply_page(self, page: KeyedPage) -> None:
        """Apply a page of the configuration topic, as far as it may be relied on.

        Configurations are held back until other nodes were asked, but only while none is in force,
        since a version never goes back. Evacuations are applied at once, since an older record
        replaces no newer one, but they count as known only after other nodes were asked.
        """
        self._era.record(page.era, source='store')
        self._evacuations.apply_page(page)
        self._has_read_page = True
        is_reliable = self._era.current == 0 or self._knowledge.has_asked_peers
        if is_reliable:
            self._evacuations.record_known()
        elif not (self._configuration.is_known and self._evacuations.is_known):
            self._knowledge.request_inquiry()
        records = tuple(record for record in page.records_by_key.values() if record.encoded)
        if is_reliable or self._configuration.is_known:
            self._apply_configurations(records)
        else:
            self._held_records += records

    async def run(self) -> None:
        """Ask when it is needed, until cancelled."""
        while True:
            await self._knowledge.wait_until_inquiry_needed()
            answered = await self._ask_until_known()
            logger.bind(answered=answered, version=self._configuration.version).info('peers_asked')
            self._knowledge.record_peers_asked()
            if self._has_read_page:
                self._evacuations.record_known()
            self._apply_configurations(self._held_records)
            self._held_records = ()

    def _apply_configurations(self, records: tuple[KeyedRecord, ...]) -> None:
        for record in records:
            self._configuration.apply_if_newer(record.encoded, source='store')

    async def _ask_until_known(self) -> bool:
        """Ask nodes in groups; return whether one that knows the fleet has answered."""
        if not self._directory.peers:
            changes = self._directory.change_number
            await self._directory.wait_for_change(changes, _FIRST_PEER_SECONDS)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _MAX_INQUIRY_SECONDS
        asked: set[InstanceId] = set()
        for _ in range(_MAX_GROUPS):
            peers = self._choose_peers(asked)
            if not peers or loop.time() >= deadline:
                break
            asked.update(peer.instance for peer in peers)
            answers = await asyncio.gather(*(self._ask(peer) for peer in peers))
            if any(answers):
                return True
        return False

    def _choose_peers(self, asked: set[InstanceId]) -> list[NodeEntry]:
        local = self._directory.local.data_centre
        peers_by_data_centre: dict[DataCentreId, list[NodeEntry]] = {}
        for known in self._directory.peers:
            if known.instance not in asked:
                peers_by_data_centre.setdefault(known.data_centre, []).append(known)
        chosen: list[NodeEntry] = []
        for data_centre, peers in peers_by_data_centre.items():
            limit = _LOCAL_PEERS if data_centre == local else _REMOTE_PEERS_PER_DATA_CENTRE
            chosen.extend(random.sample(peers, min(limit, len(peers))))
        return chosen

    async def _ask(self, peer: NodeEntry) -> bool:
        """Apply what a node knows; return whether it knows the fleet."""
        _, reply = await asyncio.gather(
            self._sync.fetch(peer),
            self._links.request(
                peer,
                DirectoryRequest(_NO_PROCESS, 0, 0, self._era.current),
                timeout_seconds=_REQUEST_TIMEOUT_SECONDS,
            ),
        )
        if not isinstance(reply, DirectoryReply):
            self._directory.suspect(peer.instance)
            return False
        self._updates.apply_reply(reply, source=peer.instance)
        return reply.knows_fleet


@describe.register
def _(part: StartupInquiry) -> StartupInquiryDump:
    return StartupInquiryDump(
        has_asked_peers=part.has_asked_peers, holds_configuration=part.holds_configuration
    )
