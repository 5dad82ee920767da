"""Translates requests and responses between the platform's HTTP interface and the core types."""

import math
from types import MappingProxyType

from turmericwharf.platform import names
from turmericwharf.protocol import (
    HttpRequest,
    HttpResponse,
    ServerResponse,
    digest_key,
    forwarded_headers,
    to_http,
)
from turmericwharf.state import (
    Answered,
    Headers,
    NotRun,
    Outcome,
    OutcomeUnknown,
    Reason,
    RequestId,
)
from turmericwharf.state.sidecar import (
    DecodedResponse,
    FleetRequest,
    ServerHealth,
    ServerId,
    WorkOrder,
)

_MILLISECONDS_PER_SECOND = 1000
_OK = 200
# Statuses that carry a Retry-After header.
_RETRYABLE_STATUSES = frozenset((429, 503))
# Statuses for which the platform's interface differs from the product's own.
_NOT_RUN_STATUS_BY_REASON = MappingProxyType(
    {
        Reason.DEADLINE_PASSED: 503,
        Reason.HEADERS_TOO_LARGE: 431,
        Reason.REQUEST_TIMEOUT: 408,
    },
)
_OUTCOME_UNKNOWN_STATUS_BY_REASON = MappingProxyType({Reason.ANSWER_TIMEOUT: 504})


class PlatformDialect:
    """Translates between the platform's HTTP messages and the core types."""

    def read_request(self, request: HttpRequest) -> FleetRequest:
        """Return the request of a client."""
        headers_by_name = {name.lower(): text for name, text in request.headers}
        key = headers_by_name.get(names.API_KEY.lower())
        return FleetRequest(
            request=RequestId(headers_by_name.get(names.REQUEST_ID.lower(), '')),
            method=request.method,
            target=request.target,
            host=request.host.lower(),
            headers=tuple(
                pair
                for pair in forwarded_headers(request.headers)
                if pair[0].lower() not in names.NOT_FORWARDED_HEADERS
            ),
            body=request.body,
            key_digest=None if key is None else digest_key(key),
            remaining_seconds=_remaining_seconds(
                headers_by_name.get(names.DEADLINE_MILLISECONDS.lower()), request.waited_seconds
            ),
        )

    def write_outcome(self, request: FleetRequest, outcome: Outcome) -> HttpResponse:
        """Return the response to a client."""
        if isinstance(outcome, Answered):
            return HttpResponse(outcome.status, outcome.headers, outcome.body)
        response = _write_failure(outcome)
        headers = (*response.headers, (names.REQUEST_ID, request.request))
        return HttpResponse(response.status, headers, response.body)

    def write_refusal(self, refusal: NotRun) -> HttpResponse:
        """Return the response to a request that was not read completely."""
        return _write_failure(refusal)

    def request_headers(self, order: WorkOrder, *, remaining_seconds: float) -> Headers:
        """Return the headers of a request to the backend server."""
        milliseconds = max(int(remaining_seconds * _MILLISECONDS_PER_SECOND), 1)
        node_headers = (
            ('Host', order.host),
            (names.DEADLINE_MILLISECONDS, str(milliseconds)),
            (names.EXPECTED_SERVER, order.server),
            (names.CALLER_SERVICE, order.caller_service),
        )
        organisation = ((names.ORGANISATION, order.organisation),) if order.organisation else ()
        return (*node_headers, *organisation, *order.headers)

    def read_response(self, response: ServerResponse) -> DecodedResponse:
        """Return the response of a backend server with the platform's headers decoded."""
        headers_by_name = {name.lower(): text for name, text in response.headers}
        request = headers_by_name.get(names.REQUEST_ID.lower())
        return DecodedResponse(
            status=response.status,
            headers=forwarded_headers(response.headers),
            body=response.body,
            request=None if request is None else RequestId(request),
            is_stamped=names.RESPONSE_STAMP.lower() in headers_by_name,
            is_not_executed=names.NOT_EXECUTED.lower() in headers_by_name,
            is_encoded='content-encoding' in headers_by_name,
        )

    def read_health(self, response: ServerResponse) -> ServerHealth | None:
        """Return what a health check response says of its server.

        Returns
        -------
        ServerHealth or None
            None if the status is not 200 or the server does not state its identifier.
        """
        if response.status != _OK:
            return None
        headers_by_name = {name.lower(): text for name, text in response.headers}
        server = headers_by_name.get(names.SERVER_ID.lower())
        if server is None:
            return None
        cold_seconds = _read_seconds(headers_by_name.get(names.COLD_MILLISECONDS.lower()))
        return ServerHealth(
            ServerId(server), None if cold_seconds is None else max(cold_seconds, 0)
        )


def _write_failure(outcome: NotRun | OutcomeUnknown) -> HttpResponse:
    response = to_http(outcome)
    status = _platform_status(outcome, response.status)
    headers = response.headers
    retry_seconds = outcome.retry_seconds if isinstance(outcome, NotRun) else None
    if status in _RETRYABLE_STATUSES and retry_seconds is not None:
        headers = (*headers, (names.RETRY_AFTER, str(retry_seconds)))
    return HttpResponse(status, headers, response.body)


def _platform_status(outcome: NotRun | OutcomeUnknown, status: int) -> int:
    if isinstance(outcome, NotRun):
        return _NOT_RUN_STATUS_BY_REASON.get(outcome.reason, status)
    return _OUTCOME_UNKNOWN_STATUS_BY_REASON.get(outcome.reason, status)


def _remaining_seconds(text: str | None, waited_seconds: float) -> float | None:
    seconds = _read_seconds(text)
    return None if seconds is None else max(seconds - waited_seconds, 0)


def _read_seconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        seconds = float(text) / _MILLISECONDS_PER_SECOND
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) else None
