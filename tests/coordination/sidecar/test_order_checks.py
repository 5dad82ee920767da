import pytest

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import (
    make_configuration,
    make_entry,
    make_order,
    make_route,
)
from turmericwharf.coordination.sidecar.admission import RequestChecks
from turmericwharf.coordination.sidecar.configuration_holder import ConfigurationHolder
from turmericwharf.coordination.sidecar.order_checks import OrderChecks
from turmericwharf.coordination.sidecar.server_record import ServerRecord
from turmericwharf.state import Reason
from turmericwharf.state.sidecar import AnnouncedServer, Destination, ServerPhase

OWN = make_entry()


def make_checks(configuration=None, **server_changes):
    record = ServerRecord()
    fields = {
        'server': OWN.server,
        'service': 'bookings',
        'slots': 3,
        'phase': ServerPhase.READY,
        'born': 1,
        **server_changes,
    }
    record.apply(AnnouncedServer(**fields))
    holder = ConfigurationHolder(lambda encoded: configuration or make_configuration())
    holder.apply_if_newer(b'', source='test')
    return OrderChecks(record, holder, RequestChecks(holder, ManualClock()))


def test_order_for_the_known_server_passes():
    """All requests would be refused."""
    assert make_checks().find_refusal(make_order(), OWN) is None


@pytest.mark.parametrize(
    ('changes', 'reason'),
    [
        ({'process': 'earlier'}, Reason.PROCESS_REPLACED),
        ({'server': 'earlier'}, Reason.SERVER_UNKNOWN),
        ({'service': 'records'}, Reason.SERVER_UNKNOWN),
    ],
)
def test_order_for_another_server_is_refused(changes, reason):
    """A request would run on the server that took over an address."""
    assert make_checks().find_refusal(make_order(**changes), OWN).reason is reason


def test_leaving_server_gets_no_work():
    """A server that said that it leaves would get requests from nodes that do not know it."""
    checks = make_checks(phase=ServerPhase.LEAVING)
    assert checks.find_refusal(make_order(), OWN).reason is Reason.SERVER_DRAINING


def test_stopping_node_takes_no_work():
    """A graceful shutdown would cut work that began after it."""
    checks = make_checks()
    checks.is_stopping = True
    assert checks.find_refusal(make_order(), OWN).reason is Reason.SERVER_DRAINING


def test_key_that_a_newer_configuration_lacks_is_refused():
    """A withdrawn key would work through a node that has not read the configuration."""
    checks = make_checks(make_configuration(9, organisations_by_id={}))
    assert checks.find_refusal(make_order(version=5), OWN).reason is Reason.KEY_WITHDRAWN


def test_route_that_moved_is_refused():
    """A request would run on the old service through a node with an old configuration."""
    moved = make_route(destinations=(Destination('records'),))
    checks = make_checks(make_configuration(9, routes=(moved,)))
    refusal = checks.find_refusal(make_order(version=5), OWN)
    assert refusal.reason is Reason.CONFIGURATION_OUTDATED


def test_order_by_a_newer_configuration_passes():
    """A new key would be refused by nodes that read the configuration a moment later."""
    checks = make_checks(make_configuration(4, organisations_by_id={}))
    assert checks.find_refusal(make_order(version=5), OWN) is None
