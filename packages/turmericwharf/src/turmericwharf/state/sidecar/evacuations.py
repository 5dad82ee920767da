"""Evacuations of data centres by the operators."""

import dataclasses

from turmericwharf.state.identifiers import DataCentreId


@dataclasses.dataclass(frozen=True, slots=True)
class Evacuation:
    """Whether the operators have evacuated a data centre, by their newest record of it.

    Parameters
    ----------
    is_active
        Whether the data centre is evacuated; False if the evacuation was revoked.
    offset
        Offset of the record in the store. The record of a revocation may be gone, and then this is
        the last offset that it can have had.
    era
        Era of the store in which the record was read; 0 if the store has none.
    """

    data_centre: DataCentreId
    is_active: bool
    offset: int
    era: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Position by which the newer one of two records of a data centre is found."""
        return self.era, self.offset
