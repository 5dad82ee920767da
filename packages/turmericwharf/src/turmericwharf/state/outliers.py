"""Evidence of faulty backend servers and network paths, and the resulting ejections."""

import dataclasses
import enum

from turmericwharf.state.identifiers import IncarnationId, InstanceId, ServiceId


class EvidenceSubject(enum.Enum):
    """Where the evidence suggests a fault."""

    SERVER = 'server'
    PATH = 'path'
    # Requests that are still unanswered do not show whether the server or the path is at fault.
    UNANSWERED = 'unanswered'


class ReinstatementCause(enum.Enum):
    """Reason for which an ejected backend server is used again."""

    PROBES_PASSED = 'probes_passed'
    FLOOR = 'floor'
    SERVER_REPLACED = 'server_replaced'


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Sequential-test evidence that one subject performs worse than its peers.

    Parameters
    ----------
    scores
        Log-likelihood ratio of each sequential test, at least zero.
    recent_harm
        Moving average of the harm of each request, between 0 and 1.
    usual_ratio
        Logarithm of the ratio of the subject's usual latency to the typical latency of the route.
    requests
        Number of requests observed.
    run_harm, run_requests
        Sum of the harm and number of requests since the scores last rose from zero, which is
        the most likely start of a fault.
    """

    scores: tuple[float, ...]
    recent_harm: float = 0.0
    usual_ratio: float = 0.0
    requests: int = 0
    run_harm: float = 0.0
    run_requests: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ejection:
    """A backend server to which this node sends no ordinary requests.

    Parameters
    ----------
    since, until
        Start and end of the hold on the node's clock; the server is probed after the hold.
    harm
        Mean harm since the start of the fault; 1 means that each request fails or misses its
        target.
    others_harm
        Median of the recent harm of the other servers of the service.
    requests
        Number of requests on which the decision is based.
    strikes
        Number of ejections in short succession; each doubles the hold.
    passed
        Number of consecutive probes passed since the hold ended.
    """

    instance: InstanceId
    incarnation: IncarnationId
    service: ServiceId
    subject: EvidenceSubject
    since: float
    until: float
    harm: float
    others_harm: float
    requests: int
    strikes: int
    passed: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEvidence:
    """Evidence about one subject of one backend server, for the state dump."""

    service: ServiceId
    instance: InstanceId
    subject: EvidenceSubject
    evidence: Evidence


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingDump:
    """Ejections and evidence of the router, with times on the node's clock."""

    now: float
    ejections: tuple[Ejection, ...]
    servers: tuple[ServerEvidence, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryReport:
    """Attempts of one service's requests at one node, for the state dump.

    Parameters
    ----------
    requests, retries
        Number of first attempts and of retries in the last ten seconds.
    refused
        Number of retries that the retry budget has rejected since the node started.
    """

    service: ServiceId
    requests: int
    retries: int
    refused: int
