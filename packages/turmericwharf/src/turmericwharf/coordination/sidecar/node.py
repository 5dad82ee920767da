"""Builds a sidecar node from its components."""

import asyncio
import dataclasses

from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.sidecar.admission import RequestValidator
from turmericwharf.coordination.sidecar.announcements import AnnouncementService
from turmericwharf.coordination.sidecar.attempts import AttemptRunner
from turmericwharf.coordination.sidecar.reloadable_bounds import ReloadableBounds
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.directory_polls import DirectoryPolls
from turmericwharf.coordination.sidecar.directory_relay import DirectoryRelay
from turmericwharf.coordination.sidecar.entry_point import RequestEntryPoint
from turmericwharf.coordination.sidecar.evacuations import Evacuations
from turmericwharf.coordination.sidecar.operator_records import OperatorRecords
from turmericwharf.coordination.memory import MemoryBudget, derive_limits
from turmericwharf.coordination.sidecar.node_entry_updates import NodeEntryUpdates
from turmericwharf.coordination.sidecar.order_validator import OrderValidator
from turmericwharf.coordination.sidecar.data_centre_ranking import DataCentreRanking
from turmericwharf.coordination.sidecar.order_sender import OrderSender
from turmericwharf.coordination.sidecar.local_node_publisher import LocalNodePublisher
from turmericwharf.coordination.sidecar.ports import (
    ConfigurationDecoder,
    FleetLinks,
    KeyedLog,
    NodeEntryDecoder,
    NodeStore,
    ServerConnection,
)
from turmericwharf.coordination.sidecar.quota import FixedShareBuckets, FleetRateLimiter
from turmericwharf.coordination.sidecar.recovery import ServerRecovery
from turmericwharf.coordination.sidecar.remote_placement import RemotePlacement
from turmericwharf.coordination.sidecar.retry_budget import FleetRetryBudget, ExtraRetryPool
from turmericwharf.coordination.sidecar.round_trips import RoundTrips
from turmericwharf.coordination.sidecar.server_selector import ServerSelector
from turmericwharf.coordination.sidecar.order_executor import OrderExecutor
from turmericwharf.coordination.sidecar.server_record import ServerRecord
from turmericwharf.coordination.sidecar.share_holders import FixedShareHolders
from turmericwharf.coordination.sidecar.server_confirmation import ServerConfirmation
from turmericwharf.coordination.sidecar.silent_nodes import SilentNodes
from turmericwharf.coordination.sidecar.source_follower import SourceFollower
from turmericwharf.coordination.sidecar.source_times import derive_source_times
from turmericwharf.coordination.sidecar.startup_inquiry import StartupInquiry
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.store_era import StoreEra
from turmericwharf.coordination.sidecar.store_freshness import StoreFreshness
from turmericwharf.coordination.sidecar.store_readers import StoreReaders
from turmericwharf.coordination.sidecar.store_source import StoreSource
from turmericwharf.coordination.sidecar.topic_follower import TopicFollower
from turmericwharf.coordination.sidecar.cold_start import ColdStartGate
from turmericwharf.coordination.sidecar.configuration_sync import ConfigurationSync
from turmericwharf.state.sidecar import (
    NodeEntry,
    SidecarBounds,
    SidecarSettings,
    StoreTopic,
)

_NODES_BATCH_SECONDS = 0.3
_NODES_LONG_POLL_SECONDS = 5.0
# A node that has just started stops reading within this time, if a reader answers it.
_CONFIGURATION_BATCH_SECONDS = 0.2
# Time that a node needs, after a read should have been answered, to notice that the reader's
# connection to the store went silent, and to read the store in its place.
_READER_REPLACEMENT_SECONDS = 1.5
_MIN_CONFIGURATION_WAIT_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarPorts:
    """Implementations that other layers provide for one node.

    Parameters
    ----------
    memory
        Memory of the process that the connections share; None for one of the node's own.
    """

    clock: Clock
    log: KeyedLog
    store: NodeStore
    links: FleetLinks
    server: ServerConnection
    decode_configuration: ConfigurationDecoder
    decode_entry: NodeEntryDecoder
    memory: MemoryBudget | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SidecarNode:
    """Components of one node that other layers use."""

    settings: SidecarSettings
    directory: NodeDirectory
    holder: ActiveConfiguration
    entry: RequestEntryPoint
    remote_placement: RemotePlacement
    gate: OrderExecutor
    quota: FleetRateLimiter
    allowance: FleetRetryBudget
    checks: OrderValidator
    record: ServerRecord
    announcements: AnnouncementService
    publisher: LocalNodePublisher
    spread: ConfigurationSync
    relay: DirectoryRelay
    source: StoreSource
    source_follower: SourceFollower
    silent_nodes: SilentNodes
    configuration_follower: TopicFollower
    membership_follower: TopicFollower
    recovery: ServerRecovery
    bounds: ReloadableBounds
    knowledge: StartupKnowledge
    cold_start: ColdStartGate
    evacuations: Evacuations
    clock: Clock
    store_era: StoreEra
    inquiry: StartupInquiry
    memory: MemoryBudget

    @property
    def is_ready(self) -> bool:
        """Whether callers may send requests to this node."""
        knows_fleet = self.knowledge.knows_fleet and self.evacuations.is_known
        knows_enough = self.holder.is_known and knows_fleet
        return knows_enough and not self.checks.is_stopping


