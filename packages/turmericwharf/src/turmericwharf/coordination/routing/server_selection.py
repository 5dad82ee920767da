"""Selection of the backend server for a request."""

import dataclasses
import math
import random
from collections.abc import Callable, Sequence, Set

from turmericwharf.coordination.routing.harm import (
    AttemptTiming,
    RouteMedians,
    path_harm,
    path_seconds,
    server_harm,
)
from turmericwharf.coordination.routing.in_flight import StartedAttempt, InFlightAttempts
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.routing.outliers import OutlierDetector, within_floor
from turmericwharf.coordination.clock import Clock
from turmericwharf.coordination.ports import PeerLinks
from turmericwharf.state import (
    AdmittedRequest,
    Answered,
    Ejection,
    InstanceId,
    Outcome,
    OutlierHint,
    OutlierSettings,
    ReinstatementCause,
    RouteId,
    RoutingDump,
    ServerReport,
    ServerState,
    ServiceId,
    EvidenceSubject,
)

_MILLISECONDS_PER_SECOND = 1000
_DEFAULT_MIN_CAPACITY_FRACTION = 0.5
# An older load report does not reflect the requests that other nodes are sending now.
_MAX_LOAD_AGE_SECONDS = 1.0
# Power of two choices: comparing two random servers prevents all nodes from choosing the same one.
_SAMPLE_SIZE = 2
# Unanswered requests are checked at this interval for each service rather than at each selection.
_OVERDUE_CHECK_INTERVAL_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class _ReportedLoad:
    """Load reported with the latest answer of an executing node."""

    load: float
    received_at: float


