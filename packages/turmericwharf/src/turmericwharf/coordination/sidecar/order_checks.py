"""The last check of a work order beside the server that would run it."""

from turmericwharf.coordination.sidecar.admission import RequestChecks
from turmericwharf.coordination.sidecar.configuration_holder import ConfigurationHolder
from turmericwharf.coordination.sidecar.server_record import ServerRecord
from turmericwharf.state import (
    CONFIGURATION_OUTDATED,
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


class OrderChecks:
    """Checks what may have changed since the entry node chose the server.

    Parameters
    ----------
    record
        The backend server beside the node.
    holder
        Configuration in force here; it may be newer than that of the entry node.
    checks
        Checks of requests against the configuration.
    """

    def __init__(
        self,
        record: ServerRecord,
        holder: ConfigurationHolder,
        checks: RequestChecks,
    ) -> None:
        self._record = record
        self._holder = holder
        self._checks = checks
        self.is_stopping = False

    def find_refusal(self, order: WorkOrder, own: NodeEntry) -> RequestFailure | None:
        """Return why an order must not run now, or None."""
        server = self._record.current
        rules = (
            (order.process != own.process, PROCESS_REPLACED),
            (self.is_stopping, SERVER_DRAINING),
            (order.server != server.server, SERVER_UNKNOWN),
            (order.service != server.service, SERVER_UNKNOWN),
            (server.phase is not ServerPhase.READY, SERVER_DRAINING),
        )
        failure = next((failure for failed, failure in rules if failed), None)
        return failure or self._outdated(order)

    def _outdated(self, order: WorkOrder) -> RequestFailure | None:
        if order.version >= self._holder.version:
            return None
        route = self._holder.routes.find(order.host, order.target)
        if route is None or all(one.service != order.service for one in route.destinations):
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
        organisation = self._checks.find_organisation(request, route)
        if isinstance(organisation, RequestFailure):
            return KEY_WITHDRAWN
        if organisation is not None and organisation.organisation != order.organisation:
            return KEY_WITHDRAWN
        return None
