import collections
import dataclasses

from tests.simulated_fleet import SERVICE, Faults, SimulatedFleet
from tests.virtual_time import run_in_virtual_time
from turmericwharf.state import ServerState


def report_state(fleet: SimulatedFleet, number: int, state: ServerState) -> None:
    executor = fleet.node(number).executor
    executor.record_announcement(SERVICE, executor.report.slots, state)
    for node in fleet.nodes.values():
        node.members.record_report(executor.report)


def test_servers_are_reinstated_when_the_view_shrinks():
    """Guards against a floor that is enforced only when a server is ejected.

    Other servers may drain later, so the floor must be enforced at each selection.
    """

    async def scenario() -> None:
        fleet = SimulatedFleet(4, slots=3, seed=2)
        fleet.node(2).server.faults = Faults(truncated_share=0.6)
        fleet.node(3).server.faults = Faults(truncated_share=1)
        await fleet.load(20, rate=80, entries=1)
        router = fleet.node(0).router
        ejected = {ejection.instance: ejection for ejection in router.dump().ejections}
        assert set(ejected) == {'node-2', 'node-3'}
        report_state(fleet, 1, ServerState.DRAINING)
        await fleet.load(1, rate=80, entries=1)
        # With three ready servers and a floor of one half, only the most harmful stays ejected.
        assert [ejection.instance for ejection in router.dump().ejections] == ['node-3']
        report_state(fleet, 0, ServerState.DRAINING)
        await fleet.load(1, rate=80, entries=1)
        assert len(router.dump().ejections) == 1

    run_in_virtual_time(scenario())


def test_cold_and_draining_servers_get_no_work_and_the_rest_share_it():
    """Guards against sending work to servers that are not ready, and against herding onto one."""

    async def scenario() -> None:
        fleet = SimulatedFleet(6, slots=3, seed=2, median_seconds=0.05)
        report_state(fleet, 1, ServerState.COLD)
        report_state(fleet, 2, ServerState.DRAINING)
        await fleet.load(10, rate=150, entries=1)
        counts = collections.Counter(
            {number: fleet.node(number).server.attempts for number in range(6)}
        )
        assert counts[1] == counts[2] == 0
        # A rejection by the executing node would be counted as a retry.
        assert fleet.node(0).dispatcher.budget.reports()[0].retries == 0
        shares = [counts[number] / counts.total() for number in (0, 3, 4, 5)]
        assert min(shares) > 0.5 / 4
        assert max(shares) < 2 / 4

    run_in_virtual_time(scenario())


def test_replaced_server_starts_without_an_ejection():
    """Guards against an ejection that remains after the faulty process has been replaced."""

    async def scenario() -> None:
        fleet = SimulatedFleet(4, slots=3, seed=2)
        gray = fleet.node(1)
        gray.server.faults = Faults(truncated_share=1)
        await fleet.load(10, rate=80, entries=1)
        first = fleet.node(0)
        assert [ejection.instance for ejection in first.router.dump().ejections] == ['node-1']
        replaced = dataclasses.replace(gray.executor.report, incarnation='second', sequence=1)
        membership = first.members.membership
        member = dataclasses.replace(gray.member, incarnation='second')
        members = {**membership.members_by_id, 'node-1': member}
        first.members.apply(dataclasses.replace(membership, version=2, members_by_id=members))
        first.members.record_report(replaced)
        gray.server.faults = Faults()
        await fleet.load(0.2, rate=80, entries=1)
        assert not first.router.dump().ejections

    run_in_virtual_time(scenario())
