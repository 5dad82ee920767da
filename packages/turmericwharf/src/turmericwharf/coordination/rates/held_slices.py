"""Slices of tokens that an entry node may spend without a request, and reports of their use."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import replace

from turmericwharf.coordination.clock import Clock
from turmericwharf.state import HeldSlice, InstanceId, OrganisationId, SliceReport


class HeldSlices:
    """Token slices of all organisations at one entry node.

    Parameters
    ----------
    clock
        Clock that includes suspended time, so that slices expire while the node is paused.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._slices_by_organisation: dict[OrganisationId, tuple[HeldSlice, ...]] = {}
        self._reports: defaultdict[
            tuple[InstanceId, OrganisationId],
            tuple[SliceReport, ...],
        ] = defaultdict(tuple)

    def add(self, organisation: OrganisationId, held: HeldSlice) -> None:
        self._slices_by_organisation[organisation] = (
            *self._slices_by_organisation.get(organisation, ()),
            held,
        )

    def try_spend(self, organisation: OrganisationId) -> bool:
        """Spend one token; return whether one was available."""
        current = self._prune(organisation)
        if not current:
            return False
        remainder = replace(current[0], tokens=current[0].tokens - 1)
        self._slices_by_organisation[organisation] = (remainder, *current[1:])
        return True

    def count(self, organisation: OrganisationId, at: float) -> int:
        """Return the number of tokens in slices that have not expired at the given time."""
        return sum(held.tokens for held in self._prune(organisation) if held.ends_at > at)

    def pop_reports(
        self,
        holder: InstanceId,
        organisation: OrganisationId,
    ) -> tuple[SliceReport, ...]:
        """Remove and return the reports for a holder."""
        self._prune(organisation)
        return self._reports.pop((holder, organisation), ())

    def pop_all_reports(
        self,
    ) -> Iterator[tuple[tuple[InstanceId, OrganisationId], tuple[SliceReport, ...]]]:
        """Remove all reports and yield them by holder and organisation."""
        for organisation in tuple(self._slices_by_organisation):
            self._prune(organisation)
        reports = dict(self._reports)
        self._reports.clear()
        yield from reports.items()

    def _prune(self, organisation: OrganisationId) -> tuple[HeldSlice, ...]:
        now = self._clock.now()
        held = self._slices_by_organisation.pop(organisation, ())
        current = tuple(each for each in held if each.tokens and each.ends_at > now)
        for ended in held:
            if ended not in current:
                report = SliceReport(ended.slice_id, ended.tokens)
                self._reports[ended.holder, organisation] += (report,)
        if current:
            self._slices_by_organisation[organisation] = current
        return current
