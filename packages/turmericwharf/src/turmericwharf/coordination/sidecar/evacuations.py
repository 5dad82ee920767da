"""Data centres that the operators have evacuated.

Load pattern: an operator empties a data centre within seconds, while nodes restart and the store
fails or comes back from an older copy. A node that forgets the evacuation would send requests
there, so an evacuation is only revoked by a newer record, or by its absence from a complete page
that must have it.
"""

import asyncio
from collections.abc import Iterable

from loguru import logger

from turmericwharf.coordination.state_dump import describe
from turmericwharf.state import DataCentreId
from turmericwharf.state.sidecar import (
    ConfigurationReply,
    Evacuation,
    EvacuationsDump,
    KeyedPage,
    KeyedRecord,
)


class Evacuations:
    """Keeps the newest evacuation or revocation of each data centre, by position in the store.

    Revocations are kept as well, so that an older evacuation from another node changes nothing.

    Records are ordered by the era of the page in which they were read, and by their offset.
    """

    def __init__(self) -> None:
        self._evacuations_by_data_centre: dict[DataCentreId, Evacuation] = {}
        self._changed = asyncio.Event()
        self._is_known = False

    @property
    def all(self) -> tuple[Evacuation, ...]:
        """Evacuations and revocations that are known."""
        return tuple(self._evacuations_by_data_centre.values())

    @property
    def is_known(self) -> bool:
        """Whether this process knows the evacuations as well as the rest of the fleet.

        A process that does not know them must not assure another one that there are none.
        """
        return self._is_known

    def covers(self, data_centre: DataCentreId) -> bool:
        """Return whether a data centre is evacuated."""
        evacuation = self._evacuations_by_data_centre.get(data_centre)
        return evacuation is not None and evacuation.is_active

    def record_known(self) -> None:
        """Record that the store was read, and other nodes asked if it may have lost any."""
        self._is_known = True

    def apply_page(self, page: KeyedPage) -> None:
        """Apply the records of a page of the store."""
        for data_centre, record in page.evacuations_by_data_centre.items():
            if record.encoded or not page.is_complete:
                self._apply(_from_record(data_centre, record, page.era), source='store')
        if page.is_complete:
            self._revoke_missing(page)

    def apply_reply(self, reply: ConfigurationReply, *, source: str) -> None:
        """Apply the evacuations that another node reported."""
        self.merge(reply.evacuations, source=source)
        # A build that does not know of evacuations must not keep this process from getting ready.
        self._is_known = self._is_known or reply.knows_evacuations is not False

    def merge(self, evacuations: Iterable[Evacuation], *, source: str) -> None:
        """Apply those of the evacuations of another node that are newer."""
        for evacuation in evacuations:
            self._apply(evacuation, source=source)

    def newer_than(self, known: tuple[Evacuation, ...] | None) -> tuple[Evacuation, ...]:
        """Return the evacuations that a node lacks, or knows by an older record."""
        if known is None:
            return ()
        positions = {evacuation.data_centre: evacuation.position for evacuation in known}
        return tuple(
            evacuation
            for evacuation in self.all
            if evacuation.data_centre not in positions
            or evacuation.position > positions[evacuation.data_centre]
        )

    async def wait_for_newer(self, known: tuple[Evacuation, ...] | None) -> None:
        """Wait for an evacuation or revocation that a node lacks."""
        while not self.newer_than(known):
            await self._changed.wait()

    def _apply(self, evacuation: Evacuation, *, source: str) -> None:
        known = self._evacuations_by_data_centre.get(evacuation.data_centre)
        if known is not None and evacuation.position <= known.position:
            return
        self._evacuations_by_data_centre[evacuation.data_centre] = evacuation
        if evacuation.is_active != (known is not None and known.is_active):
            logger.bind(
                data_centre=evacuation.data_centre,
                source=source,
                offset=evacuation.offset,
                era=evacuation.era,
            ).info('data_centre_evacuated' if evacuation.is_active else 'evacuation_revoked')
        self._changed.set()
        self._changed = asyncio.Event()

    def _revoke_missing(self, page: KeyedPage) -> None:
        """Revoke the evacuations that the store had and does not have any more.

        In another era, or before the end of the store, the record may have been lost instead.
        """
        for evacuation in self.all:
            if not evacuation.is_active or _has_evacuation(page, evacuation.data_centre):
                continue
            if evacuation.era == page.era and evacuation.offset < page.next_offset:
                revocation = Evacuation(
                    evacuation.data_centre, False, page.next_offset - 1, page.era
                )
                self._apply(revocation, source='store')
            else:
                logger.bind(
                    data_centre=evacuation.data_centre,
                    offset=evacuation.offset,
                    era=evacuation.era,
                    store_end=page.next_offset,
                    store_era=page.era,
                ).warning('evacuation_missing_in_store')


def _from_record(data_centre: DataCentreId, record: KeyedRecord, era: int) -> Evacuation:
    return Evacuation(data_centre, bool(record.encoded), record.offset, era)


def _has_evacuation(page: KeyedPage, data_centre: DataCentreId) -> bool:
    record = page.evacuations_by_data_centre.get(data_centre)
    return record is not None and bool(record.encoded)


@describe.register
def _(part: Evacuations) -> EvacuationsDump:
    active = sum(evacuation.is_active for evacuation in part.all)
    return EvacuationsDump(is_known=part.is_known, evacuated=active, evacuations=part.all)
