"""Requests and answers of clients and backend servers in the platform's words."""

from types import MappingProxyType

from turmericwharf.platform import names
from turmericwharf.protocol import (
    HttpResponse,
    HttpRequest,
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
from turmericwharf.state.sidecar import FleetRequest, ServerAnswer, WorkOrder

_MILLISECONDS = 1000
_OK = 200
# Statuses that tell a client when to come back, and the seconds that it is told.
_COME_BACK = frozenset((429, 503))
_RETRY_SECONDS = '0.3'
# Statuses that the platform reads otherwise than the product's own interface.
_STATUS_BY_REASON = MappingProxyType(
    {
        Reason.DEADLINE_PASSED: 503,
        Reason.HEADERS_TOO_LARGE: 431,
        Reason.REQUEST_TIMEOUT: 408,
    },
)
_UNKNOWN_STATUS_BY_REASON = MappingProxyType({Reason.ANSWER_TIMEOUT: 504})


class PlatformDialect:
    """Translates between HTTP messages and the product's types."""

    def read_request(self, request: HttpRequest) -> FleetRequest:
        """Return a client's request."""
        by_name = {name.lower(): text for name, text in request.headers}
        key = by_name.get(names.KEY.lower())
        return FleetRequest(
            request=RequestId(by_name.get(names.REQUEST_ID.lower(), '')),
            method=request.method,
            target=request.target,
            host=request.host.lower(),
            headers=tuple(
                pair
                for pair in forwarded_headers(request.headers)
                if pair[0].lower() not in names.OWN_HEADERS
            ),
            body=request.body,
            key_digest=None if key is None else digest_key(key),
            remaining_seconds=_read_seconds(by_name.get(names.DEADLINE_MILLISECONDS.lower())),
        )

    def write_outcome(self, request: FleetRequest, outcome: Outcome) -> HttpResponse:
        """Return the answer for a client."""
        if isinstance(outcome, Answered):
            return HttpResponse(outcome.status, outcome.headers, outcome.body)
        answer = to_http(outcome)
        status = _status(outcome, answer.status)
        headers = (*answer.headers, (names.REQUEST_ID, request.request))
        if status in _COME_BACK:
            headers = (*headers, (names.RETRY_AFTER, _RETRY_SECONDS))
        return HttpResponse(status, headers, answer.body)

    def request_headers(self, order: WorkOrder, *, remaining_seconds: float) -> Headers:
        """Return the headers for the backend server."""
        milliseconds = max(int(remaining_seconds * _MILLISECONDS), 1)
        own = (
            ('Host', order.host),
            (names.DEADLINE_MILLISECONDS, str(milliseconds)),
            (names.EXPECTED_SERVER, order.server),
            (names.CALLER_SERVICE, order.caller_service),
        )
        organisation = ((names.ORGANISATION, order.organisation),) if order.organisation else ()
        return (*own, *organisation, *order.headers)

    def read_answer(self, response: ServerResponse) -> ServerAnswer:
        """Return what a backend server's answer says."""
        by_name = {name.lower(): text for name, text in response.headers}
        request = by_name.get(names.REQUEST_ID.lower())
        return ServerAnswer(
            status=response.status,
            headers=forwarded_headers(response.headers),
            body=response.body,
            request=None if request is None else RequestId(request),
            is_stamped=names.STAMP.lower() in by_name,
            is_not_executed=names.NOT_EXECUTED.lower() in by_name,
            is_encoded='content-encoding' in by_name,
        )

    def read_identity(self, response: ServerResponse) -> str | None:
        """Return the identifier in the answer of a healthy server, else None."""
        if response.status != _OK:
            return None
        by_name = {name.lower(): text for name, text in response.headers}
        return by_name.get(names.SERVER_ID.lower())


def _status(outcome: NotRun | OutcomeUnknown, status: int) -> int:
    if isinstance(outcome, NotRun):
        return _STATUS_BY_REASON.get(outcome.reason, status)
    return _UNKNOWN_STATUS_BY_REASON.get(outcome.reason, status)


def _read_seconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return float(text) / _MILLISECONDS
    except ValueError:
        return None
