"""Settings of a node, as immutable values."""

import dataclasses

from turmericwharf.state.identifiers import DataCentreId, InstanceId


@dataclasses.dataclass(frozen=True, slots=True)
class ListenSettings:
    """Addresses that a node listens on.

    Parameters
    ----------
    host
        IP address to listen on and to connect from.
    advertised_peer_port
        Port that peers connect to, if it differs from `peer_port`.
    """

    host: str
    caller_port: int
    peer_port: int
    operator_port: int
    announce_port: int
    advertised_peer_port: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Address of the platform's log, and how long it retains records."""

    url: str
    timeout_seconds: float = 2.0
    retention_seconds: float = 86400.0


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on the sizes and times of requests.

    Parameters
    ----------
    claim_appends_per_second
        Limit on appends to the log for claims, for the whole fleet.
    keep_alive_seconds
        Time for which an idle connection stays open, as stated to callers; a shutdown waits this
        long for connections that carry no request.
    finish_seconds
        Time for which a non-idempotent run may continue after its deadline before it releases its
        slot.
    clock_skew_seconds
        Maximum difference between the wall clocks of two nodes.
    memory_megabytes
        Memory of the process in millions of bytes. Requests are refused, and stalled connections
        closed, before it is exceeded.
    descriptors
        Open file descriptors of the process; 0 for the limit that the system sets.
    """

    request_body_bytes: int = 1_048_576
    answer_body_bytes: int = 4_194_304
    frame_bytes: int = 8_388_608
    queue_length: int = 256
    attempts: int = 3
    retry_fraction: float = 0.1
    claim_retention_seconds: float = 3600.0
    claim_appends_per_second: float = 300.0
    kept_answer_bytes: int = 8_388_608
    keep_alive_seconds: float = 10.0
    shutdown_seconds: float = 30.0
    finish_seconds: float = 60.0
    clock_skew_seconds: float = 1.0
    memory_megabytes: float = 512.0
    descriptors: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class OutlierSettings:
    """Limits of outlier detection; its speed follows from the targets of the work classes.

    Parameters
    ----------
    requests_between_false_ejections
        Minimum mean number of requests to a healthy server between two false ejections.
    hinted_requests_between_false_ejections
        The same for a server that a peer has recently ejected.
    hinted_peers
        Number of peers that are notified of an ejection.
    tolerated_harm
        Mean harm that counts as healthy, as a share of requests that fail.
    hold_targets
        First hold, in multiples of the target of the work class that showed the fault.
    least_hold_seconds, most_hold_seconds
        Minimum and maximum hold.
    probe_share
        Share of the requests of a service that may be used to probe one ejected server.
    """

    requests_between_false_ejections: float = 20_000.0
    hinted_requests_between_false_ejections: float = 15.0
    hinted_peers: int = 3
    tolerated_harm: float = 0.02
    hold_targets: float = 5.0
    least_hold_seconds: float = 1.0
    most_hold_seconds: float = 60.0
    probe_share: float = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class TimingSettings:
    """Times of the coordination between nodes.

    Parameters
    ----------
    announcement_seconds
        A backend server without an announcement for this long gets no new requests; servers
        announce themselves at least twice in this time.
    claim_timeout_seconds
        Time that a coordinator may take for a claim before the claiming node makes the claim
        itself; longer than the interval between the appends of one node of a large fleet.
    gossip_peers
        Number of gossip requests that a node sends in each `gossip_seconds`. With 4, a majority
        of 500 nodes is known to have been alive at most 2.1 s ago; with 3 it was 2.7 s, which is
        too close to `standing_seconds`.
    alive_seconds
        Time for which a node counts as alive after the last contact. Longer than
        `standing_seconds`, since gossip about the last few of 500 nodes takes longer to arrive
        than gossip about a majority.
    """

    standing_seconds: float = 3.0
    settle_seconds: float = 7.0
    removal_seconds: float = 30.0
    gossip_seconds: float = 1.0
    gossip_peers: int = 4
    loan_seconds: float = 3.0
    slice_seconds: float = 0.25
    log_wait_seconds: float = 1.0
    peer_timeout_seconds: float = 0.5
    announcement_seconds: float = 3.0
    claim_timeout_seconds: float = 1.5
    alive_seconds: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class SeedSettings:
    """Peer to contact if the log is unreachable at startup."""

    instance: InstanceId
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """All settings of a node.

    Parameters
    ----------
    instance
        Identifier of the instance's slot.
    fleet_secret
        Secret shared by the nodes of the fleet; at least 32 characters.
    operator_digests
        SHA-256 digests of the operators' tokens, by operator name.
    seeds
        Peers to contact if the log is unreachable at startup.
    """

    instance: InstanceId
    data_centre: DataCentreId
    fleet_secret: str
    listen: ListenSettings
    log: LogSettings
    operator_digests: dict[str, str] = dataclasses.field(default_factory=dict)
    seeds: tuple[SeedSettings, ...] = ()
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    outliers: OutlierSettings = OutlierSettings()
