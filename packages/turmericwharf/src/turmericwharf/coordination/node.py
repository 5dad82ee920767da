"""The decision objects of one node."""

import dataclasses

from turmericwharf.coordination.routing.entry_service import EntryService
from turmericwharf.coordination.claims.claim_ledger import ClaimLedger
from turmericwharf.coordination.claims.claims import ClaimClient
from turmericwharf.coordination.membership.confirmation import MembershipConfirmer
from turmericwharf.coordination.configuration.control_log import ControlLog
from turmericwharf.coordination.execution.execution import Executor
from turmericwharf.coordination.membership.gossip import Gossiper
from turmericwharf.coordination.configuration.in_force import InForceCheck
from turmericwharf.coordination.membership.joining import Joiner
from turmericwharf.coordination.routing.lookups import LookupService
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.memory import MemoryBudget
from turmericwharf.coordination.routing.outcome_counts import OutcomeCounts
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.configuration.publishing import Publisher
from turmericwharf.coordination.rates.rate_limits import RateLimiter
from turmericwharf.coordination.membership.removal import Remover
from turmericwharf.coordination.routing.retries import RetryBudget
from turmericwharf.coordination.routing.server_selection import Router
from turmericwharf.coordination.configuration.snapshots import SnapshotWriter
from turmericwharf.coordination.membership.standing import Standing
from turmericwharf.state import NodeSettings


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """All decision objects of one node, which the transport layer calls."""

    settings: NodeSettings
    clock: Clock
    members: MembershipView
    standing: Standing
    control_log: ControlLog
    snapshots: SnapshotWriter
    gossiper: Gossiper
    joiner: Joiner
    remover: Remover
    confirmer: MembershipConfirmer
    publisher: Publisher
    in_force: InForceCheck
    ledger: ClaimLedger
    claims: ClaimClient
    limiter: RateLimiter
    executor: Executor
    router: Router
    entry: EntryService
    lookups: LookupService
    outcomes: OutcomeCounts
    retries: RetryBudget
    memory: MemoryBudget
