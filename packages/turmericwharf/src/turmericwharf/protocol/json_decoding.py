"""Decodes JSON that other programs wrote."""

from typing import Any, TypeVar, overload

import msgspec

_Decoded = TypeVar('_Decoded')


@overload
def decode_json(encoded: bytes) -> Any: ...


@overload
def decode_json(encoded: bytes, expected: type[_Decoded]) -> _Decoded: ...


def decode_json(encoded: bytes, expected: Any = Any) -> Any:
    """Return the decoded JSON, converted to the expected type.

    Raises
    ------
    msgspec.DecodeError
        If the bytes are not JSON, do not have the expected type, or are nested too deeply.
    """
    try:
        return msgspec.json.decode(encoded, type=expected)
    except RecursionError as error:
        # Also raised for fields that are unknown and would be skipped.
        raise msgspec.DecodeError('JSON is nested too deeply') from error
