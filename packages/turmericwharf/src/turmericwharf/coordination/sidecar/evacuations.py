"""Data centres that the operators have evacuated.

Load pattern: an operator empties a data centre within seconds, while nodes restart and the store
fails or comes back from an older copy. A node that forgets the evacuation would send requests
there, so an evacuation is only revoked by a newer record, or by its absence from a complete page
that must have it.
"""

import asyncio
from collections.abc import Iterable

from loguru import logger

from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
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

    Parameters
    ----------
    knowledge
        Tells when other nodes can be asked.
    """

    def __init__(self, knowledge: StartupKnowledge) -> None:
        self._knowledge = knowledge
        self._evacuations_by_data_centre: dict[DataCentreId, Evacuation] = {}
        self._changed = asyncio.Event()
        # Whether the store, or a node that knew the evacuations, has told them.
        self._is_learned = False
        self._has_asked_peers = False

    @property
    def all(self) -> tuple[Evacuation, ...]:
        """Evacuations and revocations that are known."""
        return tuple(self._evacuations_by_data_centre.values())

    @property
    def is_known(self) -> bool:
        """Whether this process knows the evacuations as well as the rest of the fleet.

        The store alone is not enough, since it may have lost an evacuation that other nodes know.
        """
        return self._is_learned and self._has_asked_peers

    async def wait_until_fleet_known(self) -> None:
        """Wait until this process knows which nodes it can ask."""
        await self._knowledge.wait_until_known()

    def covers(self, data_centre: DataCentreId) -> bool:
        """Return whether a data centre is evacuated."""
        evacuation = self._evacuations_by_data_centre.get(data_centre)
        return evacuation is not None and evacuation.is_active

    def record_peers_asked(self) -> None:
        """Record that other nodes were asked for their evacuations, whether or not they replied."""
        self._has_asked_peers = True

    def apply_page(self, page: KeyedPage) -> None:
        """Apply the records of a page of the store."""
        for data_centre, record in page.evacuations_by_data_centre.items():
            if record.encoded or not page.is_complete:
                self._apply(_from_record(data_centre, record, page.era), source='store')
        if page.is_complete:
            self._revoke_missing(page)
        self._is_learned = True

    def apply_reply(self, reply: ConfigurationReply, *, source: str) -> None:
        """Apply the evacuations that another node reported."""
        self.merge(reply.evacuations, source=source)
        # A build that does not know of evacuations must not keep this process from getting ready.
        self._is_learned = self._is_learned or reply.knows_evacuations is not False

    def merge(self, evacuations: Iterable[Evacuation], *, source: str) -> None:
        """Apply those of the evacuations of another node that are newer."""
        for evacuation in evacuations:
            self._apply(evacuation, source=source)

    def reply_to(self, encoded: bytes, known: tuple[Evacuation, ...] | None) -> ConfigurationReply:
        """Return the reply to a node with a configuration and the evacuations that it lacks.

        Parameters
        ----------
        known
            Evacuations that the node knows; None if it does not ask for them.
        """
        return ConfigurationReply(
            encoded,
            evacuations=self.newer_than(known),
            knows_evacuations=self._is_learned,
        )

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
