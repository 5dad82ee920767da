"""Detection and ejection of backend servers that perform worse than others of their service.

The detector is a sequential test (CUSUM). Each request adds the log-likelihood ratio of its harm
under a faulty server against a healthy server to a cumulative sum. For harm between 0 and 1 with
a mean of at most the healthy mean harm, the sum exceeds log(N) at most once in N requests on
average, whatever the distribution of the harm. N is the setting `requests_between_false_ejections`,
or `hinted_requests_between_false_ejections` for a server that a peer has ejected. The healthy mean
harm is the largest mean harm that still counts as healthy. It rises with the median harm of the
other servers, so that load on all servers of a service ejects none of them.
"""

import dataclasses
import math
import statistics
from collections.abc import Iterable, Sequence
from typing import TypeAlias

from loguru import logger

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import (
    Ejection,
    Evidence,
    IncarnationId,
    InstanceId,
    OutlierHint,
    OutlierSettings,
    ReinstatementCause,
    ServerEvidence,
    ServerReport,
    ServiceId,
    EvidenceSubject,
)

# Ratio of the odds of harm at a faulty server to those at a healthy server, one for each test. The
# small ratio detects rare errors, the large one total failure; see
# docs/decisions/outlier-detection.md for the measurements.
_ODDS_RATIOS = (4.0, 30.0)
# Weight of the newest request in the moving averages of the harm and of the latency ratio.
_RECENT_HARM_WEIGHT = 0.1
_LOG_LATENCY_RATIO_WEIGHT = 0.01
# Limits the expected time of a server to twice the median time of the route.
_MAX_LOG_LATENCY_RATIO = math.log(2)
# The healthy mean harm is the tolerated harm plus this multiple of the median harm of the others.
_OTHERS_HARM_FACTOR = 1.25
# Keeps the healthy mean harm below 1, where the likelihood ratio is undefined.
_MAX_HEALTHY_MEAN_HARM = 0.9
# A server is ejected only if, in addition to the test, its recent harm reaches the median harm of
# the others times this factor, plus this constant.
_CLEARLY_WORSE_FACTOR = 2.0
_CLEARLY_WORSE_HARM = 0.04
# A probe fails if its harm exceeds this and the harm of the others. Unanswered requests have the
# same minimum in `in_flight`, so that recently sent requests are no evidence.
_PROBE_FAILURE_HARM = 0.1
_MAX_EJECTION_TIME_DOUBLINGS = 16
# Maximum probability that a server passes all probes with unchanged harm of at least
# `_MIN_PROBED_HARM`.
_FALSE_PASS_PROBABILITY = 0.05
# Limits the number of probes that are needed after an ejection for less harm than this.
_MIN_PROBED_HARM = 0.1

_GroupKey: TypeAlias = tuple[ServiceId, EvidenceSubject]
_EjectionKey: TypeAlias = tuple[ServiceId, InstanceId]

_NO_EVIDENCE = Evidence(scores=tuple(0 for _ in _ODDS_RATIOS))


@dataclasses.dataclass(frozen=True, slots=True)
class _Hint:
    """Ejection of one incarnation of a server by a peer."""

    incarnation: IncarnationId
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _EjectionHistory:
    """Number of ejections of one server in short succession, and end and duration of the last."""

    count: int
    reinstated_at: float
    ejection_seconds: float


def add_harm(evidence: Evidence, harm: float, healthy_mean_harm: float) -> Evidence:
    """Return the evidence updated with the harm of one request."""
    scores = tuple(
        max(score + _log_likelihood_ratio(harm, healthy_mean_harm, odds_ratio), 0)
        for score, odds_ratio in zip(evidence.scores, _ODDS_RATIOS, strict=True)
    )
    is_suspect = any(scores)
    return dataclasses.replace(
        evidence,
        scores=scores,
        run_harm=evidence.run_harm + harm if is_suspect else 0,
        run_requests=evidence.run_requests + 1 if is_suspect else 0,
        recent_harm=evidence.recent_harm + _RECENT_HARM_WEIGHT * (harm - evidence.recent_harm),
        requests=evidence.requests + 1,
    )


