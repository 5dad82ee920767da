"""Finds backend servers that do worse than the others of their service, and ejects them.

Each request adds to a cumulative sum of log-likelihood ratios: harm as of a healthy server
against harm as of a faulty one. For harm between 0 and 1 with a mean of at most the healthy
share, the sum passes the logarithm of N at most once in N requests on average, whatever the
distribution of the harm. The healthy share rises with the median harm of the other servers, so
load on all of them ejects none.
"""

import dataclasses
import math
import statistics
from collections.abc import Iterable, Sequence
from typing import TypeAlias

from loguru import logger

from turmericwharf.coordination.ports import Clock
from turmericwharf.state import (
    Ejection,
    Evidence,
    IncarnationId,
    InstanceId,
    OutlierHint,
    OutlierSettings,
    ReturnCause,
    ServerBelief,
    ServerReport,
    ServiceId,
    Subject,
)

# Odds of harm at a faulty server over those at a healthy one. The small one finds rare errors,
# the large one total failure; docs/decisions/outlier-detection.md has the figures.
_FAULTY_ODDS = (4.0, 30.0)
_HARM_WEIGHT = 0.1
_USUAL_WEIGHT = 0.01
_USUAL_LIMIT = math.log(2)
_OTHERS_FACTOR = 1.25
_MOST_TOLERATED = 0.9
# An ejected server must do clearly worse than the others, not only pass the test.
_CLEARLY_WORSE_FACTOR = 2.0
_CLEARLY_WORSE_HARM = 0.04
# Harm of unanswered requests counts from here on, so that young requests prove nothing.
_OVERDUE_HARM = 0.1
_MOST_DOUBLINGS = 16
_UNDETECTED_SHARE = 0.05
_LEAST_PROBED_HARM = 0.1

_GroupKey: TypeAlias = tuple[ServiceId, Subject]
_EjectionKey: TypeAlias = tuple[ServiceId, InstanceId]

_NO_EVIDENCE = Evidence(scores=tuple(0 for _ in _FAULTY_ODDS))


@dataclasses.dataclass(frozen=True, slots=True)
class _Hint:
    """A peer ejected this incarnation of a server."""

    incarnation: IncarnationId
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Strikes:
    """Ejections of one server in short succession, and when the last one ended."""

    count: int
    returned_at: float
    hold_seconds: float


def observe(evidence: Evidence, harm: float, healthy_share: float) -> Evidence:
    """Return the evidence after one more request."""
    scores = tuple(
        max(score + _log_ratio(harm, healthy_share, odds), 0)
        for score, odds in zip(evidence.scores, _FAULTY_ODDS, strict=True)
    )
    is_suspect = any(scores)
    return dataclasses.replace(
        evidence,
        scores=scores,
        run_harm=evidence.run_harm + harm if is_suspect else 0,
        run_requests=evidence.run_requests + 1 if is_suspect else 0,
        recent_harm=evidence.recent_harm + _HARM_WEIGHT * (harm - evidence.recent_harm),
        requests=evidence.requests + 1,
    )


def observe_latency_ratio(evidence: Evidence, ratio: float) -> Evidence:
    """Return the evidence after a time that was `ratio` times the typical one."""
    logarithm = min(max(math.log(ratio), 0), _USUAL_LIMIT)
    step = _USUAL_WEIGHT * (logarithm - evidence.usual_ratio)
    return dataclasses.replace(evidence, usual_ratio=evidence.usual_ratio + step)


def within_floor(
    ready: Sequence[ServerReport],
    ejections: Iterable[Ejection],
    floor_fraction: float,
) -> frozenset[InstanceId]:
    """Return the ejected instances that the floor allows, the worst ones first.

    Parameters
    ----------
    ready
        Servers that are warm and not draining, in the own view.
    ejections
        Wanted ejections.
    floor_fraction
        Share of the ready slots that must stay in use.
    """
    slots_by_id = {report.instance: report.slots for report in ready}
    capacity = sum(slots_by_id.values())
    spare = capacity - capacity * floor_fraction
    allowed: set[InstanceId] = set()
    relevant = [ejection for ejection in ejections if ejection.instance in slots_by_id]
    for ejection in sorted(relevant, key=_badness, reverse=True):
        slots = slots_by_id[ejection.instance]
        # One server stays even without a floor, since an empty set serves nobody.
        if slots <= spare and len(allowed) + 1 < len(slots_by_id):
            spare -= slots
            allowed.add(ejection.instance)
    return frozenset(allowed)


