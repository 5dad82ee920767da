from types import SimpleNamespace

import pytest

from turmericwharf.coordination import RouteIndex, InProgressRequest, LookupService
from turmericwharf.state import (
    Answered,
    Audience,
    CallerRequest,
    Configuration,
    Execute,
    Importance,
    Route,
    WorkClass,
)

PAGE = Execute(
    request='page-0',
    organisation='cafe-chain',
    key_digest='digest',
    service='catalogue',
    importance=Importance.HIGH,
    idempotent=True,
    remaining_milliseconds=400,
    method='GET',
    target='/catalogue',
    headers=(),
    body=b'',
)


class Entry:
    def __init__(self) -> None:
        self.admitted = []

    async def serve_admitted(self, admitted):
        self.admitted.append(admitted)
        return Answered(200, (), b'')


def make_service(*, standing: bool = True) -> tuple[LookupService, Entry]:
    entry = Entry()
    routes = {
        'open': Route('open', ('GET',), '/bookings', 'bookings', 'read'),
        'inner': Route('inner', ('GET',), '/records', 'records', 'read', Audience.SERVICES),
    }
    configuration = Configuration(
        routes_by_id=routes, classes_by_id={'read': WorkClass('read', 1000)}
    )
    in_progress = {'page-0': InProgressRequest(PAGE, 100.4)}
    service = LookupService(
        control_log=SimpleNamespace(
            configuration=configuration,
            routes=RouteIndex(configuration.routes_by_id.values()),
            is_ready=True,
        ),
        standing=SimpleNamespace(has_standing=standing),
        executor=SimpleNamespace(find_in_progress=in_progress.get),
        entry=entry,
        clock=SimpleNamespace(now=lambda: 100.0),
    )
    return service, entry


def make_request(target: str, serves: str | None) -> CallerRequest:
    return CallerRequest(
        'lookup', 'GET', target, (), b'', key_digest='other', serves=serves, from_service=True
    )


async def test_lookup_inherits_from_the_request_that_it_serves():
    """Guards against lookups that outlive their request, or run for no or another organisation."""
    service, entry = make_service()
    for target in ('/bookings/1', '/records/1'):
        await service.serve(make_request(target, 'page-0'))
        admitted = entry.admitted.pop()
        assert admitted.organisation == 'cafe-chain'
        assert admitted.importance is Importance.HIGH
        assert admitted.deadline == pytest.approx(100.4)
        assert admitted.request.key_digest is None


@pytest.mark.parametrize('serves', [None, 'page-1'])
async def test_lookup_without_a_request_in_progress_is_background_work(serves):
    """Guards against a server that reaches open routes for an organisation of its choice."""
    service, entry = make_service()
    refused = await service.serve(make_request('/bookings/1', serves))
    assert refused.reason.value == 'route_internal'
    assert not entry.admitted
    await service.serve(make_request('/records/1', serves))
    admitted = entry.admitted.pop()
    assert admitted.organisation == ''
    assert admitted.importance is Importance.BACKGROUND


async def test_lookup_for_an_organisation_needs_standing():
    """Guards against an isolated node without standing that serves open routes through lookups."""
    service, entry = make_service(standing=False)
    refused = await service.serve(make_request('/bookings/1', 'page-0'))
    assert refused.reason.value == 'no_standing'
