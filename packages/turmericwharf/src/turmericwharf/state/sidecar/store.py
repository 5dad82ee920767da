"""Pages of the store's topics that keep the newest record of each key."""

import dataclasses
import enum
from collections.abc import Mapping

from turmericwharf.state.failures import LogFailure, Reason


class StoreTopic(enum.Enum):
    """What the store keeps for the fleet."""

    CONFIGURATION = 'configuration'
    NODES = 'nodes'


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Newest value of a key, empty if the key was dropped, and its offset."""

    encoded: bytes
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedPage:
    """Newest record of each key that a read returned.

    Parameters
    ----------
    next_offset
        Where the next read goes on.
    """

    records_by_key: Mapping[str, KeyedRecord]
    next_offset: int


HISTORY_GONE = LogFailure(Reason.LOG_HISTORY_GONE, 'the store no longer has these records')
