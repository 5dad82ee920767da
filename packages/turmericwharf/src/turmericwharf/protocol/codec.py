"""Encodes and decodes the messages between nodes as CBOR frames."""

import dataclasses
from functools import singledispatch
from types import MappingProxyType
from typing import Any

import cbor2
import msgspec

from turmericwharf import state
from turmericwharf.protocol.snapshots import decode_state, encode_state
from turmericwharf.state.sidecar import (
    ConfigurationReply,
    ConfigurationRequest,
    DirectoryReply,
    DirectoryRequest,
    Greeting,
    RetryReply,
    RetryRequest,
    TokenReply,
    TokenRequest,
    WorkAnswer,
    WorkCancel,
    WorkOrder,
)

# Type numbers are part of the wire format: never change one or reuse it for another type.
_TYPES_BY_NUMBER: MappingProxyType[int, type[state.Message]] = MappingProxyType(
    {
        1: state.Challenge,
        2: state.Proof,
        3: state.Welcome,
        4: state.FramePart,
        10: state.Execute,
        11: state.Cancel,
        12: state.Answered,
        13: state.NotRun,
        14: state.OutcomeUnknown,
        20: state.ClaimRequest,
        21: state.ClaimRelease,
        22: state.ClaimFinish,
        23: state.ClaimGranted,
        24: state.ClaimTaken,
        25: state.ClaimFailed,
        26: state.KeptAnswerRequest,
        27: state.ClaimOutcomeRequest,
        30: state.LoanRequest,
        31: state.LoanGranted,
        32: state.LoanRefused,
        33: state.SliceRequest,
        34: state.SliceGranted,
        40: state.Gossip,
        41: state.PeerIntroduction,
        42: state.GossipRequest,
        43: state.ReportsRequest,
        44: state.Reports,
        45: state.OutlierHint,
        50: state.SnapshotRequest,
        51: state.ControlSnapshot,
        52: state.InForceRequest,
        53: state.InForceAnswer,
        60: state.Acknowledged,
        70: Greeting,
        71: WorkOrder,
        72: WorkAnswer,
        73: WorkCancel,
        74: ConfigurationRequest,
        75: ConfigurationReply,
        76: DirectoryRequest,
        77: DirectoryReply,
        78: TokenRequest,
        79: TokenReply,
        80: RetryRequest,
        81: RetryReply,
    }
)
_NUMBERS_BY_TYPE = MappingProxyType(
    {message_type: number for number, message_type in _TYPES_BY_NUMBER.items()},
)
_FIELDS_BY_TYPE = MappingProxyType(
    {
        message_type: tuple(field.name for field in dataclasses.fields(message_type))
        for message_type in _NUMBERS_BY_TYPE
    },
)
_FRAME_ELEMENTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """A message with the correlation id that matches an answer to its request.

    Parameters
    ----------
    correlation
        Number of the request on its connection; 0 for messages without an answer.
    """

    correlation: int
    message: state.Message


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as an array of type number, correlation id and fields in declaration order."""
    number = _NUMBERS_BY_TYPE[type(frame.message)]
    return cbor2.dumps([number, frame.correlation, _encode_fields(frame.message)])


def decode_frame(encoded: bytes) -> Frame | state.ProtocolFailure:
    """Decode a frame, or return a failure that describes why it is malformed."""
    try:
        parts = cbor2.loads(encoded)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return state.ProtocolFailure(state.Reason.FRAME_MALFORMED, f'invalid CBOR: {error}')
    if not _is_frame(parts):
        return state.ProtocolFailure(
            state.Reason.FRAME_MALFORMED,
            'expected an array of type number, correlation id and fields',
        )
    return _decode_parts(*parts)


@singledispatch
def _encode_fields(message: object) -> list[Any]:
    return list(msgspec.to_builtins(message, builtin_types=(bytes,)).values())


@_encode_fields.register
def _(message: state.ControlSnapshot) -> list[Any]:
    # Compressed, because 45,000 organisations with one key each would exceed the frame limit.
    return [None if message.state is None else encode_state(message.state)]


def _decode_snapshot(encoded: Any) -> state.ControlSnapshot | state.ProtocolFailure:
    if encoded is None:
        return state.ControlSnapshot(None)
    if not isinstance(encoded, bytes):
        return state.ProtocolFailure(
            state.Reason.FRAME_MALFORMED, 'control state: expected a byte string'
        )
    decoded = decode_state(encoded)
    if isinstance(decoded, state.ProtocolFailure):
        return decoded
    return state.ControlSnapshot(decoded)


def _is_frame(parts: Any) -> bool:
    if not isinstance(parts, list) or len(parts) != _FRAME_ELEMENTS:
        return False
    number, correlation, fields = parts
    return isinstance(number, int) and isinstance(correlation, int) and isinstance(fields, list)


def _decode_parts(
    number: int, correlation: int, fields: list[Any]
) -> Frame | state.ProtocolFailure:
    message_type = _TYPES_BY_NUMBER.get(number)
    if message_type is None:
        return state.ProtocolFailure(
            state.Reason.FRAME_TYPE_UNKNOWN,
            f'unknown message type {number}; expected one of {sorted(_TYPES_BY_NUMBER)}',
        )
    names = _FIELDS_BY_TYPE[message_type]
    if len(fields) != len(names):
        return state.ProtocolFailure(
            state.Reason.FRAME_MALFORMED,
            f'{message_type.__name__}: expected {len(names)} fields, got {len(fields)}',
        )
    if message_type is state.ControlSnapshot:
        snapshot = _decode_snapshot(fields[0])
        if isinstance(snapshot, state.ProtocolFailure):
            return snapshot
        return Frame(correlation, snapshot)
    try:
        message = msgspec.convert(dict(zip(names, fields, strict=True)), type=message_type)
    except (msgspec.ValidationError, TypeError) as error:
        return state.ProtocolFailure(
            state.Reason.FRAME_MALFORMED, f'{message_type.__name__}: {error}'
        )
    return Frame(correlation, message)