class OutlierDetector:
    """Owner of one node's evidence and ejections.

    Parameters
    ----------
    settings
        Bounds of the detection.
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
        self._strikes: dict[_EjectionKey, _Strikes] = {}

    def evidence(self, service: ServiceId, subject: Subject, instance: InstanceId) -> Evidence:
        """Return what is known about one subject."""
        group = self._evidence_by_group.get((service, subject), {})
        return group.get(instance, _NO_EVIDENCE)

    def find_ejection(self, service: ServiceId, instance: InstanceId) -> Ejection | None:
        """Return the ejection of a server, or None."""
        return self._ejections.get((service, instance))

    def ejections_of(self, service: ServiceId) -> list[Ejection]:
        """Return the ejections of a service's servers."""
        return [one for one in self._ejections.values() if one.service == service]

    def dump_evidence(self) -> list[ServerBelief]:
        """Return all evidence, for the state dump."""
        return [
            ServerBelief(service, instance, subject, evidence)
            for (service, subject), group in self._evidence_by_group.items()
            for instance, evidence in group.items()
        ]

    def record_harm(
        self,
        report: ServerReport,
        subject: Subject,
        harm: float,
        *,
        ratio: float = 1.0,
        target_seconds: float,
    ) -> Ejection | None:
        """Add one request to the evidence; return an ejection that it calls for."""
        group = self._evidence_by_group.setdefault((report.service, subject), {})
        known = group.get(report.instance, _NO_EVIDENCE)
        others = _others_harm(group, report.instance)
        evidence = observe_latency_ratio(observe(known, harm, self._healthy_share(others)), ratio)
        group[report.instance] = evidence
        return self._judge(report, subject, evidence, others, target_seconds)

    def record_overdue(
        self,
        reports: Sequence[ServerReport],
        harms_by_id: dict[InstanceId, list[float]],
        target_seconds: float,
    ) -> list[Ejection]:
        """Return the ejections that unanswered requests call for, without keeping the evidence."""
        group = {
            report.instance: self._with_overdue(report, harms_by_id.get(report.instance, []))
            for report in reports
        }
        wanted = []
        for report in reports:
            if harms_by_id.get(report.instance):
                others = _others_harm(group, report.instance)
                evidence = group[report.instance]
                wanted.append(
                    self._judge(report, Subject.UNANSWERED, evidence, others, target_seconds),
                )
        return [ejection for ejection in wanted if ejection is not None]

    def record_hint(self, hint: OutlierHint) -> None:
        """Ask for less evidence against a server that a peer has ejected."""
        expires_at = self._clock.now() + self._settings.most_hold_seconds
        self._hints[hint.service, hint.instance] = _Hint(hint.incarnation, expires_at)

    def eject(self, ejection: Ejection) -> None:
        """Keep a server out of the choice until its hold has passed and its probes pass."""
        key = (ejection.service, ejection.instance)
        self._ejections[key] = ejection
        _log(ejection, 'server_ejected', hold_seconds=ejection.until - ejection.since)

    def record_probe(self, ejection: Ejection, harm: float) -> None:
        """Count a probe; a bad one starts another hold, enough good ones return the server."""
        others = ejection.others_harm
        if harm > max(_OVERDUE_HARM, others):
            now = self._clock.now()
            doubled = (ejection.until - ejection.since) * 2
            again = dataclasses.replace(
                ejection,
                strikes=ejection.strikes + 1,
                until=now + min(doubled, self._settings.most_hold_seconds),
                since=now,
                harm=max(harm, ejection.harm),
                passed=0,
            )
            self.eject(again)
            return
        passed = dataclasses.replace(ejection, passed=ejection.passed + 1)
        self._ejections[ejection.service, ejection.instance] = passed
        if passed.passed >= _probes_needed(ejection.harm):
            self.reinstate(passed, ReturnCause.PROBES_PASSED)

    def reinstate(self, ejection: Ejection, cause: ReturnCause) -> None:
        """Use a server again, with no evidence against it."""
        key = (ejection.service, ejection.instance)
        self._ejections.pop(key, None)
        hold_seconds = ejection.until - ejection.since
        self._strikes[key] = _Strikes(ejection.strikes, self._clock.now(), hold_seconds)
        for subject in Subject:
            group = self._evidence_by_group.get((ejection.service, subject), {})
            known = group.pop(ejection.instance, _NO_EVIDENCE)
            group[ejection.instance] = dataclasses.replace(
                _NO_EVIDENCE, usual_ratio=known.usual_ratio
            )
        _log(ejection, 'server_returned', cause=cause.value)

    def prune(self, service: ServiceId, reports: Sequence[ServerReport]) -> None:
        """Forget what is known of servers that left or were replaced."""
        incarnations_by_id = {report.instance: report.incarnation for report in reports}
        for ejection in self.ejections_of(service):
            if incarnations_by_id.get(ejection.instance) != ejection.incarnation:
                self.reinstate(ejection, ReturnCause.SERVER_REPLACED)
                self._strikes.pop((service, ejection.instance), None)
        for subject in Subject:
            group = self._evidence_by_group.get((service, subject), {})
            for gone in group.keys() - incarnations_by_id.keys():
                group.pop(gone)
                self._strikes.pop((service, gone), None)
                self._hints.pop((service, gone), None)

    def _healthy_share(self, others: float) -> float:
        return min(self._settings.tolerated_harm + _OTHERS_FACTOR * others, _MOST_TOLERATED)

    def _with_overdue(self, report: ServerReport, harms: list[float]) -> Evidence:
        evidence = self.evidence(report.service, Subject.SERVER, report.instance)
        for harm in harms:
            evidence = observe(evidence, harm, self._settings.tolerated_harm)
        return evidence

    def _judge(
        self,
        report: ServerReport,
        subject: Subject,
        evidence: Evidence,
        others: float,
        target_seconds: float,
    ) -> Ejection | None:
        clearly_worse = _CLEARLY_WORSE_FACTOR * others + _CLEARLY_WORSE_HARM
        if (
            max(evidence.scores) < self._needed(report, subject)
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
            until=now + self._hold(strikes, target_seconds),
            harm=evidence.run_harm / evidence.run_requests,
            others_harm=others,
            requests=evidence.requests,
            strikes=strikes + 1,
        )

    def _needed(self, report: ServerReport, subject: Subject) -> float:
        hint = self._hints.get((report.service, report.instance))
        if hint is None or subject is Subject.PATH or hint.incarnation != report.incarnation:
            return self._threshold
        if hint.expires_at < self._clock.now():
            return self._threshold
        return self._hinted_threshold

    def _strikes_before(self, report: ServerReport, now: float) -> int:
        strikes = self._strikes.get((report.service, report.instance))
        if strikes is None:
            return 0
        # One strike is forgiven for each hold time that passed without an ejection.
        forgiven = int((now - strikes.returned_at) / strikes.hold_seconds)
        return max(strikes.count - forgiven, 0)

    def _hold(self, strikes: int, target_seconds: float) -> float:
        first = max(
            self._settings.hold_targets * target_seconds,
            self._settings.least_hold_seconds,
        )
        doubled = math.ldexp(first, min(strikes, _MOST_DOUBLINGS))
        return min(doubled, self._settings.most_hold_seconds)


