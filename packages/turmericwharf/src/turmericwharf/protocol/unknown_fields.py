"""Finds fields that a data class does not define, which msgspec ignores."""

import dataclasses
from collections.abc import Iterator
from typing import Any, get_args, get_type_hints


def find_unknown_fields(plain: Any, expected: Any, path: str = '') -> Iterator[str]:
    """Yield a message for each field of plain values that the expected type does not define.

    Parameters
    ----------
    plain
        Decoded JSON.
    expected
        Target type of the conversion: a data class or a tuple of data classes.
    path
        Path of the values in the whole document.
    """
    if isinstance(plain, list):
        for index, element in enumerate(plain):
            for element_type in get_args(expected):
                yield from find_unknown_fields(element, element_type, f'{path}[{index}]')
    elif isinstance(plain, dict) and dataclasses.is_dataclass(expected):
        yield from _find_in_object(plain, get_type_hints(expected), path)


def _find_in_object(
    plain: dict[str, Any],
    types_by_name: dict[str, Any],
    path: str,
) -> Iterator[str]:
    for name, actual in plain.items():
        field_path = f'{path}.{name}' if path else name
        expected = types_by_name.get(name)
        if expected is None:
            valid = ', '.join(sorted(types_by_name))
            yield f'{field_path} = {actual!r}: unknown field; valid fields: {valid}'
        else:
            yield from find_unknown_fields(actual, expected, field_path)