class Router:
    """Selects the server with the fewest requests in flight from this node per slot.

    Compares the local server and two random ones. Ties go to the server with the lower reported
    load. The router also ejects faulty servers and probes ejected ones.

    Parameters
    ----------
    members
        Membership view of this node, with the reports of the backend servers.
    settings
        Settings of outlier detection.
    clock
        Clock of the node.
    min_capacity_fraction_of
        Returns the fraction of a service's ready slots that must stay in use, or None for the
        default.
    links
        Connections to the peers, for ejection hints.
    """

    def __init__(
        self,
        members: MembershipView,
        settings: OutlierSettings,
        clock: Clock,
        min_capacity_fraction_of: Callable[[ServiceId], float | None],
        links: PeerLinks,
    ) -> None:
        self._members = members
        self._settings = settings
        self._clock = clock
        self._min_capacity_fraction_of = min_capacity_fraction_of
        self._links = links
        self._detector = OutlierDetector(settings, clock)
        self._server_medians = RouteMedians()
        self._path_medians = RouteMedians()
        self._in_flight = InFlightAttempts()
        self._load_by_instance: dict[InstanceId, _ReportedLoad] = {}
        self._checked_at_by_service: dict[ServiceId, float] = {}
        self._probed_at_by_instance: dict[InstanceId, float] = {}

    def choose(self, admitted: AdmittedRequest, excluded: Set[InstanceId]) -> StartedAttempt | None:
        """Choose a server and register the attempt as in flight; None if no server is left."""
        service = admitted.service
        ready = self._ready_servers(service)
        self._check_overdue(service, ready, admitted.target_seconds)
        ejected = self._apply_floor(service, ready)
        available = [report for report in ready if report.instance not in excluded]
        if admitted.idempotent and not excluded:
            probe = self._choose_probe(
                admitted, [report for report in ready if report.instance in ejected]
            )
            if probe is not None:
                return self._in_flight.start(admitted, probe, self._clock.now(), probe=True)
        candidates = [report for report in available if report.instance not in ejected]
        if not candidates:
            return None
        sampled = random.sample(candidates, min(_SAMPLE_SIZE, len(candidates)))
        local = [report for report in candidates if report.instance == self._members.own.instance]
        # The local instance comes first, so that it wins ties.
        best = min(local + sampled, key=self._cost)
        return self._in_flight.start(
            admitted,
            best,
            self._clock.now(),
            probe=False,
        )

    def record_outcome(
        self, admitted: AdmittedRequest, attempt: StartedAttempt, outcome: Outcome
    ) -> None:
        """End an attempt and record its harm for the server and the network path."""
        self._in_flight.end(attempt)
        if isinstance(outcome, Answered):
            self._load_by_instance[attempt.instance] = _ReportedLoad(
                outcome.load, self._clock.now()
            )
        timing = self._measure_attempt(admitted, attempt, outcome)
        harms = [(EvidenceSubject.SERVER, server_harm(outcome, timing))]
        if attempt.instance != self._members.own.instance:
            harms.append((EvidenceSubject.PATH, path_harm(outcome, timing)))
        ejection = self._detector.find_ejection(admitted.service, attempt.instance)
        if ejection is not None:
            known_harms = [harm for _, harm in harms if harm is not None]
            if attempt.probe and known_harms:
                self._detector.record_probe(ejection, max(known_harms))
            return
        ratio = self._latency_ratio(admitted.route, outcome)
        for subject, harm in harms:
            if harm is not None:
                self._record_harm(attempt.report, subject, harm, ratio, admitted.target_seconds)

    def receive_hint(self, hint: OutlierHint) -> None:
        """Record a hint that a peer ejected a server."""
        reports = self._members.live_servers_for(hint.service)
        if _contains_instance(reports, hint.instance):
            self._detector.record_hint(hint)

    def record_abandoned(self, attempt: StartedAttempt) -> None:
        """End an attempt whose caller disconnected; it is no evidence about the server."""
        self._in_flight.end(attempt)

    def dump(self) -> RoutingDump:
        """Return the ejections and the evidence about servers, for the state dump."""
        return RoutingDump(
            now=self._clock.now(),
            ejections=tuple(
                ejection
                for service in sorted({report.service for report in self._members.reports()})
                for ejection in self._detector.ejections_of(service)
            ),
            servers=tuple(self._detector.dump_evidence()),
        )

    def _ready_servers(self, service: ServiceId) -> list[ServerReport]:
        reports = self._members.live_servers_for(service)
        self._detector.prune(service, reports)
        return [report for report in reports if report.state is ServerState.READY]

    def _apply_floor(
        self,
        service: ServiceId,
        ready: Sequence[ServerReport],
    ) -> frozenset[InstanceId]:
        ejections = self._detector.ejections_of(service)
        if not ejections:
            return frozenset()
        allowed = within_floor(ready, ejections, self._min_capacity_fraction(service))
        for ejection in ejections:
            if ejection.instance not in allowed and _contains_instance(ready, ejection.instance):
                self._detector.reinstate(ejection, ReinstatementCause.FLOOR)
        return allowed

    def _min_capacity_fraction(self, service: ServiceId) -> float:
        fraction = self._min_capacity_fraction_of(service)
        return _DEFAULT_MIN_CAPACITY_FRACTION if fraction is None else fraction

    def _record_harm(
        self,
        report: ServerReport,
        subject: EvidenceSubject,
        harm: float,
        ratio: float,
        target_seconds: float,
    ) -> None:
        proposed = self._detector.record_harm(
            report,
            subject,
            harm,
            ratio=ratio if subject is EvidenceSubject.SERVER else 1,
            target_seconds=target_seconds,
        )
        if proposed is not None:
            self._eject_within_floor(proposed)

    def _eject_within_floor(self, proposed: Ejection) -> None:
        ready = self._ready_servers(proposed.service)
        ejections = [*self._detector.ejections_of(proposed.service), proposed]
        if proposed.instance in within_floor(
            ready, ejections, self._min_capacity_fraction(proposed.service)
        ):
            self._detector.eject(proposed)
            self._send_hint(proposed)
            # The floor may now require that a less harmful server is reinstated.
            self._apply_floor(proposed.service, ready)

    def _send_hint(self, ejection: Ejection) -> None:
        if ejection.subject is EvidenceSubject.PATH:
            return
        peers = [
            instance
            for instance in self._members.live_members()
            if instance != self._members.own.instance
        ]
        hint = OutlierHint(ejection.service, ejection.instance, ejection.incarnation)
        for peer in random.sample(peers, min(self._settings.hinted_peers, len(peers))):
            self._links.notify(peer, hint)

    def _check_overdue(
        self,
        service: ServiceId,
        ready: Sequence[ServerReport],
        target_seconds: float,
    ) -> None:
        now = self._clock.now()
        if now - self._checked_at_by_service.get(service, 0) < _OVERDUE_CHECK_INTERVAL_SECONDS:
            return
        self._checked_at_by_service[service] = now
        in_use = [
            report
            for report in ready
            if self._detector.find_ejection(service, report.instance) is None
        ]
        harms_by_instance = {
            report.instance: self._in_flight.overdue_harms(
                report.instance, self._server_medians, now
            )
            for report in in_use
        }
        if any(harms_by_instance.values()):
            for proposed in self._detector.propose_overdue_ejections(
                in_use, harms_by_instance, target_seconds
            ):
                self._eject_within_floor(proposed)

    def _choose_probe(
        self,
        admitted: AdmittedRequest,
        ejected: Sequence[ServerReport],
    ) -> ServerReport | None:
        now = self._clock.now()
        # With little traffic, as at night, probing only a share of the requests would leave a
        # server ejected for hours.
        wait_seconds = self._settings.hold_targets * admitted.target_seconds
        for report in ejected:
            ejection = self._detector.find_ejection(admitted.service, report.instance)
            if ejection is None or now < ejection.until or self._in_flight.count(report.instance):
                continue
            waited = now - self._probed_at_by_instance.get(report.instance, ejection.since)
            if waited > wait_seconds or random.random() < self._settings.probe_share:
                self._probed_at_by_instance[report.instance] = now
                return report
        return None

    def _measure_attempt(
        self, admitted: AdmittedRequest, attempt: StartedAttempt, outcome: Outcome
    ) -> AttemptTiming:
        service, route = admitted.service, admitted.route
        seconds = self._clock.now() - attempt.started_at
        if isinstance(outcome, Answered):
            self._server_medians.record(
                route, outcome.server_milliseconds / _MILLISECONDS_PER_SECOND
            )
            if attempt.instance != self._members.own.instance:
                self._path_medians.record(route, path_seconds(seconds, outcome))
        log_latency_ratio = self._detector.evidence(
            service, EvidenceSubject.SERVER, attempt.instance
        ).usual_ratio
        return AttemptTiming(
            seconds=seconds,
            target_seconds=admitted.target_seconds,
            expected_seconds=self._server_medians.seconds(route) * math.exp(log_latency_ratio),
            median_path_seconds=self._path_medians.seconds(route),
        )

    def _latency_ratio(self, route: RouteId, outcome: Outcome) -> float:
        median_seconds = self._server_medians.seconds(route)
        if not isinstance(outcome, Answered) or not median_seconds:
            return 1
        return max(outcome.server_milliseconds / _MILLISECONDS_PER_SECOND / median_seconds, 1)

    def _cost(self, report: ServerReport) -> tuple[float, float]:
        in_flight = self._in_flight.count(report.instance)
        latest = self._load_by_instance.get(report.instance)
        is_fresh = (
            latest is not None and self._clock.now() - latest.received_at < _MAX_LOAD_AGE_SECONDS
        )
        return in_flight / max(report.slots, 1), latest.load if latest and is_fresh else 0


def _contains_instance(reports: Sequence[ServerReport], instance: InstanceId) -> bool:
    return any(report.instance == instance for report in reports)