def _log_ratio(harm: float, healthy_share: float, odds: float) -> float:
    faulty_share = odds * healthy_share / (1 + (odds - 1) * healthy_share)
    harmed = math.log(faulty_share / healthy_share)
    unharmed = math.log((1 - faulty_share) / (1 - healthy_share))
    return harm * harmed + (1 - harm) * unharmed


def _probes_needed(harm: float) -> int:
    # With fewer probes, a server with the same harm as before passes in one of 20 trials.
    return math.ceil(-math.log(_UNDETECTED_SHARE) / max(harm, _LEAST_PROBED_HARM))


def _others_harm(group: dict[InstanceId, Evidence], instance: InstanceId) -> float:
    harms = [evidence.recent_harm for other, evidence in group.items() if other != instance]
    return statistics.median(harms) if harms else 0


def _badness(ejection: Ejection) -> tuple[float, InstanceId]:
    return ejection.harm, ejection.instance


def _log(ejection: Ejection, event: str, **figures: object) -> None:
    logger.bind(
        service=ejection.service,
        instance=ejection.instance,
        subject=ejection.subject.value,
        harm=round(ejection.harm, 3),
        others_harm=round(ejection.others_harm, 3),
        requests=ejection.requests,
        strikes=ejection.strikes,
        **figures,
    ).info(event)
