"""Translates decisions on operators' requests to status and JSON."""

from functools import singledispatch
from types import MappingProxyType
from typing import Any

import msgspec

from turmericwharf.protocol.http_status import HttpResponse
from turmericwharf.protocol.log_records import decode_record
from turmericwharf.state import (
    Failure,
    InForceStatus,
    ProtocolFailure,
    Publish,
    PublishFailure,
    PublishReceipt,
    Reason,
)

_OK = 200
_ACCEPTED = 202
_BAD_REQUEST = 400
_UNAUTHORISED = 401
_NOT_FOUND = 404
_CONFLICT = 409
_UNPROCESSABLE = 422
_UNAVAILABLE = 503

_STATUS_BY_REASON = MappingProxyType(
    {
        Reason.OPERATOR_UNKNOWN: _UNAUTHORISED,
        Reason.PAGE_UNKNOWN: _NOT_FOUND,
        Reason.OBJECT_UNKNOWN: _NOT_FOUND,
        Reason.CHANGE_MALFORMED: _BAD_REQUEST,
        Reason.CHANGE_INVALID: _UNPROCESSABLE,
        Reason.CONFLICT: _CONFLICT,
    },
)


@singledispatch
def to_operator_response(content: object) -> HttpResponse:
    """Return the page that shows a value or a failure to an operator."""
    return _json(_OK, content)


@to_operator_response.register
def _(content: Failure) -> HttpResponse:
    return _json(_STATUS_BY_REASON.get(content.reason, _UNAVAILABLE), content)


def to_publish_response(receipt: PublishReceipt, in_force: InForceStatus) -> HttpResponse:
    """Return the page for a change that is in the log."""
    page = {'receipt': receipt, **msgspec.to_builtins(in_force)}
    return _json(_OK if in_force.accepted else _ACCEPTED, page)


def to_rejection_response(receipt: PublishReceipt) -> HttpResponse:
    """Return the page for a change that was rejected."""
    reason = Reason.CONFLICT if receipt.conflicts else Reason.CHANGE_INVALID
    page = {'reason': reason, 'detail': _explain(receipt), 'receipt': receipt}
    return _json(_STATUS_BY_REASON[reason], page)


def decode_change(encoded: bytes, operator: str) -> Publish | PublishFailure:
    """Decode an operator's change; the name of the operator is the authenticated one."""
    try:
        plain = msgspec.json.decode(encoded)
    except msgspec.DecodeError as error:
        return PublishFailure(Reason.CHANGE_MALFORMED, f'not JSON: {error}')
    return decode_plain_change(plain, operator)


def decode_plain_change(plain: Any, operator: str) -> Publish | PublishFailure:
    """Decode a change from plain values."""
    if not isinstance(plain, dict):
        return PublishFailure(Reason.CHANGE_MALFORMED, 'a change is a JSON object')
    record = decode_record(
        {'type': 'publish', 'record': {**plain, 'operator': operator}},
        reject_unknown_fields=True,
    )
    if isinstance(record, Publish):
        return record
    detail = record.detail if isinstance(record, ProtocolFailure) else ''
    return PublishFailure(Reason.CHANGE_MALFORMED, detail)


def _explain(receipt: PublishReceipt) -> str:
    conflicts = (
        f'{one.object_name} was changed at version {one.version} by '
        f'{one.operator or "an operator"} (publish id {one.publish_id or "no longer kept"})'
        for one in receipt.conflicts
    )
    problems = (
        f'{one.object_name}: {one.field} is {one.found}; valid is {one.valid}'
        for one in receipt.problems
    )
    return '; '.join((*conflicts, *problems))


def _json(status: int, content: Any) -> HttpResponse:
    headers = (('Content-Type', 'application/json'),)
    return HttpResponse(status, headers, msgspec.json.encode(content))
