import asyncio
import dataclasses
from types import SimpleNamespace

from tests.coordination.sidecar.samples import make_cold_start, make_entry
from tests.virtual_time import LoopClock, run_in_virtual_time
from turmericwharf.coordination.sidecar.announcements import AnnouncementService
from turmericwharf.coordination.sidecar.directory import NodeDirectory
from turmericwharf.coordination.sidecar.local_node_publisher import LocalNodePublisher
from turmericwharf.coordination.sidecar.recovery import ServerRecovery
from turmericwharf.coordination.sidecar.server_confirmation import ServerConfirmation
from turmericwharf.coordination.sidecar.server_record import ServerRecord
from turmericwharf.coordination.sidecar.startup_knowledge import StartupKnowledge
from turmericwharf.coordination.sidecar.store_era import StoreEra
from turmericwharf.state import LogFailure, Reason
from turmericwharf.state.sidecar import (
    AnnouncedServer,
    ColdLimit,
    ServerHealth,
    ServerPhase,
    WriteResult,
)

READY = AnnouncedServer('s1', 'bookings', 3, ServerPhase.READY, born=7, sequence=4)
LEAVE = AnnouncedServer('s1', phase=ServerPhase.LEAVING, born=7)


class Node:
    """Announcements of one node, with a server that answers its health check or does not."""

    def __init__(self, limit: ColdLimit | None = None) -> None:
        local = make_entry(server='', phase=ServerPhase.ABSENT, process='second', born=0)
        clock = LoopClock()
        self.is_healthy = True
        self.health_cold_seconds = None
        self.probes = 0
        self.published = []
        self.is_store_away = False
        self.directory = NodeDirectory(local, clock)
        self.knowledge = StartupKnowledge()
        self.record = ServerRecord()
        self.publisher = LocalNodePublisher(self, self.directory, StoreEra(self.directory))
        self.cold_start = make_cold_start(clock, limit)
        executor = SimpleNamespace(
            breaker=SimpleNamespace(reset=lambda: None),
            queue=SimpleNamespace(resize=lambda slots: None),
            cold_start=self.cold_start,
        )
        confirmation = ServerConfirmation(self.knowledge, clock)
        self.service = AnnouncementService(self.record, executor, self.publisher, confirmation)
        configuration = SimpleNamespace(
            current=SimpleNamespace(health_paths_by_service={'bookings': '/healthz'})
        )
        recovery = ServerRecovery(self.service, confirmation, configuration, self, self.cold_start)
        self.tasks = [asyncio.create_task(part.run()) for part in (self.publisher, recovery)]

    async def publish(self, entry):
        if self.is_store_away:
            return LogFailure(Reason.LOG_UNAVAILABLE, 'away')
        self.published.append(entry)
        return WriteResult()

    async def identify(self, path, *, timeout_seconds):
        self.probes += 1
        return ServerHealth('s1', self.health_cold_seconds) if self.is_healthy else None

    def record_store_read(self, previous=None):
        """Apply the entries of the store, with or without one of a previous process."""
        if previous is not None:
            self.service.record_previous_entry(previous)
        self.knowledge.record_store_read()

    @property
    def phase(self):
        return self.record.current.phase

    @property
    def published_phase(self):
        return self.published[-1].phase if self.published else None


def run_scenario(scenario, limit=None):
    async def main():
        node = Node(limit)
        try:
            await scenario(node)
        finally:
            for task in node.tasks:
                task.cancel()

    run_in_virtual_time(main())


def previous_entry(**changes):
    return make_entry(**{'server': 's1', 'process': 'first', 'born': 7, **changes})


def test_the_first_process_uses_its_server_once_the_store_has_no_earlier_entry():
    """Guards against probes of each new server, and against its use before the store is read."""

    async def scenario(node):
        await node.service.apply_announcement(READY)
        await asyncio.sleep(5)
        assert node.phase is ServerPhase.ABSENT and not node.published
        node.record_store_read()
        await asyncio.sleep(0.1)
        assert node.phase is ServerPhase.READY and not node.probes

    run_scenario(scenario)