def build_sidecar_node(
    settings: SidecarSettings,
    local: NodeEntry,
    ports: SidecarPorts,
) -> SidecarNode:
    """Connect the components of one node to the implementations of the other layers."""
    clock = ports.clock
    memory = ports.memory or MemoryBudget(derive_limits(settings.machine), clock)
    bounds = ReloadableBounds(settings)
    knowledge = StartupKnowledge()
    directory = NodeDirectory(local, clock)
    configuration = ActiveConfiguration(ports.decode_configuration)
    request_validator = RequestValidator(configuration, clock)
    record = ServerRecord()
    evacuations = Evacuations()
    order_validator = OrderValidator(record, configuration, request_validator, evacuations)
    executor = OrderExecutor(
        server=ports.server,
        order_validator=order_validator,
        directory=directory,
        clock=clock,
        cold_start=ColdStartGate(configuration, bounds, clock),
        memory_limits=memory.limits,
    )
    holders = FixedShareHolders(directory, configuration, clock, knowledge)
    rate_limiter = FleetRateLimiter(
        FixedShareBuckets(holders, configuration, clock, bounds),
        ports.links,
        directory,
        configuration,
        knowledge,
    )
    era = StoreEra(directory)
    publisher = LocalNodePublisher(ports.store, directory, era)
    confirmation = ServerConfirmation(knowledge, clock)
    announcements = AnnouncementService(record, executor, publisher, confirmation)
    node_entry_updates = NodeEntryUpdates(
        directory, announcements, publisher, ports.decode_entry, holders, knowledge, era
    )
    ranking = DataCentreRanking(directory)
    silent_nodes = SilentNodes(directory, clock)
    reads_store = asyncio.Event()
    source = StoreSource(reads_store, StoreReaders(directory, ranking, silent_nodes))
    configuration_follower = TopicFollower(
        ports.log,
        StoreTopic.CONFIGURATION,
        lambda page: inquiry.apply_page(page),
        clock=clock,
        wait_seconds=_configuration_wait_seconds(settings.bounds),
        batch_seconds=_CONFIGURATION_BATCH_SECONDS,
        reads_store=reads_store,
    )
    membership_follower = TopicFollower(
        ports.log,
        StoreTopic.NODES,
        node_entry_updates.apply,
        clock=clock,
        wait_seconds=_NODES_LONG_POLL_SECONDS,
        batch_seconds=_NODES_BATCH_SECONDS,
        reads_store=reads_store,
    )
    freshness = StoreFreshness(reads_store, (membership_follower, configuration_follower), era)
    source_follower = SourceFollower(
        directory,
        source,
        DirectoryPolls(directory, ports.links, node_entry_updates),
        freshness,
        derive_source_times(settings.bounds),
    )
    records = OperatorRecords(configuration, evacuations)
    sync = ConfigurationSync(
        records=records,
        directory=directory,
        source=source,
        links=ports.links,
        follower=configuration_follower,
        freshness=freshness,
        era=era,
    )
    inquiry = StartupInquiry(
        directory=directory,
        links=ports.links,
        updates=node_entry_updates,
        sync=sync,
        records=records,
        knowledge=knowledge,
        era=era,
    )
    round_trips = RoundTrips()
    sender = OrderSender(
        executor=executor,
        links=ports.links,
        directory=directory,
        configuration=configuration,
        clock=clock,
        caller_service=settings.service,
        round_trips=round_trips,
    )
    retry_budget = FleetRetryBudget(
        pool=ExtraRetryPool(directory, ranking, bounds, clock, knowledge),
        links=ports.links,
        directory=directory,
        bounds=bounds,
        clock=clock,
        retry_share=lambda: executor.retry_share,
    )
    attempts = AttemptRunner(
        selector=ServerSelector(directory, clock, round_trips, evacuations),
        sender=sender,
        retry_budget=retry_budget,
        clock=clock,
    )
    return SidecarNode(
        settings=settings,
        directory=directory,
        holder=configuration,
        entry=RequestEntryPoint(request_validator, rate_limiter, attempts, clock),
        remote_placement=attempts.remote_placement,
        gate=executor,
        quota=rate_limiter,
        allowance=retry_budget,
        checks=order_validator,
        record=record,
        announcements=announcements,
        publisher=publisher,
        spread=sync,
        relay=DirectoryRelay(directory, freshness, knowledge),
        source=source,
        source_follower=source_follower,
        silent_nodes=silent_nodes,
        configuration_follower=configuration_follower,
        membership_follower=membership_follower,
        recovery=ServerRecovery(
            announcements, confirmation, configuration, ports.server, executor.cold_start
        ),
        cold_start=executor.cold_start,
        evacuations=evacuations,
        bounds=bounds,
        knowledge=knowledge,
        clock=clock,
        store_era=era,
        inquiry=inquiry,
        memory=memory,
    )


def _configuration_wait_seconds(bounds: SidecarBounds) -> float:
    """Return how long a read of the configuration and the evacuations may wait for a change."""
    apply_seconds = min(bounds.configuration_seconds, bounds.evacuation_seconds)
    return max(apply_seconds - _READER_REPLACEMENT_SECONDS, _MIN_CONFIGURATION_WAIT_SECONDS)
