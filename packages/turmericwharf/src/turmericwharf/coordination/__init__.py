"""Decision logic of a node, free of message encoding and sockets."""

from turmericwharf.coordination.routing.entry_service import (
    EntryService,
)
from turmericwharf.coordination.assembly import (
    Ports,
    build_node,
)
from turmericwharf.coordination.configuration.change_checks import (
    find_problems,
)
from turmericwharf.coordination.claims.claim_fold import (
    ClaimState,
    PartitionClaims,
    fold_claim,
    hold_seconds_of,
)
from turmericwharf.coordination.claims.claim_ledger import (
    ClaimLedger,
)
from turmericwharf.coordination.claims.claims import (
    ClaimClient,
    content_digest_of,
    fingerprint_of,
)
from turmericwharf.coordination.membership.confirmation import (
    MembershipConfirmer,
)
from turmericwharf.coordination.configuration.control_fold import (
    fold_record,
    evaluate_change,
    merge_change,
)
from turmericwharf.coordination.configuration.control_log import (
    ControlLog,
)
from turmericwharf.coordination.routing.dispatching import (
    Dispatcher,
)
from turmericwharf.coordination.execution.execution import (
    Executor,
    InProgressRequest,
    not_run,
)
from turmericwharf.coordination.execution.fair_queue import (
    FairQueue,
)
from turmericwharf.coordination.membership.gossip import (
    Gossiper,
)
from turmericwharf.coordination.routing.harm import (
    AttemptTiming,
    RouteMedians,
    latency_harm,
    path_harm,
    path_seconds,
    server_harm,
)
from turmericwharf.coordination.rates.held_slices import (
    HeldSlices,
)
from turmericwharf.coordination.routing.in_flight import (
    StartedAttempt,
    InFlightAttempts,
)
from turmericwharf.coordination.configuration.in_force import (
    InForceCheck,
)
from turmericwharf.coordination.membership.joining import (
    Joiner,
)
from turmericwharf.coordination.claims.kept_answers import (
    KeptAnswer,
    KeptAnswers,
)
from turmericwharf.coordination.routing.lookups import (
    LookupService,
)
from turmericwharf.coordination.membership.membership import (
    MembershipView,
)
from turmericwharf.coordination.node import (
    Node,
)
from turmericwharf.coordination.configuration.object_names import (
    changed_objects,
    object_name,
)
from turmericwharf.coordination.configuration.object_references import (
    FIELDS_BY_KIND,
    find_object,
    find_referrer,
    objects_by_name,
)
from turmericwharf.coordination.routing.outcome_counts import (
    OutcomeCounts,
)
from turmericwharf.coordination.routing.outliers import (
    OutlierDetector,
    add_harm,
    add_latency_ratio,
    within_floor,
)
from turmericwharf.coordination.execution.pause_detector import (
    PauseDetector,
)
from turmericwharf.coordination.ports import (
    BackendServer,
    Clock,
    LogService,
    PeerLinks,
    SnapshotCodec,
    WallClock,
)
from turmericwharf.coordination.configuration.publishing import (
    Publisher,
)
from turmericwharf.coordination.rates.rate_buckets import (
    RateBuckets,
    refill_bucket,
)
from turmericwharf.coordination.rates.rate_limits import (
    RateLimiter,
)
from turmericwharf.coordination.membership.removal import (
    Remover,
)
from turmericwharf.coordination.membership.rendezvous import (
    PARTITION_COUNT,
    partition_of,
    rank_instances,
)
from turmericwharf.coordination.membership.report_table import (
    BUCKET_COUNT,
    ReportTable,
)
from turmericwharf.coordination.routing.retries import (
    RetryBudget,
    is_retryable,
)
from turmericwharf.coordination.routing.route_index import (
    RouteIndex,
)
from turmericwharf.coordination.routing.server_selection import (
    Router,
)
from turmericwharf.coordination.execution.run_check import (
    RunCheck,
)
from turmericwharf.coordination.rates.settling import (
    MAX_CLOCK_DRIFT_RATIO,
    Confirmation,
    MembershipSettling,
    SHARE_TICK_SECONDS,
    effective_settle_seconds,
)
from turmericwharf.coordination.rates.share_holders import (
    HOLDER_COUNT,
    ShareHolders,
)
from turmericwharf.coordination.rates.share_loans import (
    SHARE_TOLERANCE,
    ShareLoans,
)
from turmericwharf.coordination.membership.slots import (
    SlotView,
)
from turmericwharf.coordination.configuration.snapshot_reading import (
    read_newest_snapshot,
)
from turmericwharf.coordination.configuration.snapshots import (
    SnapshotWriter,
)
from turmericwharf.coordination.membership.standing import (
    Standing,
)
from turmericwharf.coordination.state_dump import (
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
