"""HTTP handlers of a node on the platform."""

import re

from loguru import logger

from turmericwharf.coordination import dump_parts
from turmericwharf.coordination.sidecar import SidecarNode, name_outcome, with_retry_time
from turmericwharf.platform.announcements import read_heartbeat, read_leave
from turmericwharf.platform.dialect import PlatformDialect
from turmericwharf.protocol import HttpRequest, HttpResponse, to_json_response
from turmericwharf.state import NotRun
from turmericwharf.transport.metrics import LatencyHistogram, render_metrics

_OK = 200
_DUMP_PATH = '/state'
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_JSON = (('Content-Type', 'application/json'),)
_HEARTBEAT = re.compile(r'/Instances\.Heartbeat/([^/?]+)')
_DEREGISTER = re.compile(r'/Instances\.Deregister/([^/?]+)')


class PlatformHandlers:
    """Handles the requests of clients, readiness checks, backend servers and operators."""

    def __init__(self, node: SidecarNode, dialect: PlatformDialect) -> None:
        self._node = node
        self._dialect = dialect
        self._latencies = LatencyHistogram()

    async def serve_client(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of a client or of the local backend server."""
        began_at = self._node.clock.now()
        fleet_request = self._dialect.read_request(request)
        outcome = await self._node.entry.serve(fleet_request)
        self._latencies.record(name_outcome(outcome), self._node.clock.now() - began_at)
        return self._dialect.write_outcome(fleet_request, outcome)

    def refuse(self, refusal: NotRun) -> HttpResponse:
        """Return the response to a request that was not read completely."""
        return self._dialect.write_refusal(with_retry_time(refusal))

    async def serve_readiness(self, request: HttpRequest) -> HttpResponse:
        """Answer a readiness check."""
        return HttpResponse(_OK if self._node.is_ready else _UNAVAILABLE, (), b'')

    async def serve_announcement(self, request: HttpRequest) -> HttpResponse:
        """Answer an announcement of the backend server."""
        service = self._node.announcements
        for pattern, read, apply in (
            (_HEARTBEAT, read_heartbeat, service.apply_announcement),
            (_DEREGISTER, read_leave, service.apply_leave_notice),
        ):
            target = pattern.match(request.target)
            if target is None:
                continue
            announcement = read(target.group(1), request.body)
            if announcement is None:
                logger.bind(target=request.target).warning('announcement_unreadable')
                return HttpResponse(_BAD_REQUEST, _JSON, b'{}')
            is_accepted = await apply(announcement)
            return HttpResponse(_OK if is_accepted else _UNAVAILABLE, _JSON, b'{}')
        return HttpResponse(_NOT_FOUND, _JSON, b'{}')

    async def serve_operator(self, request: HttpRequest) -> HttpResponse:
        """Answer `/state` with the state dump and any other path with the metrics."""
        if request.target == _DUMP_PATH:
            return to_json_response(_OK, dump_parts(self._node))
        return render_metrics(dump_parts(self._node), self._latencies)
