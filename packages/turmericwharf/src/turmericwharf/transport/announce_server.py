"""Loopback HTTP server for announcements and lookups of the local backend server."""

import asyncio

import msgspec
from loguru import logger
from tornado.httpserver import HTTPServer

from turmericwharf.coordination import Node
from turmericwharf.protocol import HttpResponse, decode_json, read_caller_request, to_http
from turmericwharf.state import NotRun, Reason, ServerState, ServiceId
from turmericwharf.transport.backend_client import HttpBackendClient
from turmericwharf.transport.http_exchange import HttpExchange
from turmericwharf.transport.http_server import listen_http

_LOOPBACK = '127.0.0.1'
_MIN_POLL_INTERVAL_SECONDS = 0.1
_OK = 200
_BAD_REQUEST = 400
_ANNOUNCE_REQUEST = ('POST', '/announce')


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement of a backend server."""

    service: ServiceId
    slots: int
    state: ServerState
    port: int


class AnnounceServer:
    """Serves announcements and lookups of the local backend server."""

    def __init__(self, node: Node, backend_client: HttpBackendClient) -> None:
        self._node = node
        self._backend_client = backend_client
        self._server: HTTPServer | None = None
        self._last_announced_at = node.clock.now()
        self._expiry_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start listening on the announce port, on the loopback interface only."""
        self._server = listen_http(
            self._answer,
            host=_LOOPBACK,
            port=self._node.settings.listen.announce_port,
            body_bytes=self._node.settings.limits.request_body_bytes,
        )
        self._expiry_task = asyncio.create_task(self._expire_announcements())

    async def stop(self) -> None:
        """Close all connections."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    async def _answer(self, exchange: HttpExchange) -> HttpResponse:
        if (exchange.method, exchange.target) == _ANNOUNCE_REQUEST:
            return self._record_announcement(exchange)
        return await self._serve_lookup(exchange)

    def _record_announcement(self, exchange: HttpExchange) -> HttpResponse:
        try:
            announcement = decode_json(exchange.body, Announcement)
        except msgspec.DecodeError as error:
            return HttpResponse(_BAD_REQUEST, (), str(error).encode())
        self._last_announced_at = self._node.clock.now()
        self._backend_client.update_port(announcement.port)
        self._node.executor.record_announcement(
            announcement.service, announcement.slots, announcement.state
        )
        return HttpResponse(_OK, (), b'')

    async def _serve_lookup(self, exchange: HttpExchange) -> HttpResponse:
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

    async def _expire_announcements(self) -> None:
        expiry_seconds = self._node.settings.timing.announcement_seconds
        while True:
            age_seconds = self._node.clock.now() - self._last_announced_at
            if age_seconds > expiry_seconds:
                self._mark_server_cold()
            await asyncio.sleep(max(expiry_seconds - age_seconds, _MIN_POLL_INTERVAL_SECONDS))

    def _mark_server_cold(self) -> None:
        report = self._node.executor.report
        if report is not None and report.state is ServerState.READY:
            logger.bind(service=report.service).warning('announcements_stale')
            self._node.executor.record_announcement(report.service, report.slots, ServerState.COLD)
