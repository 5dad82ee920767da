"""Lookup of reports by service after a backend server changes its service."""

import dataclasses

from turmericwharf.coordination import ReportTable
from turmericwharf.state import ServerReport, ServerState


def test_report_moves_with_the_service_of_its_server():
    """Guards against routing work to an instance for a service that it no longer runs."""
    table = ReportTable()
    first = ServerReport('node-1', 'a', 1, 'catalogue', 4, ServerState.READY)
    table.put(first, 0.0)
    assert list(table.for_service('catalogue')) == [first]
    second = dataclasses.replace(first, sequence=2, service='bookings')
    table.put(second, 1.0)
    assert not table.for_service('catalogue')
    assert list(table.for_service('bookings')) == [second]
    table.discard('node-1')
    assert not table.for_service('bookings')
