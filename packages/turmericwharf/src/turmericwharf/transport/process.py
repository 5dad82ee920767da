"""Lifecycle of a node process: start, serve, drain, stop."""

import asyncio
import resource
import time
from collections.abc import Callable

from loguru import logger

from turmericwharf.coordination import Node, Ports, build_node
from turmericwharf.coordination.memory import MemoryBudget, derive_limits
from turmericwharf.protocol import SnapshotEncoding
from turmericwharf.state import (
    Left,
    LimitSettings,
    MachineLimits,
    Member,
    NodeSettings,
    make_incarnation,
)
from turmericwharf.transport.announce_server import AnnounceServer
from turmericwharf.transport.backend_client import HttpBackendClient
from turmericwharf.transport.caller_server import CallerServer
from turmericwharf.transport.clock import BootClock, UtcClock
from turmericwharf.transport.log_client import HttpLog
from turmericwharf.transport.operator_server import OperatorServer
from turmericwharf.transport.peer_link import PeerLinkTable
from turmericwharf.transport.peer_server import PeerServer

_MIN_DRAIN_SECONDS = 1.0
_READY_TIMEOUT_SECONDS = 3.0
# Part of the shutdown time that is reserved for answering stuck requests, appending the last record
# and closing connections.
_STOP_RESERVE_SECONDS = 3.0
_ABORT_TIMEOUT_SECONDS = 1.0
_POLL_INTERVAL_SECONDS = 0.05
_NANOSECONDS_PER_MILLISECOND = 1_000_000


class NodeProcess:
    """Servers, clients and tasks of one node process.

    Parameters
    ----------
    settings
        Settings of the node.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        local_member = Member(
            instance=settings.instance,
            incarnation=make_incarnation(time.time_ns() // _NANOSECONDS_PER_MILLISECOND),
            host=settings.listen.host,
            port=settings.listen.advertised_peer_port or settings.listen.peer_port,
            data_centre=settings.data_centre,
        )
        self._log = HttpLog(settings.log, source_host=settings.listen.host)
        self._links = PeerLinkTable(local_member, settings)
        clock = BootClock()
        memory = MemoryBudget(derive_limits(_machine_limits(settings.limits)), clock)
        self._backend_client = HttpBackendClient(settings.limits)
        self.node: Node = build_node(
            settings=settings,
            own=local_member,
            ports=Ports(
                clock=clock,
                wall_clock=UtcClock(),
                log=self._log,
                codec=SnapshotEncoding(),
                links=self._links,
                server=self._backend_client,
                memory=memory,
            ),
        )
        self._links.attach_members(self.node.members)
        self._caller_server = CallerServer(self.node)
        self._operator_server = OperatorServer(self.node)
        self._announce_server = AnnounceServer(self.node, self._backend_client)
        self._peer_server = PeerServer(self.node)

    async def run(self, stopping: asyncio.Event) -> None:
        """Run the node until `stopping` is set, then drain and stop it."""
        await self._peer_server.start()
        self._operator_server.start()
        self._announce_server.start()
        tasks = [
            asyncio.create_task(self.node.control_log.follow()),
            asyncio.create_task(self.node.gossiper.run()),
            asyncio.create_task(self.node.confirmer.run()),
            asyncio.create_task(self.node.limiter.loans.run()),
            asyncio.create_task(self.node.limiter.run()),
            asyncio.create_task(self.node.remover.run()),
            asyncio.create_task(self.node.joiner.run()),
            asyncio.create_task(self.node.snapshots.run()),
            asyncio.create_task(self.node.entry.pause_detector.run()),
        ]
        await self._wait_until_ready(stopping)
        self._caller_server.start()
        logger.bind(instance=self._settings.instance).info('node_started')
        await self._wait_for_stop(stopping, tasks)
        await self._drain()
        for task in tasks:
            task.cancel()
        await self._stop()
        logger.bind(instance=self._settings.instance).info('node_stopped')

    async def _wait_until_ready(self, stopping: asyncio.Event) -> None:
        # Callers whose connections are refused try another node. If neither the log nor a peer
        # answers within the timeout, connections are accepted so that requests are rejected with
        # the reason.
        await _wait_while(
            lambda: not (self.node.entry.is_ready or stopping.is_set()),
            asyncio.get_running_loop().time() + _READY_TIMEOUT_SECONDS,
        )

    async def _wait_for_stop(
        self,
        stopping: asyncio.Event,
        tasks: list[asyncio.Task[None]],
    ) -> None:
        stop_requested = asyncio.create_task(stopping.wait())
        ended, _running = await asyncio.wait(
            [stop_requested, *tasks],
            return_when=asyncio.FIRST_COMPLETED,
        )
        stop_requested.cancel()
        if self.node.members.superseded_by is not None:
            logger.bind(by=self.node.members.superseded_by.incarnation).warning('node_superseded')
        for task in ended:
            # A node that continued without one of its tasks would serve from stale state.
            if task.exception() is not None:
                logger.opt(exception=task.exception()).error('task_failed')

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.node.executor.drain()
        # Notify peers at once, instead of with the next gossip round, that this server is draining.
        self.node.gossiper.broadcast_local_report()
        await self._caller_server.drain()
        shutdown_seconds = self._settings.limits.shutdown_seconds
        deadline = started_at + max(shutdown_seconds - _STOP_RESERVE_SECONDS, _MIN_DRAIN_SECONDS)
        idle_at = min(started_at + self._caller_server.idle_seconds, deadline)
        await asyncio.sleep(_MIN_DRAIN_SECONDS)
        # Callers may send further requests on an open connection until the announced keep-alive
        # timeout expires.
        await _wait_while(lambda: bool(self._caller_server.connections), idle_at)
        await _wait_while(self._is_busy, deadline)
        self._caller_server.abort()
        await _wait_while(
            lambda: bool(self._caller_server.in_progress), deadline + _ABORT_TIMEOUT_SECONDS
        )
        local_member = self.node.members.own
        await self.node.control_log.append_record(
            Left(local_member.instance, local_member.incarnation)
        )

    def _is_busy(self) -> bool:
        node = self.node
        return any(
            (
                self._caller_server.in_progress,
                node.executor.in_progress,
                node.entry.in_progress,
                node.claims.recording,
            ),
        )

    async def _stop(self) -> None:
        await self._caller_server.stop()
        await self._announce_server.stop()
        await self._operator_server.stop()
        self._links.close()
        await self._peer_server.stop()
        self._backend_client.close()
        self._log.close()


def _machine_limits(limits: LimitSettings) -> MachineLimits:
    descriptors = limits.descriptors
    if not descriptors:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MachineLimits(limits.memory_megabytes, descriptors)


async def _wait_while(condition: Callable[[], bool], deadline: float) -> None:
    loop = asyncio.get_running_loop()
    while condition() and loop.time() < deadline:
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)
