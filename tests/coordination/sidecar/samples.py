"""Sample values for the unit tests of the sidecar."""

import dataclasses
from types import SimpleNamespace

from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.cold_start import ColdStartGate
from turmericwharf.state.sidecar import (
    ColdLimit,
    Destination,
    FleetConfiguration,
    FleetRequest,
    NodeEntry,
    OrganisationRule,
    RouteRule,
    ServerPhase,
    SidecarBounds,
    WorkOrder,
)


def make_entry(instance: str = 'one', **changes) -> NodeEntry:
    entry = NodeEntry(
        instance=instance,
        process=f'process-of-{instance}',
        host='127.0.0.1',
        peer_port=7000,
        data_centre='east',
        server=f'server-of-{instance}',
        service='bookings',
        slots=3,
        phase=ServerPhase.READY,
        born=1,
    )
    return dataclasses.replace(entry, **changes)


def make_route(**changes) -> RouteRule:
    route = RouteRule(
        route='book',
        host='a.example',
        path_prefix='/book/',
        destinations=(Destination('bookings'),),
        idempotent=False,
        public=False,
        attempts=2,
        timeout_seconds=1.5,
        target_seconds=0.8,
        priority=1,
    )
    return dataclasses.replace(route, **changes)


def make_configuration(version: int = 5, **changes) -> FleetConfiguration:
    configuration = FleetConfiguration(
        version=version,
        routes=(make_route(),),
        organisations_by_id={
            'cafe': OrganisationRule('cafe', ('digest-1',), rate_per_second=30, burst=30),
        },
        has_organisations=True,
    )
    return dataclasses.replace(configuration, **changes)


def make_request(**changes) -> FleetRequest:
    request = FleetRequest(
        request='r1',
        method='POST',
        target='/book/1',
        host='a.example',
        headers=(),
        body=b'',
        key_digest='digest-1',
        remaining_seconds=3.0,
    )
    return dataclasses.replace(request, **changes)


def make_order(entry: NodeEntry | None = None, **changes) -> WorkOrder:
    entry = entry or make_entry()
    order = WorkOrder(
        request='r1',
        attempt=1,
        process=entry.process,
        server=entry.server,
        service=entry.service,
        route='book',
        organisation='cafe',
        key_digest='digest-1',
        rank=0,
        idempotent=False,
        may_try=False,
        is_repeat=False,
        max_wait_seconds=60.0,
        remaining_seconds=2.0,
        target_seconds=0.8,
        version=5,
        caller_service='catalogue',
        method='POST',
        target='/book/1',
        host='a.example',
        headers=(),
        body=b'',
    )
    return dataclasses.replace(order, **changes)


def make_bounds(**changes) -> SidecarBounds:
    bounds = SidecarBounds(
        retry_ratio=0.2,
        retry_extra=0,
        retry_window_seconds=10,
        grace_seconds=6,
        rate_window_seconds=5,
        rate_overage=0,
        rate_slack=0,
        cold_overage=1.5,
        cold_slack=8,
    )
    return dataclasses.replace(bounds, **changes)


def make_cold_start(clock, limit: ColdLimit | None = None, **bounds) -> ColdStartGate:
    """Return the gate of a server of `bookings`, whose service has a limit or none."""
    limits = {} if limit is None else {'bookings': limit}
    configuration = ActiveConfiguration(
        lambda encoded: make_configuration(cold_limits_by_service=limits)
    )
    configuration.apply_if_newer(b'', source='test')
    return ColdStartGate(configuration, SimpleNamespace(current=make_bounds(**bounds)), clock)
