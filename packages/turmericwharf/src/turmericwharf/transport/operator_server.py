"""HTTP server for operators: configuration, publishing, state dump and metrics."""

import hashlib
import hmac
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from tornado.httpserver import HTTPServer

from turmericwharf.coordination import Node, dump_parts, find_object
from turmericwharf.protocol import (
    HttpResponse,
    decode_change,
    to_publish_response,
    to_rejection_response,
    to_operator_response,
)
from turmericwharf.state import (
    OPERATOR_UNKNOWN,
    Publish,
    PublishFailure,
    PublishReceipt,
    Reason,
)
from turmericwharf.transport.http_exchange import HttpExchange
from turmericwharf.transport.http_server import listen_http
from turmericwharf.transport.metrics import render_metrics

_MAX_BODY_BYTES = 16_777_216
_BEARER_PREFIX = 'Bearer '
_OBJECT_PATH_PREFIX = '/configuration/'

_Handler: TypeAlias = Callable[[HttpExchange, str], Awaitable[HttpResponse]]


class OperatorServer:
    """Serves the command-line tool of operators and the metrics."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._server: HTTPServer | None = None
        self._handlers_by_request: dict[tuple[str, str], _Handler] = {
            ('GET', '/configuration'): self._show_configuration,
            ('GET', '/version'): self._show_version,
            ('GET', '/in-force'): self._show_in_force,
            ('GET', '/state'): self._dump_state,
            ('GET', '/metrics'): self._show_metrics,
            ('POST', '/check'): self._check,
            ('POST', '/publish'): self._publish,
        }

    def start(self) -> None:
        """Start listening on the operator port."""
        listen = self._node.settings.listen
        self._server = listen_http(
            self._answer,
            host=listen.host,
            port=listen.operator_port,
            body_bytes=_MAX_BODY_BYTES,
        )

    async def stop(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()

    async def _answer(self, exchange: HttpExchange) -> HttpResponse:
        operator = self._authenticate(exchange)
        if operator is None:
            return to_operator_response(OPERATOR_UNKNOWN)
        handler = self._handlers_by_request.get((exchange.method, exchange.target))
        if handler is not None:
            return await handler(exchange, operator)
        if exchange.method == 'GET' and exchange.target.startswith(_OBJECT_PATH_PREFIX):
            return self._show_object(exchange.target.removeprefix(_OBJECT_PATH_PREFIX))
        known_requests = sorted(' '.join(request) for request in self._handlers_by_request)
        detail = f'{exchange.method} {exchange.target} is not one of: {", ".join(known_requests)}'
        return to_operator_response(PublishFailure(Reason.PAGE_UNKNOWN, detail))

    def _authenticate(self, exchange: HttpExchange) -> str | None:
        headers_by_name = {name.lower(): text for name, text in exchange.headers}
        token = headers_by_name.get('authorization', '').removeprefix(_BEARER_PREFIX)
        digest = hashlib.sha256(token.encode()).hexdigest()
        for operator, known_digest in self._node.settings.operator_digests.items():
            if hmac.compare_digest(digest, known_digest):
                return operator
        return None

    async def _show_configuration(self, exchange: HttpExchange, operator: str) -> HttpResponse:
        return to_operator_response(self._node.control_log.configuration)

    async def _show_version(self, exchange: HttpExchange, operator: str) -> HttpResponse:
        control_log = self._node.control_log
        return to_operator_response(
            {'version': control_log.state.version, 'is_ready': control_log.is_ready}
        )

    async def _show_in_force(self, exchange: HttpExchange, operator: str) -> HttpResponse:
        version = self._node.control_log.configuration.version
        return to_operator_response(await self._node.in_force.query_members(version))

    async def _show_metrics(self, exchange: HttpExchange, operator: str) -> HttpResponse:
        return render_metrics(dump_parts(self._node))

    async def _check(self, exchange: HttpExchange, operator: str) -> HttpResponse:
        change = decode_change(exchange.body, operator)
        if isinstance(change, PublishFailure):
            return to_operator_response(change)
        receipt = self._node.publisher.dry_run(change)
        return to_operator_response(receipt) if receipt.accepted else to_rejection_response(receipt)

    async def _publish(self, exchange: HttpExchange, operator: str) -> HttpResponse:
        change = decode_change(exchange.body, operator)
        if not isinstance(change, Publish):
            return to_operator_response(change)
        receipt = await self._node.publisher.publish(change)
        if not isinstance(receipt, PublishReceipt):
            return to_operator_response(receipt)
        if not receipt.accepted:
            return to_rejection_response(receipt)
        return to_publish_response(receipt, await self._node.in_force.wait(receipt.version))

    async def _dump_state(self, exchange: HttpExchange, operator: str) -> HttpResponse:
        members = self._node.members
        return to_operator_response(
            {
                'member': members.own,
                'version': self._node.control_log.state.version,
                'has_standing': self._node.standing.has_standing,
                'has_log': self._node.standing.has_log,
                'membership': members.membership,
                'live_members': members.live_members(),
                'informed': members.is_caught_up,
                'superseded_by': members.superseded_by,
                'reports': list(members.reports()),
                'rates': self._node.limiter.counters(),
                'in_progress': self._node.executor.in_progress,
                'parts': dump_parts(self._node),
                'routing': self._node.router.dump(),
                'retries': self._node.retries.reports(),
            },
        )

    def _show_object(self, name: str) -> HttpResponse:
        configuration_object = find_object(name, self._node.control_log.configuration)
        if configuration_object is None:
            detail = f'{name!r} is not the kind and name of a configuration object'
            return to_operator_response(PublishFailure(Reason.OBJECT_UNKNOWN, detail))
        return to_operator_response(configuration_object)
