"""Decision logic of a node, free of message encoding and sockets."""

from .routing.entry_service import (
    EntryService,
)
from .assembly import (
    Ports,
    build_node,
)
from .configuration.change_checks import (
    find_problems,
)
from .claims.claim_fold import (
    ClaimState,
    PartitionClaims,
    fold_claim,
    hold_seconds_of,
)
from .claims.claim_ledger import (
    ClaimLedger,
)
from .claims.claims import (
    ClaimClient,
    content_digest_of,
    fingerprint_of,
)
from .membership.confirmation import (
    MembershipConfirmer,
)
from .configuration.control_fold import (
    fold_record,
    evaluate_change,
    merge_change,
)
from .configuration.control_log import (
    ControlLog,
)
from .routing.dispatching import (
    Dispatcher,
)
from .execution.execution import (
    Executor,
    InProgressRequest,
    not_run,
)
from .execution.fair_queue import (
    FairQueue,
)
from .membership.gossip import (
    Gossiper,
)
from .routing.harm import (
    AttemptTiming,
    RouteMedians,
    latency_harm,
    path_harm,
    path_seconds,
    server_harm,
)
from .rates.held_slices import (
    HeldSlices,
)
from .routing.in_flight import (
    StartedAttempt,
    InFlightAttempts,
)
from .configuration.in_force import (
    InForceCheck,
)
from .membership.joining import (
    Joiner,
)
from .claims.kept_answers import (
    KeptAnswer,
    KeptAnswers,
)
from .routing.lookups import (
    LookupService,
)
from .membership.membership import (
    MembershipView,
)
from .node import (
    Node,
)
from .configuration.object_names import (
    changed_objects,
    object_name,
)
from .configuration.object_references import (
    FIELDS_BY_KIND,
    find_object,
    find_referrer,
    objects_by_name,
)
from .routing.outcome_counts import (
    OutcomeCounts,
)
from .routing.outliers import (
    OutlierDetector,
    add_harm,
    add_latency_ratio,
    within_floor,
)
from .execution.pause_detector import (
    PauseDetector,
)
from .clock import Clock, WallClock
from .ports import BackendServer, LogService, PeerLinks, SnapshotCodec
from .configuration.publishing import (
    Publisher,
)
from .rates.rate_buckets import (
    RateBuckets,
    refill_bucket,
)
from .rates.rate_limits import (
    RateLimiter,
)
from .membership.removal import (
    Remover,
)
from .membership.rendezvous import (
    PARTITION_COUNT,
    partition_of,
    rank_instances,
)
from .membership.report_table import (
    BUCKET_COUNT,
    ReportTable,
)
from .routing.retries import (
    RetryBudget,
    is_retryable,
)
from .routing.route_index import (
    RouteIndex,
)
from .routing.server_selection import (
    Router,
)
from .execution.run_check import (
    RunCheck,
)
from .rates.settling import (
    MAX_CLOCK_DRIFT_RATIO,
    Confirmation,
    MembershipSettling,
    SHARE_TICK_SECONDS,
    effective_settle_seconds,
)
from .rates.share_holders import (
    HOLDER_COUNT,
    ShareHolders,
)
from .rates.share_loans import (
    SHARE_TOLERANCE,
    ShareLoans,
)
from .membership.slots import (
    SlotView,
)
from .configuration.snapshot_reading import (
    read_newest_snapshot,
)
from .configuration.snapshots import (
    SnapshotWriter,
)
from .membership.standing import (
    Standing,
)
from .state_dump import (
    describe,
    dump_parts,
    seconds_since,
)

__all__ = (
    'AttemptTiming',
    'BUCKET_COUNT',
    'BackendServer',
    'MAX_CLOCK_DRIFT_RATIO',
    'StartedAttempt',
    'ClaimClient',
    'ClaimLedger',
    'ClaimState',
    'Clock',
    'Confirmation',
    'ControlLog',
    'Dispatcher',
    'EntryService',
    'Executor',
    'FIELDS_BY_KIND',
    'FairQueue',
    'Gossiper',
    'HOLDER_COUNT',
    'HeldSlices',
    'InFlightAttempts',
    'InForceCheck',
    'InProgressRequest',
    'Joiner',
    'KeptAnswer',
    'KeptAnswers',
    'LogService',
    'LookupService',
    'MembershipConfirmer',
    'MembershipSettling',
    'MembershipView',
    'Node',
    'OutcomeCounts',
    'OutlierDetector',
    'PARTITION_COUNT',
    'PartitionClaims',
    'PauseDetector',
    'PeerLinks',
    'Ports',
    'Publisher',
    'RateBuckets',
    'RateLimiter',
    'Remover',
    'ReportTable',
    'RetryBudget',
    'RouteIndex',
    'Router',
    'RunCheck',
    'SHARE_TICK_SECONDS',
    'SHARE_TOLERANCE',
    'ShareHolders',
    'ShareLoans',
    'SlotView',
    'SnapshotCodec',
    'SnapshotWriter',
    'Standing',
    'RouteMedians',
    'WallClock',
    'build_node',
    'changed_objects',
    'content_digest_of',
    'describe',
    'dump_parts',
    'latency_harm',
    'refill_bucket',
    'find_object',
    'find_problems',
    'find_referrer',
    'fingerprint_of',
    'fold_claim',
    'fold_record',
    'hold_seconds_of',
    'is_retryable',
    'evaluate_change',
    'merge_change',
    'not_run',
    'object_name',
    'objects_by_name',
    'add_harm',
    'add_latency_ratio',
    'partition_of',
    'path_harm',
    'path_seconds',
    'rank_instances',
    'read_newest_snapshot',
    'seconds_since',
    'server_harm',
    'effective_settle_seconds',
    'within_floor',
)
