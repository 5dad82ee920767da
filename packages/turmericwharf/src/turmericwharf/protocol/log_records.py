"""Converts records of the platform's log to and from plain values for JSON."""

from types import MappingProxyType
from typing import Any

import msgspec

from turmericwharf import state
from turmericwharf.protocol.conversion_errors import explain_conversion_error
from turmericwharf.protocol.json_decoding import decode_json
from turmericwharf.protocol.unknown_fields import find_unknown_fields

_TYPES_BY_NAME: MappingProxyType[str, type[state.LogRecord]] = MappingProxyType(
    {
        'publish': state.Publish,
        'joined': state.Joined,
        'left': state.Left,
        'removed': state.Removed,
        'claimed': state.Claimed,
        'released': state.Released,
        'finished': state.Finished,
        'snapshot_part': state.SnapshotPart,
        'snapshot_written': state.SnapshotWritten,
    }
)
_NAMES_BY_TYPE = MappingProxyType(
    {record_type: name for name, record_type in _TYPES_BY_NAME.items()},
)


def encode_record(record: state.LogRecord) -> dict[str, Any]:
    """Return a record and its type name as plain values."""
    return {'type': _NAMES_BY_TYPE[type(record)], 'record': msgspec.to_builtins(record)}


def decode_record(
    plain: Any,
    *,
    reject_unknown_fields: bool = False,
) -> state.LogRecord | state.ProtocolFailure:
    """Return the record, or a failure that describes why it is invalid.

    Parameters
    ----------
    plain
        Decoded JSON.
    reject_unknown_fields
        Whether unknown fields are errors. In the log they may come from a later version of the
        software; in an operator's change they are mistakes.
    """
    if not isinstance(plain, dict):
        return state.ProtocolFailure(
            state.Reason.FRAME_MALFORMED, f'expected a record object, got {plain!r}'
        )
    record_type = _TYPES_BY_NAME.get(plain.get('type', ''))
    if record_type is None:
        return state.ProtocolFailure(
            state.Reason.FRAME_TYPE_UNKNOWN,
            f'unknown record type {plain.get("type")!r}; expected one of {sorted(_TYPES_BY_NAME)}',
        )
    if reject_unknown_fields:
        unknown = next(find_unknown_fields(plain.get('record'), record_type), None)
        if unknown is not None:
            return state.ProtocolFailure(state.Reason.FRAME_MALFORMED, unknown)
    try:
        return msgspec.convert(plain.get('record'), type=record_type)
    except msgspec.ValidationError as error:
        detail = explain_conversion_error(error, plain.get('record'), record_type)
        return state.ProtocolFailure(state.Reason.FRAME_MALFORMED, f'{plain["type"]}: {detail}')


def decode_log_page(encoded: bytes) -> state.LogPage | state.ProtocolFailure:
    """Decode the log's response to a read, skipping records that cannot be decoded."""
    try:
        page = decode_json(encoded, _PlainPage)
    except msgspec.DecodeError as error:
        return state.ProtocolFailure(
            state.Reason.FRAME_MALFORMED, f'invalid page of records: {error}'
        )
    records = tuple(
        state.StoredRecord(plain.offset, record)
        for plain in page.records
        if not isinstance(record := decode_record(plain.record), state.ProtocolFailure)
    )
    return state.LogPage(records, page.earliest_offset, page.next_offset)


class _PlainRecord(msgspec.Struct, frozen=True):
    offset: int
    record: Any


class _PlainPage(msgspec.Struct, frozen=True):
    records: list[_PlainRecord]
    earliest_offset: int
    next_offset: int
