"""Highest era of the store that a node knows.

The store may come back from a copy that is some seconds old. It then has lost records that it had
acknowledged, and assigns their offsets again. Each time, its era rises by one.
"""

from collections.abc import Callable
import dataclasses

from loguru import logger

from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.state_dump import describe
from turmericwharf.state.sidecar import MAX_ERA, StoreEraDump


class StoreEra:
    """Raises the era that the local entry names, from which the other parts and nodes learn it.

    The change of the local entry has two effects: the publisher writes the entry to the store
    again, and the replies that wait for a change of the directory are sent.

    Parameters
    ----------
    directory
        Holds the local entry.
    """

    def __init__(self, directory: NodeDirectory) -> None:
        self._directory = directory
        self._callbacks: list[Callable[[], None]] = []
        self._rises_total = 0

    @property
    def current(self) -> int:
        """Highest known era; 0 if the store has no eras."""
        return self._directory.local.era

    @property
    def rises_total(self) -> int:
        """How often this process has learned of a higher era."""
        return self._rises_total

    def subscribe(self, on_rise: Callable[[], None]) -> None:
        """Call a function whenever a higher era becomes known."""
        self._callbacks.append(on_rise)

    def record(self, era: int, *, source: str) -> None:
        """Record an era that the store or another node reported.

        The era never goes back: an answer with a lower one was sent before the store came back, or
        by a node that does not know of it yet.
        """
        if not self.current < era <= MAX_ERA:
            return
        local = self._directory.local
        logger.bind(era=era, previous=local.era, source=source).warning('store_era_raised')
        self._rises_total += 1
        self._directory.local = dataclasses.replace(local, era=era, revision=local.revision + 1)
        for on_rise in self._callbacks:
            on_rise()


@describe.register
def _(part: StoreEra) -> StoreEraDump:
    return StoreEraDump(current=part.current, rises_total=part.rises_total)
