"""Wires the objects of one node together."""

import dataclasses
import functools

from turmericwharf.coordination.routing.entry_service import EntryService
from turmericwharf.coordination.claims.claim_ledger import ClaimLedger
from turmericwharf.coordination.claims.claims import ClaimClient
from turmericwharf.coordination.membership.confirmation import MembershipConfirmer
from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.routing.dispatching import Dispatcher
from turmericwharf.coordination.execution.execution import Executor
from turmericwharf.coordination.membership.gossip import Gossiper
from turmericwharf.coordination.configuration.in_force import InForceCheck
from turmericwharf.coordination.membership.joining import Joiner
from turmericwharf.coordination.routing.lookups import LookupService
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.memory import AnswerRoom, MemoryBudget
from turmericwharf.coordination.node import Node
from turmericwharf.coordination.routing.outcome_counts import OutcomeCounts
from turmericwharf.coordination.clock import Clock, WallClock
from turmericwharf.coordination.ports import BackendServer, LogService, PeerLinks, SnapshotCodec
from turmericwharf.coordination.configuration.publishing import Publisher
from turmericwharf.coordination.rates.rate_buckets import RateBuckets
from turmericwharf.coordination.rates.rate_limits import RateLimiter
from turmericwharf.coordination.membership.removal import Remover
from turmericwharf.coordination.routing.server_selection import Router
from turmericwharf.coordination.execution.run_check import RunCheck
from turmericwharf.coordination.rates.share_loans import ShareLoans
from turmericwharf.coordination.configuration.snapshots import SnapshotWriter
from turmericwharf.coordination.membership.standing import Standing
from turmericwharf.state import Member, MemoryLimits, NodeSettings, ServiceId


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """Interfaces that the transport layer provides to the decision logic of one node.

    Parameters
    ----------
    memory
        Memory of the process that the connections share; None if it is not limited.
    """

    clock: Clock
    wall_clock: WallClock
    log: LogService
    codec: SnapshotCodec
    links: PeerLinks
    server: BackendServer
    memory: MemoryBudget | None = None


def build_node(*, settings: NodeSettings, own: Member, ports: Ports) -> Node:
    """Wire the decision logic of one node to the interfaces that the transport implements."""
    timing, clock, links = settings.timing, ports.clock, ports.links
    memory = ports.memory or MemoryBudget(MemoryLimits(), clock)
    members = MembershipView(own, timing, clock)
    standing = Standing(timing, clock)
    control_log = ControlLog(
        log=ports.log,
        codec=ports.codec,
        standing=standing,
        members=members,
        timing=timing,
        clock=clock,
    )
    gossiper = Gossiper(
        members=members,
        control_log=control_log,
        standing=standing,
        links=links,
        timing=timing,
        clock=clock,
    )
    ledger = ClaimLedger(
        log=ports.log,
        members=members,
        limits=settings.limits,
        clock=clock,
        wall_clock=ports.wall_clock,
    )
    claims = ClaimClient(
        ledger=ledger,
        members=members,
        links=links,
        timing=timing,
        limits=settings.limits,
        clock=clock,
    )
    executor = Executor(
        server=ports.server,
        members=members,
        check=RunCheck(control_log),
        claims=claims,
        limits=settings.limits,
        clock=clock,
        wall_clock=ports.wall_clock,
    )
    executor.answer_room = AnswerRoom(memory, settings.limits.answer_body_bytes)
    limiter = _build_limiter(settings, ports, members, standing, control_log)
    router = Router(
        members,
        settings.outliers,
        clock,
        functools.partial(_service_floor_fraction, control_log),
        links,
    )
    dispatcher = Dispatcher(
        executor=executor,
        members=members,
        router=router,
        links=links,
        limits=settings.limits,
        clock=clock,
        wall_clock=ports.wall_clock,
    )
    entry = EntryService(
        control_log=control_log,
        standing=standing,
        limiter=limiter,
        claims=claims,
        dispatcher=dispatcher,
        clock=clock,
    )
    return Node(
        settings=settings,
        clock=clock,
        members=members,
        standing=standing,
        control_log=control_log,
        snapshots=SnapshotWriter(
            log=ports.log,
            codec=ports.codec,
            control_log=control_log,
            standing=standing,
            settings=settings.log,
        ),
        gossiper=gossiper,
        joiner=Joiner(
            settings=settings,
            members=members,
            control_log=control_log,
            standing=standing,
            gossiper=gossiper,
            links=links,
        ),
        remover=Remover(
            members=members,
            control_log=control_log,
            standing=standing,
            timing=timing,
            clock=clock,
        ),
        confirmer=MembershipConfirmer(
            members=members,
            control_log=control_log,
            links=links,
            timing=timing,
            clock=clock,
        ),
        publisher=Publisher(
            log=ports.log,
            control_log=control_log,
            standing=standing,
            timing=timing,
            clock=clock,
        ),
        in_force=InForceCheck(
            members=members,
            control_log=control_log,
            links=links,
            timing=timing,
        ),
        ledger=ledger,
        claims=claims,
        limiter=limiter,
        executor=executor,
        router=router,
        entry=entry,
        lookups=LookupService(
            control_log=control_log,
            standing=standing,
            executor=executor,
            entry=entry,
            clock=clock,
        ),
        outcomes=OutcomeCounts(),
        retries=dispatcher.budget,
        memory=memory,
    )


def _build_limiter(
    settings: NodeSettings,
    ports: Ports,
    members: MembershipView,
    standing: Standing,
    control_log: ControlLog,
) -> RateLimiter:
    timing, clock = settings.timing, ports.clock
    loans = ShareLoans(
        members=members,
        standing=standing,
        links=ports.links,
        timing=timing,
        clock=clock,
    )
    return RateLimiter(
        loans=loans,
        buckets=RateBuckets(loans=loans, control_log=control_log, timing=timing, clock=clock),
        links=ports.links,
        timing=timing,
        clock=clock,
    )


def _service_floor_fraction(control_log: ControlLog, service: ServiceId) -> float | None:
    known = control_log.configuration.services_by_id.get(service)
    return known.floor_fraction if known else None
