import pytest

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import (
    make_configuration,
    make_entry,
    make_order,
    make_route,
)
from turmericwharf.coordination.sidecar.admission import RequestValidator
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.order_validator import OrderValidator
from turmericwharf.coordination.sidecar.evacuations import Evacuations
from turmericwharf.coordination.sidecar.server_record import ServerRecord
from turmericwharf.state import Reason
from turmericwharf.state.sidecar import AnnouncedServer, Destination, Evacuation, ServerPhase

LOCAL = make_entry()


def make_validator(configuration=None, evacuated=None, **server_changes):
    record = ServerRecord()
    fields = {
        'server': LOCAL.server,
        'service': 'bookings',
        'slots': 3,
        'phase': ServerPhase.READY,
        'born': 1,
        **server_changes,
    }
    record.apply(AnnouncedServer(**fields))
    active_configuration = ActiveConfiguration(
        lambda encoded: configuration or make_configuration()
    )
    active_configuration.apply_if_newer(b'', source='test')
    request_validator = RequestValidator(active_configuration, ManualClock())
    evacuations = Evacuations()
    if evacuated is not None:
        evacuations.merge((Evacuation(evacuated, is_active=True, offset=1),), source='test')
    return OrderValidator(record, active_configuration, request_validator, evacuations)


def test_order_in_an_evacuated_data_centre_is_refused():
    """Guards against orders of nodes that do not know of the evacuation yet."""
    validator = make_validator(evacuated='east')
    refusal = validator.find_refusal(make_order(), LOCAL)
    assert refusal.reason is Reason.DATA_CENTRE_EVACUATED
    assert make_validator(evacuated='west').find_refusal(make_order(), LOCAL) is None


def test_order_for_the_current_server_passes():
    """Guards against refusing all orders."""
    assert make_validator().find_refusal(make_order(), LOCAL) is None


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'process': 'earlier'}, Reason.PROCESS_REPLACED),
        ({'server': 'earlier'}, Reason.SERVER_UNKNOWN),
        ({'service': 'records'}, Reason.SERVER_UNKNOWN),
    ],
)
def test_order_for_another_server_is_refused(changes, reason):
    """A request must not run on another server that has taken over the address."""
    assert make_validator().find_refusal(make_order(**changes), LOCAL).reason is reason


def test_order_for_a_leaving_server_is_refused():
    """A server that announced that it is leaving must not receive orders from outdated nodes."""
    validator = make_validator(phase=ServerPhase.LEAVING)
    assert validator.find_refusal(make_order(), LOCAL).reason is Reason.SERVER_DRAINING


def test_stopping_node_refuses_orders():
    """Work that starts after a graceful shutdown has begun would be interrupted."""
    validator = make_validator()
    validator.is_stopping = True
    assert validator.find_refusal(make_order(), LOCAL).reason is Reason.SERVER_DRAINING


def test_key_missing_from_a_newer_configuration_is_refused():
    """A withdrawn key must not work through a node with an older configuration."""
    validator = make_validator(make_configuration(9, organisations_by_id={}))
    assert validator.find_refusal(make_order(version=5), LOCAL).reason is Reason.KEY_WITHDRAWN


def test_route_that_moved_is_refused():
    """A request must not run on the former service of a route through an outdated node."""
    moved = make_route(destinations=(Destination('records'),))
    validator = make_validator(make_configuration(9, routes=(moved,)))
    refusal = validator.find_refusal(make_order(version=5), LOCAL)
    assert refusal.reason is Reason.CONFIGURATION_OUTDATED


def test_order_with_a_newer_configuration_version_passes():
    """A new key must not be refused by a node that reads the configuration later."""
    validator = make_validator(make_configuration(4, organisations_by_id={}))
    assert validator.find_refusal(make_order(version=5), LOCAL) is None
