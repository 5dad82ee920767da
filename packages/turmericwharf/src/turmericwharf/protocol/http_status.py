"""Maps the outcomes of requests to HTTP responses."""

import dataclasses
from functools import singledispatch
from types import MappingProxyType
from typing import Any

import msgspec

from turmericwharf.state import (
    Answered,
    Headers,
    NotRun,
    OutcomeUnknown,
    Reason,
)

OUTCOME_HEADER = 'Turmericwharf-Outcome'

_SERVICE_UNAVAILABLE = 503
_BAD_GATEWAY = 502
_GATEWAY_TIMEOUT = 504

_NOT_RUN_STATUS_BY_REASON = MappingProxyType(
    {
        Reason.REQUEST_ID_INVALID: 400,
        Reason.KEY_MISSING: 401,
        Reason.KEY_UNKNOWN: 401,
        Reason.KEY_WITHDRAWN: 401,
        Reason.KEY_MISPLACED: 400,
        Reason.REQUEST_MALFORMED: 400,
        Reason.ROUTE_UNKNOWN: 404,
        Reason.ROUTE_INTERNAL: 404,
        Reason.BODY_TOO_LARGE: 413,
        Reason.RATE_EXCEEDED: 429,
        Reason.CLAIM_IN_PROGRESS: 409,
        Reason.ALREADY_RUN: 409,
        Reason.IDEMPOTENCY_KEY_REUSED: 422,
        Reason.DEADLINE_PASSED: _GATEWAY_TIMEOUT,
    }
)
_OUTCOME_UNKNOWN_STATUS_BY_REASON = MappingProxyType(
    {
        Reason.ANSWER_TIMEOUT: _GATEWAY_TIMEOUT,
        Reason.PEER_TIMEOUT: _GATEWAY_TIMEOUT,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """Status, headers and body of a response to a client."""

    status: int
    headers: Headers
    body: bytes


def to_json_response(status: int, content: Any) -> HttpResponse:
    """Return the response with a value as JSON."""
    headers = (('Content-Type', 'application/json'),)
    return HttpResponse(status, headers, msgspec.json.encode(content))


@singledispatch
def to_http(outcome: object) -> HttpResponse:
    """Return the HTTP response for an outcome."""
    raise TypeError(f'expected the outcome of a request, got {outcome!r}')


@to_http.register
def _(outcome: Answered) -> HttpResponse:
    headers = (*outcome.headers, (OUTCOME_HEADER, 'answered'))
    return HttpResponse(outcome.status, headers, outcome.body)


@to_http.register
def _(outcome: NotRun) -> HttpResponse:
    status = _NOT_RUN_STATUS_BY_REASON.get(outcome.reason, _SERVICE_UNAVAILABLE)
    return _explain_outcome(status, 'not-run', outcome)


@to_http.register
def _(outcome: OutcomeUnknown) -> HttpResponse:
    status = _OUTCOME_UNKNOWN_STATUS_BY_REASON.get(outcome.reason, _BAD_GATEWAY)
    return _explain_outcome(status, 'unknown', outcome)


def _explain_outcome(status: int, kind: str, outcome: NotRun | OutcomeUnknown) -> HttpResponse:
    body = msgspec.json.encode(
        {'outcome': kind, 'reason': outcome.reason.value, 'detail': outcome.detail},
    )
    headers = (('Content-Type', 'application/json'), (OUTCOME_HEADER, kind))
    return HttpResponse(status, headers, body)
