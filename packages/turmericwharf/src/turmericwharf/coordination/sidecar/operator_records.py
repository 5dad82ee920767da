"""What the operators have written to the store, as far as this process knows it."""

import dataclasses

from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.evacuations import Evacuations


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorRecords:
    """The records of the configuration topic, which nodes pass on to each other in one message.

    Parameters
    ----------
    configuration
        Configuration in force.
    evacuations
        Known evacuations of data centres.
    """

    configuration: ActiveConfiguration
    evacuations: Evacuations
