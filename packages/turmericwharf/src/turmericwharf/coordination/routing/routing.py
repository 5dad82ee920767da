"""Chooses the backend server for a request."""

import dataclasses
import math
import random
from collections.abc import Callable, Sequence, Set

from turmericwharf.coordination.routing.harm import (
    AttemptTiming,
    TypicalTimes,
    path_harm,
    path_seconds,
    server_harm,
)
from turmericwharf.coordination.routing.in_flight import Choice, InFlightAttempts
from turmericwharf.coordination.membership.membership import MembershipView
from turmericwharf.coordination.routing.outliers import OutlierDetector, within_floor
from turmericwharf.coordination.ports import Clock, PeerLinks
from turmericwharf.state import (
    AdmittedRequest,
    Answered,
    Ejection,
    InstanceId,
    Outcome,
    OutlierHint,
    OutlierSettings,
    ReturnCause,
    RouteId,
    RoutingBelief,
    ServerReport,
    ServerState,
    ServiceId,
    Subject,
)

_MILLISECONDS = 1000
_DEFAULT_FLOOR = 0.5
# An older load says nothing about the requests that other nodes send now.
_LOAD_SECONDS = 1.0
_CHOICES = 2
# Unanswered requests are looked at this often for each service, not at each choice.
_OVERDUE_CHECK_SECONDS = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class _Load:
    """Load that came with the latest answer."""

    load: float
    heard_at: float