def add_latency_ratio(evidence: Evidence, ratio: float) -> Evidence:
    """Return the evidence updated with a latency of `ratio` times the median of the route."""
    logarithm = min(max(math.log(ratio), 0), _MAX_LOG_LATENCY_RATIO)
    step = _LOG_LATENCY_RATIO_WEIGHT * (logarithm - evidence.usual_ratio)
    return dataclasses.replace(evidence, usual_ratio=evidence.usual_ratio + step)


def within_floor(
    ready: Sequence[ServerReport],
    ejections: Iterable[Ejection],
    floor_fraction: float,
) -> frozenset[InstanceId]:
    """Return the instances that may be ejected without violating the floor.

    Servers with more harm take precedence.

    Parameters
    ----------
    ready
        Servers that are warm and not draining, in the view of this node.
    ejections
        Current and proposed ejections.
    floor_fraction
        Fraction of the ready slots that must stay in use.
    """
    slots_by_instance = {report.instance: report.slots for report in ready}
    capacity = sum(slots_by_instance.values())
    spare = capacity - capacity * floor_fraction
    allowed: set[InstanceId] = set()
    relevant = [ejection for ejection in ejections if ejection.instance in slots_by_instance]
    for ejection in sorted(relevant, key=_severity, reverse=True):
        slots = slots_by_instance[ejection.instance]
        # One server stays in use even if the floor is zero; otherwise no request could be served.
        if slots <= spare and len(allowed) + 1 < len(slots_by_instance):
            spare -= slots
            allowed.add(ejection.instance)
    return frozenset(allowed)


