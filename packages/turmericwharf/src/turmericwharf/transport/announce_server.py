"""Loopback HTTP server for the own backend server: announcements and lookups."""

import asyncio

import msgspec
from loguru import logger
from tornado.httpserver import HTTPServer

from turmericwharf.coordination import Node
from turmericwharf.protocol import HttpResponse, read_caller_request, to_http
from turmericwharf.state import NotRun, Reason, ServerState, ServiceId
from turmericwharf.transport.backend_client import HttpBackendServer
from turmericwharf.transport.http_exchange import HttpExchange
from turmericwharf.transport.http_server import listen_http

_LOOPBACK = '127.0.0.1'
_POLL_SECONDS = 0.1
_OK = 200
_BAD_REQUEST = 400
_ANNOUNCEMENT = ('POST', '/announce')


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a backend server says of itself."""

    service: ServiceId
    slots: int
    state: ServerState
    port: int


class AnnounceServer:
    """Takes announcements and lookups of the own backend server."""

    def __init__(self, node: Node, server: HttpBackendServer) -> None:
        self._node = node
        self._backend_server = server
        self._server: HTTPServer | None = None
        self._announced_at = node.clock.now()
        self._watching: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen on the announce port, on loopback only."""
        self._server = listen_http(
            self._answer,
            host=_LOOPBACK,
            port=self._node.settings.listen.announce_port,
            body_bytes=self._node.settings.limits.request_body_bytes,
        )
        self._watching = asyncio.create_task(self._watch())

    async def stop(self) -> None:
        """Close all connections."""
        if self._watching is not None:
            self._watching.cancel()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    async def _answer(self, exchange: HttpExchange) -> HttpResponse:
        if (exchange.method, exchange.target) == _ANNOUNCEMENT:
            return self._announce(exchange)
        return await self._look_up(exchange)

    def _announce(self, exchange: HttpExchange) -> HttpResponse:
        try:
            announcement = msgspec.json.decode(exchange.body, type=Announcement)
        except msgspec.DecodeError as error:
            return HttpResponse(_BAD_REQUEST, (), str(error).encode())
        self._announced_at = self._node.clock.now()
        self._backend_server.update_port(announcement.port)
        self._node.executor.record_announcement(
            announcement.service, announcement.slots, announcement.state
        )
        return HttpResponse(_OK, (), b'')

    async def _look_up(self, exchange: HttpExchange) -> HttpResponse:
        try:
            request = read_caller_request(
                exchange.method,
                exchange.target,
                exchange.headers,
                exchange.body,
                from_service=True,
            )
        except ValueError as error:
            return to_http(NotRun(Reason.REQUEST_MALFORMED, str(error)))
        return to_http(await self._node.lookups.serve(request))

    async def _watch(self) -> None:
        allowed_seconds = self._node.settings.timing.announcement_seconds
        while True:
            silent_seconds = self._node.clock.now() - self._announced_at
            if silent_seconds > allowed_seconds:
                self._expire()
            await asyncio.sleep(max(allowed_seconds - silent_seconds, _POLL_SECONDS))

    def _expire(self) -> None:
        report = self._node.executor.report
        if report is not None and report.state is ServerState.READY:
            logger.bind(service=report.service).warning('announcements_stale')
            self._node.executor.record_announcement(report.service, report.slots, ServerState.COLD)
