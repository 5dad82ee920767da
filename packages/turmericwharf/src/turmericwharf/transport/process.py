"""The life of a node's process: start, serve, drain, stop."""

import asyncio
import time
from collections.abc import Callable

from loguru import logger

from turmericwharf.coordination import Node, Ports, build_node
from turmericwharf.protocol import SnapshotEncoding
from turmericwharf.state import (
    Left,
    Member,
    NodeSettings,
    make_incarnation,
)
from turmericwharf.transport.announce_server import AnnounceServer
from turmericwharf.transport.backend_client import HttpBackendServer
from turmericwharf.transport.caller_server import CallerServer
from turmericwharf.transport.clock import BootClock, UtcClock
from turmericwharf.transport.log_client import HttpLog
from turmericwharf.transport.operator_server import OperatorServer
from turmericwharf.transport.peer_link import PeerLinkTable
from turmericwharf.transport.peer_server import PeerServer

_LINGER_SECONDS = 1.0
_READY_SECONDS = 3.0
# Part of the shutdown time for answers to stuck requests, the last record and open connections.
_STOP_SECONDS = 3.0
_ABORT_SECONDS = 1.0
_POLL_SECONDS = 0.05
_NANOSECONDS_A_MILLISECOND = 1_000_000


class NodeProcess:
    """Everything that one process runs.

    Parameters
    ----------
    settings
        Settings of the node.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self._settings = settings
        own = Member(
            instance=settings.instance,
            incarnation=make_incarnation(time.time_ns() // _NANOSECONDS_A_MILLISECOND),
            host=settings.listen.host,
            port=settings.listen.advertised_peer_port or settings.listen.peer_port,
            data_centre=settings.data_centre,
        )
        self._log = HttpLog(settings.log, source_host=settings.listen.host)
        self._links = PeerLinkTable(own, settings)
        self._backend_server = HttpBackendServer(settings.limits)
        self.node: Node = build_node(
            settings=settings,
            own=own,
            ports=Ports(
                clock=BootClock(),
                wall_clock=UtcClock(),
                log=self._log,
                codec=SnapshotEncoding(),
                links=self._links,
                server=self._backend_server,
            ),
        )
        self._links.attach_members(self.node.members)
        self._callers = CallerServer(self.node)
        self._operators = OperatorServer(self.node)
        self._announcements = AnnounceServer(self.node, self._backend_server)
        self._peers = PeerServer(self.node)

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until `stopping` is set, then drain and stop."""
        await self._peers.start()
        self._operators.start()
        self._announcements.start()
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
        self._callers.start()
        logger.bind(instance=self._settings.instance).info('node_started')
        await self._wait_for_end(stopping, tasks)
        await self._drain()
        for task in tasks:
            task.cancel()
        await self._stop()
        logger.bind(instance=self._settings.instance).info('node_stopped')

    async def _wait_until_ready(self, stopping: asyncio.Event) -> None:
        # Callers that are refused a connection go elsewhere. If neither the log nor a peer answers
        # soon, they are let in and told the reason.
        await _wait_while(
            lambda: not (self.node.entry.is_ready or stopping.is_set()),
            asyncio.get_running_loop().time() + _READY_SECONDS,
        )

    async def _wait_for_end(
        self,
        stopping: asyncio.Event,
        tasks: list[asyncio.Task[None]],
    ) -> None:
        told = asyncio.create_task(stopping.wait())
        ended, _running = await asyncio.wait(
            [told, *tasks],
            return_when=asyncio.FIRST_COMPLETED,
        )
        told.cancel()
        if self.node.members.superseded_by is not None:
            logger.bind(by=self.node.members.superseded_by.incarnation).warning('node_superseded')
        for task in ended:
            # A node without one of its tasks would go on with knowledge that no longer changes.
            if task.exception() is not None:
                logger.opt(exception=task.exception()).error('task_failed')

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.node.executor.drain()
        # Peers must not learn from a later gossip round that this server takes no work.
        self.node.gossiper.broadcast_local_report()
        await self._callers.drain()
        shutdown_seconds = self._settings.limits.shutdown_seconds
        deadline = started_at + max(shutdown_seconds - _STOP_SECONDS, _LINGER_SECONDS)
        idle_at = min(started_at + self._callers.idle_seconds, deadline)
        await asyncio.sleep(_LINGER_SECONDS)
        # A caller may still send on an open connection for as long as it was told.
        await _wait_while(lambda: bool(self._callers.connections), idle_at)
        await _wait_while(self._is_busy, deadline)
        self._callers.abort()
        await _wait_while(lambda: bool(self._callers.in_progress), deadline + _ABORT_SECONDS)
        own = self.node.members.own
        await self.node.control_log.append_record(Left(own.instance, own.incarnation))

    def _is_busy(self) -> bool:
        node = self.node
        return any(
            (
                self._callers.in_progress,
                node.executor.in_progress,
                node.entry.in_progress,
                node.claims.recording,
            ),
        )

    async def _stop(self) -> None:
        await self._callers.stop()
        await self._announcements.stop()
        await self._operators.stop()
        self._links.close()
        await self._peers.stop()
        self._backend_server.close()
        self._log.close()


async def _wait_while(condition: Callable[[], bool], deadline: float) -> None:
    loop = asyncio.get_running_loop()
    while condition() and loop.time() < deadline:
        await asyncio.sleep(_POLL_SECONDS)
