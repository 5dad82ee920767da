"""Encodes and decodes the messages between nodes as CBOR frames."""

import dataclasses
import functools
from types import MappingProxyType
from typing import Any

import cbor2
import msgspec

from turmericwharf import protocol, state

# Type numbers are part of the wire format: never change one or reuse it for another type. A type is
# loaded when its number is first used, since a process uses the messages of one interface only.
_NAMES_BY_NUMBER = MappingProxyType(
    {
        1: 'Challenge',
        2: 'Proof',
        3: 'Welcome',
        4: 'FramePart',
        10: 'Execute',
        11: 'Cancel',
        12: 'Answered',
        13: 'NotRun',
        14: 'OutcomeUnknown',
        20: 'ClaimRequest',
        21: 'ClaimRelease',
        22: 'ClaimFinish',
        23: 'ClaimGranted',
        24: 'ClaimTaken',
        25: 'ClaimFailed',
        26: 'KeptAnswerRequest',
        27: 'ClaimOutcomeRequest',
        30: 'LoanRequest',
        31: 'LoanGranted',
        32: 'LoanRefused',
        33: 'SliceRequest',
        34: 'SliceGranted',
        40: 'Gossip',
        41: 'PeerIntroduction',
        42: 'GossipRequest',
        43: 'ReportsRequest',
        44: 'Reports',
        45: 'OutlierHint',
        50: 'SnapshotRequest',
        51: 'ControlSnapshot',
        52: 'InForceRequest',
        53: 'InForceAnswer',
        60: 'Acknowledged',
        70: 'Greeting',
        71: 'WorkOrder',
        72: 'WorkAnswer',
        73: 'WorkCancel',
        74: 'ConfigurationRequest',
        75: 'ConfigurationReply',
        76: 'DirectoryRequest',
        77: 'DirectoryReply',
        78: 'TokenRequest',
        79: 'TokenReply',
        80: 'RetryRequest',
        81: 'RetryReply',
        82: 'SlotRequest',
        83: 'SlotReply',
    }
)
_NUMBERS_BY_NAME = MappingProxyType({name: number for number, name in _NAMES_BY_NUMBER.items()})
# Numbers from this one on belong to messages of sidecar nodes.
_FIRST_SIDECAR_NUMBER = 70
_SNAPSHOT_NAME = 'ControlSnapshot'
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
    message: 'state.Message'


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as an array of type number, correlation id and fields in declaration order."""
    number = type_number(frame.message)
    return cbor2.dumps([number, frame.correlation, encode_fields(frame.message)])


def decode_frame(encoded: bytes) -> Frame | state.ProtocolFailure:
    """Decode a frame, or return a failure that describes why it is malformed."""
    try:
        parts = cbor2.loads(encoded)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return state.ProtocolFailure(state.Reason.FRAME_MALFORMED, f'invalid CBOR: {error}')
    return build_frame(parts)


def build_frame(parts: Any) -> Frame | state.ProtocolFailure:
    """Return the frame with the decoded type number, correlation id and fields."""
    if not _is_frame(parts):
        return state.ProtocolFailure(
            state.Reason.FRAME_MALFORMED,
            'expected an array of type number, correlation id and fields',
        )
    return _decode_parts(*parts)


def type_number(message: 'state.Message') -> int:
    """Return the number of a message's type."""
    return _NUMBERS_BY_NAME[type(message).__name__]


def encode_fields(message: 'state.Message') -> list[Any]:
    """Return the fields of a message in declaration order, as CBOR encodes them."""
    if type(message).__name__ == _SNAPSHOT_NAME:
        return _encode_snapshot(message)  # type: ignore[arg-type]
    return list(msgspec.to_builtins(message, builtin_types=(bytes,)).values())


def _encode_snapshot(snapshot: 'state.ControlSnapshot') -> list[Any]:
    # Compressed, because 45,000 organisations with one key each would exceed the frame limit.
    return [None if snapshot.state is None else protocol.encode_state(snapshot.state)]


def _decode_snapshot(encoded: Any) -> 'state.ControlSnapshot | state.ProtocolFailure':
    if encoded is None:
        return state.ControlSnapshot(None)
    if not isinstance(encoded, bytes):
        return state.ProtocolFailure(
            state.Reason.FRAME_MALFORMED, 'control state: expected a byte string'
        )
    decoded = protocol.decode_state(encoded)
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
    if number not in _NAMES_BY_NUMBER:
        return state.ProtocolFailure(
            state.Reason.FRAME_TYPE_UNKNOWN,
            f'unknown message type {number}; expected one of {sorted(_NAMES_BY_NUMBER)}',
        )
    message_type, names = _message_type(number)
    if message_type.__name__ == _SNAPSHOT_NAME:
        snapshot = _decode_snapshot(fields[0] if fields else None)
        if isinstance(snapshot, state.ProtocolFailure):
            return snapshot
        return Frame(correlation, snapshot)
    try:
        # A later build may send further fields, and an earlier one lacks those that have a default.
        message = msgspec.convert(dict(zip(names, fields, strict=False)), type=message_type)
    except (msgspec.ValidationError, TypeError) as error:
        return state.ProtocolFailure(
            state.Reason.FRAME_MALFORMED, f'{message_type.__name__}: {error}'
        )
    return Frame(correlation, message)


@functools.cache
def _message_type(number: int) -> tuple['type[state.Message]', tuple[str, ...]]:
    """Return the type with a number and the names of its fields, in the order of the encoding."""
    package = state.sidecar if number >= _FIRST_SIDECAR_NUMBER else state
    message_type = getattr(package, _NAMES_BY_NUMBER[number])
    return message_type, tuple(field.name for field in dataclasses.fields(message_type))
