"""Requests that a newer configuration reaches while they are placed."""

import asyncio

from tests.coordination.sidecar.samples import make_configuration, make_request, make_route
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.active_configuration import ActiveConfiguration
from turmericwharf.coordination.sidecar.admission import RequestValidator
from turmericwharf.coordination.sidecar.entry_point import RequestEntryPoint
from turmericwharf.state import CONFIGURATION_OUTDATED, Answered, NotRun, Reason
from turmericwharf.state.sidecar import Destination

ANSWERED = Answered(200, (), b'')
OUTDATED = NotRun(CONFIGURATION_OUTDATED.reason, CONFIGURATION_OUTDATED.detail)


class UnlimitedRate:
    """Grants each token."""

    def __init__(self) -> None:
        self.acquired = 0

    async def acquire(self, admitted):
        self.acquired += 1


class ServersWithANewerConfiguration:
    """Refuse requests for the service that a route had before the newer configuration."""

    def __init__(self) -> None:
        self.counted = 0
        self.sent = []

    def record_request(self, admitted) -> None:
        self.counted += 1

    async def run(self, admitted):
        self.sent.append(admitted)
        return ANSWERED if admitted.service == 'records' else OUTDATED


def make_version(version, service, **changes):
    route = make_route(destinations=(Destination(service),))
    return make_configuration(version=version, routes=(route,), **changes)


def serve(configurations, *, arrives_after):
    """Serve one request; return its outcome and what the servers and the rate limiter saw."""

    async def main():
        decoded = list(configurations)
        active = ActiveConfiguration(lambda encoded: decoded.pop(0))
        active.apply_if_newer(b'', source='test')
        loop = asyncio.get_running_loop()
        loop.call_later(arrives_after, lambda: active.apply_if_newer(b'', source='test'))
        servers, rate = ServersWithANewerConfiguration(), UnlimitedRate()
        clock = LoopClock()
        entry = RequestEntryPoint(RequestValidator(active, clock), rate, servers, clock)
        return await entry.serve(make_request(remaining_seconds=3.0)), servers, rate

    return run_in_virtual_time(main())


def test_a_request_of_a_route_that_has_just_moved_runs_at_its_new_service():
    """Guards against requests that are lost at each change of a route.

    The server's node knows the newer configuration before the entry node does.
    """
    versions = make_version(5, 'bookings'), make_version(6, 'records')
    outcome, servers, rate = serve(versions, arrives_after=0.05)
    assert outcome == ANSWERED
    assert [admitted.version for admitted in servers.sent] == [5, 6]
    # The deadline of the caller stays, and it is one request for the rate and the retry budget.
    assert abs(servers.sent[1].deadline - servers.sent[0].deadline) < 0.001
    assert servers.counted == rate.acquired == 1


def test_a_request_is_refused_if_the_newer_configuration_does_not_arrive():
    """Guards against a request that waits until its deadline for a configuration."""
    versions = make_version(5, 'bookings'), make_version(6, 'records')
    outcome, servers, _ = serve(versions, arrives_after=1.0)
    assert outcome.reason is Reason.CONFIGURATION_OUTDATED
    assert len(servers.sent) == 1


def test_a_request_that_the_newer_configuration_forbids_does_not_run():
    """Guards against a withdrawn key that is still used because its request began before."""
    versions = make_version(5, 'bookings'), make_version(6, 'records', organisations_by_id={})
    outcome, servers, _ = serve(versions, arrives_after=0.05)
    assert isinstance(outcome, NotRun)
    assert len(servers.sent) == 1
