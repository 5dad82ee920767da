"""Tokens that an entry node may spend without a question, and reports about those it did."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import replace

from turmericwharf.coordination.ports import Clock
from turmericwharf.state import HeldSlice, InstanceId, OrganisationId, SliceReport


class HeldSlices:
    """Slices of all organisations at one entry node.

    Parameters
    ----------
    clock
        Clock that counts suspension, so that a paused node finds its slices ended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._slices_by_id: dict[OrganisationId, tuple[HeldSlice, ...]] = {}
        self._reports: defaultdict[
            tuple[InstanceId, OrganisationId],
            tuple[SliceReport, ...],
        ] = defaultdict(tuple)

    def add(self, organisation: OrganisationId, held: HeldSlice) -> None:
        """Hold one more slice."""
        self._slices_by_id[organisation] = (*self._slices_by_id.get(organisation, ()), held)

    def try_spend(self, organisation: OrganisationId) -> bool:
        """Spend one token; return whether there was one."""
        current = self._current(organisation)
        if not current:
            return False
        used = replace(current[0], tokens=current[0].tokens - 1)
        self._slices_by_id[organisation] = (used, *current[1:])
        return True

    def count(self, organisation: OrganisationId, at: float) -> int:
        """Return the number of tokens that may still be spent at a moment."""
        return sum(held.tokens for held in self._current(organisation) if held.ends_at > at)

    def pop_reports(
        self,
        holder: InstanceId,
        organisation: OrganisationId,
    ) -> tuple[SliceReport, ...]:
        """Return the reports for a holder; they are not returned again."""
        self._current(organisation)
        return self._reports.pop((holder, organisation), ())

    def pop_all_reports(
        self,
    ) -> Iterator[tuple[tuple[InstanceId, OrganisationId], tuple[SliceReport, ...]]]:
        """Yield all reports; they are not returned again."""
        for organisation in tuple(self._slices_by_id):
            self._current(organisation)
        reports = dict(self._reports)
        self._reports.clear()
        yield from reports.items()

    def _current(self, organisation: OrganisationId) -> tuple[HeldSlice, ...]:
        now = self._clock.now()
        held = self._slices_by_id.pop(organisation, ())
        current = tuple(one for one in held if one.tokens and one.ends_at > now)
        for ended in held:
            if ended not in current:
                report = SliceReport(ended.slice_id, ended.tokens)
                self._reports[ended.holder, organisation] += (report,)
        if current:
            self._slices_by_id[organisation] = current
        return current