class OutlierDetector:
    """Keeps the evidence about backend servers and the ejections of one node.

    Parameters
    ----------
    settings
        Settings of outlier detection.
    clock
        Clock of the node.
    """

    def __init__(self, settings: OutlierSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._threshold = math.log(settings.requests_between_false_ejections)
        self._hinted_threshold = math.log(settings.hinted_requests_between_false_ejections)
        self._hints: dict[_EjectionKey, _Hint] = {}
        self._evidence_by_group: dict[_GroupKey, dict[InstanceId, Evidence]] = {}
        self._ejections: dict[_EjectionKey, Ejection] = {}
        self._history_by_server: dict[_EjectionKey, _EjectionHistory] = {}

    def evidence(
        self, service: ServiceId, subject: EvidenceSubject, instance: InstanceId
    ) -> Evidence:
        """Return the evidence about one subject at one instance."""
        group = self._evidence_by_group.get((service, subject), {})
        return group.get(instance, _NO_EVIDENCE)

    def find_ejection(self, service: ServiceId, instance: InstanceId) -> Ejection | None:
        """Return the ejection of a server, or None if it is not ejected."""
        return self._ejections.get((service, instance))

    def ejections_of(self, service: ServiceId) -> list[Ejection]:
        """Return the current ejections of a service."""
        return [ejection for ejection in self._ejections.values() if ejection.service == service]

    def dump_evidence(self) -> list[ServerEvidence]:
        """Return the evidence about all servers, for the state dump."""
        return [
            ServerEvidence(service, instance, subject, evidence)
            for (service, subject), group in self._evidence_by_group.items()
            for instance, evidence in group.items()
        ]

    def record_harm(
        self,
        report: ServerReport,
        subject: EvidenceSubject,
        harm: float,
        *,
        ratio: float = 1.0,
        target_seconds: float,
    ) -> Ejection | None:
        """Add the harm of one request to the evidence; return the ejection it justifies, if any."""
        group = self._evidence_by_group.setdefault((report.service, subject), {})
        previous = group.get(report.instance, _NO_EVIDENCE)
        others_harm = _median_harm_of_others(group, report.instance)
        evidence = add_latency_ratio(
            add_harm(previous, harm, self._healthy_mean_harm(others_harm)), ratio
        )
        group[report.instance] = evidence
        return self._propose_ejection(report, subject, evidence, others_harm, target_seconds)

    def propose_overdue_ejections(
        self,
        reports: Sequence[ServerReport],
        harms_by_instance: dict[InstanceId, list[float]],
        target_seconds: float,
    ) -> list[Ejection]:
        """Return the ejections that unanswered requests justify; stores no evidence."""
        group = {
            report.instance: self._evidence_with_overdue(
                report, harms_by_instance.get(report.instance, [])
            )
            for report in reports
        }
        proposed = []
        for report in reports:
            if harms_by_instance.get(report.instance):
                others_harm = _median_harm_of_others(group, report.instance)
                evidence = group[report.instance]
                proposed.append(
                    self._propose_ejection(
                        report, EvidenceSubject.UNANSWERED, evidence, others_harm, target_seconds
                    ),
                )
        return [ejection for ejection in proposed if ejection is not None]

    def record_hint(self, hint: OutlierHint) -> None:
        """Lower the threshold for ejecting a server that a peer has ejected."""
        expires_at = self._clock.now() + self._settings.most_hold_seconds
        self._hints[hint.service, hint.instance] = _Hint(hint.incarnation, expires_at)

    def eject(self, ejection: Ejection) -> None:
        """Exclude a server from selection until its ejection time has passed and probes succeed."""
        key = (ejection.service, ejection.instance)
        self._ejections[key] = ejection
        _log_ejection(ejection, 'server_ejected', hold_seconds=ejection.until - ejection.since)

    def record_probe(self, ejection: Ejection, harm: float) -> None:
        """Record a probe: a failure doubles the ejection time, enough successes reinstate."""
        others_harm = ejection.others_harm
        if harm > max(_PROBE_FAILURE_HARM, others_harm):
            now = self._clock.now()
            doubled_seconds = (ejection.until - ejection.since) * 2
            extended = dataclasses.replace(
                ejection,
                strikes=ejection.strikes + 1,
                until=now + min(doubled_seconds, self._settings.most_hold_seconds),
                since=now,
                harm=max(harm, ejection.harm),
                passed=0,
            )
            self.eject(extended)
            return
        updated = dataclasses.replace(ejection, passed=ejection.passed + 1)
        self._ejections[ejection.service, ejection.instance] = updated
        if updated.passed >= _probes_needed(ejection.harm):
            self.reinstate(updated, ReinstatementCause.PROBES_PASSED)

    def reinstate(self, ejection: Ejection, cause: ReinstatementCause) -> None:
        """Return a server to selection and reset the evidence about it."""
        key = (ejection.service, ejection.instance)
        self._ejections.pop(key, None)
        ejection_seconds = ejection.until - ejection.since
        self._history_by_server[key] = _EjectionHistory(
            ejection.strikes, self._clock.now(), ejection_seconds
        )
        for subject in EvidenceSubject:
            group = self._evidence_by_group.get((ejection.service, subject), {})
            previous = group.pop(ejection.instance, _NO_EVIDENCE)
            group[ejection.instance] = dataclasses.replace(
                _NO_EVIDENCE, usual_ratio=previous.usual_ratio
            )
        _log_ejection(ejection, 'server_returned', cause=cause.value)

    def prune(self, service: ServiceId, reports: Sequence[ServerReport]) -> None:
        """Drop evidence and ejections of servers that have left or been replaced."""
        incarnations_by_instance = {report.instance: report.incarnation for report in reports}
        for ejection in self.ejections_of(service):
            if incarnations_by_instance.get(ejection.instance) != ejection.incarnation:
                self.reinstate(ejection, ReinstatementCause.SERVER_REPLACED)
                self._history_by_server.pop((service, ejection.instance), None)
        for subject in EvidenceSubject:
            group = self._evidence_by_group.get((service, subject), {})
            for departed in group.keys() - incarnations_by_instance.keys():
                group.pop(departed)
                self._history_by_server.pop((service, departed), None)
                self._hints.pop((service, departed), None)

    def _healthy_mean_harm(self, others_harm: float) -> float:
        return min(
            self._settings.tolerated_harm + _OTHERS_HARM_FACTOR * others_harm,
            _MAX_HEALTHY_MEAN_HARM,
        )

    def _evidence_with_overdue(self, report: ServerReport, harms: list[float]) -> Evidence:
        evidence = self.evidence(report.service, EvidenceSubject.SERVER, report.instance)
        for harm in harms:
            evidence = add_harm(evidence, harm, self._settings.tolerated_harm)
        return evidence

    def _propose_ejection(
        self,
        report: ServerReport,
        subject: EvidenceSubject,
        evidence: Evidence,
        others_harm: float,
        target_seconds: float,
    ) -> Ejection | None:
        clearly_worse = _CLEARLY_WORSE_FACTOR * others_harm + _CLEARLY_WORSE_HARM
        if (
            max(evidence.scores) < self._required_score(report, subject)
            or evidence.recent_harm < clearly_worse
        ):
            return None
        now = self._clock.now()
        strikes = self._strikes_before(report, now)
        return Ejection(
            instance=report.instance,
            incarnation=report.incarnation,
            service=report.service,
            subject=subject,
            since=now,
            until=now + self._ejection_seconds(strikes, target_seconds),
            harm=evidence.run_harm / evidence.run_requests,
            others_harm=others_harm,
            requests=evidence.requests,
            strikes=strikes + 1,
        )

    def _required_score(self, report: ServerReport, subject: EvidenceSubject) -> float:
        hint = self._hints.get((report.service, report.instance))
        if (
            hint is None
            or subject is EvidenceSubject.PATH
            or hint.incarnation != report.incarnation
        ):
            return self._threshold
        if hint.expires_at < self._clock.now():
            return self._threshold
        return self._hinted_threshold

    def _strikes_before(self, report: ServerReport, now: float) -> int:
        history = self._history_by_server.get((report.service, report.instance))
        if history is None:
            return 0
        # One ejection expires for each ejection time that passes without a new one.
        expired = int((now - history.reinstated_at) / history.ejection_seconds)
        return max(history.count - expired, 0)

    def _ejection_seconds(self, strikes: int, target_seconds: float) -> float:
        first_seconds = max(
            self._settings.hold_targets * target_seconds,
            self._settings.least_hold_seconds,
        )
        doubled_seconds = math.ldexp(first_seconds, min(strikes, _MAX_EJECTION_TIME_DOUBLINGS))
        return min(doubled_seconds, self._settings.most_hold_seconds)


def _log_likelihood_ratio(harm: float, healthy_mean_harm: float, odds_ratio: float) -> float:
    faulty_mean_harm = odds_ratio * healthy_mean_harm / (1 + (odds_ratio - 1) * healthy_mean_harm)
    harmed = math.log(faulty_mean_harm / healthy_mean_harm)
    unharmed = math.log((1 - faulty_mean_harm) / (1 - healthy_mean_harm))
    return harm * harmed + (1 - harm) * unharmed


def _probes_needed(harm: float) -> int:
    # With fewer probes, a server with unchanged harm would pass in more than one of 20 trials.
    return math.ceil(-math.log(_FALSE_PASS_PROBABILITY) / max(harm, _MIN_PROBED_HARM))


def _median_harm_of_others(group: dict[InstanceId, Evidence], instance: InstanceId) -> float:
    harms = [evidence.recent_harm for other, evidence in group.items() if other != instance]
    return statistics.median(harms) if harms else 0


def _severity(ejection: Ejection) -> tuple[float, InstanceId]:
    return ejection.harm, ejection.instance


def _log_ejection(ejection: Ejection, event: str, **fields: object) -> None:
    logger.bind(
        service=ejection.service,
        instance=ejection.instance,
        subject=ejection.subject.value,
        harm=round(ejection.harm, 3),
        others_harm=round(ejection.others_harm, 3),
        requests=ejection.requests,
        strikes=ejection.strikes,
        **fields,
    ).info(event)
