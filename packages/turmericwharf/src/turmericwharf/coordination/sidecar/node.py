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
from turmericwharf.coordination.sidecar.directory_relay import DirectoryRelay
from turmericwharf.coordination.sidecar.entry_point import RequestEntryPoint
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
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.store_freshness import StoreFreshness
from turmericwharf.coordination.sidecar.store_readers import StoreReaders
from turmericwharf.coordination.sidecar.topic_follower import TopicFollower
from turmericwharf.coordination.sidecar.configuration_sync import ConfigurationSync
from turmericwharf.state.sidecar import (
    KeyedPage,
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
    """Implementations that other layers provide for one node."""

    clock: Clock
    log: KeyedLog
    store: NodeStore
    links: FleetLinks
    server: ServerConnection
    decode_configuration: ConfigurationDecoder
    decode_entry: NodeEntryDecoder


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
    configuration_follower: TopicFollower
    membership_follower: TopicFollower
    recovery: ServerRecovery
    bounds: ReloadableBounds
    knowledge: StartupKnowledge
    clock: Clock

    @property
    def is_ready(self) -> bool:
        """Whether callers may send requests to this node."""
        knows_enough = self.holder.is_known and self.knowledge.knows_fleet
        return knows_enough and not self.checks.is_stopping


def build_sidecar_node(
    settings: SidecarSettings,
    local: NodeEntry,
    ports: SidecarPorts,
) -> SidecarNode:
    """Connect the components of one node to the implementations of the other layers."""
    clock = ports.clock
    bounds = ReloadableBounds(settings)
    knowledge = StartupKnowledge()
    directory = NodeDirectory(local, clock)
    configuration = ActiveConfiguration(ports.decode_configuration)
    request_validator = RequestValidator(configuration, clock)
    record = ServerRecord()
    order_validator = OrderValidator(record, configuration, request_validator)
    executor = OrderExecutor(
        server=ports.server, order_validator=order_validator, directory=directory, clock=clock
    )
    holders = FixedShareHolders(directory, configuration, clock, knowledge)
    rate_limiter = FleetRateLimiter(
        FixedShareBuckets(holders, configuration, clock, bounds),
        ports.links,
        directory,
        configuration,
        knowledge,
    )
    publisher = LocalNodePublisher(ports.store, directory)
    confirmation = ServerConfirmation(knowledge, clock)
    announcements = AnnouncementService(record, executor, publisher, confirmation)
    node_entry_updates = NodeEntryUpdates(
        directory, announcements, publisher, ports.decode_entry, holders, knowledge
    )
    ranking = DataCentreRanking(directory)
    readers = StoreReaders(directory, ranking)
    reads_store = asyncio.Event()
    configuration_follower = TopicFollower(
        ports.log,
        StoreTopic.CONFIGURATION,
        lambda page: _apply_configurations(configuration, page),
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
    freshness = StoreFreshness(reads_store, (membership_follower, configuration_follower))
    relay = DirectoryRelay(
        directory=directory,
        readers=readers,
        links=ports.links,
        reads_store=reads_store,
        freshness=freshness,
        updates=node_entry_updates,
        knowledge=knowledge,
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
        selector=ServerSelector(directory, clock, round_trips),
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
        spread=ConfigurationSync(
            configuration=configuration,
            directory=directory,
            readers=readers,
            links=ports.links,
            follower=configuration_follower,
            freshness=freshness,
        ),
        relay=relay,
        configuration_follower=configuration_follower,
        membership_follower=membership_follower,
        recovery=ServerRecovery(announcements, confirmation, configuration, ports.server),
        bounds=bounds,
        knowledge=knowledge,
        clock=clock,
    )


def _configuration_wait_seconds(bounds: SidecarBounds) -> float:
    """Return how long a read of the configuration may wait for a newer version."""
    return max(
        bounds.configuration_seconds - _READER_REPLACEMENT_SECONDS, _MIN_CONFIGURATION_WAIT_SECONDS
    )


def _apply_configurations(configuration: ActiveConfiguration, page: KeyedPage) -> None:
    for record in page.records_by_key.values():
        if record.encoded:
            configuration.apply_if_newer(record.encoded, source='store')
