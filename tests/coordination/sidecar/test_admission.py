import pytest

from tests.coordination.fakes import ManualClock
from tests.coordination.sidecar.samples import make_configuration, make_request
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.admission import AdmittedFleetRequest, RequestValidator
from turmericwharf.state import REQUEST_ID_INVALID


def admit(request):
    configuration = ActiveConfiguration(lambda encoded: make_configuration())
    configuration.apply_if_newer(b'', source='test')
    return RequestValidator(configuration, ManualClock()).admit(request)


@pytest.mark.parametrize('identifier', ['', 'a b', 'r\xe9', 'tab\t', '\x7f', 'x' * 257])
def test_identifiers_that_cannot_be_trusted_are_refused(identifier):
    """Guards against answers of other requests, and against servers that look faulty.

    Requests without an identifier would be taken for one that is sent again, and get its answer. A
    server may return an identifier outside ASCII in another encoding.
    """
    assert admit(make_request(request=identifier)) == REQUEST_ID_INVALID


@pytest.mark.parametrize('identifier', ['9c41d07be2a35f68', 'a.b-c/d:e', '!', 'x' * 256])
def test_other_identifiers_are_accepted(identifier):
    """Guards against proper requests that are refused."""
    assert isinstance(admit(make_request(request=identifier)), AdmittedFleetRequest)
