"""Encodes and decodes frames with one long byte string without copying it as a whole."""

import dataclasses
import io
from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any

import cbor2

from turmericwharf.protocol.codec import (
    Frame,
    build_frame,
    encode_fields,
    encode_frame,
    type_number,
)
from turmericwharf.state import ProtocolFailure, Reason

# Shorter fields are encoded with the rest of the frame.
_MIN_FIELD_BYTES = 65_536
# First byte of an array with three elements, and of a byte string whose length takes four bytes.
_FRAME_START = 0x83
_LONG_BYTES_START = 0x5A
_LENGTH_BYTES = 4
_EMPTY_BYTES = b'\x40'
_MAX_SHORT_ARRAY = 23
_ARRAY_START = 0x80
_ARRAY_WITH_LENGTH = 0x98
# The lower bits of the first byte hold a number up to 23, or the size of the number that follows.
_INFO_BITS = 5
_INFO_MASK = 0x1F
_FIRST_SIZE = 24
_LAST_SIZE = 27
_STRING_KINDS = frozenset((2, 3))
_ARRAY = 4
_TAG = 6
# Number of items in each entry of an array or a map.
_ITEMS_PER_ENTRY: Mapping[int, int] = MappingProxyType({_ARRAY: 1, 5: 2})

Piece = bytes | memoryview


def encode_pieces(frame: Frame) -> list[Piece]:
    """Encode a frame like `encode_frame`, as pieces of which long fields are not copied."""
    fields = encode_fields(frame.message)
    if not any(map(_is_long, fields)):
        return [encode_frame(frame)]
    pieces: list[Piece] = [
        bytes((_FRAME_START,)),
        cbor2.dumps(type_number(frame.message)),
        cbor2.dumps(frame.correlation),
        _array_start(len(fields)),
    ]
    for field in fields:
        if _is_long(field):
            length = len(field).to_bytes(_LENGTH_BYTES, 'big')
            pieces.extend((bytes((_LONG_BYTES_START,)) + length, memoryview(field)))
        else:
            pieces.append(cbor2.dumps(field))
    return pieces


def split_pieces(pieces: Iterable[Piece], size: int) -> Iterator[bytes]:
    """Yield the content of pieces in parts of a size, of which the last may be shorter."""
    part = bytearray()
    for piece in pieces:
        rest = memoryview(piece)
        while len(rest) > 0:
            taken = size - len(part)
            part += rest[:taken]
            rest = rest[taken:]
            if len(part) == size:
                yield bytes(part)
                part.clear()
    if part:
        yield bytes(part)


@dataclasses.dataclass(frozen=True, slots=True)
class _LongField:
    """Position of the first long byte string among the fields of a frame.

    Parameters
    ----------
    header, start
        Where the field and its content start in the encoded frame.
    """

    index: int
    header: int
    start: int
    length: int


@dataclasses.dataclass(frozen=True, slots=True)
class FrameBeginning:
    """What is known of a frame before it is complete.

    Parameters
    ----------
    number, correlation
        Type number and correlation id; 0 if the frame is malformed.
    fields
        Decoded fields before the first long one.
    """

    number: int = 0
    correlation: int = 0
    fields: tuple[Any, ...] = ()


