"""The node's HTTP interfaces in the platform's words."""

import re

from loguru import logger

from turmericwharf.coordination import dump_parts
from turmericwharf.coordination.sidecar import SidecarNode, name_outcome
from turmericwharf.platform.announcements import read_heartbeat, read_leave
from turmericwharf.platform.dialect import PlatformDialect
from turmericwharf.protocol import HttpResponse, HttpRequest, to_operator_response
from turmericwharf.transport.metrics import LatencyHistogram, render_metrics

_OK = 200
_DUMP_PATH = '/state'
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_JSON = (('Content-Type', 'application/json'),)
_HEARTBEAT = re.compile(r'/Instances\.Heartbeat/([^/?]+)')
_DEREGISTER = re.compile(r'/Instances\.Deregister/([^/?]+)')


class PlatformPages:
    """Answers clients, readiness checks, announcements and operators."""

    def __init__(self, node: SidecarNode, dialect: PlatformDialect) -> None:
        self._node = node
        self._dialect = dialect
        self._latencies = LatencyHistogram()

    async def serve_client(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of a client or of the own backend server."""
        began_at = self._node.clock.now()
        read = self._dialect.read_request(request)
        outcome = await self._node.entry.serve(read)
        self._latencies.record(name_outcome(outcome), self._node.clock.now() - began_at)
        return self._dialect.write_outcome(read, outcome)

    async def serve_readiness(self, request: HttpRequest) -> HttpResponse:
        """Answer a readiness check."""
        return HttpResponse(_OK if self._node.is_ready else _UNAVAILABLE, (), b'')

    async def serve_announcement(self, request: HttpRequest) -> HttpResponse:
        """Answer an announcement of the backend server."""
        beat = _HEARTBEAT.match(request.target)
        leave = _DEREGISTER.match(request.target)
        if beat is not None:
            announced = read_heartbeat(beat.group(1), request.body)
            if announced is not None:
                await self._node.announcements.announce(announced)
        elif leave is not None:
            announced = read_leave(leave.group(1), request.body)
            if announced is not None:
                await self._node.announcements.leave(announced)
        else:
            return HttpResponse(_NOT_FOUND, _JSON, b'{}')
        if announced is None:
            logger.bind(target=request.target).warning('announcement_unreadable')
            return HttpResponse(_BAD_REQUEST, _JSON, b'{}')
        return HttpResponse(_OK, _JSON, b'{}')

    async def serve_operator(self, request: HttpRequest) -> HttpResponse:
        """Answer with the metrics, or with the state dump at its own path."""
        if request.target == _DUMP_PATH:
            return to_operator_response(dump_parts(self._node))
        return render_metrics(self._node, self._latencies)