class Router:
    """Chooses by own requests in flight first and by the load at the executing node second.

    Parameters
    ----------
    members
        Backend servers in the own view.
    settings
        Bounds of outlier detection.
    clock
        Clock of the node.
    floor_of
        Returns the floor fraction of a service, or None for the default.
    links
        Connections to the peers that are told of ejections.
    """

    def __init__(
        self,
        members: MembershipView,
        settings: OutlierSettings,
        clock: Clock,
        floor_of: Callable[[ServiceId], float | None],
        links: PeerLinks,
    ) -> None:
        self._members = members
        self._settings = settings
        self._clock = clock
        self._floor_of = floor_of
        self._links = links
        self._detector = OutlierDetector(settings, clock)
        self._times = TypicalTimes()
        self._path_times = TypicalTimes()
        self._in_flight = InFlightAttempts()
        self._load_by_id: dict[InstanceId, _Load] = {}
        self._checked_at_by_id: dict[ServiceId, float] = {}
        self._probed_at_by_id: dict[InstanceId, float] = {}

    def choose(self, admitted: AdmittedRequest, excluded: Set[InstanceId]) -> Choice | None:
        """Choose a server and count the attempt as in flight, or return None if there is none."""
        service = admitted.service
        ready = self._ready(service)
        self._check_overdue(service, ready, admitted.target_seconds)
        ejected = self._apply_floor(service, ready)
        available = [report for report in ready if report.instance not in excluded]
        if admitted.idempotent and not excluded:
            probe = self._due_probe(admitted, [one for one in ready if one.instance in ejected])
            if probe is not None:
                return self._in_flight.start(admitted, probe, self._clock.now(), probe=True)
        candidates = [report for report in available if report.instance not in ejected]
        if not candidates:
            return None
        sampled = random.sample(candidates, min(_CHOICES, len(candidates)))
        own = [one for one in candidates if one.instance == self._members.own.instance]
        # The own instance comes first, so that it wins when it is as good.
        best = min(own + sampled, key=self._cost)
        return self._in_flight.start(
            admitted,
            best,
            self._clock.now(),
            probe=False,
        )

    def record_outcome(self, admitted: AdmittedRequest, choice: Choice, outcome: Outcome) -> None:
        """Count the end of an attempt and what it says of the server and the path."""
        self._in_flight.end(choice)
        if isinstance(outcome, Answered):
            self._load_by_id[choice.instance] = _Load(outcome.load, self._clock.now())
        attempt = self._measure(admitted, choice, outcome)
        harms = [(Subject.SERVER, server_harm(outcome, attempt))]
        if choice.instance != self._members.own.instance:
            harms.append((Subject.PATH, path_harm(outcome, attempt)))
        ejection = self._detector.find_ejection(admitted.service, choice.instance)
        if ejection is not None:
            known = [harm for _, harm in harms if harm is not None]
            if choice.probe and known:
                self._detector.record_probe(ejection, max(known))
            return
        ratio = self._ratio(admitted.route, outcome)
        for subject, harm in harms:
            if harm is not None:
                self._record_harm(choice.report, subject, harm, ratio, admitted.target_seconds)

    def receive_hint(self, hint: OutlierHint) -> None:
        """Note that a peer ejected a server."""
        reports = self._members.live_servers_for(hint.service)
        if _is_among(reports, hint.instance):
            self._detector.record_hint(hint)

    def record_abandoned(self, choice: Choice) -> None:
        """Count the end of an attempt whose caller left; it says nothing of the server."""
        self._in_flight.end(choice)

    def dump(self) -> RoutingBelief:
        """Return what the router believes, for the state dump."""
        return RoutingBelief(
            now=self._clock.now(),
            ejections=tuple(
                ejection
                for service in sorted({report.service for report in self._members.reports()})
                for ejection in self._detector.ejections_of(service)
            ),
            servers=tuple(self._detector.dump_evidence()),
        )

    def _ready(self, service: ServiceId) -> list[ServerReport]:
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
        allowed = within_floor(ready, ejections, self._floor(service))
        for ejection in ejections:
            if ejection.instance not in allowed and _is_among(ready, ejection.instance):
                self._detector.reinstate(ejection, ReturnCause.FLOOR)
        return allowed

    def _floor(self, service: ServiceId) -> float:
        floor = self._floor_of(service)
        return _DEFAULT_FLOOR if floor is None else floor

    def _record_harm(
        self,
        report: ServerReport,
        subject: Subject,
        harm: float,
        ratio: float,
        target_seconds: float,
    ) -> None:
        wanted = self._detector.record_harm(
            report,
            subject,
            harm,
            ratio=ratio if subject is Subject.SERVER else 1,
            target_seconds=target_seconds,
        )
        if wanted is not None:
            self._eject_within_floor(wanted)

    def _eject_within_floor(self, wanted: Ejection) -> None:
        ready = self._ready(wanted.service)
        ejections = [*self._detector.ejections_of(wanted.service), wanted]
        if wanted.instance in within_floor(ready, ejections, self._floor(wanted.service)):
            self._detector.eject(wanted)
            self._send_hint(wanted)
            # A worse server may take the place of a less bad one.
            self._apply_floor(wanted.service, ready)

    def _send_hint(self, ejection: Ejection) -> None:
        if ejection.subject is Subject.PATH:
            return
        peers = [one for one in self._members.live_members() if one != self._members.own.instance]
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
        if now - self._checked_at_by_id.get(service, 0) < _OVERDUE_CHECK_SECONDS:
            return
        self._checked_at_by_id[service] = now
        in_use = [
            report
            for report in ready
            if self._detector.find_ejection(service, report.instance) is None
        ]
        harms_by_id = {
            report.instance: self._in_flight.overdue_harms(report.instance, self._times, now)
            for report in in_use
        }
        if any(harms_by_id.values()):
            for wanted in self._detector.record_overdue(in_use, harms_by_id, target_seconds):
                self._eject_within_floor(wanted)

    def _due_probe(
        self,
        admitted: AdmittedRequest,
        ejected: Sequence[ServerReport],
    ) -> ServerReport | None:
        now = self._clock.now()
        # At night, a share of the requests alone would leave a server out for hours.
        wait_seconds = self._settings.hold_targets * admitted.target_seconds
        for report in ejected:
            ejection = self._detector.find_ejection(admitted.service, report.instance)
            if ejection is None or now < ejection.until or self._in_flight.count(report.instance):
                continue
            waited = now - self._probed_at_by_id.get(report.instance, ejection.since)
            if waited > wait_seconds or random.random() < self._settings.probe_share:
                self._probed_at_by_id[report.instance] = now
                return report
        return None

    def _measure(
        self, admitted: AdmittedRequest, choice: Choice, outcome: Outcome
    ) -> AttemptTiming:
        service, route = admitted.service, admitted.route
        seconds = self._clock.now() - choice.started_at
        if isinstance(outcome, Answered):
            self._times.record(route, outcome.server_milliseconds / _MILLISECONDS)
            if choice.instance != self._members.own.instance:
                self._path_times.record(route, path_seconds(seconds, outcome))
        usual_ratio = self._detector.evidence(service, Subject.SERVER, choice.instance).usual_ratio
        return AttemptTiming(
            seconds=seconds,
            target_seconds=admitted.target_seconds,
            typical_seconds=self._times.seconds(route) * math.exp(usual_ratio),
            typical_path_seconds=self._path_times.seconds(route),
        )

    def _ratio(self, route: RouteId, outcome: Outcome) -> float:
        typical_seconds = self._times.seconds(route)
        if not isinstance(outcome, Answered) or not typical_seconds:
            return 1
        return max(outcome.server_milliseconds / _MILLISECONDS / typical_seconds, 1)

    def _cost(self, report: ServerReport) -> tuple[float, float]:
        in_flight = self._in_flight.count(report.instance)
        known = self._load_by_id.get(report.instance)
        is_fresh = known is not None and self._clock.now() - known.heard_at < _LOAD_SECONDS
        return in_flight / max(report.slots, 1), known.load if known and is_fresh else 0


def _is_among(reports: Sequence[ServerReport], instance: InstanceId) -> bool:
    return any(report.instance == instance for report in reports)