class FrameAssembly:
    """A frame that arrives in parts."""

    def __init__(self) -> None:
        self._encoded = io.BytesIO()
        self._field: _LongField | None = None
        # The buffer of `BytesIO` becomes the field without a copy.
        self._content = io.BytesIO()
        self.parts = 0

    @property
    def size(self) -> int:
        """Number of bytes that have arrived."""
        return self._encoded.tell() + self._content.tell()

    @property
    def beginning(self) -> FrameBeginning:
        """What is known of the frame."""
        try:
            return _read_beginning(self._encoded.getvalue(), self._field)
        except (cbor2.CBORDecodeError, IndexError, ValueError):
            return FrameBeginning()

    def add(self, part: bytes) -> None:
        """Add the next part."""
        self.parts += 1
        if self.parts == 1:
            self._field = _find_long_field(part)
        field = self._field
        if field is None:
            self._encoded.write(part)
            return
        rest = memoryview(part)
        if self.parts == 1:
            self._encoded.write(rest[: field.header])
            self._encoded.write(_EMPTY_BYTES)
            rest = rest[field.start :]
        missing = field.length - self._content.tell()
        self._content.write(rest[:missing])
        self._encoded.write(rest[missing:])

    def decode(self) -> Frame | ProtocolFailure:
        """Decode the complete frame, or return a failure that describes why it is malformed."""
        try:
            parts = cbor2.loads(self._encoded.getvalue())
        except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
            return ProtocolFailure(Reason.FRAME_MALFORMED, f'invalid CBOR: {error}')
        field = self._field
        if field is not None:
            if self._content.tell() != field.length:
                return ProtocolFailure(Reason.FRAME_MALFORMED, 'a byte string is incomplete')
            parts[-1][field.index] = self._content.getvalue()
        return build_frame(parts)


def _is_long(field: Any) -> bool:
    return isinstance(field, bytes) and len(field) >= _MIN_FIELD_BYTES


def _array_start(length: int) -> bytes:
    if length <= _MAX_SHORT_ARRAY:
        return bytes((_ARRAY_START + length,))
    return bytes((_ARRAY_WITH_LENGTH, length))


def _read_beginning(encoded: bytes, field: _LongField | None) -> FrameBeginning:
    numbers: list[int] = []
    position = 1
    for _ in range(2):
        end = _skip_item(encoded, position)
        number = cbor2.loads(encoded[position:end])
        if not isinstance(number, int):
            return FrameBeginning()
        numbers.append(number)
        position = end
    fields = []
    _, position = _read_number(encoded, position)
    for _ in range(0 if field is None else field.index):
        end = _skip_item(encoded, position)
        fields.append(cbor2.loads(encoded[position:end]))
        position = end
    return FrameBeginning(numbers[0], numbers[1], tuple(fields))


def _find_long_field(encoded: bytes) -> _LongField | None:
    """Return the first long field, or None if it does not start in this part of the frame."""
    try:
        return _search_fields(encoded)
    except (IndexError, ValueError):
        return None


def _search_fields(encoded: bytes) -> _LongField | None:
    if encoded[0] != _FRAME_START:
        return None
    fields_at = _skip_item(encoded, _skip_item(encoded, 1))
    if encoded[fields_at] >> _INFO_BITS != _ARRAY:
        return None
    count, position = _read_number(encoded, fields_at)
    for index in range(count):
        if encoded[position] == _LONG_BYTES_START:
            length, start = _read_number(encoded, position)
            if length >= _MIN_FIELD_BYTES and start <= len(encoded):
                return _LongField(index, position, start, length)
        position = _skip_item(encoded, position)
    return None


def _skip_item(encoded: bytes, position: int) -> int:
    """Return the position after a CBOR item.

    Raises
    ------
    IndexError, ValueError
        If the item is incomplete, or its length is not known.
    """
    items = 1
    while items:
        kind = encoded[position] >> _INFO_BITS
        number, position = _read_number(encoded, position)
        items -= 1
        if kind in _STRING_KINDS:
            position += number
        else:
            items += _nested_items(kind, number)
    if position > len(encoded):
        raise IndexError('the item is incomplete')
    return position


def _nested_items(kind: int, number: int) -> int:
    return 1 if kind == _TAG else number * _ITEMS_PER_ENTRY.get(kind, 0)


def _read_number(encoded: bytes, position: int) -> tuple[int, int]:
    """Return the number at the start of an item, and the position after it."""
    number = encoded[position] & _INFO_MASK
    if number < _FIRST_SIZE:
        return number, position + 1
    if number > _LAST_SIZE:
        raise ValueError('the length of the item is not known')
    end = position + 1 + (1 << (number - _FIRST_SIZE))
    if end > len(encoded):
        raise IndexError('the number is incomplete')
    return int.from_bytes(encoded[position + 1 : end], 'big'), end
