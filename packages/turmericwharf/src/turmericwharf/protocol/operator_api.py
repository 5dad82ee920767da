"""Decodes operators' changes and encodes the JSON responses to operators' requests."""

from functools import singledispatch
from types import MappingProxyType
from typing import Any

import msgspec

from turmericwharf.protocol.http_status import HttpResponse, to_json_response
from turmericwharf.protocol.json_decoding import decode_json
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
    """Return the response that contains a value or a failure."""
    return to_json_response(_OK, content)


@to_operator_response.register
def _(content: Failure) -> HttpResponse:
    return to_json_response(_STATUS_BY_REASON.get(content.reason, _UNAVAILABLE), content)


def to_publish_response(receipt: PublishReceipt, in_force: InForceStatus) -> HttpResponse:
    """Return the response for a change that was written to the log."""
    body = {'receipt': receipt, **msgspec.to_builtins(in_force)}
    return to_json_response(_OK if in_force.accepted else _ACCEPTED, body)


def to_rejection_response(receipt: PublishReceipt) -> HttpResponse:
    """Return the response for a rejected change."""
    reason = Reason.CONFLICT if receipt.conflicts else Reason.CHANGE_INVALID
    body = {'reason': reason, 'detail': _explain_rejection(receipt), 'receipt': receipt}
    return to_json_response(_STATUS_BY_REASON[reason], body)


def decode_change(encoded: bytes, operator: str) -> Publish | PublishFailure:
    """Decode an operator's change; the authenticated `operator` replaces any name in it."""
    try:
        plain = decode_json(encoded)
    except msgspec.DecodeError as error:
        return PublishFailure(Reason.CHANGE_MALFORMED, f'invalid JSON: {error}')
    return decode_plain_change(plain, operator)


def decode_plain_change(plain: Any, operator: str) -> Publish | PublishFailure:
    """Decode an operator's change from plain values."""
    if not isinstance(plain, dict):
        return PublishFailure(Reason.CHANGE_MALFORMED, 'expected a JSON object')
    record = decode_record(
        {'type': 'publish', 'record': {**plain, 'operator': operator}},
        reject_unknown_fields=True,
    )
    if isinstance(record, Publish):
        return record
    detail = record.detail if isinstance(record, ProtocolFailure) else ''
    return PublishFailure(Reason.CHANGE_MALFORMED, detail)


def _explain_rejection(receipt: PublishReceipt) -> str:
    conflicts = (
        f'{conflict.object_name} was changed at version {conflict.version} by '
        f'{conflict.operator or "an operator"} '
        f'(publish id {conflict.publish_id or "no longer kept"})'
        for conflict in receipt.conflicts
    )
    problems = (
        f'{problem.object_name}: {problem.field} is {problem.found}; expected: {problem.valid}'
        for problem in receipt.problems
    )
    return '; '.join((*conflicts, *problems))
