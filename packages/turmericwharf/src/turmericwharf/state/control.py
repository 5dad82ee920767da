"""The state that results from the control stream of the log."""

import dataclasses

from turmericwharf.state.configuration import NO_VERSION, Configuration
from turmericwharf.state.membership import Membership


@dataclasses.dataclass(frozen=True, slots=True)
class ControlState:
    """Configuration and membership after applying all records up to `version`.

    Parameters
    ----------
    snapshot_written_at
        Unix time of the newest snapshot that the log retains; 0 if there is none.
    """

    version: int = NO_VERSION
    configuration: Configuration = Configuration()
    membership: Membership = Membership()
    snapshot_written_at: float = 0.0
