"""HTTP server for callers."""

from turmericwharf.coordination import Node
from turmericwharf.protocol import HttpResponse, read_caller_request, to_http
from turmericwharf.state import NotRun, Reason
from turmericwharf.transport.http_exchange import ExchangeResources, HttpExchange
from turmericwharf.transport.http_server import DrainableServer


class CallerServer:
    """Serves requests of callers over HTTP."""

    def __init__(self, node: Node) -> None:
        self._node = node
        limits = node.settings.limits
        self._server = DrainableServer(
            self._answer,
            body_bytes=limits.request_body_bytes,
            keep_alive_seconds=limits.keep_alive_seconds,
            resources=ExchangeResources(node.memory, node.memory.limits.client_connections),
        )

    @property
    def in_progress(self) -> int:
        """Number of requests that have not been answered yet."""
        return self._server.exchanges.in_progress

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self._server.exchanges.connections

    @property
    def idle_seconds(self) -> float:
        """Time after which an idle connection is closed."""
        return self._server.idle_seconds

    def start(self) -> None:
        """Start listening on the caller port."""
        listen = self._node.settings.listen
        self._server.start(listen.host, listen.caller_port)

    async def drain(self) -> None:
        """Accept no new connections and close each open connection after its next response."""
        await self._server.drain()

    def abort(self) -> None:
        """Answer all requests in progress with an unknown outcome."""
        self._server.exchanges.abort()

    async def stop(self) -> None:
        """Close all connections."""
        await self._server.stop()

    async def _answer(self, exchange: HttpExchange) -> HttpResponse:
        try:
            request = read_caller_request(
                exchange.method,
                exchange.target,
                exchange.headers,
                exchange.body,
            )
        except ValueError as error:
            return to_http(NotRun(Reason.REQUEST_MALFORMED, str(error)))
        outcome = await self._node.entry.serve(request)
        self._node.outcomes.record(outcome)
        if isinstance(outcome, NotRun) and self._node.executor.answer_room.is_short:
            # Requests that the caller has sent ahead would be refused one after the other.
            exchange.close_after_response()
        return to_http(outcome)
