"""HTTP client of a node's operator port."""

import asyncio
import dataclasses
import json
from typing import Any

from tornado.httpclient import HTTPRequest

from turmericwharf.transport import FetchFailure, fetch, make_client

# Exceeds the time after which a node gives up on a log that does not respond.
_REQUEST_TIMEOUT_SECONDS = 40.0
_UNREACHABLE_STATUS = 599


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorResponse:
    """Status and decoded JSON content of a response of the operator port."""

    status: int
    content: Any


class OperatorClient:
    """Client of the operator port of one node.

    Parameters
    ----------
    node
        URL of the operator port.
    token
        The operator's token.
    """

    def __init__(self, node: str, token: str) -> None:
        self.node = node.rstrip('/')
        self._token = token

    def get(self, path: str) -> OperatorResponse:
        """Send a GET request and return the response."""
        return self._fetch(path, None)

    def post(self, path: str, content: Any) -> OperatorResponse:
        """Send content as JSON in a POST request and return the response."""
        return self._fetch(path, json.dumps(content).encode())

    def _fetch(self, path: str, body: bytes | None) -> OperatorResponse:
        request = HTTPRequest(
            f'{self.node}{path}',
            method='GET' if body is None else 'POST',
            body=body,
            headers={'Authorization': f'Bearer {self._token}'},
            request_timeout=_REQUEST_TIMEOUT_SECONDS,
        )
        return asyncio.run(_fetch(request))


async def _fetch(request: HTTPRequest) -> OperatorResponse:
    client = make_client(1)
    try:
        response = await fetch(client, request)
    finally:
        client.close()
    if isinstance(response, FetchFailure):
        return OperatorResponse(
            _UNREACHABLE_STATUS, {'reason': 'unreachable', 'detail': response.detail}
        )
    try:
        return OperatorResponse(response.code, json.loads(response.body))
    except ValueError:
        detail = f'{request.url} did not return JSON; it is not an operator port'
        return OperatorResponse(_UNREACHABLE_STATUS, {'reason': 'unreachable', 'detail': detail})