def test_a_restarted_process_does_not_believe_an_announcement_of_a_server_that_left():
    """Guards against the use of a server whose leave the previous process had acknowledged.

    The leave was not written, so that only the health check of the server shows it.
    """

    async def scenario(node):
        node.is_healthy = False
        node.record_store_read(previous_entry())
        await node.service.apply_announcement(READY)
        await asyncio.sleep(60)
        assert node.phase is ServerPhase.ABSENT
        assert node.published_phase is ServerPhase.STOPPING
        # A probe takes a slot of the server; two series of them are enough for one announcement.
        assert node.probes <= 12

    run_scenario(scenario)


def test_a_restarted_process_uses_a_server_that_passes_its_health_check():
    """Guards against a server that stays idle until its next announcement."""

    async def scenario(node):
        node.record_store_read(previous_entry())
        await asyncio.sleep(0.1)
        assert node.phase is ServerPhase.READY and node.probes == 1

    run_scenario(scenario)


def test_a_server_that_keeps_announcing_itself_is_used_without_a_health_check():
    """Guards against a sound server that stays idle because its health check fails."""

    async def scenario(node):
        node.is_healthy = False
        node.record_store_read(previous_entry())
        for sequence in range(1, 7):
            await node.service.apply_announcement(dataclasses.replace(READY, sequence=sequence))
            await asyncio.sleep(1.5)
        assert node.phase is ServerPhase.READY

    run_scenario(scenario)


def test_the_entries_of_other_nodes_do_not_show_that_there_was_no_previous_process():
    """Guards against a late announcement while the store is away.

    Other nodes drop the entry of the previous process when the new one connects to them.
    """

    async def scenario(node):
        node.is_healthy = False
        node.knowledge.record_fleet(source='n1')
        await node.service.apply_announcement(READY)
        await asyncio.sleep(30)
        assert node.phase is ServerPhase.ABSENT
        node.is_healthy = True
        await node.service.apply_announcement(dataclasses.replace(READY, sequence=5))
        await asyncio.sleep(1)
        assert node.phase is ServerPhase.READY

    run_scenario(scenario)


def test_a_written_leave_is_applied_whenever_it_is_read():
    """Guards against a server that is used because the store was read after its health check."""

    async def scenario(node):
        node.knowledge.record_fleet(source='n1')
        node.service.record_previous_entry(previous_entry())
        await asyncio.sleep(0.1)
        assert node.phase is ServerPhase.READY
        node.record_store_read(previous_entry(phase=ServerPhase.LEAVING, revision=2))
        await asyncio.sleep(0.1)
        assert node.phase is ServerPhase.LEAVING
        assert node.published_phase is ServerPhase.LEAVING

    run_scenario(scenario)


def test_a_leave_takes_effect_before_anything_is_known():
    """Guards against a leave that waits for the store, and against a late announcement after it."""

    async def scenario(node):
        await node.service.apply_announcement(READY)
        await node.service.apply_leave_notice(LEAVE)
        assert node.phase is ServerPhase.LEAVING
        node.record_store_read()
        await node.service.apply_announcement(dataclasses.replace(READY, sequence=9))
        await asyncio.sleep(10)
        assert node.phase is ServerPhase.LEAVING

    run_scenario(scenario)


def test_the_successor_of_a_server_that_left_is_confirmed_too():
    """Guards against a machine that stays idle after the server that left was replaced."""

    async def scenario(node):
        node.record_store_read(previous_entry(phase=ServerPhase.LEAVING))
        await asyncio.sleep(1)
        assert not node.probes
        await node.service.apply_announcement(dataclasses.replace(READY, born=8))
        await asyncio.sleep(0.5)
        assert node.phase is ServerPhase.READY and node.probes == 1

    run_scenario(scenario)


