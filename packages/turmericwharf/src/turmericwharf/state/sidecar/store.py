"""Pages of the store's topics, which retain the newest record of each key."""

import dataclasses
import enum
from collections.abc import Mapping

from turmericwharf.state.failures import LogFailure, Reason
from turmericwharf.state.identifiers import DataCentreId


class StoreTopic(enum.Enum):
    """Topics that the store retains for the fleet."""

    CONFIGURATION = 'configuration'
    NODES = 'nodes'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Newest value of a key, which is empty if the key was deleted, and its offset."""

    encoded: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """Newest record of each key that a read returned.

    Parameters
    ----------
    next_offset
        Offset at which the next read continues.
    era
        Era of the store when it answered; 0 if the store has no eras. It rises by one each time the
        store comes back from an older copy. Offsets of different eras cannot be compared.
    evacuations_by_data_centre
        Newest records of evacuations; they are not in `records_by_key`.
    is_complete
        Whether the page has the newest records of all keys, rather than those after an offset.
    """

    records_by_key: Mapping[str, KeyedRecord]
    next_offset: int
    era: int = 0
    evacuations_by_data_centre: Mapping[DataCentreId, KeyedRecord] = dataclasses.field(
        default_factory=dict
    )
    is_complete: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WriteResult:
    """A write that the store has accepted.

    Parameters
    ----------
    era
        Era of the store when it accepted the write; 0 if the store has no eras.
    """

    era: int = 0


HISTORY_GONE = LogFailure(
    Reason.LOG_HISTORY_GONE, 'the store no longer retains the requested records'
)
