"""Final validation of a work order at the node beside the server that would run it."""

from turmericwharf.coordination.sidecar.admission import RequestValidator
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.evacuations import Evacuations
from turmericwharf.coordination.sidecar.server_record import ServerRecord
from turmericwharf.state import (
    CONFIGURATION_OUTDATED,
    DATA_CENTRE_EVACUATED,
    KEY_WITHDRAWN,
    PROCESS_REPLACED,
    SERVER_DRAINING,
    SERVER_UNKNOWN,
    RequestFailure,
)
from turmericwharf.state.sidecar import (
    FleetRequest,
    NodeEntry,
    ServerPhase,
    WorkOrder,
)


class OrderValidator:
    """Validates conditions that may have changed since the entry node selected the server.

    Parameters
    ----------
    record
        Last known state of the backend server beside the node.
    configuration
        Configuration in force at this node, which may be newer than that of the entry node.
    request_validator
        Validates requests against the configuration.
    evacuations
        Data centres whose servers must get no requests.
    """

    def __init__(
        self,
        record: ServerRecord,
        configuration: ActiveConfiguration,
        request_validator: RequestValidator,
        evacuations: Evacuations,
    ) -> None:
        self._record = record
        self._configuration = configuration
        self._request_validator = request_validator
        self._evacuations = evacuations
        self.is_stopping = False

    def find_refusal(self, order: WorkOrder, local: NodeEntry) -> RequestFailure | None:
        """Return the reason why an order must not run now, or None."""
        server = self._record.current
        rules = (
            (order.process != local.process, PROCESS_REPLACED),
            (self.is_stopping, SERVER_DRAINING),
            (self.is_evacuated(local), DATA_CENTRE_EVACUATED),
            (order.server != server.server, SERVER_UNKNOWN),
            (order.service != server.service, SERVER_UNKNOWN),
            (server.phase is not ServerPhase.READY, SERVER_DRAINING),
        )
        failure = next((failure for is_violated, failure in rules if is_violated), None)
        return failure or self._check_configuration(order)

    def is_evacuated(self, local: NodeEntry) -> bool:
        """Return whether the data centre of the local server is evacuated."""
        return self._evacuations.covers(local.data_centre)

    def _check_configuration(self, order: WorkOrder) -> RequestFailure | None:
        if order.version >= self._configuration.version:
            return None
        route = self._configuration.routes.find(order.host, order.target)
        if route is None or all(
            destination.service != order.service for destination in route.destinations
        ):
            return CONFIGURATION_OUTDATED
        request = FleetRequest(
            request=order.request,
            method=order.method,
            target=order.target,
            host=order.host,
            headers=(),
            body=b'',
            key_digest=order.key_digest,
        )
        organisation = self._request_validator.find_organisation(request, route)
        # The newer configuration does not assign the key to the organisation of the order: the key
        # is missing, unknown or assigned to another one. All three are reported as withdrawn, which
        # is not retried.
        if isinstance(organisation, RequestFailure):
            return KEY_WITHDRAWN
        if organisation is not None and organisation.organisation != order.organisation:
            return KEY_WITHDRAWN
        return None