def test_a_leave_that_is_not_applied_is_not_acknowledged():
    """Guards against an acknowledged leave of a server that the node goes on using.

    The clock of the machine was set back between two starts of a server under the same name, so the
    announcements of the second start look older than those of the first.
    """

    async def scenario(node):
        node.record_store_read()
        assert await node.service.apply_announcement(READY)
        second = dataclasses.replace(READY, born=READY.born - 1, phase=ServerPhase.LEAVING)
        assert not await node.service.apply_announcement(second)
        assert not await node.service.apply_leave_notice(dataclasses.replace(LEAVE, born=6))
        assert node.phase is ServerPhase.READY

    run_scenario(scenario)


def test_a_leave_of_a_server_that_was_replaced_is_acknowledged():
    """Guards against a server that waits for an acknowledgement although nobody uses it."""

    async def scenario(node):
        node.record_store_read()
        await node.service.apply_announcement(dataclasses.replace(READY, server='s2', born=9))
        assert await node.service.apply_leave_notice(LEAVE)
        assert node.phase is ServerPhase.READY

    run_scenario(scenario)


def test_a_leave_during_a_stop_is_written_and_acknowledged():
    """Guards against a leave that the next process does not know.

    A stopping node has already published that it takes no more work.
    """

    async def scenario(node):
        node.record_store_read()
        await node.service.apply_announcement(READY)
        node.service.is_stopping = True
        node.publisher.publish_stopping()
        await asyncio.sleep(0.1)
        assert await node.service.apply_leave_notice(LEAVE)
        assert node.published_phase is ServerPhase.LEAVING

    run_scenario(scenario)


def test_a_leave_that_cannot_be_written_binds_only_a_process_that_goes_on():
    """Guards against the acknowledgement of a leave by a process that ends before it is written."""

    async def scenario(node):
        node.record_store_read()
        await node.service.apply_announcement(READY)
        node.is_store_away = True
        node.service.is_closed = True
        assert not await node.service.apply_leave_notice(LEAVE)

    run_scenario(scenario)


def test_a_server_that_started_with_its_node_is_used_at_once():
    """Guards against servers that stay idle after all machines lost power and started again.

    The health check of the server that the previous process served fails, and the next one waits.
    """

    async def scenario(node):
        node.is_healthy = False
        node.record_store_read(previous_entry(server='s0'))
        await asyncio.sleep(0.05)
        assert node.probes == 1
        node.is_healthy = True
        await node.service.apply_announcement(READY)
        await asyncio.sleep(0.05)
        assert node.phase is ServerPhase.READY

    run_scenario(scenario)


def test_a_server_that_becomes_cold_again_is_published_once_as_cold():
    """Guards against selectors that take a cold server for a warm one, and against a write to the
    store for each announcement while it is cold.
    """

    async def scenario(node):
        node.record_store_read()
        await node.service.apply_announcement(READY)
        for sequence, cold_seconds in enumerate((0, 6, 4.5, 3, 0), start=5):
            await node.service.apply_announcement(
                dataclasses.replace(READY, sequence=sequence, cold_seconds=cold_seconds)
            )
            await asyncio.sleep(1.5)
        assert [entry.cold_seconds for entry in node.published] == [4, 6]

    run_scenario(scenario, ColdLimit(start_seconds=4, requests_per_second=7.5))


def test_the_health_check_after_a_restart_waits_for_its_permit_and_tells_the_cold_time():
    """Guards against a health check beyond what the previous process has sent to a cold server."""

    async def scenario(node):
        node.health_cold_seconds = 3
        node.record_store_read(previous_entry())
        await asyncio.sleep(1)
        assert not node.probes
        await asyncio.sleep(1)
        assert node.probes == 1 and node.phase is ServerPhase.READY
        assert 2 < node.cold_start.cold_seconds < 3

    run_scenario(scenario, ColdLimit(start_seconds=4, requests_per_second=7.5))
