"""What a node believes of backend servers and of the paths to them."""

import dataclasses
import enum

from turmericwharf.state.identifiers import IncarnationId, InstanceId, ServiceId


class EvidenceSubject(enum.Enum):
    """What a judgement is about."""

    SERVER = 'server'
    PATH = 'path'
    # Requests without an answer so far do not tell a server from the path to it.
    UNANSWERED = 'unanswered'


class ReinstatementCause(enum.Enum):
    """Why an ejected backend server is in use again."""

    PROBES_PASSED = 'probes_passed'
    FLOOR = 'floor'
    SERVER_REPLACED = 'server_replaced'


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Sequential evidence that one subject does worse than its peers.

    Parameters
    ----------
    scores
        Log-likelihood ratio of each sequential test, at least zero.
    recent_harm
        Moving average of the harm of each request, between 0 and 1.
    usual_ratio
        Logarithm of the subject's usual time over the typical time of the route.
    requests
        Number of requests observed.
    run_harm, run_requests
        Sum of the harm and number of requests since the scores last rose from zero, which is
        the most likely begin of a fault.
    """

    scores: tuple[float, ...]
    recent_harm: float = 0.0
    usual_ratio: float = 0.0
    requests: int = 0
    run_harm: float = 0.0
    run_requests: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Ejection:
    """A backend server that this node sends no ordinary work to.

    Parameters
    ----------
    since, until
        Begin and end of the hold on the node's clock; probes follow the hold.
    harm
        Mean harm since the fault began; 1 means that each request fails or misses its target.
    others_harm
        Median of the recent harm of the other servers of the service.
    requests
        Requests on which the judgement rests.
    strikes
        Ejections in short succession; each doubles the hold.
    passed
        Probes passed in a row since the hold ended.
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
    """What the router believes, and since when, on the node's clock."""

    now: float
    ejections: tuple[Ejection, ...]
    servers: tuple[ServerEvidence, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RetryReport:
    """Attempts of one service's requests at one node, for the state dump.

    Parameters
    ----------
    requests, retries
        First and further attempts of the last ten seconds.
    refused
        Retries that the budget did not allow since the node started.
    """

    service: ServiceId
    requests: int
    retries: int
    refused: int
