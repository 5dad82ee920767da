"""Lifecycle of a sidecar node process: start, serve, drain, stop."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from loguru import logger

from turmericwharf.coordination.sidecar import SidecarNode
from turmericwharf.protocol import HttpResponse, HttpRequest
from turmericwharf.state import NotRun
from turmericwharf.state.sidecar import ClientLimits
from turmericwharf.transport.sidecar.http_listener import HttpListener, ListenerResources
from turmericwharf.transport.sidecar.links import FleetLinkTable
from turmericwharf.transport.sidecar.peer_listener import PeerListener
from turmericwharf.transport.sidecar.task_supervisor import TaskSupervisor

_POLL_INTERVAL_SECONDS = 0.05
# Clients continue to send requests until two consecutive readiness checks, one second apart, have
# failed.
_MIN_DRAIN_SECONDS = 2.6
# Part of the grace time that is reserved for stopping the process.
_EXIT_RESERVE_SECONDS = 0.8
_ABORT_TIMEOUT_SECONDS = 0.2
# Announcements of the backend server take less than 1 KiB.
_MAX_INTERNAL_BODY_BYTES = 1_048_576


class SidecarHandlers(Protocol):
    """Request handlers of the HTTP interfaces of a node."""

    async def serve_client(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of a client or of the local backend server."""

    def refuse(self, refusal: NotRun) -> HttpResponse:
        """Return the response to a request that was not read completely."""

    async def serve_readiness(self, request: HttpRequest) -> HttpResponse:
        """Answer a readiness check."""

    async def serve_announcement(self, request: HttpRequest) -> HttpResponse:
        """Answer an announcement of the backend server."""

    async def serve_operator(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of an operator for the metrics or the state dump."""


class SidecarProcess:
    """Servers, clients and tasks of one sidecar node process.

    Parameters
    ----------
    node
        Coordination layer of the node.
    handlers
        Request handlers of the HTTP interfaces.
    links
        Connections to other nodes.
    """

    def __init__(self, node: SidecarNode, handlers: SidecarHandlers, links: FleetLinkTable) -> None:
        listen = node.settings.listen
        self._node = node
        self._links = links
        self._client_listener = HttpListener(
            listen.clients,
            handlers.serve_client,
            lambda: node.holder.current.limits,
            ListenerResources(node.memory, node.memory.limits.client_connections, handlers.refuse),
        )
        internal = ListenerResources(node.memory, node.memory.limits.internal_connections)
        self._internal_listeners = tuple(
            HttpListener(address, handler, _internal_limits, internal)
            for address, handler in (
                (listen.readiness, handlers.serve_readiness),
                (listen.announcements, handlers.serve_announcement),
                (listen.operators, handlers.serve_operator),
            )
        )
        self._peer_listener = PeerListener(node)
        self._supervisor = TaskSupervisor()

    async def run(self, stopping: asyncio.Event) -> None:
        """Run the node until `stopping` is set, then drain and stop it."""
        node = self._node
        await self._peer_listener.start()
        for listener in (*self._internal_listeners, self._client_listener):
            await listener.start()
        tasks = [
            asyncio.create_task(self._supervisor.keep_running(part))
            for part in (
                node.configuration_follower,
                node.membership_follower,
                node.publisher,
                node.spread,
                node.source_follower,
                node.recovery,
                node.inquiry,
            )
        ]
        logger.bind(instance=node.settings.instance, process=node.directory.local.process).info(
            'node_started',
        )
        await stopping.wait()
        await self._drain()
        node.announcements.is_closed = True
        for task in tasks:
            task.cancel()
        await self._stop()
        logger.bind(instance=node.settings.instance).info('node_stopped')

    async def _drain(self) -> None:
        node = self._node
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        logger.bind(in_progress=self._client_listener.in_progress).info('node_draining')
        node.announcements.is_stopping = True
        node.checks.is_stopping = True
        node.publisher.publish_stopping()
        self._client_listener.drain()
        deadline = started_at + node.bounds.current.grace_seconds - _EXIT_RESERVE_SECONDS
        await asyncio.sleep(_MIN_DRAIN_SECONDS)
        # Requests that arrive later could not be completed within the grace time.
        node.entry.is_closed = True
        await _wait_while(self._is_busy, deadline)
        await self._client_listener.abort_pending(_ABORT_TIMEOUT_SECONDS)

    def _is_busy(self) -> bool:
        return bool(self._client_listener.in_progress or self._node.gate.orders.in_progress)

    async def _stop(self) -> None:
        await self._client_listener.stop()
        await asyncio.gather(*(listener.stop() for listener in self._internal_listeners))
        self._links.close()
        await self._peer_listener.stop()


def _internal_limits() -> ClientLimits:
    return ClientLimits(body_bytes=_MAX_INTERNAL_BODY_BYTES)


async def _wait_while(condition: Callable[[], bool], deadline: float) -> None:
    loop = asyncio.get_running_loop()
    while condition() and loop.time() < deadline:
        await asyncio.sleep(_POLL_INTERVAL_SECONDS)
