"""The life of a sidecar node's process: start, serve, drain, stop."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from turmericwharf.coordination.sidecar import SidecarNode
from turmericwharf.protocol import HttpResponse, HttpRequest
from turmericwharf.transport.sidecar.http_listener import HttpListener
from turmericwharf.transport.sidecar.links import FleetLinkTable
from turmericwharf.transport.sidecar.peer_listener import PeerListener

_POLL_SECONDS = 0.05
# Clients go on sending until two readiness checks, a second apart, have failed.
_LINGER_SECONDS = 2.6
# Left of the grace time for the end of the process.
_EXIT_SECONDS = 0.8
_FINISH_SECONDS = 0.2


class SidecarHandlers(Protocol):
    """Answers of the node's HTTP interfaces."""

    async def serve_client(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of a client or of the own backend server."""

    async def serve_readiness(self, request: HttpRequest) -> HttpResponse:
        """Answer a readiness check."""

    async def serve_announcement(self, request: HttpRequest) -> HttpResponse:
        """Answer an announcement of the backend server."""

    async def serve_operator(self, request: HttpRequest) -> HttpResponse:
        """Answer with metrics or the state dump."""


class SidecarProcess:
    """Everything that one process runs.

    Parameters
    ----------
    node
        Decisions of the node.
    pages
        Answers of the HTTP interfaces.
    links
        Connections to other nodes.
    """

    def __init__(self, node: SidecarNode, pages: SidecarHandlers, links: FleetLinkTable) -> None:
        listen = node.settings.listen
        self._node = node
        self._links = links
        self._clients = HttpListener(
            listen.clients,
            pages.serve_client,
            lambda: node.holder.current.limits,
        )
        self._others = (
            HttpListener(listen.readiness, pages.serve_readiness),
            HttpListener(listen.announcements, pages.serve_announcement),
            HttpListener(listen.operators, pages.serve_operator),
        )
        self._peers = PeerListener(node)

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until `stopping` is set, then drain and stop."""
        node = self._node
        await self._peers.start()
        for listener in (*self._others, self._clients):
            await listener.start()
        tasks = [
            asyncio.create_task(node.configuration_follower.run()),
            asyncio.create_task(node.membership_follower.run()),
            asyncio.create_task(node.publisher.run()),
            asyncio.create_task(node.spread.run()),
            asyncio.create_task(node.relay.run()),
            asyncio.create_task(node.recovery.run()),
        ]
        logger.bind(instance=node.settings.instance, process=node.directory.local.process).info(
            'node_started',
        )
        await self._wait_for_end(stopping, tasks)
        await self._drain()
        for task in tasks:
            task.cancel()
        await self._stop()
        logger.bind(instance=node.settings.instance).info('node_stopped')

    async def _wait_for_end(
        self,
        stopping: asyncio.Event,
        tasks: list[asyncio.Task[None]],
    ) -> None:
        told = asyncio.create_task(stopping.wait())
        ended, _running = await asyncio.wait([told, *tasks], return_when=asyncio.FIRST_COMPLETED)
        told.cancel()
        for task in ended:
            # A node without one of its tasks would go on with knowledge that no longer changes.
            if task.exception() is not None:
                logger.opt(exception=task.exception()).error('task_failed')

    async def _drain(self) -> None:
        node = self._node
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        logger.bind(in_progress=self._clients.in_progress).info('node_draining')
        node.announcements.is_stopping = True
        node.checks.is_stopping = True
        node.publisher.publish_stopping()
        self._clients.drain()
        deadline = started_at + node.bounds.current.grace_seconds - _EXIT_SECONDS
        await asyncio.sleep(_LINGER_SECONDS)
        # A request that comes later could not be finished in the grace time.
        node.entry.is_closed = True
        await _wait_while(self._is_busy, deadline)
        await self._clients.finish(_FINISH_SECONDS)

    def _is_busy(self) -> bool:
        return bool(self._clients.in_progress or self._node.gate.orders.in_progress)

    async def _stop(self) -> None:
        await self._clients.stop()
        for listener in self._others:
            await listener.stop()
        self._links.close()
        await self._peers.stop()


async def _wait_while(condition: Callable[[], bool], deadline: float) -> None:
    loop = asyncio.get_running_loop()
    while condition() and loop.time() < deadline:
        await asyncio.sleep(_POLL_SECONDS)
